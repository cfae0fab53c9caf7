//! Cold upstreams: the requests a second that one bears for a while after its start.
//!
//! Load pattern: the upstreams of a data centre come back together, or one turns cold in the middle
//! of traffic, and hundreds of instances send each of them the little that they always sent, which
//! is together far more than it bears. The rate that a cold upstream bears is divided over the
//! instances like a limit that an upstream names ([`crate::limit`]), only more strictly: its bound
//! holds in any one second, in which every instance may send what it has not used.

use std::time::Duration;

use base::Time;
use rand::Rng;

use crate::limit::{LAPSE_TIME, Limit, RequestRate};

/// Deviations of the number of requests in a second for which the pace leaves room. Instances send
/// independently, so that the number varies by about its square root.
const DEVIATIONS: f64 = 3.0;

/// How much of the rate that a cold upstream bears may be exceeded in a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Multiple of the rate.
    pub overage: f64,
    /// Requests a second in addition.
    pub slack: f64,
}

/// Returns the requests a second that all instances together send to a cold upstream: such that a
/// second in which all of them send what they are allowed, unused requests included, stays within
/// the tolerance.
pub fn pace(rate: RequestRate, tolerance: Tolerance) -> RequestRate {
    let bound = rate.per_second() * tolerance.overage.max(1.0) + tolerance.slack.max(0.0);
    // The mean m of a second for which m + DEVIATIONS * sqrt(m) is the bound.
    let root = (DEVIATIONS * DEVIATIONS + 4.0 * bound).sqrt();
    let mean = ((root - DEVIATIONS) / 2.0).powi(2);
    let pace = mean / (1.0 + LAPSE_TIME.as_secs_f64());
    RequestRate::new(pace.min(rate.per_second())).unwrap_or(rate)
}

/// How an instance has learnt that an upstream is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Its entry.
    Entry,
    /// A reply, to a request or a health check.
    Reply,
    /// It could not be reached, so it may have started since.
    Silence,
}

impl Source {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Reply => "reply",
            Self::Silence => "silence",
        }
    }
}

/// The coldness of an upstream that bears a limited rate meanwhile, as observed by this instance.
#[derive(Clone, Debug)]
pub struct Cold {
    limit: Limit,
    source: Source,
    since: Time,
    /// Time at which it ends; `None` until the upstream has replied.
    until: Option<Time>,
    /// Requests that this instance has sent meanwhile.
    sent: u32,
}

impl Cold {
    /// Creates the coldness of an upstream; `share` is the share of the pace that this instance
    /// has.
    pub fn new(
        now: Time,
        pace: RequestRate,
        share: f64,
        source: Source,
        until: Option<Time>,
        rng: &mut impl Rng,
    ) -> Self {
        Self {
            limit: Limit::new(now, pace, share, rng),
            source,
            since: now,
            until,
            sent: 0,
        }
    }

    /// Applies a further message about it.
    pub fn renew(&mut self, source: Source, until: Option<Time>) {
        self.source = source;
        self.until = until;
    }

    /// Returns how the instance has last heard of it.
    pub fn source(&self) -> Source {
        self.source
    }

    /// Changes the share of the pace that this instance has.
    pub fn set_share(&mut self, now: Time, share: f64) {
        self.limit.set_share(now, share);
    }

    /// Returns whether a request may be sent now.
    pub fn allows(&self, now: Time, is_urgent: bool) -> bool {
        self.is_over(now) || self.limit.allows(now, is_urgent)
    }

    /// Returns the time from which a request of any priority may be sent.
    pub fn allows_from(&self, now: Time) -> Time {
        let allowed = self.limit.allows_from(now);
        self.until.map_or(allowed, |until| allowed.min(until))
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Time) {
        self.limit.take(now);
        self.sent += 1;
    }

    /// Returns whether it has ended.
    pub fn is_over(&self, now: Time) -> bool {
        self.until.is_some_and(|until| until <= now)
    }

    /// Returns the time at which it ends; `None` if the upstream has not replied yet.
    pub fn until(&self) -> Option<Time> {
        self.until
    }

    /// Returns what has ended.
    pub fn summary(&self, now: Time) -> Summary {
        Summary {
            pace: self.limit.rate(),
            sent: self.sent,
            lasted: now.since(self.since),
            source: self.source,
        }
    }
}

/// What an instance has sent to a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Requests a second that all instances together send.
    pub pace: RequestRate,
    /// Requests that this instance has sent.
    pub sent: u32,
    /// Time for which the upstream was cold, as far as this instance knows.
    pub lasted: Duration,
    /// How the instance has last heard of it.
    pub source: Source,
}
