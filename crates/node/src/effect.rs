//! Effects: the outputs of the reducer.

use std::{fmt, net::SocketAddr, time::Duration};

use base::{AttemptId, CallId, InstanceName, OpId, RequestId, ShardName, SnapshotId, Version};
use bytes::Bytes;
use wire::Body;

use crate::{
    object::Kind,
    protocol::{Hit, SubRequest},
};

/// An action for the shell, the I/O layer around the reducer, to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answers a caller.
    Answer(CallId, Answer),
    /// Sends a request to an upstream.
    Send(Send),
    /// Cancels an attempt: notifies the upstream and drops its reply.
    Cancel(AttemptId),
    /// Calls the platform.
    Platform(OpId, PlatformOp),
    /// Sends a message to a peer.
    Peer(PeerAddress, Body),
    /// Reports a state change, for the log.
    Note(Note),
    /// Ends the process; no request is in flight.
    Stop,
}

/// Address of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Name of the peer, if known.
    pub name: Option<InstanceName>,
    /// Socket address of the peer.
    pub address: SocketAddr,
}

/// A request to an upstream.
#[derive(Clone, Debug)]
pub struct Send {
    /// Attempt that the events of this request refer to.
    pub attempt: AttemptId,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Maximum connections from this instance to the upstream.
    pub connections: u32,
    /// Time in which the upstream must answer; sent with the request.
    pub timeout: Duration,
    /// Time after `timeout` for which the upstream may still end the attempt before the connection
    /// is given up.
    pub grace: Duration,
    /// The request to send.
    pub sub_request: SubRequest,
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformOp {
    /// Waits for changes to watched objects after a version.
    Watch {
        /// Version up to which the caller has all changes.
        after: Version,
        /// Longest time to wait for a change.
        wait: Duration,
    },
    /// Reads one object.
    Read {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: Box<str>,
    },
    /// Writes one object if it still has the expected version.
    Write {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: Box<str>,
        /// Version that the write replaces; `None` creates the object.
        expect: Option<Version>,
        /// New content of the object, as JSON.
        value: Bytes,
    },
}

/// The answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Results of a search.
    Results(SearchResults),
    /// The outcome of a request of the once class, which ran.
    Done {
        /// The caller's request.
        request: RequestId,
        /// Outcome that the upstream returned.
        outcome: Bytes,
        /// Whether the outcome belongs to an earlier request with the same key.
        repeated: bool,
    },
    /// The request was refused: it did not run and will not.
    Refused(Refusal),
    /// The request did not run and will not, but its key is too old to tell whether an earlier
    /// request with the same key ran.
    Expired,
    /// It is not known whether the request ran; it is not sent again.
    Unknown {
        /// Time after which the caller may request the outcome with the same key.
        retry_after: Duration,
    },
}

/// Results of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchResults {
    /// The caller's request.
    pub request: RequestId,
    /// The snapshot that all hits come from.
    pub snapshot: SnapshotId,
    /// Hits, best first.
    pub hits: Vec<Hit>,
    /// Numbers of shards that were queried and that answered, and the missing shards.
    pub coverage: Coverage,
}

/// How much of a snapshot the results of a search cover.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    /// Number of shards in the snapshot.
    pub asked: u32,
    /// Number of shards whose complete reply is included.
    pub answered: u32,
    /// Shards whose reply is not included.
    pub missing: Vec<ShardName>,
}

/// A refusal: the request did not run and will not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Time after which the caller may retry; `None` if a retry cannot succeed.
    pub retry_after: Option<Duration>,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The instance is not ready to serve.
    NotReady,
    /// The catalogue has no such entry.
    NoEntry,
    /// The class of the entry does not accept this kind of request.
    WrongClass,
    /// The body is larger than the entry allows.
    BodySize,
    /// The entry's rate limit is reached.
    RateLimit,
    /// The entry's limit of concurrent requests is reached.
    ConcurrencyLimit,
    /// Upstreams are overloaded.
    Overload,
    /// No snapshot of the service is known.
    NoSnapshot,
    /// No upstream could accept the request.
    NoUpstream,
    /// The request is quarantined because it crashed upstreams.
    Quarantined,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The platform could not record the claim.
    PlatformUnavailable,
    /// The claim store has no space for another key.
    ClaimsFull,
    /// The deadline passed before the request was sent.
    DeadlinePassed,
    /// The instance is shutting down.
    Draining,
}

impl Reason {
    /// All reasons, for metrics and documentation.
    pub const ALL: [Self; 15] = [
        Self::NotReady,
        Self::NoEntry,
        Self::WrongClass,
        Self::BodySize,
        Self::RateLimit,
        Self::ConcurrencyLimit,
        Self::Overload,
        Self::NoSnapshot,
        Self::NoUpstream,
        Self::Quarantined,
        Self::KeyReused,
        Self::PlatformUnavailable,
        Self::ClaimsFull,
        Self::DeadlinePassed,
        Self::Draining,
    ];

    /// Returns the name of the reason in answers and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::NoEntry => "no_entry",
            Self::WrongClass => "wrong_class",
            Self::BodySize => "body_size",
            Self::RateLimit => "rate_limit",
            Self::ConcurrencyLimit => "concurrency_limit",
            Self::Overload => "overload",
            Self::NoSnapshot => "no_snapshot",
            Self::NoUpstream => "no_upstream",
            Self::Quarantined => "quarantined",
            Self::KeyReused => "key_reused",
            Self::PlatformUnavailable => "platform_unavailable",
            Self::ClaimsFull => "claims_full",
            Self::DeadlinePassed => "deadline_passed",
            Self::Draining => "draining",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A state change that is written to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// A revision of the catalogue came into force.
    CatalogueInForce(base::Revision),
    /// A platform object could not be parsed and is ignored.
    BadObject {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: Box<str>,
        /// Description of the error.
        problem: Box<str>,
    },
    /// An upstream is leaving and gets no new requests.
    UpstreamLeaving(base::UpstreamName),
    /// The request with this digest crashed upstreams and is quarantined.
    Quarantined(u64),
    /// The state of a peer in the membership changed.
    Peer {
        /// The peer.
        name: InstanceName,
        /// New state of the peer.
        state: &'static str,
    },
    /// A message from a peer was invalid.
    BadMessage(Box<str>),
}
