//! Completion of a search: decides when it is answered or fails.
//!
//! Load pattern: a few shards are too slow, and waiting for them risks that the whole answer misses
//! the objective. A search waits for missing parts until its soft deadline, the last moment at
//! which its answer still arrives within the objective, and after that only until the minimum
//! coverage is reached.

use std::time::Duration;

use base::Time;

/// Progress of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Number of all parts, including skipped ones.
    pub asked: usize,
    /// Number of parts that have been received.
    pub answered: usize,
    /// Number of parts that were skipped or have failed.
    pub lost: usize,
    /// Minimum number of parts of a successful answer.
    pub min_parts: usize,
}

/// The decision about a pending search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Wait for more parts.
    Wait,
    /// Answer with the parts received so far.
    Answer,
    /// Fail: the minimum coverage can no longer be reached.
    GiveUp,
}

/// Decides whether a search waits, is answered or fails.
pub fn decide(now: Time, soft_deadline: Time, progress: Progress) -> Decision {
    let open = progress.asked - progress.answered - progress.lost;
    let enough = progress.answered >= progress.min_parts && progress.answered > 0;
    if enough && (open == 0 || now >= soft_deadline) {
        return Decision::Answer;
    }
    if progress.answered + open < progress.min_parts.max(1) {
        return Decision::GiveUp;
    }
    Decision::Wait
}

/// Returns the time from which a search is answered with the parts received so far, if they are
/// enough.
///
/// `elapsed` is the time since the caller's first request, `delay` the network delay between caller
/// and instance.
pub fn soft_deadline(now: Time, objective: Duration, elapsed: Duration, delay: Duration) -> Time {
    now + objective.saturating_sub(elapsed).saturating_sub(delay)
}
