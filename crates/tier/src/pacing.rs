//! Paces the calls that wait for changes on the platform.
//!
//! Load pattern: mostly a single change comes after a long quiet time, such as an upstream that
//! leaves, and every instance has to know it soon. But a release or a storm of configurations changes
//! something many times a second, and each reply to a watch is a call that has a cost. The first
//! changes are read at once; while they keep coming, changes accumulate for a window between calls.

use std::time::Duration;

use base::Time;

/// Number of calls that may follow each other at once after a quiet time.
const BURST: u32 = 2;

/// Time for which changes accumulate in any case, as related ones are written one after the other.
const MIN_WAIT: Duration = Duration::from_millis(80);

/// Paces calls so that they stay within one a window on average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    /// Time at which the calls so far would have been made at one a window.
    due: Time,
}

impl Pacer {
    /// Records a call that has delivered changes; returns the time to wait before the next one.
    pub fn record_call(&mut self, now: Time, window: Duration) -> Duration {
        self.due = self.due.max(now) + window;
        let ahead = self.due.since(now);
        ahead.saturating_sub(window * BURST).max(MIN_WAIT)
    }
}
