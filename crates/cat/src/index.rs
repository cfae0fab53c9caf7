//! Index snapshots and their shard maps, as the indexer publishes them on the platform.

use base::{ServiceName, ShardName, SnapshotId, UpstreamName};
use serde::{Deserialize, Serialize};

/// The snapshots of one service that upstreams serve or load, oldest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Index {
    /// Service whose upstreams hold the snapshots.
    pub service: ServiceName,
    /// Snapshots in growing order of their ids.
    pub snapshots: Vec<Snapshot>,
}

/// One version of the index: a fixed split into shards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the index.
    pub id: SnapshotId,
    /// All shards of this version.
    pub shards: Vec<Shard>,
}

/// One shard and the upstreams that hold a replica of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Name of the shard within its snapshot.
    pub name: ShardName,
    /// Upstreams with a replica.
    pub replicas: Vec<UpstreamName>,
}
