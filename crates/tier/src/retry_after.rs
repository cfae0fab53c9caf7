//! Tells refused callers when to come back.
//!
//! Load pattern: many callers are refused in a moment and return together, only to be refused
//! again. Return times are given out like places in a queue at the rate at which a service has
//! lately finished requests, and never later than a third of what the caller has left, which is as
//! long as callers wait.

use std::time::Duration;

use base::Time;

/// Shortest time after which a caller is told to return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(60);

/// Part of the time left within which callers return.
const TIME_LEFT_DIVISOR: u32 = 3;

/// Weight of one interval in the mean time between finished requests.
const INTERVAL_WEIGHT: f64 = 0.1;

/// Time between finished requests of a route that has finished none.
const DEFAULT_INTERVAL: Duration = Duration::from_millis(100);

/// Bounds of that time; a route that is seldom asked has room for more than it finishes.
const INTERVAL_RANGE: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(150));

/// Places in the queue of returning callers of one route.
#[derive(Clone, Copy, Debug)]
pub struct RetrySchedule {
    next: Time,
    /// Mean time between two finished requests.
    interval: Duration,
    last_answer: Option<Time>,
}

impl Default for RetrySchedule {
    fn default() -> Self {
        Self {
            next: Time::ZERO,
            interval: DEFAULT_INTERVAL,
            last_answer: None,
        }
    }
}

impl RetrySchedule {
    /// Counts a request that was answered.
    pub fn record_answer(&mut self, now: Time) {
        if let Some(last) = self.last_answer.replace(now) {
            let interval = now.since(last).min(INTERVAL_RANGE.1);
            let mean =
                self.interval.mul_f64(1.0 - INTERVAL_WEIGHT) + interval.mul_f64(INTERVAL_WEIGHT);
            self.interval = mean.clamp(INTERVAL_RANGE.0, INTERVAL_RANGE.1);
        }
    }

    /// Returns the time after which the caller finds room.
    ///
    /// `room_in` is the time until there is room at all, `left` the time that the caller has.
    pub fn next_slot(&mut self, now: Time, recovery: Duration, time_left: Duration) -> Duration {
        let latest = (time_left / TIME_LEFT_DIVISOR).saturating_sub(Duration::from_millis(1));
        let first = now + recovery.max(MIN_RETRY_AFTER);
        let at = self.next.max(first).min(now + latest);
        self.next = at + self.interval;
        at.since(now).min(latest)
    }
}
