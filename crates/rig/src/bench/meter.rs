//! Processor time and memory of this process.

use std::time::Duration;

use crate::{fleet::Usage, sim::thread_time};

/// Returns the processor time that some work takes, with its result.
pub(super) fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let start = thread_time();
    let result = work();
    (result, thread_time().saturating_sub(start))
}

/// Returns the resident memory of this process, in bytes.
pub(super) fn resident() -> f64 {
    Usage::of(std::process::id()).map_or(0.0, |usage| usage.resident as f64)
}

/// Returns a span in microseconds.
pub(super) fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
