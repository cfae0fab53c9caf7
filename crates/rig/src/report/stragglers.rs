//! Experiment `stragglers`: fan-out with hedging against fan-out without it, when one in a hundred
//! sub-requests is slow.

use cat::Class;
use serde_json::json;

use super::{Error, Row, Target, WARM_UP, micros_to_millis, search_load, status_count};
use crate::{
    fleet::{EntryPlan, Fleet, FleetPlan, ServicePlan},
    load::{self, Latency, LoadModel},
    upstream::Params,
};

/// Shards of each search.
const FAN_OUT: usize = 100;
/// Searches per second.
const RATE: f64 = 60.0;
/// Duration of each load, in seconds.
const SECONDS: f64 = 25.0;

/// Latency, extra sub-requests and incomplete answers of one load.
struct Measurement {
    latency: Latency,
    extra_percent: f64,
    partial_percent: f64,
}

/// Compares an entry without hedging with one that hedges, on the same upstreams.
pub(super) async fn run() -> Result<Vec<Row>, Error> {
    let entry = |name: &str, hedge: &str| EntryPlan {
        name: name.into(),
        class: Class::Latency,
        limits: json!({ "hedge": hedge }),
    };
    let service = ServicePlan {
        upstreams: 20,
        shards: FAN_OUT,
        threads: 4,
        entries: vec![entry("plain", "0%"), entry("hedged", "5%")],
        params: Params {
            slots: 64,
            service_us: 5_000,
            slow_every: 100,
            slow_factor: 10,
            ..Params::default()
        },
        ..ServicePlan::default()
    };
    let plan = FleetPlan {
        services: vec![service],
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan).await?;
    load::run(&search_load(
        &fleet,
        "plain",
        LoadModel::OpenLoop(RATE),
        WARM_UP.as_secs_f64(),
    ))
    .await?;
    let plain = measure(&fleet, "plain").await?;
    let hedged = measure(&fleet, "hedged").await?;
    let latency_row = |name, value, baseline| {
        Row::new(
            format!("stragglers: {name} of an answer, ms"),
            micros_to_millis(value),
            Target::None,
        )
        .with_baseline(micros_to_millis(baseline))
    };
    Ok(vec![
        latency_row("p50", hedged.latency.p50, plain.latency.p50),
        Row {
            target: Target::RatioAtMost(0.5),
            ..latency_row("p99", hedged.latency.p99, plain.latency.p99)
        },
        latency_row("p99.9", hedged.latency.p999, plain.latency.p999),
        Row::new(
            "stragglers: extra sub-requests, %",
            hedged.extra_percent,
            Target::AtMost(5.0),
        )
        .with_baseline(plain.extra_percent),
        Row::new(
            "stragglers: answers not complete, %",
            hedged.partial_percent,
            Target::None,
        )
        .with_baseline(plain.partial_percent),
    ])
}

async fn measure(fleet: &Fleet, entry: &str) -> Result<Measurement, Error> {
    let before = fleet.status(0).await?;
    let report = load::run(&search_load(
        fleet,
        entry,
        LoadModel::OpenLoop(RATE),
        SECONDS,
    ))
    .await?;
    compio::time::sleep(std::time::Duration::from_millis(300)).await;
    let after = fleet.status(0).await?;
    let increase = |name| status_count(&after, name) - status_count(&before, name);
    let complete = report.coverage.full as f64;
    Ok(Measurement {
        latency: report.statuses.get(&200).copied().unwrap_or_default(),
        extra_percent: 100.0 * (increase("hedges") + increase("retries"))
            / increase("first_attempts"),
        partial_percent: 100.0 * (1.0 - complete / report.all.count as f64),
    })
}
