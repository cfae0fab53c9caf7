//! Searches: a file for each step, from the plan to the answer.
//!
//! [`plan`] admits a search and pins its snapshot, [`fan_out`] starts its parts or a probe,
//! [`attempts`] sends one sub-request, [`hedge`] looks at parts that are late, [`outcome`] takes
//! replies and failures, and [`finish`] gives the answer.

mod attempts;
mod fan_out;
mod finish;
mod hedge;
mod outcome;
mod plan;

use std::time::Duration;

use base::{EntryName, RequestId};
use bytes::Bytes;

/// Pause before upstreams that were tried are tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    First,
    Hedge,
    Retry,
}

/// A search as it arrives from a caller.
#[derive(Clone, Debug)]
pub(crate) struct NewSearch {
    pub(crate) request: RequestId,
    pub(crate) entry: EntryName,
    pub(crate) deadline: Option<Duration>,
    pub(crate) body: Bytes,
}

/// How an attempt of a search ended without a valid reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// No byte of it was sent.
    NotSent,
    /// The upstream takes no new work.
    Leaving,
    /// The upstream or its owner had no room.
    Overloaded,
    /// The upstream does not serve the snapshot.
    NoSnapshot,
    /// The connection broke while the upstream had the request.
    Broken,
    /// The reply was late or not valid.
    Invalid,
}
