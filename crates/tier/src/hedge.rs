//! Hedging: decides when a part without a reply is sent to a second upstream.
//!
//! Load pattern: each upstream pauses now and then, so that most searches over many shards hit a
//! paused one. The hedge has to be sent early enough to return in time, but not so early that
//! ordinary attempts are duplicated: with an objective of a few mean latencies, every part would be
//! sent twice, and the second attempts would wait before the first ones of the next search. So a
//! part is hedged when it is late for its own upstream, a search hedges before their usual time
//! only as many parts as its instance has CPU time for, and none whose second reply would come
//! after the answer has left.

use std::time::Duration;

use base::Time;

use crate::{completion::Progress, latency::RouteLatency};

/// Maximum factor by which the hedge delay grows with the latency ratio of a slow upstream.
const MAX_LATENCY_RATIO: f64 = 2.0;

/// Time reserved for a hedge to complete before the soft deadline, in mean latencies.
const MEANS_TO_COMPLETE: u32 = 2;

/// Time before which an attempt is not late, in mean latencies of its upstream.
const MEANS_TO_BE_LATE: f64 = 0.5;

/// Share of the time left for a search that this instance may spend on hedges before their usual
/// time: the replies to its other parts, and other searches, need the rest.
const EARLY_SHARE: f64 = 0.1;

/// Minimum delay before a hedge.
const MIN_DELAY: Duration = Duration::from_millis(2);

/// Returns the time at which a part that is sent now is hedged.
///
/// `latency_ratio` is that of the upstream; `soft_deadline` is the time by which the part is
/// needed.
pub fn due(
    now: Time,
    latency: &RouteLatency,
    objective: Duration,
    latency_ratio: f64,
    soft_deadline: Time,
) -> Time {
    let delay = usual_delay(latency, objective, latency_ratio);
    let mean = latency.mean(objective);
    let latest = soft_deadline - mean * MEANS_TO_COMPLETE;
    let earliest = mean.mul_f64(MEANS_TO_BE_LATE * latency_ratio.clamp(1.0, MAX_LATENCY_RATIO));
    let wait = delay.min(latest.since(now).max(earliest)).max(MIN_DELAY);
    now + wait
}

/// Returns the time after which few attempts at an upstream are still without a reply.
fn usual_delay(latency: &RouteLatency, objective: Duration, latency_ratio: f64) -> Duration {
    let ratio = latency_ratio.clamp(1.0, MAX_LATENCY_RATIO);
    latency.hedge_delay(objective).mul_f64(ratio)
}

/// A part whose hedge is due, and its search.
#[derive(Clone, Copy, Debug)]
pub struct DuePart {
    /// Time since it was sent.
    pub waited: Duration,
    /// Latency ratio of its upstream.
    pub latency_ratio: f64,
    /// Time left until the search is answered with what it has, if that is enough.
    pub left: Duration,
    /// Time that this instance needs for one part.
    pub part_work: Duration,
    /// Extra attempts of the search so far.
    pub extra_attempts: usize,
    /// Progress of the search.
    pub progress: Progress,
}

/// Returns whether a part is hedged.
pub fn is_useful(part: &DuePart, latency: &RouteLatency, objective: Duration) -> bool {
    let progress = part.progress;
    if progress.answered >= progress.min_parts && latency.mean(objective) > part.left {
        return false;
    }
    let early_work = part.part_work * u32::try_from(part.extra_attempts).unwrap_or(u32::MAX);
    early_work < part.left.mul_f64(EARLY_SHARE)
        || part.waited >= usual_delay(latency, objective, part.latency_ratio)
}
