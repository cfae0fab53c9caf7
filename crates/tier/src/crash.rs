//! Quarantine of requests that crash upstreams.
//!
//! Load pattern: one request crashes every upstream that begins to run it, and its callers send it
//! again and again, to any instance. Meanwhile networks fail, and upstreams crash for other reasons
//! while they run harmless requests.
//!
//! A request without a reply is only suspected ([`suspicion`]). It counts as the cause of a crash
//! once its upstream is found down or restarted. A harmless request gets a reply elsewhere, which
//! clears it of suspicion; one that crashed several upstreams at different times and got no reply since is
//! quarantined ([`tracker`]). Whatever the evidence, the harm of a wrong verdict is bounded: a request
//! that arrives often ([`frequency`]) is not quarantined, and only a few are at a time. If one arrives
//! often nevertheless, one instance tries it now and then at one upstream, whose reply ends the
//! quarantine everywhere. Upstreams that do not answer a starved instance prove nothing
//! ([`starvation`]).

pub mod frequency;
pub mod starvation;
pub mod suspicion;
pub mod tracker;

use std::time::Duration;

use base::{ServiceName, Time, UpstreamName};

/// Time for which a quarantine that is published on the platform is in force at an instance that
/// reads it, and after which it is removed.
pub const PUBLISHED_PERIOD: Duration = Duration::from_secs(120);

/// A crash of an upstream while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Digest of the request.
    pub digest: u64,
    /// Hash of the request's id, which differs between the calls of one caller.
    pub call: u64,
    /// Service of the upstream.
    pub service: ServiceName,
    /// The upstream.
    pub upstream: UpstreamName,
    /// Unix time of its start, in milliseconds.
    pub started_ms: u64,
    /// Latest time at which it was known to be up before the crash, if any.
    pub up_at: Option<Time>,
    /// Time at which the request ended without a reply.
    pub at: Time,
}

impl Crash {
    /// Returns whether this is a report of the same crash as an earlier one: an upstream crashes
    /// once, unless it has started again or was up in between.
    fn is_same(&self, earlier: &Self) -> bool {
        self.upstream == earlier.upstream
            && self.started_ms <= earlier.started_ms
            && self.up_at.is_none_or(|up_at| up_at <= earlier.at)
    }
}
