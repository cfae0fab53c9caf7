//! Runs an entry instance.

use snafu::Snafu;

/// Why an instance does not run.
#[derive(Debug, Snafu)]
#[snafu(display("this build has no entry instance"))]
pub struct Error;

/// Runs an instance until it is drained.
///
/// # Errors
///
/// Always fails in this build.
pub fn run(_cfg: cat::Settings, _log: slog::Logger) -> Result<(), Error> {
    Err(Error)
}
