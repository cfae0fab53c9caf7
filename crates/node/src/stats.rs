//! Counts and gauges of one instance, for metrics and `status`.

use std::time::Duration;

use base::{Revision, Version};

/// Counts since the instance started, and gauges of its present state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Searches admitted.
    pub searches: u64,
    /// Requests of the once class admitted.
    pub runs: u64,
    /// First attempts at sub-requests.
    pub first_attempts: u64,
    /// Hedged attempts.
    pub hedges: u64,
    /// Retried attempts.
    pub retries: u64,
    /// Attempts cancelled because another reply came first or the query ended.
    pub cancelled: u64,
    /// Replies discarded because their identity was another request's or came too late.
    pub discarded: u64,
    /// Queries planned again at another snapshot.
    pub replans: u64,
    /// Sub-requests relayed to the instance that owns the upstream.
    pub relayed: u64,
    /// Sub-requests carried out for other instances.
    pub served_for_peers: u64,
    /// Writes of claim buckets.
    pub claim_writes: u64,
    /// Claims put on record.
    pub claims: u64,
    /// Calls to the platform.
    pub platform_calls: u64,
    /// Messages sent to peers.
    pub peer_messages: u64,
    /// Searches in hand.
    pub pending_searches: u64,
    /// Attempts in flight at upstreams.
    pub attempts_in_flight: u64,
    /// Peers believed live.
    pub peers_live: u64,
    /// Upstreams that take no new work.
    pub upstreams_leaving: u64,
    /// Requests in quarantine.
    pub quarantined: u64,
    /// Revision of the catalogue in force.
    pub revision: Revision,
    /// Platform version up to which the instance is complete.
    pub seen: Version,
    /// Whether the instance serves callers.
    pub ready: bool,
    /// Whether the instance is shutting down.
    pub draining: bool,
}

/// What one answered request cost, reported with its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Time from arrival to answer.
    pub elapsed: Duration,
    /// Time from arrival to the last reply that the answer uses.
    pub slowest_shard: Duration,
}
