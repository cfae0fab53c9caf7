//! Attempts: one request to one upstream, from its start to its end.

use base::{AttemptId, InstanceName, RequestId, Time};
use slotmap::{Key, KeyData, SlotMap, new_key_type};

use crate::{directory::UpstreamId, protocol::SubRequest};

new_key_type! {
    /// Key of an attempt that has not ended.
    pub struct AttemptKey;
    /// Key of a search in hand.
    pub struct SearchKey;
}

impl AttemptKey {
    /// Returns the identifier that events and effects use.
    pub fn id(self) -> AttemptId {
        AttemptId(self.data().as_ffi())
    }

    /// Returns the key of an identifier; the key of an ended attempt is found nowhere.
    pub fn from_id(id: AttemptId) -> Self {
        KeyData::from_ffi(id.0).into()
    }
}

/// What an attempt is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// One part of a search in hand.
    Search {
        /// The search.
        search: SearchKey,
        /// Position of the shard in the snapshot.
        part: u32,
    },
    /// A sub-request that another instance relayed to this one.
    Peer {
        /// The instance that asked.
        from: InstanceName,
        /// The attempt as that instance numbers it.
        attempt: u64,
    },
    /// A request of the once class.
    Run {
        /// The caller's request.
        request: RequestId,
    },
}

/// How far an attempt is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waits for a slot of the upstream.
    Queued,
    /// Sent to the upstream; holds a slot.
    Sent,
    /// Handed to the instance that owns the upstream.
    Relayed(InstanceName),
    /// Cancelled after it was sent; holds its slot until the connection is free or closed.
    Cancelled,
}

/// One attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// What it is for.
    pub origin: Origin,
    /// The upstream that is asked.
    pub upstream: UpstreamId,
    /// When it was made.
    pub started: Time,
    /// When it was sent to the upstream.
    pub sent: Time,
    /// When its result is of no more use.
    pub deadline: Time,
    /// How far it is.
    pub stage: Stage,
    /// Digest of service and body.
    pub fingerprint: u64,
    /// Whether it tries out a request that may break upstreams.
    pub probe: bool,
    /// Times that it was relayed before it came to this instance.
    pub hops: u32,
    /// The request of the once class that it carries; `None` for a search.
    pub run: Option<RequestId>,
    /// The request, until it is sent.
    pub sub_request: Option<SubRequest>,
}

impl Attempt {
    /// Returns whether it carries a request that no upstream may have answered before.
    pub fn is_suspect(&self) -> bool {
        self.probe || self.run.is_some()
    }
}

/// All attempts that have not ended.
pub type Attempts = SlotMap<AttemptKey, Attempt>;
