//! Index snapshots and their shard maps, as the indexer publishes them on the platform.

use std::collections::HashSet;

use base::{ServiceName, ShardName, SnapshotId, UpstreamName};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

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

impl Index {
    /// Reads and checks an index that the platform returned.
    ///
    /// # Errors
    ///
    /// Returns the first thing that is wrong with it.
    pub fn from_json(bytes: &[u8]) -> Result<Self, IndexError> {
        let index: Self = serde_json::from_slice(bytes).context(JsonSnafu)?;
        let growing = index.snapshots.is_sorted_by(|a, b| a.id < b.id);
        ensure!(growing, OrderSnafu);
        index.snapshots.iter().try_for_each(Snapshot::check)?;
        Ok(index)
    }
}

impl Snapshot {
    fn check(&self) -> Result<(), IndexError> {
        let id = self.id;
        ensure!(!self.shards.is_empty(), EmptySnafu { id });
        let mut names = HashSet::new();
        for shard in &self.shards {
            let name = &shard.name;
            ensure!(
                names.insert(name),
                ShardSnafu {
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
                ReplicaSnafu {
                    id,
                    name: name.clone()
                }
            );
        }
        Ok(())
    }
}

/// What is wrong with an index that the platform returned.
#[derive(Debug, Snafu)]
pub enum IndexError {
    /// The bytes are not the JSON of an index.
    #[snafu(display("not a valid index: {source}"))]
    Json {
        /// Error of the JSON reader.
        source: serde_json::Error,
    },
    /// The ids of the snapshots don't grow.
    #[snafu(display("the snapshots are not in growing order of their ids"))]
    Order,
    /// A snapshot has no shards, so that its coverage would mean nothing.
    #[snafu(display("snapshot {id} has no shards"))]
    Empty {
        /// The snapshot.
        id: SnapshotId,
    },
    /// A snapshot has two shards of one name.
    #[snafu(display("snapshot {id} lists the shard {name} twice"))]
    Shard {
        /// The snapshot.
        id: SnapshotId,
        /// The shard.
        name: ShardName,
    },
    /// A shard lists an upstream twice.
    #[snafu(display("snapshot {id} lists a replica of the shard {name} twice"))]
    Replica {
        /// The snapshot.
        id: SnapshotId,
        /// The shard.
        name: ShardName,
    },
}
