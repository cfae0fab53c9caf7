//! Leaving upstreams: the latest new work after the first signal, from any instance.

use std::time::{Duration, Instant};

use futures_util::future::join;
use serde_json::json;

use super::{Error, Row, Target, WARM_UP, record, searches};
use crate::{
    fleet::{Fleet, FleetPlan, RunningUpstream, ServicePlan, control, put_object},
    load::{self, LoadModel},
    upstream::Params,
};

/// Searches a second.
const RATE: f64 = 200.0;
/// Time for which an upstream is watched after the signal.
const WATCHED: Duration = Duration::from_secs(6);
/// Time after the signal in which only one instance has load, so that others learn from peers.
const ONE_INSTANCE: Duration = Duration::from_millis(2_500);
/// Interval between two looks at an upstream's count of searches.
const LOOK: Duration = Duration::from_millis(20);
/// Latest new work after the first signal, in seconds.
const LATEST_S: f64 = 3.0;

/// Where the first signal comes from.
#[derive(Clone, Copy, Debug)]
enum Signal {
    /// The platform's list of instances that are leaving.
    List,
    /// The upstream's own replies.
    Drain,
}

/// Measures each signal, the upstream's own also with the platform down.
pub(super) async fn run() -> Result<Vec<Row>, Error> {
    let service = ServicePlan {
        upstreams: 8,
        shards: 8,
        replicas: 4,
        params: Params {
            slots: 8,
            service_us: 2_000,
            // Drained upstreams go on with whatever is sent, so that all of it is recorded.
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
    load::run(&searches(
        &fleet,
        "contracts-latency",
        warm_up,
        WARM_UP.as_secs_f64(),
    ))
    .await?;
    let mut rows = Vec::new();
    rows.push(measure(&fleet, 0, Signal::List, "platform's list").await?);
    rows.push(measure(&fleet, 1, Signal::Drain, "own signal, platform up").await?);
    control(fleet.platform_address, &json!({ "mode": "down" })).await?;
    rows.push(measure(&fleet, 2, Signal::Drain, "own signal, platform down").await?);
    rows.push(peers(&fleet, 3).await?);
    Ok(rows)
}

/// Gives the signal under load through all instances and watches the upstream.
async fn measure(fleet: &Fleet, index: usize, signal: Signal, name: &str) -> Result<Row, Error> {
    let upstream = &fleet.upstreams[index];
    let seconds = WATCHED.as_secs_f64() + 1.0;
    let cfg = searches(
        fleet,
        "contracts-latency",
        LoadModel::OpenLoop(RATE),
        seconds,
    );
    let (report, latest) = join(load::run(&cfg), signal_and_watch(fleet, upstream, signal)).await;
    let answered = report?.coverage;
    let complete = 100.0 * answered.full as f64 / (answered.full + answered.partial) as f64;
    let name = format!("leaving: {name}: latest new work, s ({complete:.1}% answers complete)");
    Ok(Row::new(
        name,
        latest?.as_secs_f64(),
        Target::AtMost(LATEST_S),
    ))
}

async fn signal_and_watch(
    fleet: &Fleet,
    upstream: &RunningUpstream,
    signal: Signal,
) -> Result<Duration, Error> {
    compio::time::sleep(Duration::from_millis(500)).await;
    let began = Instant::now();
    give(fleet, upstream, signal).await?;
    let (mut searches, mut latest) = (0, Duration::ZERO);
    while began.elapsed() < WATCHED {
        let seen = record(upstream.address).await?.counters.searches;
        if seen > searches {
            (searches, latest) = (seen, began.elapsed());
        }
        compio::time::sleep(LOOK).await;
    }
    Ok(latest)
}

async fn give(fleet: &Fleet, upstream: &RunningUpstream, signal: Signal) -> Result<(), Error> {
    match signal {
        Signal::Drain => Ok(control(upstream.address, &json!({ "drain": true })).await?),
        Signal::List => {
            let others = fleet.upstreams.iter().filter(|u| u.name != upstream.name);
            let live: Vec<_> = others.map(|u| &u.name).collect();
            let list = json!({ "live": live, "leaving": [upstream.name] }).to_string();
            let path = "/v1/objects/liveness/contracts";
            Ok(put_object(fleet.platform_address, path, list).await?)
        }
    }
}

/// Counts the work of instances that had no load while one of them learned of the drain.
async fn peers(fleet: &Fleet, index: usize) -> Result<Row, Error> {
    let upstream = &fleet.upstreams[index];
    control(upstream.address, &json!({ "drain": true })).await?;
    let seconds = ONE_INSTANCE.as_secs_f64();
    let mut cfg = searches(
        fleet,
        "contracts-latency",
        LoadModel::OpenLoop(RATE),
        seconds,
    );
    cfg.targets.truncate(1);
    load::run(&cfg).await?;
    let before = record(upstream.address).await?.counters.searches;
    let mut cfg = searches(
        fleet,
        "contracts-latency",
        LoadModel::OpenLoop(RATE),
        seconds,
    );
    cfg.targets.remove(0);
    load::run(&cfg).await?;
    let started = record(upstream.address).await?.counters.searches - before;
    Ok(Row::new(
        "leaving: peers' news, platform down: new work of 11 instances after 2.5 s",
        started as f64,
        Target::AtMost(0.0),
    ))
}
