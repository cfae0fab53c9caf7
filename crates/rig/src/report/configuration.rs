//! Experiment `configuration`: time until all instances apply a change, its cost, and reverts to
//! older revisions.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Error, Row, Target, sum_counts};
use crate::fleet::{Fleet, FleetPlan, ServicePlan, control, get_json};

/// Number of changes that are applied.
const CHANGES: u64 = 40;
/// Interval between two polls of the statuses of all instances.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Pause between two changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(300);
/// Time after which a change that some instance has not applied is given up.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which the revisions of instances are observed during stale reads.
const STALE_READS_PERIOD: Duration = Duration::from_secs(5);
/// Time over which the cost without changes is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(10);
/// Target for the time until a change is applied, in seconds.
const MAX_APPLY_S: f64 = 2.0;

/// Measures changes, an instance that starts while the platform is down, and stale reads.
pub(super) async fn run() -> Result<Vec<Row>, Error> {
    let plan = FleetPlan {
        data_centres: vec![("a".into(), 9), ("b".into(), 8)],
        services: vec![ServicePlan::default()],
        ..FleetPlan::default()
    };
    let mut fleet = Fleet::start(plan).await?;
    compio::time::sleep(Duration::from_secs(3)).await;
    let mut rows = measure_idle(&fleet).await?;
    rows.extend(measure_changes(&mut fleet).await?);
    rows.push(start_during_outage(&mut fleet).await?);
    rows.push(count_reverts(&mut fleet).await?);
    Ok(rows)
}

/// Measures the platform calls and the peer traffic of 17 instances while nothing changes.
async fn measure_idle(fleet: &Fleet) -> Result<Vec<Row>, Error> {
    let (calls, bytes) = platform_calls_and_peer_bytes(fleet).await?;
    compio::time::sleep(IDLE_PERIOD).await;
    let (later_calls, later_bytes) = platform_calls_and_peer_bytes(fleet).await?;
    let seconds = IDLE_PERIOD.as_secs_f64();
    let row = |name: &str, value: f64| {
        Row::new(
            format!("configuration: 17 instances, quiet: {name}"),
            value,
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

/// Returns the calls that the platform has received and the bytes that instances have sent to
/// peers.
async fn platform_calls_and_peer_bytes(fleet: &Fleet) -> Result<(f64, f64), Error> {
    let platform = get_json(fleet.platform_address, "/control").await?;
    let call = |kind: &str| platform[kind].as_f64().unwrap_or(f64::NAN);
    let bytes = sum_counts(fleet, &["peer_bytes"]).await?[0];
    Ok((call("read") + call("write") + call("watch"), bytes))
}

/// Returns the revision of each instance; `None` for one that does not answer.
async fn revisions(fleet: &Fleet) -> Vec<Option<u64>> {
    let mut revisions = Vec::new();
    for index in 0..fleet.instances.len() {
        let status = fleet.status(index).await.ok();
        revisions.push(status.and_then(|s| s["revision"].as_u64()));
    }
    revisions
}

/// Applies a small change and returns the time from the start of `briarcove apply` until all
/// instances have applied it.
async fn apply_change(fleet: &mut Fleet, number: u64) -> Result<Duration, Error> {
    let limits = json!({ "deadline": "180ms", "concurrent": 200 + number });
    fleet.plan.services[0].limits = limits;
    let before = revisions(fleet)
        .await
        .into_iter()
        .flatten()
        .max()
        .unwrap_or(0);
    let started_at = Instant::now();
    fleet.apply()?;
    loop {
        let all = revisions(fleet).await;
        if all.iter().all(|r| r.is_some_and(|r| r > before))
            || started_at.elapsed() > CHANGE_TIMEOUT
        {
            return Ok(started_at.elapsed());
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn measure_changes(fleet: &mut Fleet) -> Result<Vec<Row>, Error> {
    let started_at = Instant::now();
    let (calls, bytes) = platform_calls_and_peer_bytes(fleet).await?;
    let mut times = Vec::new();
    for number in 1..=CHANGES {
        times.push(apply_change(fleet, number).await?.as_secs_f64());
        compio::time::sleep(CHANGE_PAUSE).await;
    }
    times.sort_by(f64::total_cmp);
    let quantile = |q: f64| times[((times.len() as f64 * q) as usize).min(times.len() - 1)];
    let (later_calls, later_bytes) = platform_calls_and_peer_bytes(fleet).await?;
    let per_change = |spent: f64| spent / CHANGES as f64;
    let row = |name: &str, value, target| {
        Row::new(
            format!("configuration: {CHANGES} changes: {name}"),
            value,
            target,
        )
    };
    Ok(vec![
        row(
            "in force in 17 instances, p50, s",
            quantile(0.5),
            Target::None,
        ),
        row(
            "in force in 17 instances, p99, s",
            quantile(0.99),
            Target::AtMost(MAX_APPLY_S),
        ),
        row(
            "platform calls a change",
            per_change(later_calls - calls),
            Target::None,
        ),
        row(
            "peer bytes/s of one instance",
            (later_bytes - bytes) / started_at.elapsed().as_secs_f64() / 17.0,
            Target::None,
        ),
    ])
}

/// Restarts an instance while the platform is down and returns the time until it was ready; not a
/// number when it does not serve the newest revision.
async fn start_during_outage(fleet: &mut Fleet) -> Result<Row, Error> {
    let newest = revisions(fleet).await.into_iter().flatten().max();
    control(fleet.platform_address, &json!({ "mode": "down" })).await?;
    let started_at = Instant::now();
    fleet.restart(16)?;
    fleet.wait_ready(16).await?;
    let ready = started_at.elapsed().as_secs_f64();
    compio::time::sleep(Duration::from_millis(300)).await;
    let revision = fleet.status(16).await?["revision"].as_u64();
    control(fleet.platform_address, &json!({ "mode": "ok" })).await?;
    let is_newest = revision == newest;
    let value = if is_newest { ready } else { f64::NAN };
    let name = "configuration: platform down: a fresh instance serves the newest revision after, s";
    Ok(Row::new(name, value, Target::AtMost(MAX_APPLY_S)))
}

/// Counts reverts of instances to older revisions while the platform serves stale reads.
async fn count_reverts(fleet: &mut Fleet) -> Result<Row, Error> {
    let stale_control = |field: &str, on: bool| Value::from_iter([(field, on)]);
    control(fleet.platform_address, &stale_control("stale_reads", true)).await?;
    control(fleet.platform_address, &stale_control("stale_reads", false)).await?;
    apply_change(fleet, CHANGES + 1).await?;
    control(fleet.platform_address, &stale_control("stale_again", true)).await?;
    fleet.instances[3].process.pause();
    let mut highest = vec![0; fleet.instances.len()];
    let mut reverts = 0;
    let started_at = Instant::now();
    let mut resumed = false;
    while started_at.elapsed() < STALE_READS_PERIOD {
        if !resumed && started_at.elapsed() > STALE_READS_PERIOD / 2 {
            fleet.instances[3].process.resume();
            resumed = true;
        }
        for index in (0..highest.len()).filter(|i| resumed || *i != 3) {
            let status = fleet.status(index).await?;
            let revision = status["revision"].as_u64().unwrap_or(0);
            reverts += usize::from(revision < highest[index]);
            highest[index] = highest[index].max(revision);
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    let name = "configuration: stale reads and a paused instance: reverts seen";
    Ok(Row::new(name, reverts as f64, Target::AtMost(0.0)))
}
