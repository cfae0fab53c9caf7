//! Bench `faults`: cost of losing or restarting many instances, or of a network partition, and the
//! time until the views of the instances are complete again.
//!
//! Unless stated otherwise a data centre has 740 upstreams, whose owners change with the members.

use std::time::Duration;

use base::DataCentre;

use super::{
    members,
    meter::micros,
    scale::{SERVICES_PER_DATA_CENTRE, Scale},
    sweep::Sweep,
};
use crate::sim::{Cost, Fault, Plan, World};

/// Time from the start to the fault.
const SETTLE: Duration = Duration::from_secs(15);

/// Time over which the cost of a fault is measured.
const MEASURED: Duration = Duration::from_secs(30);

/// Time over which the cost is measured after a network partition has ended.
const MEASURED_AFTER_PARTITION: Duration = Duration::from_secs(120);

/// Interval between two checks for recovery, which is the resolution of the time to settle.
const STEP: Duration = Duration::from_millis(50);

/// Time after which a crashed instance restarts.
const RESTART_TIME: Duration = Duration::from_secs(2);

const COLUMNS: [&str; 6] = [
    "s to settle",
    "messages/s each",
    "bytes/s each",
    "most bytes/s",
    "us/s each",
    "platform calls",
];

/// Sweeps the number of lost instances, the number of restarting ones and the length of a
/// partition.
pub(super) fn run() {
    let mut sweep = Sweep::new("instances of 93 lost at once", "lost", &COLUMNS);
    for lost in [0, 1, 5, 10, 20, 46] {
        sweep.add(lost, &lose(lost, 1));
    }
    sweep.print_unfitted(10, &lose(10, SERVICES_PER_DATA_CENTRE), "4,440 upstreams");
    sweep.finish();
    let mut sweep = Sweep::new("all instances restart at once", "instances", &COLUMNS);
    for count in [4, 17, 40, 93] {
        let mut world = world(vec![Scale::data_centre(0); count], 1);
        for instance in 0..count {
            let restart = RESTART_TIME;
            world.schedule_fault(Duration::ZERO, Fault::Crash { instance, restart });
        }
        let settled = |w: &World| all_see_peers(w, 0..count, count as u64 - 1);
        sweep.add(
            count,
            &measure_recovery(&mut world, count, MEASURED, settled),
        );
    }
    sweep.finish();
    let mut sweep = Sweep::new("a cut between 3 data centres of 10", "seconds", &COLUMNS);
    for seconds in [10, 60, 600, 3_600] {
        let data_centres = (0..30).map(|i| Scale::data_centre(i / 10));
        let mut world = world(data_centres.collect(), 1);
        let length = Duration::from_secs(seconds);
        partition_data_centres(&mut world, length);
        world.advance(length);
        let settled = |w: &World| {
            let knows = |i: usize| known_data_centres(w, i) == 2;
            (0..3).all(|dc| (dc * 10..dc * 10 + 10).any(knows))
        };
        sweep.add(
            usize::try_from(seconds).unwrap_or(0),
            &measure_recovery(&mut world, 30, MEASURED_AFTER_PARTITION, settled),
        );
    }
    sweep.finish();
}

/// Measures the loss of `lost` of 93 instances in a data centre with this number of services.
fn lose(lost: usize, services: usize) -> [f64; 6] {
    let mut world = world(vec![Scale::data_centre(0); 93], services);
    for instance in 93 - lost..93 {
        let restart = MEASURED * 10;
        world.schedule_fault(Duration::ZERO, Fault::Crash { instance, restart });
    }
    let settled = |w: &World| all_see_peers(w, 0..93 - lost, 92 - lost as u64);
    measure_recovery(&mut world, 93 - lost, MEASURED, settled)
}

fn world(data_centres: Vec<DataCentre>, services: usize) -> World {
    let scale = Scale {
        services,
        ..Scale::default()
    };
    let mut world = World::new(Plan {
        instances: data_centres.clone(),
        objects: scale.objects(1),
        ..members::plan(data_centres.len())
    });
    world.advance(SETTLE);
    world
}

/// Returns whether each of the instances is ready and sees this number of live peers.
fn all_see_peers(world: &World, instances: std::ops::Range<usize>, peers: u64) -> bool {
    let sees_peers = |i: usize| {
        let stats = world.node(i).map(|n| *n.stats());
        stats.is_some_and(|s| s.peers_live == peers && s.ready)
    };
    instances.into_iter().all(sees_peers)
}

/// Returns the number of other data centres of which an instance knows a live member.
fn known_data_centres(world: &World, instance: usize) -> usize {
    let own = instance / 10;
    let node = world.node(instance);
    let knows = |dc: &usize| node.is_some_and(|n| n.has_live_peers_in(&Scale::data_centre(*dc)));
    (0..3).filter(|dc| *dc != own).filter(knows).count()
}

/// Cuts all connections between instances of different data centres.
fn partition_data_centres(world: &mut World, length: Duration) {
    for a in 0..30 {
        for b in (a + 1..30).filter(|b| a / 10 != b / 10) {
            world.schedule_fault(Duration::ZERO, Fault::Partition { a, b, length });
        }
    }
}

/// Measures the time until `settled` holds without interruption, and the cost of the first
/// `instances` instances and of the platform over the time `measured`.
fn measure_recovery(
    world: &mut World,
    instances: usize,
    measured: Duration,
    settled: impl Fn(&World) -> bool,
) -> [f64; 6] {
    let start: Vec<Cost> = (0..instances).map(|i| world.cost(i)).collect();
    let (calls, _) = world.platform_load();
    let started_at = world.now();
    let mut last_unsettled = Duration::ZERO;
    while world.now().since(started_at) < measured {
        world.advance(STEP);
        if !settled(world) {
            last_unsettled = world.now().since(started_at);
        }
    }
    let costs: Vec<Cost> = (0..instances)
        .map(|i| world.cost(i).since(start[i]))
        .collect();
    let per_second = |value: fn(&Cost) -> f64| {
        costs.iter().map(value).sum::<f64>() / instances as f64 / measured.as_secs_f64()
    };
    let most = costs.iter().map(|c| c.bytes).max().unwrap_or(0);
    [
        last_unsettled.as_secs_f64(),
        per_second(|c| c.messages as f64),
        per_second(|c| c.bytes as f64),
        most as f64 / measured.as_secs_f64(),
        per_second(|c| micros(c.cpu_time)),
        (world.platform_load().0 - calls) as f64,
    ]
}
