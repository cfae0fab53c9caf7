//! Experiment `snapshots`: a snapshot with a different number of shards is published under load.

use std::time::Duration;

use futures_util::future::join;
use serde_json::{Value, json};

use super::{Error, Row, Target, WARM_UP, micros_to_millis, search_load, sum_counts};
use crate::{
    fleet::{Fleet, FleetPlan, ServicePlan, control, put_object},
    load::{self, KeptReply, LoadModel},
    upstream::Params,
};

/// Searches per second.
const RATE: f64 = 100.0;
/// Duration of each load, in seconds.
const SECONDS: f64 = 10.0;
/// Pause after the switch of each upstream.
const SWITCH_PAUSE: Duration = Duration::from_millis(300);

/// Switches upstreams one after the other from snapshot 1 to 2 and counts answers that mix hits of
/// both.
pub(super) async fn run() -> Result<Vec<Row>, Error> {
    let service = ServicePlan {
        upstreams: 8,
        shards: 16,
        unpublished_shards: 24,
        params: Params {
            slots: 32,
            service_us: 3_000,
            ..Params::default()
        },
        ..ServicePlan::default()
    };
    let plan = FleetPlan {
        data_centres: vec![("a".into(), 3)],
        services: vec![service],
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan).await?;
    for upstream in &fleet.upstreams {
        control(upstream.address, &json!({ "snapshots": [1] })).await?;
    }
    let cfg = load::Config {
        keep_replies: true,
        ..search_load(
            &fleet,
            "contracts-coverage",
            LoadModel::OpenLoop(RATE),
            SECONDS,
        )
    };
    let warm_up = load::Config {
        duration: WARM_UP,
        ..cfg.clone()
    };
    load::run(&warm_up).await?;
    let undisturbed = load::run(&cfg).await?;
    let before = sum_counts(&fleet, &["replans"]).await?;
    let (changing, switched) = join(load::run(&cfg), switch_snapshots(&fleet)).await;
    let changing = changing?;
    switched?;
    compio::time::sleep(Duration::from_millis(300)).await;
    let replans = sum_counts(&fleet, &["replans"]).await?[0] - before[0];
    let mixed = changing
        .kept_replies
        .iter()
        .filter(|reply| is_mixed(reply))
        .count();
    let count_snapshot = |id| {
        changing
            .kept_replies
            .iter()
            .filter(|r| snapshot_of(r) == Some(id))
            .count()
    };
    let complete_percent = |r: &load::Report| 100.0 * r.coverage.full as f64 / r.all.count as f64;
    let answers = format!(
        "snapshots: of {} and {} answers, mixed ones",
        count_snapshot(1),
        count_snapshot(2)
    );
    let row = |name: &str, value, baseline| {
        Row::new(format!("snapshots: {name}"), value, Target::None).with_baseline(baseline)
    };
    Ok(vec![
        Row::new(answers, mixed as f64, Target::AtMost(0.0)),
        row(
            "complete answers, %",
            complete_percent(&changing),
            complete_percent(&undisturbed),
        ),
        row(
            "searches planned again, %",
            100.0 * replans / changing.all.count as f64,
            0.0,
        ),
        row(
            "p50 of an answer, ms",
            micros_to_millis(changing.all.p50),
            micros_to_millis(undisturbed.all.p50),
        ),
        row(
            "p99 of an answer, ms",
            micros_to_millis(changing.all.p99),
            micros_to_millis(undisturbed.all.p99),
        ),
    ])
}

/// Publishes both snapshots, then adds snapshot 2 to one upstream after the other, then removes
/// snapshot 1 from one after the other.
async fn switch_snapshots(fleet: &Fleet) -> Result<(), Error> {
    compio::time::sleep(Duration::from_secs(1)).await;
    let index = fleet.plan.services[0].index(1, 2);
    let index = serde_json::to_string(&index).unwrap_or_default();
    put_object(fleet.platform_address, "/v1/objects/index/contracts", index).await?;
    for snapshots in [json!([1, 2]), json!([2])] {
        for upstream in &fleet.upstreams {
            control(upstream.address, &json!({ "snapshots": snapshots })).await?;
            compio::time::sleep(SWITCH_PAUSE).await;
        }
    }
    Ok(())
}

/// Returns the snapshot that an answer names.
fn snapshot_of(reply: &KeptReply) -> Option<u64> {
    let answer: Value = serde_json::from_slice(&reply.body).ok()?;
    answer["snapshot"].as_u64()
}

/// Returns whether a hit belongs to a different snapshot from the one that the answer names.
fn is_mixed(reply: &KeptReply) -> bool {
    if reply.status != 200 {
        return false;
    }
    let answer: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let prefix = format!("{}-", answer["snapshot"]);
    let hits = answer["hits"].as_array().into_iter().flatten();
    let mut ids = hits.map(|hit| hit["id"].as_str().unwrap_or_default());
    ids.any(|id| !id.starts_with(&prefix))
}
