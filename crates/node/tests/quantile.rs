//! The streaming quantile estimate, with samples of a known distribution.

use std::time::Duration;

use node::quantile::Quantile;
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Latency of an ordinary sub-request.
const USUAL: Duration = Duration::from_millis(5);

/// Returns the estimates of many shards after a number of samples; one in 100 is ten times as long.
fn estimates(samples: usize) -> Vec<Duration> {
    let estimate = |seed| {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut quantile = Quantile::new(950);
        for _ in 0..samples {
            let slow = rng.random_range(0..100) == 0;
            quantile.add(USUAL * if slow { 10 } else { 1 });
        }
        quantile.get().unwrap()
    };
    (0..1_000).map(estimate).collect()
}

#[test]
fn rare_stragglers_do_not_set_the_estimate() {
    for samples in [20, 50, 200, 1_000] {
        let all = estimates(samples);
        let high = all.iter().filter(|e| **e > USUAL * 2).count();
        assert!(
            high <= 30,
            "{high} of 1000 estimates are high after {samples} samples"
        );
    }
}

#[test]
fn estimate_follows_a_shard_that_becomes_faster_or_slower() {
    let mut quantile = Quantile::new(950);
    for _ in 0..500 {
        quantile.add(USUAL * 10);
    }
    for _ in 0..600 {
        quantile.add(USUAL);
    }
    let lowered = quantile.get().unwrap();
    assert!(lowered < USUAL * 2, "{lowered:?} after it became faster");
    for _ in 0..200 {
        quantile.add(USUAL * 10);
    }
    let raised = quantile.get().unwrap();
    assert!(raised > USUAL * 9, "{raised:?} after it became slower");
}
