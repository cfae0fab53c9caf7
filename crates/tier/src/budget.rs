//! Retry budget: limits the extra attempts (hedges and retries) to a service over a sliding window.
//!
//! Load pattern: the upstreams of a service fail or slow down together, and every request needs a
//! second attempt at the same time. All instances have one bound in common, so each keeps to its
//! own portion: a share of its own requests, and its portion of the slack.

use std::{collections::VecDeque, time::Duration};

use base::Time;

/// Number of steps that the sliding window consists of.
const WINDOW_STEPS: u32 = 20;

/// Share of the bound that is used; the rest allows for instances whose windows are not aligned.
const USED_SHARE: f64 = 0.9;

/// Requests and extra attempts to one service within the window.
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

/// Bound on the extra attempts of one instance to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Extra attempts per request.
    pub share: f64,
    /// Extra attempts in addition to that share.
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

    /// Counts an extra attempt if the bound allows it; returns whether it does.
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

    /// Drops steps that have left the window and returns the current step.
    fn step(&mut self, now: Time, window: Duration) -> &mut Step {
        // The last attempts of a step leave the window only a step's length after its first ones.
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
