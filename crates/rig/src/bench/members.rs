//! Instances in one data centre: what membership costs each of them.

use std::time::Duration;

use base::DataCentre;

use super::{
    meter::{apart, micros, resident},
    scale::Scale,
    sweep::Sweep,
};
use crate::sim::{Cost, Plan, Scenario, World};

/// Time after the start that is not counted.
const SETTLE: Duration = Duration::from_secs(15);

/// Time that is counted.
const COUNTED: Duration = Duration::from_secs(30);

/// Size that stands for 93 instances and 26 other data centres.
const WITH_OTHERS: usize = 0;

/// Instances of each other data centre in the last point.
const FAR_INSTANCES: usize = 3;

/// Sweeps the instances of one data centre; the last point adds 26 other data centres.
pub(super) fn run() -> std::io::Result<()> {
    let mut sweep = Sweep::new(
        "membership, an instance",
        "instances",
        &["us/s", "bytes/s", "most bytes/s", "messages/s", "KB/member"],
    );
    for instances in [2, 5, 10, 20, 40, 60, 93, 120] {
        sweep.add(instances, &apart("members", instances)?);
    }
    let values = apart("members", WITH_OTHERS)?;
    sweep.show(93, &values, "with 26 other data centres of 3 instances");
    sweep.finish();
    Ok(())
}

/// Returns the means of the first data centre's instances; memory covers all instances.
pub(super) fn measure(size: usize) -> [f64; 5] {
    let places = places(size);
    let instances = places.len();
    let near = places.iter().filter(|place| **place == places[0]).count();
    let before = resident();
    let mut world = World::new(Plan {
        instances: places,
        ..plan(instances)
    });
    world.advance(SETTLE);
    let start: Vec<Cost> = (0..near).map(|i| world.cost(i)).collect();
    world.advance(COUNTED);
    let memory = (resident() - before).max(0.0) / 1e3;
    let costs: Vec<Cost> = (0..near).map(|i| world.cost(i).since(start[i])).collect();
    let mean = |value: fn(&Cost) -> f64| {
        costs.iter().map(value).sum::<f64>() / near as f64 / COUNTED.as_secs_f64()
    };
    let most = costs.iter().map(|c| c.bytes).max().unwrap_or(0);
    let members = instances * (instances - 1);
    [
        mean(|c| micros(c.cpu_time)),
        mean(|c| c.bytes as f64),
        most as f64 / COUNTED.as_secs_f64(),
        mean(|c| c.messages as f64),
        memory / members as f64,
    ]
}

fn places(size: usize) -> Vec<DataCentre> {
    if size != WITH_OTHERS {
        return vec![Scale::data_centre(0); size];
    }
    let mut places = vec![Scale::data_centre(0); 93];
    for other in 1..27 {
        places.extend(vec![Scale::data_centre(other); FAR_INSTANCES]);
    }
    places
}

/// Returns the plan of a world whose instances only know each other.
pub(super) fn plan(instances: usize) -> Plan {
    let scenario = Scenario {
        instances,
        upstreams: 1,
        shards: 1,
        replicas: 1,
        ..Scenario::default()
    };
    scenario.plan()
}
