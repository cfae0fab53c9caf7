//! Retry-after times for refused callers.
//!
//! Load pattern: many callers are refused at the same moment and return together, only to be
//! refused again. Retry times are spread like the slots of a queue, at the rate at which the route
//! has recently answered requests. They are never later than a third of the caller's remaining
//! time, as callers wait no longer than that.

use std::time::Duration;

use base::Time;

/// Minimum retry-after time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(60);

/// Divisor of the caller's remaining time that gives the maximum retry-after time.
const TIME_LEFT_DIVISOR: u32 = 3;

/// Weight of one sample in the mean interval between answers.
const INTERVAL_WEIGHT: f64 = 0.1;

/// Interval between answers of a route without samples.
const DEFAULT_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum and maximum interval between answers. The maximum is needed as a route with little load
/// has capacity for more requests than it answers.
const INTERVAL_RANGE: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(150));

/// Schedule of the retries of one route's refused callers.
#[derive(Clone, Copy, Debug)]
pub struct RetrySchedule {
    next: Time,
    /// Mean interval between two answers.
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
    /// Records an answered request.
    pub fn record_answer(&mut self, now: Time) {
        if let Some(last) = self.last_answer.replace(now) {
            let interval = now.since(last).min(INTERVAL_RANGE.1);
            let mean =
                self.interval.mul_f64(1.0 - INTERVAL_WEIGHT) + interval.mul_f64(INTERVAL_WEIGHT);
            self.interval = mean.clamp(INTERVAL_RANGE.0, INTERVAL_RANGE.1);
        }
    }

    /// Returns the time after which a refused caller should retry, and reserves that slot.
    ///
    /// `recovery` is the time until the route is expected to accept requests again; `time_left` is
    /// the caller's remaining time.
    pub fn next_slot(&mut self, now: Time, recovery: Duration, time_left: Duration) -> Duration {
        let latest = (time_left / TIME_LEFT_DIVISOR).saturating_sub(Duration::from_millis(1));
        let first = now + recovery.max(MIN_RETRY_AFTER);
        let at = self.next.max(first).min(now + latest);
        self.next = at + self.interval;
        at.since(now).min(latest)
    }
}
