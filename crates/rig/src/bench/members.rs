//! Bench `members`: cost of membership for each instance, by the number of instances in a data
//! centre.

use std::time::Duration;

use base::DataCentre;

use super::{
    meter::{measure_in_subprocess, micros, resident_bytes},
    scale::Scale,
    sweep::Sweep,
};
use crate::sim::{Cost, Plan, Scenario, World};

/// Time after the start that is not measured.
const SETTLE: Duration = Duration::from_secs(15);

/// Time that is measured.
const MEASURED: Duration = Duration::from_secs(30);

/// Value of the size that selects 93 instances and 26 other data centres.
const WITH_OTHERS: usize = 0;

/// Instances in each other data centre at the last point.
const REMOTE_INSTANCES: usize = 3;

/// Sweeps the instances of one data centre; the last point adds 26 other data centres.
pub(super) fn run() -> std::io::Result<()> {
    let mut sweep = Sweep::new(
        "membership, an instance",
        "instances",
        &["us/s", "bytes/s", "most bytes/s", "messages/s", "KB/member"],
    );
    for instances in [2, 5, 10, 20, 40, 60, 93, 120] {
        sweep.add(instances, &measure_in_subprocess("members", instances)?);
    }
    let values = measure_in_subprocess("members", WITH_OTHERS)?;
    sweep.print_unfitted(93, &values, "with 26 other data centres of 3 instances");
    sweep.finish();
    Ok(())
}

/// Returns the mean cost of the instances of the first data centre; memory is the mean over the
/// members that all instances know.
pub(super) fn measure(size: usize) -> [f64; 5] {
    let data_centres = data_centres(size);
    let instances = data_centres.len();
    let local = data_centres
        .iter()
        .filter(|dc| **dc == data_centres[0])
        .count();
    let before = resident_bytes();
    let mut world = World::new(Plan {
        instances: data_centres,
        ..plan(instances)
    });
    world.advance(SETTLE);
    let start: Vec<Cost> = (0..local).map(|i| world.cost(i)).collect();
    world.advance(MEASURED);
    let memory = (resident_bytes() - before).max(0.0) / 1e3;
    let costs: Vec<Cost> = (0..local).map(|i| world.cost(i).since(start[i])).collect();
    let mean = |value: fn(&Cost) -> f64| {
        costs.iter().map(value).sum::<f64>() / local as f64 / MEASURED.as_secs_f64()
    };
    let most = costs.iter().map(|c| c.bytes).max().unwrap_or(0);
    let members = instances * (instances - 1);
    [
        mean(|c| micros(c.cpu_time)),
        mean(|c| c.bytes as f64),
        most as f64 / MEASURED.as_secs_f64(),
        mean(|c| c.messages as f64),
        memory / members as f64,
    ]
}

/// Returns the data centre of each instance.
fn data_centres(size: usize) -> Vec<DataCentre> {
    if size != WITH_OTHERS {
        return vec![Scale::data_centre(0); size];
    }
    let mut data_centres = vec![Scale::data_centre(0); 93];
    for other in 1..27 {
        data_centres.extend(vec![Scale::data_centre(other); REMOTE_INSTANCES]);
    }
    data_centres
}

/// Returns the plan of a world with one service of one upstream, so that nearly all cost is that of
/// membership.
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
