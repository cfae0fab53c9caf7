//! Experiments that measure the targets of the policy on a fleet of separate processes, with
//! baselines from the same build.

mod classes;
mod configuration;
mod crashing;
mod leaving;
mod once;
mod scarce;
mod snapshots;
mod speed;
mod stragglers;
mod table;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use serde_json::Value;
use snafu::{ResultExt, Snafu};

pub use table::{Row, Target};

use crate::{
    fleet::{self, Fleet},
    load::{self, Config, Kind, LoadModel},
    upstream,
};

/// Experiments in the order in which they run.
pub const EXPERIMENTS: [&str; 9] = [
    "speed",
    "stragglers",
    "scarce",
    "classes",
    "crashing",
    "leaving",
    "once",
    "configuration",
    "snapshots",
];

/// Bodies of searches.
const BODIES: [&str; 4] = [
    r#"{"query":"harpist cardiff"}"#,
    r#"{"query":"male voice choir wedding"}"#,
    r#"{"query":"certified transcript fraud trial"}"#,
    r#"{"query":"custody hearing riga"}"#,
];

/// Number of connections of a load.
const CONNECTIONS: usize = 512;

/// Duration of the load before a measurement, in which instances learn the latencies of shards.
const WARM_UP: Duration = Duration::from_secs(2);

/// Why an experiment failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The name of an experiment is unknown.
    #[snafu(display("unknown experiment {name:?}; the experiments are {EXPERIMENTS:?}"))]
    Name {
        /// Unknown name.
        name: Box<str>,
    },
    /// The fleet did not start or an operation on it failed.
    #[snafu(transparent)]
    Fleet {
        /// Cause.
        source: fleet::Error,
    },
    /// The load did not start.
    #[snafu(transparent)]
    Load {
        /// Cause.
        source: load::Error,
    },
    /// The report of an upstream is not valid.
    #[snafu(display("the report of an upstream is not valid: {source}"))]
    Record {
        /// Cause.
        source: serde_json::Error,
    },
}

/// Runs the experiments named in `only`, or all if it is empty, and prints their rows.
///
/// # Errors
///
/// Fails when a name is unknown or an experiment fails.
pub async fn run(only: &[String]) -> Result<(), Error> {
    let unknown = |name: &&String| !EXPERIMENTS.contains(&name.as_str());
    if let Some(name) = only.iter().find(unknown) {
        let name: Box<str> = name.as_str().into();
        return NameSnafu { name }.fail();
    }
    let is_selected = |name: &&str| only.is_empty() || only.iter().any(|n| n == name);
    println!("| measure | before | after | ratio | target | verdict |");
    println!("|---|---|---|---|---|---|");
    for name in EXPERIMENTS.into_iter().filter(is_selected) {
        eprintln!("running {name} ...");
        for row in run_experiment(name).await? {
            println!("{row}");
        }
    }
    Ok(())
}

async fn run_experiment(name: &str) -> Result<Vec<Row>, Error> {
    match name {
        "speed" => speed::run().await,
        "scarce" => scarce::run().await,
        "classes" => classes::run().await,
        "crashing" => crashing::run().await,
        "leaving" => leaving::run().await,
        "once" => once::run().await,
        "configuration" => configuration::run().await,
        "snapshots" => snapshots::run().await,
        _ => stragglers::run().await,
    }
}

/// Returns the settings of a load of searches through all instances.
pub(crate) fn search_load(fleet: &Fleet, entry: &str, model: LoadModel, seconds: f64) -> Config {
    Config {
        targets: fleet.instances.iter().map(|i| i.caller_address).collect(),
        entry: entry.parse().expect("a valid entry name"),
        kind: Kind::Search,
        model,
        connections: CONNECTIONS,
        duration: Duration::from_secs_f64(seconds),
        count: u64::MAX,
        bodies: BODIES.map(Bytes::from).into(),
        deadline: None,
        seed: 1,
        keep_replies: false,
    }
}

/// Returns the counter `name` in the status of an instance; not a number when it is absent.
fn status_count(status: &Value, name: &str) -> f64 {
    status["counts"][name].as_f64().unwrap_or(f64::NAN)
}

/// Returns the sum over all instances of each of the counters `names` in their statuses.
pub(crate) async fn sum_counts(fleet: &Fleet, names: &[&str]) -> Result<Vec<f64>, Error> {
    let mut sums = vec![0.0; names.len()];
    for index in 0..fleet.instances.len() {
        let status = fleet.status(index).await?;
        for (sum, name) in sums.iter_mut().zip(names) {
            *sum += status_count(&status, name);
        }
    }
    Ok(sums)
}

/// Reads the report of an upstream.
async fn upstream_report(upstream: SocketAddr) -> Result<upstream::Report, Error> {
    let record = fleet::get_json(upstream, "/control").await?;
    serde_json::from_value(record).context(RecordSnafu)
}

/// Converts microseconds to milliseconds.
fn micros_to_millis(micros: u64) -> f64 {
    Duration::from_micros(micros).as_secs_f64() * 1_000.0
}
