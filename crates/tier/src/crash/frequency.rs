//! Estimates how often each request content arrives, in constant memory.
//!
//! Load pattern: many callers send the same harmless request, while an overload makes it look like
//! the cause of crashes. Refusing it would refuse a large share of a route. A request that crashes
//! upstreams is recognized after a few arrivals, so one that has arrived often is not such a request.

use std::time::Duration;

use base::Time;

/// Counters of each row.
const SLOTS: usize = 1_024;

/// Rows; each assigns a digest to another counter, and the lowest of them is the estimate.
const ROWS: usize = 2;

/// Length of each of the two periods that are counted, the current one and the one before.
const PERIOD: Duration = Duration::from_secs(30);

/// Arrivals in both periods from which a request counts as common: a crashing one has used up its
/// attempts many times over by then.
const MIN_COMMON: u32 = 24;

/// Share of all arrivals that a common request has, as a divisor; it exceeds the error of the
/// estimate, which is one in [`SLOTS`].
const COMMON_SHARE_DIVISOR: u32 = 100;

/// Arrivals in one period.
#[derive(Clone, Debug)]
struct Counts {
    slots: Box<[u32]>,
    total: u32,
}

impl Default for Counts {
    fn default() -> Self {
        Self {
            slots: vec![0; ROWS * SLOTS].into(),
            total: 0,
        }
    }
}

/// Recent arrivals of requests, by digest.
#[derive(Clone, Debug, Default)]
pub struct Frequency {
    current: Counts,
    previous: Counts,
    started: Time,
}

impl Frequency {
    /// Records the arrival of a request.
    pub fn record(&mut self, now: Time, digest: u64) {
        self.advance(now);
        self.current.total = self.current.total.saturating_add(1);
        for slot in slots(digest) {
            let count = &mut self.current.slots[slot];
            *count = count.saturating_add(1);
        }
    }

    /// Returns whether a request arrives so often that it can't be one that crashes upstreams.
    pub fn is_common(&mut self, now: Time, digest: u64) -> bool {
        self.advance(now);
        let total = self.current.total.saturating_add(self.previous.total);
        let counts = slots(digest)
            .map(|slot| self.current.slots[slot].saturating_add(self.previous.slots[slot]));
        let estimate = counts.into_iter().min().unwrap_or(0);
        estimate >= MIN_COMMON.max(total / COMMON_SHARE_DIVISOR)
    }

    fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.started);
        if elapsed < PERIOD {
            return;
        }
        self.previous = match elapsed < PERIOD * 2 {
            true => std::mem::take(&mut self.current),
            false => Counts::default(),
        };
        self.current = Counts::default();
        self.started = now;
    }
}

/// Returns the counter of a digest in each row.
fn slots(digest: u64) -> [usize; ROWS] {
    let slot = |row: usize| row * SLOTS + (digest >> (20 * row)) as usize % SLOTS;
    std::array::from_fn(slot)
}
