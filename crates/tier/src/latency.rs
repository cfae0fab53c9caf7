//! Observed latency: the distribution of a route's attempts and the pace of each upstream.

use std::time::Duration;

use base::{Time, quantile::Quantile};

/// Quantile of attempts after which another one is late, in thousandths.
const HEDGE_PERMILLE: u64 = 920;

/// Ratio of the mean above which a sample is a straggler's.
const MAX_SAMPLE_RATIO: u64 = 3;

/// Part of the objective, as a divisor, that an attempt takes when none has ended yet.
const DEFAULT_MEAN_DIVISOR: u32 = 5;

/// Part of the objective, as a divisor, after which an attempt is late when none has ended yet.
const DEFAULT_HEDGE_DIVISOR: u32 = 4;

/// Weight of one sample in a mean, as a divisor.
const MEAN_WEIGHT_DIVISOR: u32 = 24;

/// Weight of one sample in an upstream's pace.
const RATIO_WEIGHT: f64 = 0.3;

/// Time in which a pace that is not confirmed loses half of its distance from 1.
const RATIO_HALF_LIFE_S: f64 = 1.5;

/// Bounds of a pace.
const RATIO_RANGE: (f64, f64) = (0.2, 60.0);

/// Latency of a route's attempts over all of its upstreams.
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
    /// Takes one sample.
    pub fn add(&mut self, sample: Duration) {
        self.hedge_quantile.add(sample);
        let us = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX);
        self.samples = self.samples.saturating_add(1);
        let weight = u64::from(self.samples.min(MEAN_WEIGHT_DIVISOR));
        // Stragglers are cut, so that the mean says how long an undisturbed attempt takes.
        let capped = match self.samples > MEAN_WEIGHT_DIVISOR {
            true => us.min(self.mean_us.saturating_mul(MAX_SAMPLE_RATIO)),
            false => us,
        };
        self.mean_us = (self.mean_us * (weight - 1) + capped) / weight;
    }

    /// Returns the mean of undisturbed attempts, or a share of the objective before any ended.
    pub fn mean(&self, objective: Duration) -> Duration {
        match self.samples {
            0 => objective / DEFAULT_MEAN_DIVISOR,
            _ => Duration::from_micros(self.mean_us.max(200)),
        }
    }

    /// Returns the time after which an attempt is late, or a share of the objective when unknown.
    pub fn hedge_delay(&self, objective: Duration) -> Duration {
        self.hedge_quantile
            .get()
            .unwrap_or(objective / DEFAULT_HEDGE_DIVISOR)
    }
}

/// How long an upstream takes compared with the mean of its routes; 1 is usual.
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
    /// Takes the time of one attempt and the time that was usual for it.
    pub fn add(&mut self, now: Time, took: Duration, usual: Duration) {
        let sample = took.as_secs_f64() / usual.as_secs_f64().max(1e-4);
        let current = self.get(now);
        // Bad news counts more, as it costs a whole search.
        let weight = if sample > current * 2.0 {
            2.0 * RATIO_WEIGHT
        } else {
            RATIO_WEIGHT
        };
        let sample = sample.min(current * 8.0);
        self.ratio = (current + (sample - current) * weight).clamp(RATIO_RANGE.0, RATIO_RANGE.1);
        self.at = now;
    }

    /// Returns the ratio; without new samples it goes back to 1, so that the upstream is tried.
    pub fn get(&self, now: Time) -> f64 {
        let idle = now.since(self.at).as_secs_f64();
        1.0 + (self.ratio - 1.0) * 0.5_f64.powf(idle / RATIO_HALF_LIFE_S)
    }
}
