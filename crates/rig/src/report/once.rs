//! Experiment `once`: number of executions of each run of the class once under kills, pauses, a
//! platform outage, lost replies and late writes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use compio::time::sleep;
use futures_util::future::{join, join3};
use serde_json::json;

use super::{Error, Row, Target, search_load, upstream_report};
use crate::{
    fleet::{Fleet, FleetPlan, ServicePlan, control},
    load::{self, Kind, LoadModel, RunRecord},
    upstream::Params,
};

/// Runs per second of each of two callers, which use the same idempotency keys.
const RATE: f64 = 60.0;
/// Duration of the load, in seconds.
const SECONDS: f64 = 32.0;
/// Number of bodies; more than there are runs of one caller, so that no run is quarantined because
/// of the lost reply of another one with the same body.
const BODY_COUNT: u32 = 4_000;
/// Number of instances, half of them in each of two data centres.
const INSTANCES: usize = 6;

/// Sends every run twice, through different instances, while faults are injected.
pub(super) async fn run() -> Result<Vec<Row>, Error> {
    let service = ServicePlan {
        upstreams: 4,
        limits: json!({ "deadline": "1s" }),
        params: Params {
            slots: 8,
            service_us: 3_000,
            ..Params::default()
        },
        ..ServicePlan::default()
    };
    let half = INSTANCES / 2;
    let plan = FleetPlan {
        data_centres: vec![("a".into(), half), ("b".into(), half)],
        services: vec![service],
        ..FleetPlan::default()
    };
    let mut fleet = Fleet::start(plan).await?;
    let body = |n| Bytes::from(format!("{{\"order\":{n}}}"));
    let first = load::Config {
        kind: Kind::Run,
        bodies: (0..BODY_COUNT).map(body).collect(),
        ..search_load(&fleet, "contracts-once", LoadModel::OpenLoop(RATE), SECONDS)
    };
    let mut second = first.clone();
    second.targets.rotate_left(1);
    let (first, second, faults) = join3(
        load::run(&first),
        load::run(&second),
        inject_faults(&mut fleet),
    )
    .await;
    faults?;
    sleep(Duration::from_secs(3)).await;
    let mut runs = first?.runs;
    runs.extend(second?.runs);
    rows(&fleet, &runs).await
}

/// Injects faults into the platform, the upstreams and the instances, some of them at once.
async fn inject_faults(fleet: &mut Fleet) -> Result<(), Error> {
    let platform = fleet.platform_address;
    let wait_seconds = |n| sleep(Duration::from_secs(n));
    wait_seconds(3).await;
    control(platform, &json!({ "lose_replies": 40 })).await?;
    wait_seconds(3).await;
    for upstream in &fleet.upstreams {
        control(upstream.address, &json!({ "lose_replies": 5 })).await?;
    }
    wait_seconds(2).await;
    fleet.instances[1].process.kill();
    wait_seconds(1).await;
    control(platform, &json!({ "mode": "down" })).await?;
    wait_seconds(2).await;
    control(platform, &json!({ "mode": "ok", "lose_replies": 40 })).await?;
    fleet.restart(1)?;
    wait_seconds(2).await;
    fleet.instances[2].process.pause();
    fleet.instances[4].process.pause();
    wait_seconds(3).await;
    fleet.instances[4].process.kill();
    fleet.instances[2].process.resume();
    wait_seconds(2).await;
    fleet.restart(4)?;
    let late_writes = json!({ "mode": "slow", "delay_ms": 1_500, "late_writes": true });
    control(platform, &late_writes).await?;
    wait_seconds(3).await;
    control(platform, &json!({ "mode": "ok", "late_writes": false })).await?;
    let crash = |n: usize| (fleet.upstreams[n].address, json!({ "crash": true }));
    let ((a, crash_a), (b, crash_b)) = (crash(0), crash(1));
    let (a, b) = join(control(a, &crash_a), control(b, &crash_b)).await;
    a?;
    b?;
    wait_seconds(2).await;
    fleet.instances[0].process.terminate();
    Ok(())
}

/// Compares the replies of all runs with the executions that upstreams have recorded.
async fn rows(fleet: &Fleet, runs: &[RunRecord]) -> Result<Vec<Row>, Error> {
    let mut executions: BTreeMap<Box<str>, u32> = BTreeMap::new();
    for upstream in &fleet.upstreams {
        for execution in upstream_report(upstream.address).await?.executions {
            *executions.entry(execution.key).or_default() += 1;
        }
    }
    let mut statuses: BTreeMap<&str, BTreeSet<Option<u16>>> = BTreeMap::new();
    for run in runs {
        statuses.entry(&run.key).or_default().insert(run.status);
    }
    let is_refusal = |status: &Option<u16>| status.is_some_and(|s| s >= 400 && s != 410);
    let refused = statuses
        .iter()
        .filter(|(_, all)| all.iter().all(is_refusal));
    let refused_but_ran = refused
        .filter(|(key, _)| executions.contains_key(**key))
        .count();
    let reported_done = statuses.iter().filter(|(_, all)| all.contains(&Some(200)));
    let done_but_never_ran = reported_done
        .filter(|(key, _)| !executions.contains_key(**key))
        .count();
    let twice = executions.values().filter(|times| **times > 1).count();
    let count_status = |status: Option<u16>| runs.iter().filter(|run| run.status == status).count();
    let row = |name: &str, n: usize, target| Row::new(format!("once: {name}"), n as f64, target);
    Ok(vec![
        row("requests", runs.len(), Target::None),
        row("keys that ran", executions.len(), Target::None),
        row("keys that ran twice", twice, Target::AtMost(0.0)),
        row(
            "keys refused as not run that ran",
            refused_but_ran,
            Target::AtMost(0.0),
        ),
        row(
            "keys reported done that never ran",
            done_but_never_ran,
            Target::AtMost(0.0),
        ),
        row("answers: done", count_status(Some(200)), Target::None),
        row("answers: unknown", count_status(Some(202)), Target::None),
        row(
            "answers: not run, 429",
            count_status(Some(429)),
            Target::None,
        ),
        row(
            "answers: not run, 503",
            count_status(Some(503)),
            Target::None,
        ),
        row("answers: none", count_status(None), Target::None),
    ])
}
