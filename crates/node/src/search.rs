//! Searches, with a module for each step.
//!
//! [`plan`] admits a search and chooses its snapshot, [`fan_out`] starts its parts or a probe,
//! [`attempts`] makes attempts at a part, [`hedge`] sends hedges and retries for late parts,
//! [`outcome`] handles replies and failures, and [`finish`] answers the caller.

mod attempts;
mod fan_out;
mod finish;
mod hedge;
mod outcome;
mod plan;

use std::time::Duration;

use base::{EntryName, RequestId};
use bytes::Bytes;

/// Pause before a part is retried when no upstream or no retry budget is left.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    First,
    Hedge,
    Retry,
}

/// A search as received from a caller.
#[derive(Clone, Debug)]
pub(crate) struct NewSearch {
    pub(crate) request: RequestId,
    pub(crate) entry: EntryName,
    pub(crate) deadline: Option<Duration>,
    pub(crate) body: Bytes,
}

/// Why an attempt ended without a valid reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// No byte of the request was sent.
    NotSent,
    /// The upstream is leaving and accepts no new requests.
    Leaving,
    /// The upstream refused, or its owner expects too long a wait for a slot.
    Overloaded,
    /// The upstream does not serve the snapshot.
    NoSnapshot,
    /// The connection broke after bytes of the request may have been sent, or the request is known
    /// to break the upstream.
    Broken,
    /// The reply was late, invalid, or will not arrive.
    Invalid,
}
