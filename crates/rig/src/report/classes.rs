//! Experiment `classes`: completeness and latency of both search classes while one replica of each
//! shard is down, and reported coverage checked against the records of the upstreams.

use std::{collections::HashSet, time::Duration};

use futures_util::future::join3;
use serde_json::{Value, json};

use super::{Error, Row, Target, micros_to_millis, search_load, upstream_report};
use crate::{
    fleet::{Fleet, FleetPlan, ServicePlan, control},
    load::{self, KeptReply, LoadModel},
    upstream::Params,
};

/// Searches per second of each class.
const RATE: f64 = 60.0;
/// Duration of the load, in seconds.
const SECONDS: f64 = 20.0;
/// Time after which crashed upstreams restart, in milliseconds.
const RESTART_MS: u64 = 19_000;
/// Deadline of the entries, in milliseconds.
const DEADLINE_MS: f64 = 180.0;
/// Interval between two reads of the records of the upstreams, short enough that no search drops
/// out of a ring of latest searches before it is read.
const COLLECT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Searches that upstreams answered: request id, shard and snapshot.
type Served = HashSet<(Box<str>, Box<str>, u64)>;

/// Crashes every second upstream under load of both classes.
pub(super) async fn run() -> Result<Vec<Row>, Error> {
    let service = ServicePlan {
        upstreams: 10,
        shards: 40,
        threads: 2,
        limits: json!({ "deadline": "180ms" }),
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
    let cfg = |entry| load::Config {
        keep_replies: true,
        ..search_load(&fleet, entry, LoadModel::OpenLoop(RATE), SECONDS)
    };
    let (coverage, latency) = (cfg("contracts-coverage"), cfg("contracts-latency"));
    let loads = (load::run(&coverage), load::run(&latency));
    let (coverage, latency, served) = join3(loads.0, loads.1, crash_and_collect(&fleet)).await;
    let (coverage, latency, served) = (coverage?, latency?, served?);
    let complete_percent = |r: &load::Report| 100.0 * r.coverage.full as f64 / r.all.count as f64;
    let replies = coverage.kept_replies.iter().chain(&latency.kept_replies);
    let contradicted = replies.filter(|reply| is_contradicted(reply, &served));
    let answered = latency.statuses.get(&200).copied().unwrap_or_default();
    Ok(vec![
        Row::new(
            "classes: coverage class: complete answers, %",
            complete_percent(&coverage),
            Target::AtLeast(99.9),
        ),
        Row::new(
            "classes: latency class: complete answers, %",
            complete_percent(&latency),
            Target::None,
        ),
        Row::new(
            "classes: latency class: p99.9 of an answer, ms",
            micros_to_millis(answered.p999),
            Target::AtMost(DEADLINE_MS),
        ),
        Row::new(
            format!(
                "classes: of {} answers, those that the upstreams' record contradicts",
                coverage.kept_replies.len() + latency.kept_replies.len()
            ),
            contradicted.count() as f64,
            Target::AtMost(0.0),
        ),
    ])
}

/// Crashes half of the upstreams and collects the records of all upstreams until after the end of
/// the load.
async fn crash_and_collect(fleet: &Fleet) -> Result<Served, Error> {
    let mut served = Served::new();
    compio::time::sleep(COLLECT_INTERVAL).await;
    collect_served(fleet, &mut served).await;
    for upstream in fleet.upstreams.iter().step_by(2) {
        let crash = json!({ "restart_ms": RESTART_MS, "crash": true });
        control(upstream.address, &crash).await?;
    }
    let rounds =
        (Duration::from_secs_f64(SECONDS) + COLLECT_INTERVAL).div_duration_f64(COLLECT_INTERVAL);
    for _ in 0..rounds.ceil() as u32 {
        compio::time::sleep(COLLECT_INTERVAL).await;
        collect_served(fleet, &mut served).await;
    }
    Ok(served)
}

/// Adds the records of all reachable upstreams to `served`; a crashed upstream keeps its record.
async fn collect_served(fleet: &Fleet, served: &mut Served) {
    for upstream in &fleet.upstreams {
        let Ok(record) = upstream_report(upstream.address).await else {
            continue;
        };
        for search in record.served {
            if let Some((request, _attempt)) = search.request.rsplit_once('-') {
                served.insert((request.into(), search.shard, search.snapshot));
            }
        }
    }
}

/// Returns whether an answer reports coverage of a shard that no upstream has answered for its
/// request.
fn is_contradicted(reply: &KeptReply, served: &Served) -> bool {
    if reply.status != 200 {
        return false;
    }
    let answer: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let coverage = &answer["coverage"];
    let (Some(request), Some(snapshot), Some(asked), Some(missing)) = (
        answer["request"].as_str(),
        answer["snapshot"].as_u64(),
        coverage["asked"].as_u64(),
        coverage["missing"].as_array(),
    ) else {
        return true;
    };
    let missing: HashSet<&str> = missing.iter().filter_map(Value::as_str).collect();
    let reported = (0..asked)
        .map(|n| Box::<str>::from(format!("shard-{n:03}")))
        .filter(|shard| !missing.contains(&**shard));
    let mut reported = reported.map(|shard| (request.into(), shard, snapshot));
    reported.any(|search| !served.contains(&search))
}
