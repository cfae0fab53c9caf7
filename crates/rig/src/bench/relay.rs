//! Bench `relay`: CPU time of a sub-request over all instances, by their number, measured with
//! searches through a fleet of processes.
//!
//! A single instance sends every sub-request directly to its upstream. With n instances about one
//! in n sub-requests is sent directly and the others go through the owners of the upstreams.

use std::time::Duration;

use compio::runtime::Runtime;
use serde_json::json;

use super::{Error, meter::micros, sweep::Sweep};
use crate::{
    fleet::{Fleet, FleetPlan, ServicePlan},
    load::{self, LoadModel},
    report::{search_load, sum_counts},
    upstream::Params,
};

/// Shards of each search.
const SHARDS: usize = 100;

/// Searches per second.
const RATE: f64 = 20.0;

/// Duration of the load, in seconds.
const SECONDS: f64 = 10.0;

/// Counters of the statuses of instances that are read.
const COUNTS: [&str; 2] = ["first_attempts", "relayed"];

/// Sweeps the instances of one data centre.
pub(super) fn run() -> Result<(), Error> {
    let columns = [
        "us/sub-request",
        "relayed share",
        "sub-requests/s",
        "idle us/s each",
        "MB resident",
    ];
    let mut sweep = Sweep::new("searches of 100 shards", "instances", &columns);
    for instances in [1, 2, 4, 8] {
        sweep.add(instances, &Runtime::new()?.block_on(measure(instances))?);
    }
    sweep.finish();
    Ok(())
}

async fn measure(instances: usize) -> Result<[f64; 5], Error> {
    let service = ServicePlan {
        upstreams: 24,
        shards: SHARDS,
        limits: json!({ "deadline": "2s", "rate": "100000/s", "hedge": "0%" }),
        params: Params {
            slots: 64,
            ..Params::default()
        },
        ..ServicePlan::default()
    };
    let fleet = Fleet::start(FleetPlan {
        data_centres: vec![("a".into(), instances)],
        services: vec![service],
        ..FleetPlan::default()
    })
    .await?;
    let idle_period = Duration::from_secs(3);
    compio::time::sleep(idle_period).await;
    let idle_start = cpu_time(&fleet);
    compio::time::sleep(idle_period).await;
    let idle_load = (cpu_time(&fleet) - idle_start).as_secs_f64() / idle_period.as_secs_f64();
    let (start, before) = (cpu_time(&fleet), sum_counts(&fleet, &COUNTS).await?);
    load::run(&search_load(
        &fleet,
        "contracts-latency",
        LoadModel::OpenLoop(RATE),
        SECONDS,
    ))
    .await?;
    let cpu_seconds = (cpu_time(&fleet) - start).as_secs_f64() - idle_load * SECONDS;
    let after = sum_counts(&fleet, &COUNTS).await?;
    let (sent, relayed) = (after[0] - before[0], after[1] - before[1]);
    let resident = fleet.instances[0].process.usage().map(|u| u.resident_bytes);
    Ok([
        micros(Duration::from_secs_f64(cpu_seconds.max(0.0))) / sent,
        relayed / sent,
        sent / SECONDS,
        idle_load * 1e6 / instances as f64,
        resident.unwrap_or(0) as f64 / 1e6,
    ])
}

/// Returns the CPU time of all instances.
fn cpu_time(fleet: &Fleet) -> Duration {
    let usage = |i: &crate::fleet::Instance| i.process.usage().unwrap_or_default();
    fleet.instances.iter().map(|i| usage(i).cpu).sum()
}
