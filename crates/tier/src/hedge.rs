//! Hedging: decides when a part without a reply is sent to a second upstream.
//!
//! Load pattern: each upstream pauses now and then, so that most searches over many shards hit a
//! paused one. The hedge has to be sent early enough to return in time, but not so early that
//! ordinary attempts are duplicated.

use std::time::Duration;

use base::Time;

use crate::latency::RouteLatency;

/// Maximum factor by which the hedge delay grows with the latency ratio of a slow upstream.
const MAX_LATENCY_RATIO: f64 = 2.0;

/// Time reserved for a hedge to complete before the soft deadline, in mean latencies.
const MEANS_TO_COMPLETE: u32 = 2;

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
    let delay = latency
        .hedge_delay(objective)
        .mul_f64(latency_ratio.clamp(1.0, MAX_LATENCY_RATIO));
    let latest = soft_deadline - latency.mean(objective) * MEANS_TO_COMPLETE;
    let wait = delay.min(latest.since(now)).max(MIN_DELAY);
    now + wait
}
