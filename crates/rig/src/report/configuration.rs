//! Configuration: time until a change is in force everywhere, its cost, and reverts.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Error, Row, Target, counts};
use crate::fleet::{Fleet, FleetPlan, ServicePlan, control, get_json};

/// Changes that are applied.
const CHANGES: u64 = 40;
/// Interval between two looks at the instances.
const LOOK: Duration = Duration::from_millis(10);
/// Pause between two changes.
const PAUSE: Duration = Duration::from_millis(300);
/// Longest wait for a change.
const LONGEST: Duration = Duration::from_secs(20);
/// Time for which instances are watched for reverts.
const WATCHED: Duration = Duration::from_secs(5);
/// Time in which the quiet cost is counted.
const QUIET: Duration = Duration::from_secs(10);
/// Time to be in force in all instances, in seconds.
const IN_FORCE_S: f64 = 2.0;

/// Measures changes, an instance that starts in an outage, and stale reads.
pub(super) async fn run() -> Result<Vec<Row>, Error> {
    let plan = FleetPlan {
        data_centres: vec![("a".into(), 9), ("b".into(), 8)],
        services: vec![ServicePlan::default()],
        ..FleetPlan::default()
    };
    let mut fleet = Fleet::start(plan).await?;
    compio::time::sleep(Duration::from_secs(3)).await;
    let mut rows = quiet(&fleet).await?;
    rows.extend(changes(&mut fleet).await?);
    rows.push(start_in_outage(&mut fleet).await?);
    rows.push(stale_reads(&mut fleet).await?);
    Ok(rows)
}

/// Counts what 17 instances cost the platform and each other while nothing changes.
async fn quiet(fleet: &Fleet) -> Result<Vec<Row>, Error> {
    let (calls, bytes) = cost(fleet).await?;
    compio::time::sleep(QUIET).await;
    let (later_calls, later_bytes) = cost(fleet).await?;
    let seconds = QUIET.as_secs_f64();
    let row = |name: &str, after: f64| {
        Row::new(
            format!("configuration: 17 instances, quiet: {name}"),
            after,
            Target::None,
        )
    };
    Ok(vec![
        row("platform calls/s", (later_calls - calls) / seconds),
        row(
            "peer bytes/s of one instance",
            (later_bytes - bytes) / seconds / 17.0,
        ),
    ])
}

/// Returns the calls that the platform took and the bytes that instances sent to peers.
async fn cost(fleet: &Fleet) -> Result<(f64, f64), Error> {
    let platform = get_json(fleet.platform_address, "/control").await?;
    let call = |kind: &str| platform[kind].as_f64().unwrap_or(f64::NAN);
    let bytes = counts(fleet, &["peer_bytes"]).await?[0];
    Ok((call("read") + call("write") + call("watch"), bytes))
}

async fn revisions(fleet: &Fleet) -> Vec<Option<u64>> {
    let mut revisions = Vec::new();
    for index in 0..fleet.instances.len() {
        let status = fleet.status(index).await.ok();
        revisions.push(status.and_then(|s| s["revision"].as_u64()));
    }
    revisions
}

/// Applies a small change and returns the time from the start of `apply` until it is in force.
async fn change(fleet: &mut Fleet, number: u64) -> Result<Duration, Error> {
    let limits = json!({ "deadline": "180ms", "concurrent": 200 + number });
    fleet.plan.services[0].limits = limits;
    let before = revisions(fleet)
        .await
        .into_iter()
        .flatten()
        .max()
        .unwrap_or(0);
    let began = Instant::now();
    fleet.apply()?;
    loop {
        let all = revisions(fleet).await;
        if all.iter().all(|r| r.is_some_and(|r| r > before)) || began.elapsed() > LONGEST {
            return Ok(began.elapsed());
        }
        compio::time::sleep(LOOK).await;
    }
}

async fn changes(fleet: &mut Fleet) -> Result<Vec<Row>, Error> {
    let began = Instant::now();
    let (calls, bytes) = cost(fleet).await?;
    let mut times = Vec::new();
    for number in 1..=CHANGES {
        times.push(change(fleet, number).await?.as_secs_f64());
        compio::time::sleep(PAUSE).await;
    }
    times.sort_by(f64::total_cmp);
    let at = |share: f64| times[((times.len() as f64 * share) as usize).min(times.len() - 1)];
    let (later_calls, later_bytes) = cost(fleet).await?;
    let each = |spent: f64| spent / CHANGES as f64;
    let row = |name: &str, after, target| {
        Row::new(
            format!("configuration: {CHANGES} changes: {name}"),
            after,
            target,
        )
    };
    Ok(vec![
        row("in force in 17 instances, p50, s", at(0.5), Target::None),
        row(
            "in force in 17 instances, p99, s",
            at(0.99),
            Target::AtMost(IN_FORCE_S),
        ),
        row(
            "platform calls a change",
            each(later_calls - calls),
            Target::None,
        ),
        row(
            "peer bytes/s of one instance",
            (later_bytes - bytes) / began.elapsed().as_secs_f64() / 17.0,
            Target::None,
        ),
    ])
}

/// Starts an instance while the platform is down, and returns how long it took to have the newest.
async fn start_in_outage(fleet: &mut Fleet) -> Result<Row, Error> {
    let newest = revisions(fleet).await.into_iter().flatten().max();
    control(fleet.platform_address, &json!({ "mode": "down" })).await?;
    let began = Instant::now();
    fleet.restart(16)?;
    fleet.wait_ready(16).await?;
    let ready = began.elapsed().as_secs_f64();
    compio::time::sleep(Duration::from_millis(300)).await;
    let found = fleet.status(16).await?["revision"].as_u64();
    control(fleet.platform_address, &json!({ "mode": "ok" })).await?;
    let right = found == newest;
    let after = if right { ready } else { f64::NAN };
    let name = "configuration: platform down: a fresh instance serves the newest revision after, s";
    Ok(Row::new(name, after, Target::AtMost(IN_FORCE_S)))
}

/// Counts instances whose revision goes down while the platform's reads are old.
async fn stale_reads(fleet: &mut Fleet) -> Result<Row, Error> {
    let stale = |field: &str, on: bool| Value::from_iter([(field, on)]);
    control(fleet.platform_address, &stale("stale_reads", true)).await?;
    control(fleet.platform_address, &stale("stale_reads", false)).await?;
    change(fleet, CHANGES + 1).await?;
    control(fleet.platform_address, &stale("stale_again", true)).await?;
    fleet.instances[3].process.pause();
    let mut highest = vec![0; fleet.instances.len()];
    let mut reverts = 0;
    let began = Instant::now();
    let mut resumed = false;
    while began.elapsed() < WATCHED {
        if !resumed && began.elapsed() > WATCHED / 2 {
            fleet.instances[3].process.resume();
            resumed = true;
        }
        for index in (0..highest.len()).filter(|i| resumed || *i != 3) {
            let status = fleet.status(index).await?;
            let revision = status["revision"].as_u64().unwrap_or(0);
            reverts += usize::from(revision < highest[index]);
            highest[index] = highest[index].max(revision);
        }
        compio::time::sleep(LOOK).await;
    }
    let name = "configuration: stale reads and a paused instance: reverts seen";
    Ok(Row::new(name, reverts as f64, Target::AtMost(0.0)))
}
