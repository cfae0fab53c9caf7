//! Streaming estimate of a quantile in constant space.

use std::time::Duration;

/// Number of samples that set the initial estimate.
const MIN_SAMPLES: u32 = 16;

/// Step as a share of the estimate, in thousandths.
const STEP_PERMILLE: u64 = 20;

/// Smallest step, in microseconds.
const MIN_STEP_US: u64 = 10;

/// Number of samples after which the initial estimate no longer matters.
const SETTLED_SAMPLES: u32 = 1_024;

/// Number of consecutive samples below the estimate after which a step down grows by its initial
/// size.
const SPEEDUP_SAMPLES: u64 = 64;

/// Estimates a quantile `q` by stochastic approximation: a sample above the estimate raises it by
/// `q` steps, any other sample lowers it by `1 - q` steps.
///
/// The initial estimate is the second greatest of the first samples, so that a single straggler
/// does not set it. The steps down grow with the number of consecutive samples below the estimate.
#[derive(Clone, Copy, Debug)]
pub struct Quantile {
    /// The quantile in thousandths.
    permille: u64,
    estimate_us: u64,
    /// Greatest of the first samples.
    greatest_us: u64,
    samples: u32,
    /// Number of samples since the last one above the estimate.
    below: u64,
}

impl Quantile {
    /// Creates an estimator of the quantile `permille` / 1000; the maximum is 999.
    pub fn new(permille: u64) -> Self {
        Self {
            permille: permille.min(999),
            estimate_us: 0,
            greatest_us: 0,
            samples: 0,
            below: 0,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        let sample_us = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX);
        self.samples = self.samples.saturating_add(1);
        if self.samples <= MIN_SAMPLES {
            self.add_initial(sample_us);
        } else if sample_us > self.estimate_us {
            self.below = 0;
            self.estimate_us += self.step() * self.permille / 1_000;
        } else {
            self.below += 1;
            let down = self.step() * (1_000 - self.permille) / 1_000;
            let speedup = 1 + self.below / SPEEDUP_SAMPLES;
            self.estimate_us = self.estimate_us.saturating_sub(down.max(1) * speedup);
        }
    }

    /// Adds one of the first samples.
    fn add_initial(&mut self, sample_us: u64) {
        let second = sample_us.min(self.greatest_us);
        self.greatest_us = sample_us.max(self.greatest_us);
        self.estimate_us = self.estimate_us.max(second);
    }

    fn step(&self) -> u64 {
        (self.estimate_us * STEP_PERMILLE / 1_000).max(MIN_STEP_US)
    }

    /// Returns whether the initial estimate no longer matters.
    pub fn is_settled(&self) -> bool {
        self.samples >= SETTLED_SAMPLES
    }

    /// Returns the estimate, or `None` before there are enough samples.
    pub fn get(&self) -> Option<Duration> {
        (self.samples >= MIN_SAMPLES).then(|| Duration::from_micros(self.estimate_us))
    }
}
