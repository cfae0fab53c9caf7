//! Load reports: what upstreams report of their load in their replies.
//!
//! Load pattern: the machine of an upstream is shared, so that its work takes two or three times as
//! long for some hundreds of milliseconds, and a queue forms and goes within as long. Only an
//! instance that has just got a reply knows of it, and hundreds of them must not all turn to the
//! upstream that last looked idle: a report is used by the instance that received it, and is soon
//! worth nothing.

use std::time::Duration;

use base::Time;

use crate::config::Search;

/// Time in which the worth of a report falls to a third: queues and the speed of shared machines
/// change several times a second.
const WORTH_TIME: Duration = Duration::from_millis(150);

/// Time after which a report is not used any more.
const MAX_AGE: Duration = Duration::from_millis(450);

/// Largest number of requests or slots that is believed.
const MAX_COUNT: u32 = 100_000;

/// Range of the slowdown that is believed.
const SLOWDOWN_RANGE: (f64, f64) = (0.05, 100.0);

/// The load of an upstream at the time of its reply.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// Time that work takes on its machine now, as a multiple of the usual time.
    pub slowdown: f64,
}

/// Returns whether the requests to a service are placed by its load, given the search that it is a
/// shard of. An instance asks each of many shards too rarely: reports there spread the load of a
/// large fleet no more evenly.
pub fn is_used(search: Option<Search>) -> bool {
    search.is_none_or(|search| search.parts == 1)
}

impl LoadReport {
    /// Returns whether the numbers are possible.
    pub fn is_plausible(&self) -> bool {
        let counts = [self.running, self.waiting, self.slots];
        self.slots > 0
            && counts.iter().all(|count| *count <= MAX_COUNT)
            && (SLOWDOWN_RANGE.0..=SLOWDOWN_RANGE.1).contains(&self.slowdown)
    }
}

/// A report that this instance has received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Received {
    report: LoadReport,
    at: Time,
    /// Requests of other instances among those that it counts.
    others: f64,
}

impl Received {
    /// Keeps a report; `own` is the number of requests that this instance had in flight there.
    pub fn new(now: Time, report: LoadReport, own: usize) -> Self {
        let all = f64::from(report.running) + f64::from(report.waiting);
        Self {
            report,
            at: now,
            others: (all - own as f64).max(0.0),
        }
    }

    /// Returns what the report says now; `None` if it is too old.
    pub fn at(&self, now: Time) -> Option<Estimate> {
        let age = now.since(self.at);
        if age > MAX_AGE {
            return None;
        }
        let worth = (-age.as_secs_f64() / WORTH_TIME.as_secs_f64()).exp();
        Some(Estimate {
            others: self.others * worth,
            slowdown: 1.0 + (self.report.slowdown - 1.0) * worth,
            age,
        })
    }
}

/// How often requests were placed with a report, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests that were sent to an upstream whose report was fresh enough.
    pub placements: u64,
    /// Age of those reports, in sum.
    pub age: Duration,
}

/// The load of an upstream now, as a report lets expect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Requests of other instances.
    pub others: f64,
    /// Time that work takes, as a multiple of the usual time.
    pub slowdown: f64,
    /// Age of the report.
    pub age: Duration,
}
