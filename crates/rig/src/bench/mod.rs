//! Benches that sweep one size and fit a line through what was measured.
//!
//! Each gives figures of `docs/CAPACITY.md`; `briarcove-rig bench <name>` runs one.

mod catalogue;
mod connections;
mod control;
mod faults;
mod members;
mod meter;
mod scale;
mod shards;
mod solo;
mod sweep;
mod sync;

use snafu::Snafu;

use crate::fleet;

/// Why a bench did not run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// There is no bench of that name.
    #[snafu(display("no bench is named {name:?}; the benches are {}", NAMES.join(", ")))]
    Unknown {
        /// Name that was given.
        name: Box<str>,
    },
    /// A stand-in did not start.
    #[snafu(transparent)]
    Fleet {
        /// Cause.
        source: fleet::Error,
    },
    /// A runtime or a file could not be had.
    #[snafu(transparent)]
    Io {
        /// Cause.
        source: std::io::Error,
    },
}

/// Names of the benches.
const NAMES: [&str; 7] = [
    "members",
    "control",
    "catalogue",
    "shards",
    "connections",
    "sync",
    "faults",
];

/// Runs a bench and prints its points and fits.
///
/// # Errors
///
/// Fails when there is no such bench or a stand-in does not start.
pub fn run(name: &str) -> Result<(), Error> {
    match name {
        "members" => members::run(),
        "control" => control::run(),
        "catalogue" => catalogue::run(),
        "shards" => shards::run(),
        "connections" => return connections::run(),
        "sync" => sync::run(),
        "faults" => faults::run(),
        _ => return UnknownSnafu { name }.fail(),
    }
    Ok(())
}
