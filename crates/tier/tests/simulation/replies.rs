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
    pub(super) end: Option<End>,
    /// Signatures of the parts that another instance has gathered.
    pub(super) batch: Vec<Box<str>>,
}

/// What a search came to.
#[derive(Clone, Copy, Debug)]
pub(super) enum End {
    /// An answer with this share of the parts.
    Covered(f64),
    /// A refusal.
    Refused,
    /// A failure.
    Failed,
}

impl SimReply {
    /// Makes the reply of another instance that has gathered parts.
    pub(crate) fn gathered(batch: Vec<Box<str>>) -> Self {
        Self {
            signature: "own".to_owned(),
            body: Bytes::from_static(&[7; 16]),
            end: None,
            batch,
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
        self.batch.clone()
    }

    fn body(&self) -> &Bytes {
        &self.body
    }
}
