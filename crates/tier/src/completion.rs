//! When a search ends.
//!
//! Load pattern: a few shards are too late, and each moment of waiting for them risks the whole
//! answer's usefulness. A search waits for missing parts until the moment at which its answer still
//! arrives within the objective, and after that only until the least coverage is reached.

use std::time::Duration;

use base::Time;

/// What is known of a search's progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Parts that were asked for.
    pub asked: usize,
    /// Parts that are in.
    pub answered: usize,
    /// Parts that can't come any more.
    pub lost: usize,
    /// Fewest parts of a success.
    pub min_parts: usize,
}

/// What becomes of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It goes on.
    Wait,
    /// It is answered with the parts that are in.
    Answer,
    /// Its least coverage can't be reached any more.
    GiveUp,
}

/// Decides about a search.
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

/// Returns the time at which a search is answered with what is in.
///
/// `elapsed` is the time since the caller first asked, `delay` the time on the way.
pub fn soft_deadline(now: Time, objective: Duration, elapsed: Duration, delay: Duration) -> Time {
    now + objective.saturating_sub(elapsed).saturating_sub(delay)
}
