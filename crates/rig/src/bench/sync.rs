//! Bench `sync`: time and cost until a revision of the catalogue has reached all instances of a
//! data centre.

use std::time::Duration;

use super::{members, meter::micros, scale::Scale, sweep::Sweep};
use crate::sim::{Cost, Scenario, World};

/// Time after the start that is not measured.
const SETTLE: Duration = Duration::from_secs(15);

/// Time over which the cost is measured, once without a change and once after the publication;
/// also reported as the time to all when some instance does not reach the revision.
const MEASURED: Duration = Duration::from_secs(20);

/// Interval between two checks of the revisions, which is the resolution of the time to all.
const STEP: Duration = Duration::from_millis(10);

const COLUMNS: [&str; 7] = [
    "document KB",
    "ms to all",
    "messages",
    "KB",
    "KB most",
    "ms each",
    "platform calls",
];

/// Sweeps the instances with a small document and the document size with 93 instances.
pub(super) fn run() {
    let mut sweep = Sweep::new("a revision of one service", "instances", &COLUMNS);
    for instances in [4, 17, 40, 93] {
        sweep.add(instances, &measure(instances, 1));
    }
    sweep.finish();
    let mut sweep = Sweep::new("a revision at 93 instances", "upstreams", &COLUMNS);
    for services in [1, 2, 4, 6] {
        sweep.add(services * 740, &measure(93, services));
    }
    sweep.finish();
}

/// Returns the cost of a revision in excess of the steady state. Costs are sums over all instances,
/// apart from those in columns named `most` and `each`.
fn measure(instances: usize, services: usize) -> [f64; 7] {
    let scale = Scale {
        services,
        ..Scale::default()
    };
    let mut world = World::new(members::plan(instances));
    world.advance(SETTLE);
    let settled = costs(&world, instances);
    let (first, _) = world.platform_load();
    world.advance(MEASURED);
    let (second, _) = world.platform_load();
    let start = costs(&world, instances);
    let document = scale.catalogue().to_json().len() as f64 / 1e3;
    let published_at = world.now();
    for (kind, name, value) in Scenario::objects(&scale.catalogue(), 2) {
        world.publish(kind, &name, value);
    }
    let mut time_to_all = MEASURED;
    while world.now().since(published_at) < MEASURED {
        world.advance(STEP);
        let is_current = |i: usize| world.node(i).is_some_and(|n| n.stats().revision.0 == 2);
        if time_to_all == MEASURED && (0..instances).all(is_current) {
            time_to_all = world.now().since(published_at);
        }
    }
    let end = costs(&world, instances);
    let extra = |value: fn(&Cost) -> f64| {
        let of = |i: usize| value(&end[i].since(start[i])) - value(&start[i].since(settled[i]));
        (0..instances).map(of).collect::<Vec<f64>>()
    };
    let (third, _) = world.platform_load();
    let bytes = extra(|c| c.bytes as f64);
    [
        document,
        time_to_all.as_secs_f64() * 1e3,
        extra(|c| c.messages as f64).iter().sum(),
        bytes.iter().sum::<f64>() / 1e3,
        bytes.iter().copied().fold(0.0, f64::max) / 1e3,
        extra(|c| micros(c.cpu_time)).iter().sum::<f64>() / 1e3 / instances as f64,
        (third - second) as f64 - (second - first) as f64,
    ]
}

fn costs(world: &World, instances: usize) -> Vec<Cost> {
    (0..instances).map(|i| world.cost(i)).collect()
}
