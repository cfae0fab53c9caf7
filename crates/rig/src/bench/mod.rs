//! Benches that sweep one size and fit a line through the measured points.
//!
//! `briarcove-rig bench <name>` runs one; the results are the source of figures in
//! `docs/CAPACITY.md`.

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

/// Why a bench failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The name of the bench is unknown.
    #[snafu(display("unknown bench {name:?}; the benches are {}", NAMES.join(", ")))]
    Unknown {
        /// Unknown name.
        name: Box<str>,
    },
    /// The fleet did not start or an operation on it failed.
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
    /// The status of an instance could not be read.
    #[snafu(transparent)]
    Report {
        /// Cause.
        source: crate::report::Error,
    },
    /// The runtime did not start, or a subprocess failed.
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

/// Runs a bench and prints its points and fits, or with a size only the point of that size.
///
/// # Errors
///
/// Fails when the name is unknown or the bench fails.
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

/// Measures and prints one point of a bench that measures each point in a process of its own.
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
