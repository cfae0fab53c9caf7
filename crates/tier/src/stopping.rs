//! Stopping: the requests that an instance still starts shortly before its process ends.
//!
//! Load pattern: callers send on connections that they have kept, until the process is gone. What is
//! at an upstream at the end of the grace period ends without a reply, and a request that must not be
//! repeated is lost to its caller. So requests that would not end in time are refused at once, as
//! other instances serve them.

use std::time::Duration;

use base::Time;

/// Latency within which a request is taken to end, in means of its kind.
const MAX_MEANS: f64 = 2.0;

/// Returns whether a request that starts now is likely to end before the process does: within its
/// objective, or within what requests of its kind take if that is longer.
pub fn may_start(now: Time, stops_at: Time, objective: Duration, mean_latency: Duration) -> bool {
    now + objective.max(mean_latency.mul_f64(MAX_MEANS)) <= stops_at
}
