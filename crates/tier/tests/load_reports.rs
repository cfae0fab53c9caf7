//! Upstreams that report their load.

use std::time::Duration;

use base::Time;
use tier::load_report::{LoadReport, Received};

use crate::simulation::{Noise, Simulation, SimulationConfig};

/// Time for which requests are counted, after a warm-up.
const TIME: Duration = Duration::from_secs(12);

/// What requests have met, over several seeds.
#[derive(Debug, Default)]
struct Observed {
    in_time: f64,
    /// Requests at the upstream as a request arrives.
    met: f64,
    /// Standard deviation of the requests to the replicas, relative to their mean.
    spread: f64,
    /// Attempts that were placed by a report.
    by_report: u64,
}

fn run(setup: SimulationConfig, rate: f64, report_age: Option<Duration>) -> Observed {
    const SEEDS: u64 = 6;
    let mut result = Observed::default();
    for seed in 1..=SEEDS {
        let noise = Noise {
            share: 0.1,
            slowdown: 2.5,
            interval: Duration::from_millis(400),
            report_age,
        };
        let mut sim = Simulation::new(SimulationConfig {
            seed,
            noise: Some(noise),
            ..setup
        });
        sim.run(rate, Duration::from_secs(3));
        for upstream in &mut sim.upstreams {
            (upstream.arrivals, upstream.met) = (0, 0);
        }
        let tally = sim.run(rate, TIME);
        let arrivals = sim.upstreams.iter().map(|it| it.arrivals as f64);
        let met: usize = sim.upstreams.iter().map(|it| it.met).sum();
        let total: f64 = arrivals.clone().sum();
        let mean = total / sim.upstreams.len() as f64;
        let variance: f64 = arrivals.map(|it| (it - mean).powi(2)).sum();
        let deviation = (variance / sim.upstreams.len() as f64).sqrt();
        result.in_time += f64::from(tally.in_time) / f64::from(tally.asked) / SEEDS as f64;
        result.met += met as f64 / total / SEEDS as f64;
        result.spread += deviation / mean / SEEDS as f64;
        result.by_report += sim.placements_by_report();
    }
    result
}

/// One service of six upstreams, at two thirds of what they can do.
fn one_service() -> SimulationConfig {
    SimulationConfig {
        instances: 102,
        shards: 1,
        replicas: 6,
        service_time: Duration::from_millis(100),
        objective: Duration::from_millis(600),
        ..SimulationConfig::twelve_instances(1)
    }
}

/// Shards, of which each instance asks each replica every few seconds.
fn shards() -> SimulationConfig {
    SimulationConfig {
        instances: 102,
        replicas: 3,
        service_time: Duration::from_millis(10),
        ..SimulationConfig::twelve_instances(1)
    }
}

/// Every instance hears of an upstream only now and then, so that those that all believed the last
/// report would run to the same one.
#[test]
fn reports_spread_the_load_of_a_large_fleet_no_less_evenly() {
    let without = run(one_service(), 100.0, None);
    for age in [50, 500] {
        let with = run(one_service(), 100.0, Some(Duration::from_millis(age)));
        assert!(with.by_report > 0, "{with:?}");
        assert!(
            with.spread <= without.spread && with.in_time >= without.in_time - 0.02,
            "{age} ms: {with:?}, {without:?}"
        );
    }
}

/// Each instance asks a replica of a shard every few seconds, and a search is as late as its
/// slowest part: reports there would not spread the load more evenly, so they place nothing.
#[test]
fn reports_of_shards_place_no_request() {
    let with = run(shards(), 250.0, Some(Duration::from_millis(50)));
    assert_eq!(with.by_report, 0, "{with:?}");
}

#[test]
fn reports_spread_the_load_of_shards_no_less_evenly() {
    let without = run(shards(), 250.0, None);
    for age in [50, 500] {
        let with = run(shards(), 250.0, Some(Duration::from_millis(age)));
        println!("{age} ms: {with:?}, {without:?}");
        assert!(
            with.spread <= without.spread,
            "{age} ms: {with:?}, {without:?}"
        );
    }
}

/// Twelve instances, each of which gets a reply from each upstream about once a second.
#[test]
fn requests_meet_fewer_others_with_reports() {
    let setup = SimulationConfig {
        instances: 12,
        ..one_service()
    };
    let without = run(setup, 85.0, None);
    let with = run(setup, 85.0, Some(Duration::ZERO));
    assert!(
        with.met <= without.met * 0.95 && with.in_time >= without.in_time - 0.005,
        "{with:?}, {without:?}"
    );
}

#[test]
fn a_report_counts_other_instances_only_and_is_soon_worth_nothing() {
    let report = LoadReport {
        running: 2,
        waiting: 3,
        slots: 2,
        slowdown: 2.5,
    };
    let at = Time::from_micros(1_000_000);
    let received = Received::new(at, report, 2);
    let now = received.at(at).unwrap();
    assert!((now.others - 3.0).abs() < 1e-9 && (now.slowdown - 2.5).abs() < 1e-9);
    let later = received.at(at + Duration::from_millis(150)).unwrap();
    assert!(later.others < 1.2 && later.slowdown < 1.6, "{later:?}");
    assert_eq!(received.at(at + Duration::from_millis(500)), None);
    let own = Received::new(at, report, 9);
    assert!(own.at(at).unwrap().others.abs() < 1e-9);
}
