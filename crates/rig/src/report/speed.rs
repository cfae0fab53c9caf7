//! Experiment `speed`: throughput per core, tail latency, overhead and memory of one instance.

use std::time::Duration;

use serde_json::json;

use super::{Error, Row, Target, WARM_UP, micros_to_millis, search_load, status_count};
use crate::{
    fleet::{Fleet, FleetPlan, ServicePlan, Usage},
    load::{self, LoadModel},
    upstream::Params,
};

/// Shards of each search and the number of searches in flight.
const FAN_OUTS: [(usize, usize); 4] = [(1, 16), (10, 16), (100, 8), (700, 4)];
/// Duration of each load, in seconds.
const SECONDS: f64 = 8.0;
/// Service time of upstreams in the measurement of the overhead, in microseconds.
const SERVICE_US: u64 = 5_000;
/// Searches per second in the measurement of the overhead.
const MODERATE_RATE: f64 = 50.0;
/// Bytes in a megabyte.
const BYTES_PER_MB: f64 = 1e6;

/// Measures an instance under full load at each fan-out, and its overhead under moderate load.
pub(super) async fn run() -> Result<Vec<Row>, Error> {
    let mut rows = Vec::new();
    for (fan_out, in_flight) in FAN_OUTS {
        rows.extend(saturate(fan_out, in_flight).await?);
    }
    rows.extend(overhead().await?);
    Ok(rows)
}

async fn start(shards: usize, service_us: u64) -> Result<Fleet, Error> {
    let service = ServicePlan {
        upstreams: 12,
        threads: 4,
        shards,
        documents: 2_000,
        limits: json!({ "deadline": "2s", "rate": "100000/s", "hedge": "0%", "results": 10 }),
        params: Params {
            slots: 128,
            service_us,
            ..Params::default()
        },
        ..ServicePlan::default()
    };
    let plan = FleetPlan {
        services: vec![service],
        ..FleetPlan::default()
    };
    Ok(Fleet::start(plan).await?)
}

/// Measures one instance in a closed loop that saturates it.
async fn saturate(fan_out: usize, in_flight: usize) -> Result<Vec<Row>, Error> {
    let fleet = start(fan_out, 0).await?;
    let cfg = |seconds| load::Config {
        connections: in_flight,
        ..search_load(&fleet, "contracts-latency", LoadModel::ClosedLoop, seconds)
    };
    load::run(&cfg(WARM_UP.as_secs_f64())).await?;
    let (status_before, usage_before) = (fleet.status(0).await?, usage(&fleet));
    let report = load::run(&cfg(SECONDS)).await?;
    let cpu_seconds = (usage(&fleet).cpu - usage_before.cpu).as_secs_f64();
    compio::time::sleep(Duration::from_millis(300)).await;
    let sub_requests = status_count(&fleet.status(0).await?, "first_attempts")
        - status_count(&status_before, "first_attempts");
    let answered = report.statuses.get(&200).copied().unwrap_or_default();
    let row = |name: &str, value, target| {
        Row::new(format!("speed: fan-out {fan_out}: {name}"), value, target)
    };
    let rate_target = if fan_out >= 100 {
        Target::AtLeast(30_000.0)
    } else {
        Target::None
    };
    Ok(vec![
        row(
            "queries/s",
            answered.count as f64 / report.seconds,
            Target::None,
        ),
        row(
            "sub-requests/s",
            sub_requests / report.seconds,
            Target::None,
        ),
        row(
            "sub-requests a second of one core",
            sub_requests / cpu_seconds,
            rate_target,
        ),
        row(
            "processor in use, cores",
            cpu_seconds / report.seconds,
            Target::None,
        ),
        row(
            "p50 of an answer, ms",
            micros_to_millis(answered.p50),
            Target::None,
        ),
        row(
            "p99 of an answer, ms",
            micros_to_millis(answered.p99),
            Target::None,
        ),
        row(
            "p99.9 of an answer, ms",
            micros_to_millis(answered.p999),
            Target::None,
        ),
        row(
            "resident memory, MB",
            usage(&fleet).resident_bytes as f64 / BYTES_PER_MB,
            Target::AtMost(128.0),
        ),
    ])
}

/// Returns the CPU time and memory of the instance.
fn usage(fleet: &Fleet) -> Usage {
    fleet.instances[0].process.usage().unwrap_or_default()
}

/// Measures the latency that the instance adds to the service time of the upstreams.
async fn overhead() -> Result<Vec<Row>, Error> {
    let fleet = start(100, SERVICE_US).await?;
    let cfg = |seconds| {
        search_load(
            &fleet,
            "contracts-latency",
            LoadModel::OpenLoop(MODERATE_RATE),
            seconds,
        )
    };
    load::run(&cfg(WARM_UP.as_secs_f64())).await?;
    let report = load::run(&cfg(20.0)).await?;
    let answered = report.statuses.get(&200).copied().unwrap_or_default();
    let overhead_ms = |latency| micros_to_millis(latency) - micros_to_millis(SERVICE_US);
    Ok(vec![
        Row::new(
            "speed: fan-out 100: overhead at p50, ms",
            overhead_ms(answered.p50),
            Target::None,
        ),
        Row::new(
            "speed: fan-out 100: overhead at p99, ms",
            overhead_ms(answered.p99),
            Target::AtMost(2.0),
        ),
    ])
}
