//! Events: the inputs of the reducer.

use std::time::Duration;

use base::{AttemptId, CallId, EntryName, IdempotencyKey, OpId, RequestId, SnapshotId, Version};
use bytes::Bytes;
use wire::Envelope;

use crate::{
    object::Object,
    protocol::{Echo, Hit},
};

/// An input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent at [`Node::next_wake`](crate::Node::next_wake) at the latest.
    Tick,
    /// A caller's request arrived.
    Call(CallId, Call),
    /// The caller closed its connection before the answer.
    CallerGone(CallId),
    /// An attempt at an upstream ended.
    Upstream(AttemptId, UpstreamEvent),
    /// A call to the platform ended.
    Platform(OpId, PlatformEvent),
    /// A message from a peer arrived.
    Peer(Envelope),
    /// The instance was asked to shut down.
    Drain,
}

/// A request from a caller.
#[derive(Clone, Debug)]
pub enum Call {
    /// A search, which is safe to send more than once.
    Search {
        /// Identity given to the request on arrival.
        request: RequestId,
        /// Catalogue entry that the request names.
        entry: EntryName,
        /// Deadline that the caller requested; the shorter of this and the entry's applies.
        deadline: Option<Duration>,
        /// Query, passed to the upstreams unchanged.
        body: Bytes,
    },
    /// A request that must run at most once.
    Run {
        /// Identity given to the request on arrival.
        request: RequestId,
        /// Catalogue entry that the request names.
        entry: EntryName,
        /// Deadline that the caller requested; the shorter of this and the entry's applies.
        deadline: Option<Duration>,
        /// Key that makes the request idempotent.
        key: IdempotencyKey,
        /// Request, passed to an upstream unchanged.
        body: Bytes,
    },
}

/// How an attempt at an upstream ended.
#[derive(Clone, Debug)]
pub enum UpstreamEvent {
    /// A complete reply to a search arrived.
    Replied(Reply),
    /// The upstream ran a request of the once class.
    Ran {
        /// Request that the upstream reports to have run.
        request: RequestId,
        /// Outcome to return to the caller.
        outcome: Bytes,
        /// Whether the upstream reported that it is leaving.
        draining: bool,
    },
    /// The upstream does not serve the snapshot.
    NoSnapshot {
        /// Snapshots that the upstream serves.
        available: Vec<SnapshotId>,
        /// Whether the upstream reported that it is leaving.
        draining: bool,
    },
    /// The upstream refused and did not start the work.
    Refused {
        /// Time after which the upstream accepts another attempt, if it named one.
        retry_after: Option<Duration>,
        /// Whether the upstream reported that it is leaving.
        draining: bool,
    },
    /// The attempt failed; no valid reply will arrive.
    Failed(Failure),
}

/// A reply to a search, before its identity is checked.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Identity of the sub-request as the upstream echoed it.
    pub echo: Echo,
    /// Hits, best first.
    pub hits: Vec<Hit>,
    /// Whether the upstream reported that it is leaving.
    pub draining: bool,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was established; no byte of the request was written to a socket.
    Connect,
    /// No instance that may send to the upstream was found; no byte was sent.
    Unrouted,
    /// The connection closed after bytes of the request may have been sent.
    Broken,
    /// No reply arrived in time; bytes of the request may have been sent.
    TimedOut,
    /// The reply was invalid, or it echoed the identity of another request.
    Malformed,
    /// The attempt was cancelled, and its connection is idle or closed.
    Cancelled,
}

/// How a call to the platform ended.
#[derive(Clone, Debug)]
pub enum PlatformEvent {
    /// Changes to watched objects, complete up to version `seen`.
    Changed {
        /// The changed objects.
        objects: Vec<Object>,
        /// Version up to which the watcher has all changes.
        seen: Version,
    },
    /// The object that was read, or `None` if it does not exist.
    Read(Option<Object>),
    /// The write took effect and gave the object this version.
    Written(Version),
    /// The object does not have the expected version; nothing was written.
    Conflict,
    /// The call got no answer; a write may have taken effect or may still do so.
    Unknown,
    /// The call failed before the platform accepted it; a write did not take effect.
    Unavailable,
}
