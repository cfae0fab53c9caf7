//! Benches that sweep one size and fit a line through what was measured.
//!
//! Each gives figures of `docs/CAPACITY.md`; `briarcove-rig bench <name>` runs one.

mod catalogue;
mod connections;
mod control;
mod faults;
mod members;
mod meter;
mod node_harness;
mod relay;
mod scale;
mod shards;
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
    /// A load did not start.
    #[snafu(transparent)]
    Load {
        /// Cause.
        source: crate::load::Error,
    },
    /// An instance gave no status.
    #[snafu(transparent)]
    Report {
        /// Cause.
        source: crate::report::Error,
    },
    /// A runtime or a file could not be had.
    #[snafu(transparent)]
    Io {
        /// Cause.
        source: std::io::Error,
    },
}

/// Names of the benches.
const NAMES: [&str; 8] = [
    "members",
    "control",
    "catalogue",
    "shards",
    "connections",
    "sync",
    "faults",
    "relay",
];

/// Runs a bench and prints its points and fits, or the one point of a size.
///
/// # Errors
///
/// Fails when there is no such bench or a stand-in does not start.
pub fn run(name: &str, size: Option<usize>) -> Result<(), Error> {
    if let Some(size) = size {
        return print_point(name, size);
    }
    match name {
        "members" => members::run()?,
        "control" => control::run()?,
        "catalogue" => catalogue::run(),
        "shards" => shards::run(),
        "connections" => connections::run()?,
        "sync" => sync::run(),
        "faults" => faults::run(),
        "relay" => relay::run()?,
        _ => return UnknownSnafu { name }.fail(),
    }
    Ok(())
}

/// Measures one point of the benches whose points need a process of their own.
fn print_point(name: &str, size: usize) -> Result<(), Error> {
    let values = match name {
        "members" => members::measure(size).to_vec(),
        "control" => control::measure(size).to_vec(),
        "connections" => connections::measure(size)?.to_vec(),
        _ => return UnknownSnafu { name }.fail(),
    };
    let values: Vec<String> = values.iter().map(f64::to_string).collect();
    println!("{}", values.join(" "));
    Ok(())
}
