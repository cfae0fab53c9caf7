//! Quarantine of requests that crash upstreams.
//!
//! Load pattern: one request crashes every upstream that begins to run it, and its callers send it
//! again and again, to any instance. Meanwhile networks fail, and upstreams crash for other reasons
//! while they run harmless requests.
//!
//! A request without a reply is only suspected ([`suspicion`]). It counts as the cause of a crash
//! once its upstream is found down or restarted. A harmless request gets a reply elsewhere, which
//! acquits it; one that crashed several upstreams at different times and got no reply since is
//! quarantined ([`tracker`]).

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
    /// Time at which the request ended without a reply.
    pub at: Time,
}
