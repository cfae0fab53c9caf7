//! Bench `connections`: memory and CPU time of a pool by its number of open connections.

use std::time::Duration;

use base::{AttemptId, RequestId, SnapshotId};
use bytes::Bytes;
use compio::runtime::Runtime;
use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use futures_util::StreamExt;
use node::{Echo, Event, Send, SubRequest, UpstreamEvent};
use up::{Pools, Settings};

use super::{
    Error,
    meter::{measure_in_subprocess, micros, resident_bytes},
    scale::name,
    sweep::Sweep,
};
use crate::{
    fleet::{Fleet, FleetPlan, ServicePlan},
    sim::thread_cpu_time,
    upstream::Params,
};

/// Connections at the largest point.
const MAX_CONNECTIONS: usize = 2_000;

/// Connections that are opened at once; more would overflow the listen backlog of the stand-in.
const BATCH: usize = 50;

/// Pause after each batch.
const BATCH_PAUSE: Duration = Duration::from_millis(40);

/// Time over which the CPU time of idle connections is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(2);

/// Sweeps the connections to one upstream stand-in, which runs in another process.
pub(super) fn run() -> std::io::Result<()> {
    let columns = ["MB resident", "KB/connection", "us to open", "us/s idle"];
    let mut sweep = Sweep::new("connections of one pool", "connections", &columns);
    for count in [10, 100, 250, 500, 1_000, MAX_CONNECTIONS] {
        sweep.add(count, &measure_in_subprocess("connections", count)?);
    }
    sweep.finish();
    Ok(())
}

/// Measures a pool with `count` connections.
pub(super) fn measure(count: usize) -> Result<[f64; 4], Error> {
    Runtime::new()?.block_on(async {
        let fleet = Fleet::start(plan()).await?;
        Ok(measure_pool(&fleet, count).await)
    })
}

fn plan() -> FleetPlan {
    let service = ServicePlan {
        upstreams: 1,
        shards: 1,
        replicas: 1,
        params: Params {
            slots: MAX_CONNECTIONS,
            queue: MAX_CONNECTIONS,
            connections: MAX_CONNECTIONS,
            service_us: 4_000_000,
            ..Params::default()
        },
        ..ServicePlan::default()
    };
    FleetPlan {
        services: vec![service],
        ..FleetPlan::default()
    }
}

async fn measure_pool(fleet: &Fleet, count: usize) -> [f64; 4] {
    let settings = Settings {
        idle_connections: MAX_CONNECTIONS,
        ..Settings::default()
    };
    let before = resident_bytes();
    let (events_tx, events) = unbounded();
    let pools = Pools::new(settings, events_tx);
    let start = thread_cpu_time();
    for number in 1..=count {
        pools.send(request(fleet, number, count));
        if number % BATCH == 0 {
            compio::time::sleep(BATCH_PAUSE).await;
        }
    }
    let replies = collect(events, count).await;
    assert_eq!(replies, count, "a request has no reply");
    assert_eq!(pools.connections(), count, "connections were shared");
    let opened = thread_cpu_time();
    compio::time::sleep(IDLE_PERIOD).await;
    let idle = thread_cpu_time().saturating_sub(opened);
    let memory = (resident_bytes() - before).max(0.0);
    [
        memory / 1e6,
        memory / 1e3 / count as f64,
        micros(opened.saturating_sub(start)) / count as f64,
        micros(idle) / IDLE_PERIOD.as_secs_f64(),
    ]
}

/// Waits for `count` events and returns how many of them are replies.
async fn collect(events: UnboundedReceiver<Event>, count: usize) -> usize {
    let events = events.take(count).collect::<Vec<_>>().await;
    let replied = |e: &&Event| matches!(e, Event::Upstream(_, UpstreamEvent::Replied(_)));
    events.iter().filter(replied).count()
}

fn request(fleet: &Fleet, number: usize, connections: usize) -> Send {
    let number = number as u64;
    Send {
        attempt: AttemptId(number),
        address: fleet.upstreams[0].address,
        connections: u32::try_from(connections).unwrap_or(u32::MAX),
        timeout: Duration::from_secs(15),
        grace: Duration::ZERO,
        sub_request: SubRequest::Search {
            echo: Echo {
                request: RequestId(1),
                attempt: number,
                snapshot: SnapshotId(1),
                shard: name("shard-000".into()),
            },
            limit: 5,
            body: Bytes::from_static(br#"{"query":"harp","limit":5}"#),
        },
    }
}
