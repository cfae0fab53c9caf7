//! Requests that crash the upstreams that run them, and harmless requests that lose their
//! connections to a network that fails, at several instances on one simulated clock.

mod scenarios;
mod world;

use std::time::Duration;

use world::{Crash, Scenario, run};

/// Time after the third crash until no instance may send the request on any more.
const SETTLE_WINDOW: Duration = Duration::from_secs(4);

/// Maximum number of attempts with a crashing request after the settle window, over all instances.
const MAX_LATE_ATTEMPTS: usize = 3;

/// Seeds of each scenario.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

/// Runs a scenario with each seed and checks both sides of the decision.
fn check(scenario: &Scenario) {
    for seed in SEEDS {
        let report = run(scenario, seed);
        println!("seed {seed}: {report:?}");
        assert!(
            report.late_attempts <= MAX_LATE_ATTEMPTS,
            "seed {seed}: {report:?}"
        );
        assert_eq!(report.refused_harmless, 0, "seed {seed}: {report:?}");
        assert!(
            report.crashes >= scenario.min_crashes,
            "seed {seed}: {report:?}"
        );
    }
}
