//! Attempts: one request to one upstream, from creation to its outcome.

use base::{AttemptId, InstanceName, RequestId, Time};
use slotmap::{Key, KeyData, SlotMap, new_key_type};

use crate::{directory::UpstreamId, protocol::SubRequest};

new_key_type! {
    /// Key of an unfinished attempt.
    pub struct AttemptKey;
    /// Key of a pending search.
    pub struct SearchKey;
}

impl AttemptKey {
    /// Returns the identifier of the attempt in events and effects.
    pub fn id(self) -> AttemptId {
        AttemptId(self.data().as_ffi())
    }

    /// Returns the key for an identifier; it finds nothing if the attempt has ended.
    pub fn from_id(id: AttemptId) -> Self {
        KeyData::from_ffi(id.0).into()
    }
}

/// Origin of an attempt, which receives its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A part of a pending search.
    Search {
        /// The search.
        search: SearchKey,
        /// Index of the shard in the snapshot.
        part: u32,
    },
    /// A sub-request that another instance relayed to this one.
    Peer {
        /// The instance that relayed it.
        from: InstanceName,
        /// Number that the relaying instance gave the attempt.
        attempt: u64,
    },
    /// A request of the once class.
    Run {
        /// The caller's request.
        request: RequestId,
    },
}

/// Progress of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waiting for a slot of the upstream.
    Queued,
    /// Sent to the upstream; occupies a slot.
    Sent,
    /// Relayed to another instance, the owner of the upstream or one closer to it.
    Relayed(InstanceName),
    /// Cancelled after it was sent; occupies its slot until the connection is idle or closed.
    Cancelled,
}

/// One attempt at one upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Who receives the outcome.
    pub origin: Origin,
    /// Target of the attempt.
    pub upstream: UpstreamId,
    /// When the attempt was created.
    pub started: Time,
    /// When it was sent to the upstream or relayed.
    pub sent: Time,
    /// Time after which the result is not needed.
    pub deadline: Time,
    /// Progress of the attempt.
    pub stage: Stage,
    /// Digest of service and body, see [`fingerprint`](crate::quarantine::fingerprint).
    pub fingerprint: u64,
    /// Whether it is a probe of a request that may crash upstreams.
    pub probe: bool,
    /// Number of relays on the way to this instance.
    pub hops: u32,
    /// Identifier of the request if it is of the once class; `None` for a search.
    pub run: Option<RequestId>,
    /// The request; taken out when it is sent or relayed.
    pub sub_request: Option<SubRequest>,
}

impl Attempt {
    /// Returns whether the attempt may crash its upstream: a probe, or any request of the once
    /// class.
    pub fn is_suspect(&self) -> bool {
        self.probe || self.run.is_some()
    }
}

/// All unfinished attempts.
pub type Attempts = SlotMap<AttemptKey, Attempt>;
