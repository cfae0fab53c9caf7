//! Counters and gauges of an instance, for metrics and `status`.

use std::time::Duration;

use base::{Revision, Version};

/// Counters since the start of the instance, and gauges of its current state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Searches admitted.
    pub searches: u64,
    /// Requests of the once class admitted.
    pub runs: u64,
    /// First attempts of sub-requests.
    pub first_attempts: u64,
    /// Hedged attempts.
    pub hedges: u64,
    /// Retried attempts.
    pub retries: u64,
    /// Attempts cancelled because another attempt was answered first or the search ended.
    pub cancelled: u64,
    /// Replies discarded because they echoed another identity or arrived too late.
    pub discarded: u64,
    /// Searches restarted at another snapshot.
    pub replans: u64,
    /// Sub-requests relayed to the instance that owns the upstream.
    pub relayed: u64,
    /// Sub-requests and runs that other instances relayed to this one.
    pub served_for_peers: u64,
    /// Writes of claim buckets.
    pub claim_writes: u64,
    /// Claims recorded.
    pub claims: u64,
    /// Calls to the platform.
    pub platform_calls: u64,
    /// Messages sent to peers.
    pub peer_messages: u64,
    /// Searches that are not answered yet.
    pub pending_searches: u64,
    /// Attempts in flight at upstreams.
    pub attempts_in_flight: u64,
    /// Peers considered live.
    pub peers_live: u64,
    /// Upstreams that are leaving.
    pub upstreams_leaving: u64,
    /// Requests in quarantine.
    pub quarantined: u64,
    /// Revision of the catalogue in force.
    pub revision: Revision,
    /// Platform version up to which the instance has all changes.
    pub seen: Version,
    /// Whether the instance serves callers.
    pub ready: bool,
    /// Whether the instance is shutting down.
    pub draining: bool,
}

/// Timing of an answered request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Time from arrival to answer.
    pub elapsed: Duration,
    /// Time from arrival to the last reply that is included in the answer.
    pub slowest_shard: Duration,
}
