//! Tells refused callers when to come back.
//!
//! Load pattern: many callers are refused in a moment and return together, only to be refused
//! again. Return times are given out like places in a queue at the rate at which a service has
//! lately finished requests, and never later than a third of what the caller has left, which is as
//! long as callers wait.

use std::time::Duration;

use base::Time;

/// Shortest time after which a caller is told to return.
const SHORTEST: Duration = Duration::from_millis(60);

/// Part of the time left within which callers return.
const LEFT_DIVISOR: u32 = 3;

/// Weight of one interval in the mean time between finished requests.
const GAP_WEIGHT: f64 = 0.1;

/// Time between finished requests of a route that has finished none.
const GAP_UNKNOWN: Duration = Duration::from_millis(100);

/// Bounds of that time; a route that is seldom asked has room for more than it finishes.
const GAP_RANGE: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(150));

/// Places in the queue of returning callers of one route.
#[derive(Clone, Copy, Debug)]
pub struct Comeback {
    next: Time,
    /// Mean time between two finished requests.
    gap: Duration,
    finished: Option<Time>,
}

impl Default for Comeback {
    fn default() -> Self {
        Self {
            next: Time::ZERO,
            gap: GAP_UNKNOWN,
            finished: None,
        }
    }
}

impl Comeback {
    /// Counts a request that was answered.
    pub fn finished(&mut self, now: Time) {
        if let Some(last) = self.finished.replace(now) {
            let gap = now.since(last).min(GAP_RANGE.1);
            let mean = self.gap.mul_f64(1.0 - GAP_WEIGHT) + gap.mul_f64(GAP_WEIGHT);
            self.gap = mean.clamp(GAP_RANGE.0, GAP_RANGE.1);
        }
    }

    /// Returns the time after which the caller finds room.
    ///
    /// `room_in` is the time until there is room at all, `left` the time that the caller has.
    pub fn place(&mut self, now: Time, room_in: Duration, left: Duration) -> Duration {
        let latest = (left / LEFT_DIVISOR).saturating_sub(Duration::from_millis(1));
        let first = now + room_in.max(SHORTEST);
        let at = self.next.max(first).min(now + latest);
        self.next = at + self.gap;
        at.since(now).min(latest)
    }
}
