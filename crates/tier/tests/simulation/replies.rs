//! Replies of simulated upstreams and instances.

use bytes::Bytes;
use tier::{Protocol, event::Reply};

/// What the simulated instances carry.
#[derive(Debug)]
pub(crate) struct Sim;

/// A reply with a signature of its own.
#[derive(Clone, Debug)]
pub(crate) struct SimReply {
    pub(super) signature: String,
    pub(super) body: Bytes,
    /// What another instance came to, if it is an answer of one.
    pub(super) result: Option<SearchResult>,
    /// Signatures of the parts that another instance has gathered.
    pub(super) part_signatures: Vec<Box<str>>,
}

/// What a search came to.
#[derive(Clone, Copy, Debug)]
pub(super) enum SearchResult {
    /// An answer with this share of the parts.
    Covered(f64),
    /// A refusal.
    Refused,
    /// A failure.
    Failed,
}

impl SimReply {
    /// Makes the reply of another instance that has gathered parts.
    pub(crate) fn gathered(signatures: Vec<Box<str>>) -> Self {
        Self {
            signature: "own".to_owned(),
            body: Bytes::from_static(&[7; 16]),
            result: None,
            part_signatures: signatures,
        }
    }
}

impl Protocol for Sim {
    type Request = ();
    type Reply = SimReply;
}

impl Reply for SimReply {
    fn is_success(&self) -> bool {
        true
    }

    fn signature(&self) -> Option<&str> {
        Some(&self.signature)
    }

    fn signatures(&self) -> Vec<Box<str>> {
        self.part_signatures.clone()
    }

    fn body(&self) -> &Bytes {
        &self.body
    }
}
