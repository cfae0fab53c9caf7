//! Instances that are cut off from all upstreams, while callers and the other instances reach them.

use std::time::Duration;

use crate::simulation::{Cut, Simulation, SimulationConfig};

/// Time after the start of a cut from which callers have to be served.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Searches a second.
const RATE: f64 = 90.0;

fn search_tier(seed: u64) -> SimulationConfig {
    SimulationConfig {
        instances: 12,
        small_instances: 0,
        shards: 20,
        replicas: 2,
        service_time: Duration::from_millis(4),
        objective: Duration::from_millis(120),
        min_coverage: 0.89,
        callers_return: true,
        data_centres: 4,
        seed,
    }
}

/// Cuts instances off and checks how callers are served at these and at the others; returns both
/// shares of first requests that were answered.
fn served_shares(sim: &mut Simulation, cut: &[(usize, Cut)]) -> [f64; 2] {
    sim.run(RATE, Duration::from_secs(5));
    for (instance, how) in cut {
        sim.cuts[*instance] = Some(*how);
    }
    sim.run(RATE, SETTLE_TIME);
    sim.run(RATE, Duration::from_secs(8));
    let mut sums = [(0, 0); 2];
    for (instance, (asked, answered)) in sim.first_tries.iter().enumerate() {
        let is_cut = sim.cuts[instance].is_some();
        let sum = &mut sums[usize::from(!is_cut)];
        *sum = (sum.0 + asked, sum.1 + answered);
    }
    sums.map(|(asked, answered)| f64::from(answered) / f64::from(asked))
}

/// Checks the platform's bound on how much worse callers of cut-off instances are served.
fn assert_served(sim: &mut Simulation, cut: &[(usize, Cut)]) {
    let [at_cut, at_others] = served_shares(sim, cut);
    assert!(
        at_cut >= at_others * 2.0 / 3.0,
        "{at_cut:.3} of the first requests at cut-off instances, {at_others:.3} at the others"
    );
    assert!(at_others >= 0.95, "{at_others:.3} at the others");
}

#[test]
fn callers_of_cut_off_instances_are_served_by_the_others() {
    for seed in 1..=3 {
        let mut most: Vec<_> = (0..7).map(|it| (it, Cut::Hangs)).collect();
        assert_served(&mut Simulation::new(search_tier(seed)), &most);
        most.iter_mut().for_each(|it| it.1 = Cut::Refuses);
        assert_served(&mut Simulation::new(search_tier(seed)), &most);
    }
}

/// Instances are assigned to the data centres in turn.
#[test]
fn callers_of_a_cut_off_data_centre_are_served_by_the_others() {
    for (seed, how) in [(1, Cut::Hangs), (2, Cut::Refuses)] {
        let cut: Vec<_> = (0..12).step_by(4).map(|it| (it, how)).collect();
        assert_served(&mut Simulation::new(search_tier(seed)), &cut);
    }
}
