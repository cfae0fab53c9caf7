//! State of an instance, as shown to operators.

use std::time::Duration;

use base::{DataCentre, InstanceName, Revision, Version};
use node::Stats;
use serde::Serialize;

/// State of an instance, shown by `/v1/status` and `/health`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Data centre that the instance is in.
    pub data_centre: DataCentre,
    /// Milliseconds since the instance started.
    pub uptime_ms: u64,
    /// Whether the instance serves callers.
    pub ready: bool,
    /// Whether the instance is draining for its shutdown.
    pub draining: bool,
    /// Revision of the catalogue in force.
    pub revision: Revision,
    /// Platform version up to which the instance has all changes.
    pub seen: Version,
    /// Peers considered live.
    pub peers_live: u64,
    /// Upstreams that are leaving.
    pub upstreams_leaving: u64,
    /// Requests in quarantine.
    pub quarantined: u64,
    /// Pending searches.
    pub searches_in_hand: u64,
    /// Pending attempts at upstreams.
    pub attempts_in_flight: u64,
    /// Counters since the instance started.
    pub counts: Counts,
}

/// Counters since the instance started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Searches admitted.
    pub searches: u64,
    /// Requests of the `once` class admitted.
    pub runs: u64,
    /// First attempts of sub-requests.
    pub first_attempts: u64,
    /// Hedged attempts.
    pub hedges: u64,
    /// Retried attempts.
    pub retries: u64,
    /// Attempts cancelled because another attempt was answered first or the search ended.
    pub cancelled: u64,
    /// Replies discarded because they identified another request or arrived too late.
    pub discarded: u64,
    /// Searches restarted at another snapshot.
    pub replans: u64,
    /// Sub-requests relayed to the instance that owns the upstream.
    pub relayed: u64,
    /// Sub-requests accepted from other instances.
    pub served_for_peers: u64,
    /// Writes of claim buckets.
    pub claim_writes: u64,
    /// Claims recorded.
    pub claims: u64,
    /// Calls to the platform.
    pub platform_calls: u64,
    /// Messages sent to peers.
    pub peer_messages: u64,
    /// Bytes sent to peers, as counted by the links.
    pub peer_bytes: u64,
}

impl Status {
    /// Creates the status of an instance from the reducer's statistics.
    pub fn new(
        instance: InstanceName,
        data_centre: DataCentre,
        uptime: Duration,
        stats: &Stats,
    ) -> Self {
        Self {
            instance,
            data_centre,
            uptime_ms: u64::try_from(uptime.as_millis()).unwrap_or(u64::MAX),
            ready: stats.ready,
            draining: stats.draining,
            revision: stats.revision,
            seen: stats.seen,
            peers_live: stats.peers_live,
            upstreams_leaving: stats.upstreams_leaving,
            quarantined: stats.quarantined,
            searches_in_hand: stats.pending_searches,
            attempts_in_flight: stats.attempts_in_flight,
            counts: Counts::from(stats),
        }
    }

    /// Returns whether the instance accepts new requests.
    pub fn is_serving(&self) -> bool {
        self.ready && !self.draining
    }
}

impl From<&Stats> for Counts {
    fn from(stats: &Stats) -> Self {
        Self {
            searches: stats.searches,
            runs: stats.runs,
            first_attempts: stats.first_attempts,
            hedges: stats.hedges,
            retries: stats.retries,
            cancelled: stats.cancelled,
            discarded: stats.discarded,
            replans: stats.replans,
            relayed: stats.relayed,
            served_for_peers: stats.served_for_peers,
            claim_writes: stats.claim_writes,
            claims: stats.claims,
            platform_calls: stats.platform_calls,
            peer_messages: stats.peer_messages,
            peer_bytes: 0,
        }
    }
}
