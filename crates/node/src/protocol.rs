//! Requests to upstreams and their replies, independent of the transport.

use base::{IdempotencyKey, RequestId, ShardName, SnapshotId};
use bytes::Bytes;

/// Identity of a sub-request, which the upstream must echo in its reply.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Echo {
    /// The caller's request.
    pub request: RequestId,
    /// Number that distinguishes the attempts of one request.
    pub attempt: u64,
    /// Snapshot to search.
    pub snapshot: SnapshotId,
    /// Shard to search.
    pub shard: ShardName,
}

/// One request to one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubRequest {
    /// Search of one shard in one snapshot; safe to send more than once.
    Search {
        /// Identity that the reply must echo.
        echo: Echo,
        /// Maximum number of hits to return.
        limit: u32,
        /// Query, as received from the caller.
        body: Bytes,
    },
    /// A request that must run at most once.
    Run {
        /// The caller's request.
        request: RequestId,
        /// Idempotency key from the caller.
        key: IdempotencyKey,
        /// Request, as received from the caller.
        body: Bytes,
    },
}

/// One hit of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hit {
    /// Identifier of the document.
    pub id: Box<str>,
    /// Score; higher is better.
    pub score: u64,
    /// Text of the document.
    pub text: Box<str>,
}
