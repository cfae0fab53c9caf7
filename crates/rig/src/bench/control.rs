//! Control work of one instance among 92 live peers, by the upstreams of the catalogue.

use std::time::Duration;

use node::{Event, Object};
use wire::{Body, LeavingUpstream, Objects};

use super::{
    meter::{micros, resident},
    scale::{SERVICES_PER_DATA_CENTRE, Scale},
    solo::{Solo, message},
    sweep::Sweep,
};

/// Live peers of the instance, so that its data centre has 93.
const PEERS: usize = 92;

/// Time over which the steady state is measured.
const STEADY: Duration = Duration::from_secs(60);

/// Members, revisions and upstreams that change for one point.
const CHANGES: usize = 10;

/// Upstreams that are leaving at once, as hints tell of them.
const LEAVING: usize = 40;

/// Sweeps the upstreams: first those of the home data centre, then those of others as well.
pub(super) fn run() {
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
        home.add(services * 740, &measure(services));
    }
    home.finish();
    let mut all = Sweep::new(
        "control, 4,440 home upstreams and those of other data centres",
        "upstreams",
        &columns,
    );
    for services in [6, 9, 12, 15] {
        all.add(services * 740, &measure(services));
    }
    all.finish();
}

fn measure(services: usize) -> [f64; 9] {
    let scale = Scale {
        services,
        ..Scale::default()
    };
    let document = scale.catalogue().to_json().len() as f64 / 1e3;
    let objects = scale.objects(1);
    let before = resident();
    let mut solo = Solo::start(PEERS, objects);
    assert!(solo.node.stats().ready, "the instance is not ready");
    let memory = (resident() - before) / 1e6;
    let (steady, bytes) = steady(&mut solo);
    let view = view_change(&mut solo);
    let revision = revision(&mut solo, scale);
    let index = index(&mut solo, scale);
    let leaving = leaving_upstream(&mut solo);
    let (told, _) = self::steady(&mut solo);
    [
        memory, steady, bytes, told, view, revision, index, leaving, document,
    ]
}

/// Returns processor time and bytes a second.
fn steady(solo: &mut Solo) -> (f64, f64) {
    let (spent, bytes) = (solo.spent, solo.sent_bytes);
    solo.run(STEADY);
    let seconds = STEADY.as_secs_f64();
    let spent = micros(solo.spent - spent) / seconds;
    (spent, (solo.sent_bytes - bytes) as f64 / seconds)
}

/// Returns the processor time of a member's leaving.
fn view_change(solo: &mut Solo) -> f64 {
    let before = solo.spent;
    for from in 1..=CHANGES {
        solo.heartbeat(from, |h| h.leaving = true);
    }
    let spent = solo.spent - before;
    for from in 1..=CHANGES {
        let restarted = wire::Envelope {
            from: super::solo::peer(from).to_string(),
            incarnation: 2,
            body: Some(Body::Heartbeat(wire::Heartbeat {
                answers: u64::MAX,
                ..wire::Heartbeat::default()
            })),
        };
        solo.on(Event::Peer(restarted));
    }
    solo.run(Duration::from_secs(2));
    micros(spent) / CHANGES as f64
}

/// Returns the processor time of a new revision of the catalogue, from its arrival to its force.
fn revision(solo: &mut Solo, mut scale: Scale) -> f64 {
    let mut spent = Duration::ZERO;
    for change in 1..=CHANGES {
        scale.entries = 1 + change % 2;
        let objects = scale.objects(1 + change as u64);
        let objects = solo.publish(objects.into_iter().take(2).collect());
        spent += solo.cost([arrival(objects)]);
    }
    assert_eq!(solo.node.stats().revision.0, 1 + CHANGES as u64);
    micros(spent) / CHANGES as f64
}

/// Returns the processor time of a new index of one service.
fn index(solo: &mut Solo, scale: Scale) -> f64 {
    let mut spent = Duration::ZERO;
    for _ in 0..CHANGES {
        let index = scale.objects(1).into_iter().nth(2);
        let objects = solo.publish(index.into_iter().collect());
        spent += solo.cost([arrival(objects)]);
    }
    micros(spent) / CHANGES as f64
}

/// Returns the processor time of a peer's news that an upstream is leaving.
fn leaving_upstream(solo: &mut Solo) -> f64 {
    let mut spent = Duration::ZERO;
    for upstream in 0..LEAVING {
        let before = solo.spent;
        solo.heartbeat(20, |h| {
            h.leaving_upstreams.push(LeavingUpstream {
                upstream: Scale::upstream(0, upstream).to_string(),
                age_ms: 0,
            });
        });
        spent += solo.spent - before;
    }
    micros(spent) / LEAVING as f64
}

/// Makes the event of a peer's answer with new objects.
fn arrival(objects: Vec<Object>) -> Event {
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
    message(30, Body::Objects(answer))
}
