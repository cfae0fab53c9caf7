//! How often an upstream loses answers, and how many parts searches lose.
//!
//! Load pattern: half of the replicas of all shards run requests and lose a third of the answers,
//! while their health is good and the others are sound. Too few failures come in a row for a rest.
//! Placement prefers replicas that lose less, and searches leave out fewer shards on purpose when
//! parts get lost or come late by themselves, as the first one too many would cost the whole answer.

use std::time::Duration;

use base::Time;

/// Weight of one answer in an upstream's rate.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Time in which a rate that is not confirmed halves, so that the upstream is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight of one search in the number of parts that are missed.
const SEARCH_WEIGHT: f64 = 0.15;

/// Usual spread of that number that is kept room for, in square roots of its mean.
const RESERVE_DEVIATIONS: f64 = 1.0;

/// Part of its answers that an upstream loses.
#[derive(Clone, Copy, Debug)]
pub struct FailureRate {
    rate: f64,
    at: Time,
}

impl Default for FailureRate {
    fn default() -> Self {
        Self {
            rate: 0.0,
            at: Time::ZERO,
        }
    }
}

impl FailureRate {
    /// Takes the end of one request.
    pub fn add(&mut self, now: Time, is_failure: bool) {
        let sample = if is_failure { 1.0 } else { 0.0 };
        let current = self.get(now);
        self.rate = current + (sample - current) * SAMPLE_WEIGHT;
        self.at = now;
    }

    /// Returns the part that is lost.
    pub fn get(&self, now: Time) -> f64 {
        let idle = now.since(self.at).as_secs_f64();
        self.rate * 0.5_f64.powf(idle / HALF_LIFE.as_secs_f64())
    }
}

/// Parts that searches of a route miss in time after they were sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct MissedParts {
    mean: f64,
}

impl MissedParts {
    /// Takes the number of one search.
    pub fn add(&mut self, missed: usize) {
        self.mean += (missed as f64 - self.mean) * SEARCH_WEIGHT;
    }

    /// Returns the number of parts that room is kept for.
    pub fn reserve(&self) -> usize {
        (self.mean + RESERVE_DEVIATIONS * self.mean.sqrt()).round() as usize
    }
}
