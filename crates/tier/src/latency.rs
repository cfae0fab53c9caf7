//! Observed latency: the distribution of a route's attempts, and the latency ratio of each
//! upstream.

use std::time::Duration;

use base::{Time, quantile::Quantile};

/// Quantile of attempt latencies at which an attempt is hedged, in thousandths.
const HEDGE_PERMILLE: u64 = 920;

/// Maximum sample that enters the mean, as a multiple of the mean.
const MAX_SAMPLE_RATIO: u64 = 3;

/// Divisor of the objective that gives the mean before any attempt has completed.
const DEFAULT_MEAN_DIVISOR: u32 = 5;

/// Divisor of the objective that gives the hedge delay before any attempt has completed.
const DEFAULT_HEDGE_DIVISOR: u32 = 4;

/// Divisor that gives the weight of one sample in the mean.
const MEAN_WEIGHT_DIVISOR: u32 = 24;

/// Weight of one sample in a latency ratio.
const RATIO_WEIGHT: f64 = 0.3;

/// Time in which a latency ratio without new samples moves half of its distance back to 1, in
/// seconds.
const RATIO_HALF_LIFE_S: f64 = 1.5;

/// Minimum and maximum latency ratio.
const RATIO_RANGE: (f64, f64) = (0.2, 60.0);

/// Weight of a sample below the undisturbed latency, as a divisor.
const UNDISTURBED_DIVISOR: u32 = 8;

/// Maximum growth of the undisturbed latency, as a share a second: overload of some seconds hardly
/// raises it, and a route whose work has doubled has its new one within a minute.
const UNDISTURBED_GROWTH: f64 = 0.02;

/// Latency of a route's attempts that met no queue: a low quantile, which rises slowly.
#[derive(Clone, Copy, Debug, Default)]
pub struct UndisturbedLatency {
    estimate: Option<Duration>,
    at: Time,
}

impl UndisturbedLatency {
    /// Adds the latency of one attempt.
    pub fn add(&mut self, now: Time, sample: Duration) {
        let elapsed = now.since(self.at).as_secs_f64();
        self.estimate = Some(match self.estimate {
            Some(known) if sample < known => known - (known - sample) / UNDISTURBED_DIVISOR,
            Some(known) => sample.min(known.mul_f64(1.0 + UNDISTURBED_GROWTH * elapsed)),
            None => sample,
        });
        self.at = now;
    }

    /// Returns the latency; `None` before any attempt has completed.
    pub fn get(&self) -> Option<Duration> {
        self.estimate
    }
}

/// Latency of a route's attempts, over all of its upstreams.
#[derive(Clone, Copy, Debug)]
pub struct RouteLatency {
    hedge_quantile: Quantile,
    mean_us: u64,
    samples: u32,
}

impl Default for RouteLatency {
    fn default() -> Self {
        Self {
            hedge_quantile: Quantile::new(HEDGE_PERMILLE),
            mean_us: 0,
            samples: 0,
        }
    }
}

impl RouteLatency {
    /// Adds the latency of one attempt.
    pub fn add(&mut self, sample: Duration) {
        self.hedge_quantile.add(sample);
        let us = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX);
        self.samples = self.samples.saturating_add(1);
        let weight = u64::from(self.samples.min(MEAN_WEIGHT_DIVISOR));
        // Outliers are capped, so that the mean reflects undisturbed attempts.
        let capped = match self.samples > MEAN_WEIGHT_DIVISOR {
            true => us.min(self.mean_us.saturating_mul(MAX_SAMPLE_RATIO)),
            false => us,
        };
        self.mean_us = (self.mean_us * (weight - 1) + capped) / weight;
    }

    /// Returns the mean of undisturbed attempts, or a share of the objective without samples.
    pub fn mean(&self, objective: Duration) -> Duration {
        match self.samples {
            0 => objective / DEFAULT_MEAN_DIVISOR,
            _ => Duration::from_micros(self.mean_us.max(200)),
        }
    }

    /// Returns the time after which an attempt is hedged, or a share of the objective without
    /// samples.
    pub fn hedge_delay(&self, objective: Duration) -> Duration {
        self.hedge_quantile
            .get()
            .unwrap_or(objective / DEFAULT_HEDGE_DIVISOR)
    }
}

/// Latency of an upstream relative to the mean of the routes that it serves; 1 is average.
#[derive(Clone, Copy, Debug)]
pub struct LatencyRatio {
    ratio: f64,
    at: Time,
}

impl Default for LatencyRatio {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            at: Time::ZERO,
        }
    }
}

impl LatencyRatio {
    /// Adds the latency of one attempt and the mean latency of its route.
    pub fn add(&mut self, now: Time, took: Duration, mean_latency: Duration) {
        let sample = took.as_secs_f64() / mean_latency.as_secs_f64().max(1e-4);
        let current = self.get(now);
        // Slow samples have more weight, as one slow part can delay a whole search.
        let weight = if sample > current * 2.0 {
            2.0 * RATIO_WEIGHT
        } else {
            RATIO_WEIGHT
        };
        let sample = sample.min(current * 8.0);
        self.ratio = (current + (sample - current) * weight).clamp(RATIO_RANGE.0, RATIO_RANGE.1);
        self.at = now;
    }

    /// Returns the ratio; without new samples it decays to 1, so that the upstream gets requests
    /// again.
    pub fn get(&self, now: Time) -> f64 {
        let idle = now.since(self.at).as_secs_f64();
        1.0 + (self.ratio - 1.0) * 0.5_f64.powf(idle / RATIO_HALF_LIFE_S)
    }
}
