//! Experiment `leaving`: time from the first signal that an upstream is leaving until the last new
//! search that any instance sends to it.

use std::time::{Duration, Instant};

use futures_util::future::join;
use serde_json::json;

use super::{Error, Row, Target, WARM_UP, search_load, upstream_report};
use crate::{
    fleet::{Fleet, FleetPlan, RunningUpstream, ServicePlan, control, put_object},
    load::{self, LoadModel},
    upstream::Params,
};

/// Searches per second.
const RATE: f64 = 200.0;
/// Time for which an upstream is observed after the signal.
const WATCH_PERIOD: Duration = Duration::from_secs(6);
/// Time after the signal during which only one instance receives searches, so that the others can
/// learn of the signal only from peers.
const ONE_INSTANCE_PERIOD: Duration = Duration::from_millis(2_500);
/// Interval between two polls of the search counter of an upstream.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Target for the last new search after the first signal, in seconds.
const MAX_LATEST_WORK_S: f64 = 3.0;

/// Source of the first signal.
#[derive(Clone, Copy, Debug)]
enum Signal {
    /// The list of leaving upstreams on the platform.
    PlatformList,
    /// The replies of the draining upstream.
    Drain,
}

/// Measures each signal, that of the upstream also with the platform down.
pub(super) async fn run() -> Result<Vec<Row>, Error> {
    let service = ServicePlan {
        upstreams: 8,
        shards: 8,
        replicas: 4,
        params: Params {
            slots: 8,
            service_us: 2_000,
            // Longer than the observation, so that a draining upstream serves every search.
            grace_ms: 60_000,
            ..Params::default()
        },
        ..ServicePlan::default()
    };
    let plan = FleetPlan {
        data_centres: vec![("a".into(), 6), ("b".into(), 6)],
        services: vec![service],
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan).await?;
    let warm_up = LoadModel::OpenLoop(RATE);
    load::run(&search_load(
        &fleet,
        "contracts-latency",
        warm_up,
        WARM_UP.as_secs_f64(),
    ))
    .await?;
    let mut rows = Vec::new();
    rows.push(measure(&fleet, 0, Signal::PlatformList, "platform's list").await?);
    rows.push(measure(&fleet, 1, Signal::Drain, "own signal, platform up").await?);
    control(fleet.platform_address, &json!({ "mode": "down" })).await?;
    rows.push(measure(&fleet, 2, Signal::Drain, "own signal, platform down").await?);
    rows.push(measure_peers(&fleet, 3).await?);
    Ok(rows)
}

/// Sends the signal while all instances are under load and measures the last new search.
async fn measure(fleet: &Fleet, index: usize, signal: Signal, name: &str) -> Result<Row, Error> {
    let upstream = &fleet.upstreams[index];
    let seconds = WATCH_PERIOD.as_secs_f64() + 1.0;
    let cfg = search_load(
        fleet,
        "contracts-latency",
        LoadModel::OpenLoop(RATE),
        seconds,
    );
    let (report, latest) = join(load::run(&cfg), signal_and_watch(fleet, upstream, signal)).await;
    let coverage = report?.coverage;
    let complete = 100.0 * coverage.full as f64 / (coverage.full + coverage.partial) as f64;
    let name = format!("leaving: {name}: latest new work, s ({complete:.1}% answers complete)");
    Ok(Row::new(
        name,
        latest?.as_secs_f64(),
        Target::AtMost(MAX_LATEST_WORK_S),
    ))
}

/// Sends the signal and returns the time from it to the last new search at the upstream.
async fn signal_and_watch(
    fleet: &Fleet,
    upstream: &RunningUpstream,
    signal: Signal,
) -> Result<Duration, Error> {
    compio::time::sleep(Duration::from_millis(500)).await;
    let started_at = Instant::now();
    send_signal(fleet, upstream, signal).await?;
    let (mut searches, mut latest) = (0, Duration::ZERO);
    while started_at.elapsed() < WATCH_PERIOD {
        let count = upstream_report(upstream.address).await?.counters.searches;
        if count > searches {
            (searches, latest) = (count, started_at.elapsed());
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(latest)
}

async fn send_signal(
    fleet: &Fleet,
    upstream: &RunningUpstream,
    signal: Signal,
) -> Result<(), Error> {
    match signal {
        Signal::Drain => Ok(control(upstream.address, &json!({ "drain": true })).await?),
        Signal::PlatformList => {
            let others = fleet.upstreams.iter().filter(|u| u.name != upstream.name);
            let live: Vec<_> = others.map(|u| &u.name).collect();
            let list = json!({ "live": live, "leaving": [upstream.name] }).to_string();
            let path = "/v1/objects/liveness/contracts";
            Ok(put_object(fleet.platform_address, path, list).await?)
        }
    }
}

/// Drains an upstream while only one instance receives searches, then counts the searches that the
/// other instances send to it.
async fn measure_peers(fleet: &Fleet, index: usize) -> Result<Row, Error> {
    let upstream = &fleet.upstreams[index];
    control(upstream.address, &json!({ "drain": true })).await?;
    let seconds = ONE_INSTANCE_PERIOD.as_secs_f64();
    let mut cfg = search_load(
        fleet,
        "contracts-latency",
        LoadModel::OpenLoop(RATE),
        seconds,
    );
    cfg.targets.truncate(1);
    load::run(&cfg).await?;
    let before = upstream_report(upstream.address).await?.counters.searches;
    let mut cfg = search_load(
        fleet,
        "contracts-latency",
        LoadModel::OpenLoop(RATE),
        seconds,
    );
    cfg.targets.remove(0);
    load::run(&cfg).await?;
    let started = upstream_report(upstream.address).await?.counters.searches - before;
    Ok(Row::new(
        "leaving: peers' updates, platform down: new work of 11 instances after 2.5 s",
        started as f64,
        Target::AtMost(0.0),
    ))
}
