//! What an instance and an upstream say to each other, free of transport.

use base::{IdempotencyKey, RequestId, ShardName, SnapshotId};
use bytes::Bytes;

/// Identity of a sub-request, which the upstream's reply must repeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Echo {
    /// The caller's request.
    pub request: RequestId,
    /// Number that tells attempts of one request apart.
    pub attempt: u64,
    /// Snapshot that is searched.
    pub snapshot: SnapshotId,
    /// Shard that is searched.
    pub shard: ShardName,
}

/// One request to one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubRequest {
    /// Search of one shard in one snapshot; may be repeated.
    Search {
        /// Identity that the reply must repeat.
        echo: Echo,
        /// Hits wanted.
        limit: u32,
        /// Query as the caller sent it.
        body: Bytes,
    },
    /// A request that must run at most once.
    Run {
        /// The caller's request.
        request: RequestId,
        /// Key that the caller gave.
        key: IdempotencyKey,
        /// Request as the caller sent it.
        body: Bytes,
    },
}

/// One hit of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hit {
    /// Identity of the document.
    pub id: Box<str>,
    /// Score; greater is better.
    pub score: u64,
    /// Text of the document.
    pub text: Box<str>,
}
