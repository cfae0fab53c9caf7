//! Index snapshots and their shard maps, which the indexer publishes on the platform.

use std::collections::HashSet;

use base::{ServiceName, ShardName, SnapshotId, UpstreamName};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

/// The snapshots that the upstreams of a service serve or load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Index {
    /// Service whose upstreams hold the snapshots.
    pub service: ServiceName,
    /// Snapshots in ascending order of their ids, the oldest first.
    pub snapshots: Vec<Snapshot>,
}

/// A version of the index with a fixed set of shards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the index.
    pub id: SnapshotId,
    /// All shards of this version.
    pub shards: Vec<Shard>,
}

/// A shard and the upstreams that have a replica of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Name of the shard within its snapshot.
    pub name: ShardName,
    /// Upstreams with a replica.
    pub replicas: Vec<UpstreamName>,
}

impl Index {
    /// Reads and checks an index that the platform returned.
    ///
    /// # Errors
    ///
    /// Returns the first error that is found.
    pub fn from_json(bytes: &[u8]) -> Result<Self, IndexError> {
        let index: Self = serde_json::from_slice(bytes).context(JsonSnafu)?;
        let growing = index.snapshots.is_sorted_by(|a, b| a.id < b.id);
        ensure!(growing, UnorderedSnafu);
        index.snapshots.iter().try_for_each(Snapshot::check)?;
        Ok(index)
    }
}

impl Snapshot {
    fn check(&self) -> Result<(), IndexError> {
        let id = self.id;
        ensure!(!self.shards.is_empty(), NoShardsSnafu { id });
        let mut names = HashSet::new();
        for shard in &self.shards {
            let name = &shard.name;
            ensure!(
                names.insert(name),
                DuplicateShardSnafu {
                    id,
                    name: name.clone()
                }
            );
            let mut replicas = HashSet::new();
            let unique = shard
                .replicas
                .iter()
                .all(|upstream| replicas.insert(upstream));
            ensure!(
                unique,
                DuplicateReplicaSnafu {
                    id,
                    name: name.clone()
                }
            );
        }
        Ok(())
    }
}

/// Error of an index that the platform returned.
#[derive(Debug, Snafu)]
pub enum IndexError {
    /// The bytes are not valid JSON of an index.
    #[snafu(display("not a valid index: {source}"))]
    Json {
        /// Error of the JSON reader.
        source: serde_json::Error,
    },
    /// The snapshots are not in ascending order of their ids.
    #[snafu(display("the snapshots are not in growing order of their ids"))]
    Unordered,
    /// A snapshot has no shards, so that the coverage of an answer would be undefined.
    #[snafu(display("snapshot {id} has no shards"))]
    NoShards {
        /// The snapshot.
        id: SnapshotId,
    },
    /// A snapshot has two shards with the same name.
    #[snafu(display("snapshot {id} lists the shard {name} twice"))]
    DuplicateShard {
        /// The snapshot.
        id: SnapshotId,
        /// The shard.
        name: ShardName,
    },
    /// A shard lists an upstream twice.
    #[snafu(display("snapshot {id} lists a replica of the shard {name} twice"))]
    DuplicateReplica {
        /// The snapshot.
        id: SnapshotId,
        /// The shard.
        name: ShardName,
    },
}
