//! A running estimate of one quantile in constant space.

use std::time::Duration;

/// Samples before an estimate is used.
const MIN_SAMPLES: u32 = 16;

/// Share of the present estimate by which one sample moves it, in parts of a thousand.
const STEP_PERMILLE: u64 = 20;

/// Smallest step, in microseconds.
const MIN_STEP_US: u64 = 10;

/// Estimates a quantile by stochastic approximation: each sample above moves the estimate up in
/// proportion to the quantile, each sample below moves it down in proportion to the rest.
#[derive(Clone, Copy, Debug)]
pub struct Quantile {
    permille: u64,
    estimate_us: u64,
    samples: u32,
}

impl Quantile {
    /// Makes an estimator of the quantile `permille` / 1000.
    pub fn new(permille: u64) -> Self {
        Self {
            permille: permille.min(999),
            estimate_us: 0,
            samples: 0,
        }
    }

    /// Takes one sample.
    pub fn add(&mut self, sample: Duration) {
        let sample_us = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX);
        self.samples = self.samples.saturating_add(1);
        if self.samples <= MIN_SAMPLES {
            self.estimate_us = self.estimate_us.max(sample_us);
            return;
        }
        let step = (self.estimate_us * STEP_PERMILLE / 1_000).max(MIN_STEP_US);
        if sample_us > self.estimate_us {
            self.estimate_us += step * self.permille / 1_000;
        } else {
            let down = (step * (1_000 - self.permille) / 1_000).max(1);
            self.estimate_us = self.estimate_us.saturating_sub(down);
        }
    }

    /// Returns the estimate, or `None` before there are enough samples.
    pub fn get(&self) -> Option<Duration> {
        (self.samples >= MIN_SAMPLES).then(|| Duration::from_micros(self.estimate_us))
    }
}
