//! Everything that an instance does.

use std::{fmt, net::SocketAddr, time::Duration};

use base::{AttemptId, CallId, InstanceName, OpId, RequestId, ShardName, SnapshotId, Version};
use bytes::Bytes;
use wire::Body;

use crate::{
    object::Kind,
    protocol::{Hit, SubRequest},
};

/// One thing to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Gives a caller its answer.
    Answer(CallId, Answer),
    /// Sends a request to an upstream.
    Send(Send),
    /// Abandons an attempt: the upstream is told, and a reply is dropped.
    Cancel(AttemptId),
    /// Calls the platform.
    Platform(OpId, PlatformOp),
    /// Sends a message to a peer.
    Peer(PeerAddress, Body),
    /// Reports a change of state to the log.
    Note(Note),
    /// Ends the process: nothing is in flight.
    Stop,
}

/// Where a peer is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Name of the peer, when it is known.
    pub name: Option<InstanceName>,
    /// Its address.
    pub address: SocketAddr,
}

/// A request to an upstream.
#[derive(Clone, Debug)]
pub struct Send {
    /// Attempt that the upstream's events name.
    pub attempt: AttemptId,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Connections that this instance may hold to the upstream.
    pub connections: u32,
    /// Time that the upstream has; passed on to it.
    pub timeout: Duration,
    /// Further time for which the upstream's word of the end is awaited before the attempt is
    /// abandoned.
    pub grace: Duration,
    /// The request.
    pub sub_request: SubRequest,
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformOp {
    /// Waits for watched objects newer than a version.
    Watch {
        /// Version up to which the caller is complete.
        after: Version,
        /// Longest wait.
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
        /// Version to replace; `None` creates the object.
        expect: Option<Version>,
        /// The object as JSON.
        value: Bytes,
    },
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Result of a search.
    Results(SearchResults),
    /// A request of the once class ran.
    Done {
        /// The caller's request.
        request: RequestId,
        /// Outcome that the upstream gave.
        outcome: Bytes,
        /// Whether the outcome is that of an earlier request with the same key.
        repeated: bool,
    },
    /// The request did not run and will not.
    Refused(Refusal),
    /// The request was not sent and will not be, but its key is too old to tell whether an earlier
    /// request with the same key ran.
    Expired,
    /// The request may or may not have run; it is not run again.
    Unknown {
        /// Time after which the caller may ask for the outcome with the same key.
        retry_after: Duration,
    },
}

/// Result of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchResults {
    /// The caller's request.
    pub request: RequestId,
    /// The one snapshot that all hits are from.
    pub snapshot: SnapshotId,
    /// Hits, best first.
    pub hits: Vec<Hit>,
    /// Shards asked, answered and missing.
    pub coverage: Coverage,
}

/// What a search covered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    /// Shards of the snapshot.
    pub asked: u32,
    /// Shards whose whole reply is in the answer.
    pub answered: u32,
    /// Shards without a reply.
    pub missing: Vec<ShardName>,
}

/// A refusal: the request did not run and will not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Time after which the caller may ask again; `None` when asking again does not help.
    pub retry_after: Option<Duration>,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// No revision of the catalogue is known yet.
    NotReady,
    /// The catalogue has no such entry.
    NoEntry,
    /// The entry's class does not take this kind of request.
    WrongClass,
    /// The request body is larger than the entry allows.
    BodySize,
    /// The entry's rate limit is reached.
    RateLimit,
    /// The entry's limit of concurrent requests is reached.
    ConcurrencyLimit,
    /// Upstreams are overloaded.
    Overload,
    /// No snapshot of the service is known.
    NoSnapshot,
    /// No upstream could take the request.
    NoUpstream,
    /// The request is quarantined because it broke upstreams.
    Quarantined,
    /// The key was used with another body.
    KeyReused,
    /// The platform could not record the claim.
    PlatformUnavailable,
    /// The claim store has no room for the key.
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

    /// Returns the reason as callers and metrics name it.
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

/// A change of state that operators see in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// A revision of the catalogue came into force.
    CatalogueInForce(base::Revision),
    /// A platform object could not be read and is ignored.
    BadObject {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: Box<str>,
        /// What is wrong with it.
        problem: Box<str>,
    },
    /// An upstream takes no new work.
    UpstreamLeaving(base::UpstreamName),
    /// A request broke upstreams and is quarantined.
    Quarantined(u64),
    /// A peer was found, suspected or removed.
    Peer {
        /// The peer.
        name: InstanceName,
        /// What it is now.
        state: &'static str,
    },
    /// A message of a peer was not valid.
    BadMessage(Box<str>),
}
