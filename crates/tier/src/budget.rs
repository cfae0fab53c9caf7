//! Bounds extra attempts to a service over a sliding window.
//!
//! Load pattern: upstreams of a service fail or turn slow together, and every request wants a
//! second attempt at the same time. All instances share one bound, so each keeps to its part: the
//! share of its own requests, and its part of the slack.

use std::{collections::VecDeque, time::Duration};

use base::Time;

/// Length of one step of the window, as a part of it.
const WINDOW_STEPS: u32 = 20;

/// Part of the bound that is used, as instances count at different moments.
const USED_SHARE: f64 = 0.9;

/// Requests and extra attempts of one service.
#[derive(Clone, Debug, Default)]
pub struct ExtraAttempts {
    steps: VecDeque<Step>,
    requests: u64,
    extra: u64,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    start: Time,
    requests: u64,
    extra: u64,
}

/// The bound that holds for one instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Extra attempts for each request.
    pub share: f64,
    /// Extra attempts beyond that.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl ExtraAttempts {
    /// Counts a request.
    pub fn add_request(&mut self, now: Time, window: Duration) {
        self.step(now, window).requests += 1;
        self.requests += 1;
    }

    /// Takes an extra attempt if the bound has room.
    pub fn try_take(&mut self, now: Time, bound: &Bound) -> bool {
        self.step(now, bound.window);
        let allowed = (bound.share * self.requests as f64 + bound.slack) * USED_SHARE;
        if (self.extra + 1) as f64 > allowed {
            return false;
        }
        self.step(now, bound.window).extra += 1;
        self.extra += 1;
        true
    }

    /// Drops what has left the window and returns the present step.
    fn step(&mut self, now: Time, window: Duration) -> &mut Step {
        // What a step counted last is as old as the window only after the step's own length.
        while let Some(first) = self.steps.front()
            && now.since(first.start) > window + window / WINDOW_STEPS
        {
            self.requests -= first.requests;
            self.extra -= first.extra;
            self.steps.pop_front();
        }
        let is_new_step = match self.steps.back() {
            Some(last) => now.since(last.start) >= window / WINDOW_STEPS,
            None => true,
        };
        if is_new_step {
            self.steps.push_back(Step {
                start: now,
                requests: 0,
                extra: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
