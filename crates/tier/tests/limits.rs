//! Upstreams that name a limit on the requests of all instances together.

use std::time::Duration;

use base::Time;
use tier::limit::RequestRate;

use crate::simulation::{Simulation, SimulationConfig, Tally, Upstream};

/// Window over which the requests to a limited upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after which an instance that was told of a limit has to keep to it.
const TOLD_FOR: Duration = Duration::from_millis(500);

/// Time from the first reply that names a limit until the limit has to hold.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Searches a second.
const RATE: f64 = 90.0;

fn search_tier(seed: u64) -> SimulationConfig {
    SimulationConfig {
        instances: 12,
        small_instances: 0,
        shards: 20,
        replicas: 2,
        service_time: Duration::from_millis(8),
        objective: Duration::from_millis(120),
        min_coverage: 0.89,
        callers_return: true,
        data_centres: 4,
        seed,
    }
}

/// Sets the limits of some upstreams and runs searches for a while.
fn run_limited(sim: &mut Simulation, limited: &[usize], limit: f64, rate: f64) -> Tally {
    sim.run(rate, Duration::from_secs(10));
    for at in limited {
        sim.upstreams[*at].limit = RequestRate::new(limit);
    }
    sim.run(rate, Duration::from_secs(24))
}

/// Returns the most requests in a window from instances that knew of the limit.
fn most_in_window(upstream: &Upstream) -> usize {
    let first_told = upstream.told.values().min().copied().unwrap_or(Time::ZERO);
    let counted: Vec<Time> = upstream
        .limited_arrivals
        .iter()
        .filter(|(at, instance)| {
            let told = upstream.told.get(instance);
            told.is_some_and(|told| *at >= *told + TOLD_FOR) && *at >= first_told + SETTLE_TIME
        })
        .map(|(at, _)| *at)
        .collect();
    let in_window = |from: &Time| {
        let within = counted
            .iter()
            .filter(|at| *at >= from && **at < *from + WINDOW);
        within.count()
    };
    counted.iter().map(in_window).max().unwrap_or(0)
}

/// Checks the bound: one and a half times the limit, and five requests.
fn assert_within_limit(sim: &Simulation, limited: &[usize], limit: f64) {
    let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
    for at in limited {
        let most = most_in_window(&sim.upstreams[*at]);
        assert!(
            most as f64 <= allowed,
            "upstream {at}: {most}, {allowed} allowed"
        );
    }
}

#[test]
fn an_upstream_gets_no_more_requests_than_the_limit_that_it_names() {
    for seed in 1..=3 {
        let mut sim = Simulation::new(search_tier(seed));
        run_limited(&mut sim, &[0], 20.0, RATE);
        assert_within_limit(&sim, &[0], 20.0);
    }
}
