//! Stragglers: hedged against plain fan-out with one slow sub-request in a hundred.

use cat::Class;
use serde_json::json;

use super::{Error, Row, Target, WARM_UP, count, millis, searches};
use crate::{
    fleet::{EntryPlan, Fleet, FleetPlan, ServicePlan},
    load::{self, Latency, LoadModel},
    upstream::Params,
};

/// Shards of each search.
const FAN_OUT: usize = 100;
/// Searches a second.
const RATE: f64 = 60.0;
/// Duration of each load, in seconds.
const SECONDS: f64 = 25.0;

/// What one load cost.
struct Measured {
    latency: Latency,
    extra: f64,
    partial: f64,
}

/// Compares an entry without hedges with one that hedges, on the same upstreams.
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
    load::run(&searches(
        &fleet,
        "plain",
        LoadModel::OpenLoop(RATE),
        WARM_UP.as_secs_f64(),
    ))
    .await?;
    let plain = measure(&fleet, "plain").await?;
    let hedged = measure(&fleet, "hedged").await?;
    let tail = |name, after, before| {
        Row::new(
            format!("stragglers: {name} of an answer, ms"),
            millis(after),
            Target::None,
        )
        .against(millis(before))
    };
    Ok(vec![
        tail("p50", hedged.latency.p50, plain.latency.p50),
        Row {
            target: Target::RatioAtMost(0.5),
            ..tail("p99", hedged.latency.p99, plain.latency.p99)
        },
        tail("p99.9", hedged.latency.p999, plain.latency.p999),
        Row::new(
            "stragglers: extra sub-requests, %",
            hedged.extra,
            Target::AtMost(5.0),
        )
        .against(plain.extra),
        Row::new(
            "stragglers: answers not complete, %",
            hedged.partial,
            Target::None,
        )
        .against(plain.partial),
    ])
}

async fn measure(fleet: &Fleet, entry: &str) -> Result<Measured, Error> {
    let before = fleet.status(0).await?;
    let report = load::run(&searches(fleet, entry, LoadModel::OpenLoop(RATE), SECONDS)).await?;
    compio::time::sleep(std::time::Duration::from_millis(300)).await;
    let after = fleet.status(0).await?;
    let grown = |name| count(&after, name) - count(&before, name);
    let complete = report.coverage.full as f64;
    Ok(Measured {
        latency: report.statuses.get(&200).copied().unwrap_or_default(),
        extra: 100.0 * (grown("hedges") + grown("retries")) / grown("first_attempts"),
        partial: 100.0 * (1.0 - complete / report.all.count as f64),
    })
}
