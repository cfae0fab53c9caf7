//! Failure rates: how often an upstream fails, and how many parts the searches of a route miss.
//!
//! Load pattern: half of the replicas of all shards run requests but lose a third of the replies,
//! while their health checks pass and the other replicas are healthy. Too few failures come in a
//! row for an ejection. Placement prefers replicas with a lower loss rate. Admission control skips
//! fewer shards while parts are lost or late anyway, as one missing part too many fails the whole
//! search.

use std::time::Duration;

use base::Time;

/// Weight of one request in a failure rate.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Half-life of a rate without new samples, so that the upstream gets requests again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight of one search in the mean number of missed parts.
const SEARCH_WEIGHT: f64 = 0.15;

/// Reserve above the mean number of missed parts, in standard deviations (the square root of the
/// mean).
const RESERVE_DEVIATIONS: f64 = 1.0;

/// Decaying average of the share of requests that failed.
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
    /// Adds the outcome of one request.
    pub fn add(&mut self, now: Time, is_failure: bool) {
        let sample = if is_failure { 1.0 } else { 0.0 };
        let current = self.get(now);
        self.rate = current + (sample - current) * SAMPLE_WEIGHT;
        self.at = now;
    }

    /// Returns the share of failed requests.
    pub fn get(&self, now: Time) -> f64 {
        let idle = now.since(self.at).as_secs_f64();
        self.rate * 0.5_f64.powf(idle / HALF_LIFE.as_secs_f64())
    }
}

/// Mean number of parts that searches of a route sent but did not receive in time.
#[derive(Clone, Copy, Debug, Default)]
pub struct MissedParts {
    mean: f64,
}

impl MissedParts {
    /// Adds the number of missed parts of one search.
    pub fn add(&mut self, missed: f64) {
        self.mean += (missed - self.mean) * SEARCH_WEIGHT;
    }

    /// Returns the number of parts that admission control should expect to be missed.
    pub fn reserve(&self) -> usize {
        (self.mean + RESERVE_DEVIATIONS * self.mean.sqrt()).round() as usize
    }
}
