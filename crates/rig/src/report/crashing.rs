//! Crashing requests: how many upstreams one request breaks, and what others notice.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join;
use serde_json::json;

use super::{Error, Row, Target, WARM_UP, millis, record, searches};
use crate::{
    fleet::{Fleet, FleetPlan, ServicePlan, control},
    load::{self, LoadModel},
    upstream::Params,
};

/// Text that breaks an upstream.
const MARKER: &str = "break-the-parser";
/// Duration of the load, in seconds; less than the period of a quarantine.
const SECONDS: f64 = 15.0;
/// Copies of the request in flight at once at the beginning.
const AT_ONCE: usize = 12;
/// Copies of the request sent without a pause at the beginning.
const BURST: u64 = 240;
/// Copies of the request a second after that.
const REPEAT_RATE: f64 = 300.0;
/// Other searches a second.
const RATE: f64 = 60.0;

/// Sends the same request through all instances again and again, beside ordinary ones.
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
        let marker = json!({ "crash_marker": MARKER, "restart_ms": 300 });
        control(upstream.address, &marker).await?;
    }
    let ordinary = searches(
        &fleet,
        "contracts-latency",
        LoadModel::OpenLoop(RATE),
        SECONDS,
    );
    let calm = load::Config {
        duration: Duration::from_secs_f64(SECONDS / 3.0),
        ..ordinary.clone()
    };
    let warm_up = load::Config {
        duration: WARM_UP,
        ..ordinary.clone()
    };
    load::run(&warm_up).await?;
    let calm = load::run(&calm).await?;
    let again = load::Config {
        bodies: vec![Bytes::from(format!(r#"{{"query":"{MARKER}"}}"#))],
        ..searches(
            &fleet,
            "contracts-latency",
            LoadModel::OpenLoop(REPEAT_RATE),
            SECONDS,
        )
    };
    let at_once = load::Config {
        model: LoadModel::ClosedLoop,
        connections: AT_ONCE,
        count: BURST,
        ..again.clone()
    };
    let breaking = async {
        let first = load::run(&at_once).await?;
        let then = load::run(&again).await?;
        Ok::<_, load::Error>(first.all.count + then.all.count)
    };
    let (ordinary, breaking) = join(load::run(&ordinary), breaking).await;
    let (ordinary, breaking) = (ordinary?, breaking?);
    let mut broken = 0;
    for upstream in &fleet.upstreams {
        broken += record(upstream.address).await?.counters.crashes;
    }
    let row = |name: &str, after, target| {
        let name = format!("crashing: {} data centres: {name}", data_centres.len());
        Row::new(name, after, target)
    };
    let complete = |r: &load::Report| 100.0 * r.coverage.full as f64 / r.all.count as f64;
    let sent = format!("upstreams broken by {breaking} requests");
    Ok(vec![
        row(
            &sent,
            broken as f64,
            Target::AtMost(2.0 * data_centres.len() as f64),
        ),
        row(
            "other answers complete, %",
            complete(&ordinary),
            Target::AtLeast(99.9),
        )
        .against(complete(&calm)),
        row(
            "other answers: p99, ms",
            millis(ordinary.all.p99),
            Target::None,
        )
        .against(millis(calm.all.p99)),
        row(
            "other requests refused or without a reply",
            (ordinary.all.count - ordinary.statuses.get(&200).map_or(0, |l| l.count)) as f64,
            Target::AtMost(0.0),
        ),
    ])
}
