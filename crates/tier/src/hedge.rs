//! When a part that has not come is asked of another upstream.
//!
//! Load pattern: each upstream pauses now and then, so that most searches over many shards meet
//! one that stands still. The second attempt has to go out early enough to be back in time, and not
//! so early that usual attempts are doubled.

use std::time::Duration;

use base::Time;

use crate::latency::RouteLatency;

/// Attempts that are slower than usual are waited for longer, up to this ratio.
const MAX_LATENCY_RATIO: f64 = 2.0;

/// Means that an attempt needs to be back in time.
const MEANS_TO_COMPLETE: u32 = 2;

/// Shortest wait before a second attempt.
const MIN_DELAY: Duration = Duration::from_millis(2);

/// Returns the time at which a part that is sent now is late.
///
/// `pace` is how slow the upstream is, `soft_end` the time by which the part has to be in.
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
