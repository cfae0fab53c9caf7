//! CPU time and memory of this process.

use std::{
    process::{Command, Stdio},
    time::Duration,
};

use crate::{fleet::Usage, sim::thread_cpu_time};

/// Runs `work` and returns its result and the CPU time that it took on this thread.
pub(super) fn cpu_timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let start = thread_cpu_time();
    let result = work();
    (result, thread_cpu_time().saturating_sub(start))
}

/// Returns the resident memory of this process, in bytes.
pub(super) fn resident_bytes() -> f64 {
    Usage::of(std::process::id()).map_or(0.0, |usage| usage.resident_bytes as f64)
}

/// Measures one point in a new process, so that memory allocated for other points does not count.
pub(super) fn measure_in_subprocess(bench: &str, size: usize) -> Result<Vec<f64>, std::io::Error> {
    let size = size.to_string();
    let output = Command::new(std::env::current_exe()?)
        .args(["bench", bench, "--size", size.as_str()])
        .stderr(Stdio::inherit())
        .output()?;
    let text = String::from_utf8_lossy(&output.stdout);
    let line = text.lines().last().unwrap_or_default();
    let values: Result<_, _> = line.split_whitespace().map(str::parse).collect();
    match values {
        Ok(values) if output.status.success() => Ok(values),
        _ => Err(std::io::Error::other(format!(
            "bench {bench} --size {size} failed or printed no values"
        ))),
    }
}

/// Converts a duration to microseconds.
pub(super) fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
