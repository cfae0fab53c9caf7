//! Everything that happens to an instance.

use std::time::Duration;

use base::{AttemptId, CallId, EntryName, IdempotencyKey, OpId, RequestId, SnapshotId, Version};
use bytes::Bytes;
use wire::Envelope;

use crate::{
    object::Object,
    protocol::{Echo, Hit},
};

/// One thing that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent at [`Node::next_wake`](crate::Node::next_wake) at the latest.
    Tick,
    /// A caller's request arrived.
    Call(CallId, Call),
    /// The caller closed its connection before the answer.
    CallerGone(CallId),
    /// Something happened to an attempt at an upstream.
    Upstream(AttemptId, UpstreamEvent),
    /// The platform answered, or did not.
    Platform(OpId, PlatformEvent),
    /// A peer's message arrived.
    Peer(Envelope),
    /// The instance is asked to shut down.
    Drain,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub enum Call {
    /// A search, which may be repeated.
    Search {
        /// Identity given to the request on arrival.
        request: RequestId,
        /// Catalogue entry that is asked.
        entry: EntryName,
        /// The caller's own deadline; the entry's applies when it is shorter.
        deadline: Option<Duration>,
        /// Query, passed to the upstreams as it is.
        body: Bytes,
    },
    /// A request that must run at most once.
    Run {
        /// Identity given to the request on arrival.
        request: RequestId,
        /// Catalogue entry that is asked.
        entry: EntryName,
        /// The caller's own deadline; the entry's applies when it is shorter.
        deadline: Option<Duration>,
        /// Key that makes the request idempotent.
        key: IdempotencyKey,
        /// Request, passed to an upstream as it is.
        body: Bytes,
    },
}

/// Something that happened to an attempt.
#[derive(Clone, Debug)]
pub enum UpstreamEvent {
    /// The whole reply arrived.
    Replied(Reply),
    /// A request of the once class was carried out; the upstream's outcome follows.
    Ran {
        /// Request that the upstream says it ran.
        request: RequestId,
        /// Outcome to hand to the caller.
        outcome: Bytes,
        /// Whether the upstream says that it is leaving.
        draining: bool,
    },
    /// The upstream does not serve the snapshot.
    NoSnapshot {
        /// Snapshots that it serves.
        available: Vec<SnapshotId>,
        /// Whether the upstream says that it is leaving.
        draining: bool,
    },
    /// The upstream refused and did not start the work.
    Refused {
        /// Time after which the upstream wants to be asked again.
        retry_after: Option<Duration>,
        /// Whether the upstream says that it is leaving.
        draining: bool,
    },
    /// No valid reply will arrive.
    Failed(Failure),
}

/// A search reply as it arrived.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Identity that the upstream repeated.
    pub echo: Echo,
    /// Hits, best first.
    pub hits: Vec<Hit>,
    /// Whether the upstream says that it is leaving.
    pub draining: bool,
}

/// Why no valid reply will arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was made; no byte of the request was handed to a socket.
    Connect,
    /// No instance was found that sends to the upstream; no byte was sent.
    Unrouted,
    /// The upstream closed the connection after bytes of the request may have left.
    Broken,
    /// No reply came in time; bytes of the request may have left.
    TimedOut,
    /// The reply was not valid, or its identity was another request's.
    Malformed,
    /// The attempt was cancelled, and its connection is free or closed.
    Cancelled,
}

/// The platform's answer to one call.
#[derive(Clone, Debug)]
pub enum PlatformEvent {
    /// Watched objects that changed, complete up to `seen`.
    Changed {
        /// The changed objects.
        objects: Vec<Object>,
        /// Version up to which the watcher is complete.
        seen: Version,
    },
    /// The object that was read, if there is one.
    Read(Option<Object>),
    /// The write took effect and gave the object this version.
    Written(Version),
    /// The object has another version than the write expected; nothing was written.
    Conflict,
    /// No answer; a write may have taken effect or may yet.
    Unknown,
    /// The call failed before the platform took it; a write did not take effect.
    Unavailable,
}
