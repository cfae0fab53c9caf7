//! Experiment `crashing`: upstreams that a request crashes before it is quarantined, and the effect
//! on other requests.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join;
use serde_json::json;

use super::{Error, Row, Target, WARM_UP, micros_to_millis, search_load, upstream_report};
use crate::{
    fleet::{Fleet, FleetPlan, ServicePlan, control},
    load::{self, LoadModel},
    upstream::Params,
};

/// Text in a request that crashes an upstream.
const CRASH_MARKER: &str = "break-the-parser";
/// Duration of the load, in seconds; shorter than a quarantine, so that none expires meanwhile.
const SECONDS: f64 = 15.0;
/// Copies of the crashing request in flight at once in the initial burst.
const BURST_CONNECTIONS: usize = 12;
/// Copies of the crashing request in the initial burst.
const BURST_COUNT: u64 = 240;
/// Copies of the crashing request per second after the burst.
const REPEAT_RATE: f64 = 300.0;
/// Other searches per second.
const RATE: f64 = 60.0;

/// Sends the same crashing request repeatedly through all instances, along with ordinary searches.
pub(super) async fn run() -> Result<Vec<Row>, Error> {
    let mut rows = measure(&["a"]).await?;
    rows.extend(measure(&["a", "b"]).await?);
    Ok(rows)
}

async fn measure(data_centres: &[&str]) -> Result<Vec<Row>, Error> {
    let service = ServicePlan {
        upstreams: 12,
        shards: 24,
        params: Params {
            slots: 16,
            service_us: 2_000,
            ..Params::default()
        },
        ..ServicePlan::default()
    };
    let plan = FleetPlan {
        data_centres: data_centres
            .iter()
            .map(|dc| ((*dc).into(), 6 / data_centres.len()))
            .collect(),
        services: vec![service],
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan).await?;
    for upstream in &fleet.upstreams {
        let marker = json!({ "crash_marker": CRASH_MARKER, "restart_ms": 300 });
        control(upstream.address, &marker).await?;
    }
    let ordinary = search_load(
        &fleet,
        "contracts-latency",
        LoadModel::OpenLoop(RATE),
        SECONDS,
    );
    let undisturbed = load::Config {
        duration: Duration::from_secs_f64(SECONDS / 3.0),
        ..ordinary.clone()
    };
    let warm_up = load::Config {
        duration: WARM_UP,
        ..ordinary.clone()
    };
    load::run(&warm_up).await?;
    let undisturbed = load::run(&undisturbed).await?;
    let repeated = load::Config {
        bodies: vec![Bytes::from(format!(r#"{{"query":"{CRASH_MARKER}"}}"#))],
        ..search_load(
            &fleet,
            "contracts-latency",
            LoadModel::OpenLoop(REPEAT_RATE),
            SECONDS,
        )
    };
    let burst = load::Config {
        model: LoadModel::ClosedLoop,
        connections: BURST_CONNECTIONS,
        count: BURST_COUNT,
        ..repeated.clone()
    };
    let crashing = async {
        let burst = load::run(&burst).await?;
        let rest = load::run(&repeated).await?;
        Ok::<_, load::Error>(burst.all.count + rest.all.count)
    };
    let (ordinary, crashing) = join(load::run(&ordinary), crashing).await;
    let (ordinary, crashing) = (ordinary?, crashing?);
    let mut crashes = 0;
    for upstream in &fleet.upstreams {
        crashes += upstream_report(upstream.address).await?.counters.crashes;
    }
    let row = |name: &str, value, target| {
        let name = format!("crashing: {} data centres: {name}", data_centres.len());
        Row::new(name, value, target)
    };
    let complete_percent = |r: &load::Report| 100.0 * r.coverage.full as f64 / r.all.count as f64;
    let sent = format!("upstreams broken by {crashing} requests");
    Ok(vec![
        row(
            &sent,
            crashes as f64,
            Target::AtMost(2.0 * data_centres.len() as f64),
        ),
        row(
            "other answers complete, %",
            complete_percent(&ordinary),
            Target::AtLeast(99.9),
        )
        .with_baseline(complete_percent(&undisturbed)),
        row(
            "other answers: p99, ms",
            micros_to_millis(ordinary.all.p99),
            Target::None,
        )
        .with_baseline(micros_to_millis(undisturbed.all.p99)),
        row(
            "other requests refused or without a reply",
            (ordinary.all.count - ordinary.statuses.get(&200).map_or(0, |l| l.count)) as f64,
            Target::AtMost(0.0),
        ),
    ])
}
