//! Bench `control`: cost of control traffic and of changes at one instance with 92 live peers, by
//! the number of upstreams in the catalogue.

use std::time::Duration;

use node::{Event, Object};
use wire::{Body, LeavingUpstream, Objects};

use super::{
    meter::{measure_in_subprocess, micros, resident_bytes},
    node_harness::NodeHarness,
    scale::{SERVICES_PER_DATA_CENTRE, Scale},
    sweep::Sweep,
};

/// Live peers of the instance, so that its data centre has 93 instances.
const PEERS: usize = 92;

/// Time over which the steady state is measured.
const STEADY_PERIOD: Duration = Duration::from_secs(60);

/// Number of leaving members, new revisions and new indexes at each point.
const CHANGES: usize = 10;

/// Number of upstreams that a peer reports as leaving.
const LEAVING: usize = 40;

/// Sweeps the upstreams of the local data centre, then adds those of other data centres.
pub(super) fn run() -> std::io::Result<()> {
    let columns = [
        "MB resident",
        "us/s steady",
        "bytes/s steady",
        "us/s leaving",
        "us/view change",
        "us/revision",
        "us/index",
        "us/leaving up",
        "document KB",
    ];
    let mut home = Sweep::new("control, home upstreams", "upstreams", &columns);
    for services in [1, 2, 3, 4, 5, SERVICES_PER_DATA_CENTRE] {
        home.add(services * 740, &measure_in_subprocess("control", services)?);
    }
    home.finish();
    let mut all = Sweep::new(
        "control, 4,440 home upstreams and those of other data centres",
        "upstreams",
        &columns,
    );
    for services in [6, 9, 12, 15] {
        all.add(services * 740, &measure_in_subprocess("control", services)?);
    }
    all.finish();
    Ok(())
}

/// Measures one instance with this number of services.
pub(super) fn measure(services: usize) -> [f64; 9] {
    let before = resident_bytes();
    let scale = Scale {
        services,
        ..Scale::default()
    };
    let document = scale.catalogue().to_json().len() as f64 / 1e3;
    let objects = scale.objects(1);
    let mut harness = NodeHarness::start(PEERS, objects);
    assert!(harness.node.stats().ready, "the instance is not ready");
    let memory = (resident_bytes() - before) / 1e6;
    let (steady, bytes) = steady_state(&mut harness);
    let view = measure_view_change(&mut harness);
    let revision = measure_revision(&mut harness, scale);
    let index = measure_index(&mut harness, scale);
    let leaving = measure_leaving_upstream(&mut harness);
    let (cpu_while_leaving, _) = steady_state(&mut harness);
    [
        memory,
        steady,
        bytes,
        cpu_while_leaving,
        view,
        revision,
        index,
        leaving,
        document,
    ]
}

/// Returns the CPU time in microseconds and the bytes sent, both per second.
fn steady_state(harness: &mut NodeHarness) -> (f64, f64) {
    let (spent, bytes) = (harness.cpu_time, harness.sent_bytes);
    harness.run(STEADY_PERIOD);
    let seconds = STEADY_PERIOD.as_secs_f64();
    let spent = micros(harness.cpu_time - spent) / seconds;
    (spent, (harness.sent_bytes - bytes) as f64 / seconds)
}

/// Returns the CPU time that a leaving member causes, in microseconds.
fn measure_view_change(harness: &mut NodeHarness) -> f64 {
    let before = harness.cpu_time;
    for from in 1..=CHANGES {
        harness.receive_heartbeat(from, |h| h.leaving = true);
    }
    let spent = harness.cpu_time - before;
    (1..=CHANGES).for_each(|from| harness.restart(from));
    harness.run(Duration::from_secs(2));
    micros(spent) / CHANGES as f64
}

/// Returns the CPU time for a new revision of the catalogue, from its arrival until it is applied,
/// in microseconds.
fn measure_revision(harness: &mut NodeHarness, mut scale: Scale) -> f64 {
    let mut spent = Duration::ZERO;
    for change in 1..=CHANGES {
        scale.entries = 1 + change % 2;
        let objects = scale.objects(1 + change as u64);
        let objects = harness.publish(objects.into_iter().take(2).collect());
        let arrival = object_arrival(harness, objects);
        spent += harness.cpu_time_of([arrival]);
    }
    assert_eq!(harness.node.stats().revision.0, 1 + CHANGES as u64);
    micros(spent) / CHANGES as f64
}

/// Returns the CPU time for a new index of one service, in microseconds.
fn measure_index(harness: &mut NodeHarness, scale: Scale) -> f64 {
    let mut spent = Duration::ZERO;
    for _ in 0..CHANGES {
        let index = scale.objects(1).into_iter().nth(2);
        let objects = harness.publish(index.into_iter().collect());
        let arrival = object_arrival(harness, objects);
        spent += harness.cpu_time_of([arrival]);
    }
    micros(spent) / CHANGES as f64
}

/// Returns the CPU time for the report of a peer that an upstream is leaving, in microseconds.
fn measure_leaving_upstream(harness: &mut NodeHarness) -> f64 {
    let mut spent = Duration::ZERO;
    for upstream in 0..LEAVING {
        let before = harness.cpu_time;
        harness.receive_heartbeat(20, |h| {
            h.leaving_upstreams.push(LeavingUpstream {
                upstream: Scale::upstream(0, upstream).to_string(),
                age_ms: 0,
            });
        });
        spent += harness.cpu_time - before;
    }
    micros(spent) / LEAVING as f64
}

/// Returns the event of a message from a peer with new objects.
fn object_arrival(harness: &NodeHarness, objects: Vec<Object>) -> Event {
    let seen = objects.last().map_or(0, |o| o.version.0);
    let objects = objects.into_iter().map(|o| wire::Object {
        kind: o.kind.as_str().into(),
        name: o.name.into(),
        version: o.version.0,
        value: o.value,
    });
    let answer = Objects {
        objects: objects.collect(),
        after: 0,
        seen,
    };
    harness.message(30, Body::Objects(answer))
}
