//! Observed delays: how long the way to callers and to other instances takes.
//!
//! Load pattern: callers with an objective of 40 ms are 3 ms away, and an answer that is sent as
//! early as the longest expected way would need leaves the parts half of the time that they could
//! have. A caller that opens a connection states less time left than its route allows: what is
//! missing is one round trip. The acceptance of a search that was handed over shows the round trip
//! to the instance that runs it.

use std::time::Duration;

use base::{InstanceName, Time};

/// Divisor of the distance by which a shorter sample lowers the estimate. A longer one raises it at
/// once, as an answer that is a little early costs less than one that is late.
const DECREASE_DIVISOR: u32 = 8;

/// The resolution of the time left that callers state.
const RESOLUTION: Duration = Duration::from_millis(1);

/// CPU time on a whole core for passing an answer on: instances with 0.084 of a core took 3 ms
/// longer with processor time than without it.
const ANSWER_CPU_TIME: Duration = Duration::from_micros(250);

/// Minimum time for passing an answer on, which allows for timers that fire late.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(1);

/// Divisor of the parts of a search that gives those whose replies arrive together with its soft
/// deadline and are read before the answer is sent.
const PARTS_AT_DEADLINE_DIVISOR: u32 = 10;

/// Divisor of the objective that gives the most time reserved for them: parts that are given up for
/// it cost coverage.
const MAX_GATHER_DIVISOR: u32 = 20;

/// Returns the time that an instance with a CPU share needs to pass an answer on.
pub fn answer_time(cpu_share: f64) -> Duration {
    let time = ANSWER_CPU_TIME.mul_f64(1.0 / cpu_share.max(1e-3));
    time.max(MIN_ANSWER_TIME)
}

/// Returns the time from the soft deadline of a search until its answer is on the way, at an
/// instance that takes `own_work` to send and read all parts.
pub fn gather_time(own_work: Duration, objective: Duration) -> Duration {
    (own_work / PARTS_AT_DEADLINE_DIVISOR).min(objective / MAX_GATHER_DIVISOR)
}

/// Estimate of a round trip, bounded by the longest one expected, which applies until there is a
/// sample.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoundTrip {
    estimate: Option<Duration>,
}

impl RoundTrip {
    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        self.estimate = Some(match self.estimate {
            Some(known) if sample < known => known - (known - sample) / DECREASE_DIVISOR,
            _ => sample,
        });
    }

    /// Returns the round trip, at most `longest`.
    pub fn get(self, longest: Duration) -> Duration {
        self.estimate.map_or(longest, |known| known.min(longest))
    }
}

/// Time after which an acceptance that is awaited is no longer measured.
const MAX_AWAITED: Duration = Duration::from_secs(1);

/// Measures the round trip to the instances that searches are handed to, one at a time.
#[derive(Clone, Debug, Default)]
pub struct Acceptance {
    round_trip: RoundTrip,
    awaited: Option<(InstanceName, Time)>,
}

impl Acceptance {
    /// Records that a search was handed to an instance.
    pub fn handed_over(&mut self, now: Time, to: &InstanceName) {
        let is_awaited = |(_, since): &(InstanceName, Time)| now.since(*since) < MAX_AWAITED;
        if !self.awaited.as_ref().is_some_and(is_awaited) {
            self.awaited = Some((to.clone(), now));
        }
    }

    /// Records that an instance has accepted a search.
    pub fn accepted(&mut self, now: Time, by: &InstanceName) {
        if let Some((_, since)) = self.awaited.take_if(|(to, _)| to == by) {
            self.round_trip.add(now.since(since));
        }
    }

    /// Returns the round trip, at most `longest`.
    pub fn round_trip(&self, longest: Duration) -> Duration {
        self.round_trip.get(longest)
    }
}

/// Returns the round trip to a caller, if it is seen in the time that the caller has waited before
/// it sent its request. More than `longest` is no round trip but an earlier try.
pub fn of_caller(waited: Duration, longest: Duration) -> Option<Duration> {
    (waited >= RESOLUTION && waited <= longest).then_some(waited + RESOLUTION)
}
