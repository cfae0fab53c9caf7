//! How much of its searches a shard takes.
//!
//! Load pattern: some replicas turn slow, and what is left of their shards takes fewer parts than
//! are sent, for seconds. Queues grow until every part of the shard is late, although most could
//! be in time. Each late part closes the shard's valve a little and each one in time opens it, so
//! that searches leave the shard out as often as it needs, as long as their coverage allows that.

/// Factor for a part that was late.
const DECREASE_FACTOR: f64 = 0.9;

/// Step for a part that was in time.
const INCREASE_STEP: f64 = 0.02;

/// Parts in time in a row after which each further one opens the valve by more.
const LONG_RUN_PARTS: u32 = 8;

/// Least share, so that a recovery is noticed.
const MIN_ADMITTED_SHARE: f64 = 0.15;

/// Share below which second attempts would only add to the queue.
const MIN_SHARE_FOR_HEDGING: f64 = 0.7;

/// Share of searches that ask a shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardShedding {
    admitted_share: f64,
    /// Parts in time since the last that was late.
    in_time_run: u32,
}

impl Default for ShardShedding {
    fn default() -> Self {
        Self {
            admitted_share: 1.0,
            in_time_run: 0,
        }
    }
}

impl ShardShedding {
    /// Counts a part that was in time.
    pub fn record_in_time(&mut self) {
        self.in_time_run = self.in_time_run.saturating_add(1);
        let steps = f64::from(1 + self.in_time_run / LONG_RUN_PARTS);
        self.admitted_share = (self.admitted_share + INCREASE_STEP * steps).min(1.0);
    }

    /// Counts a part that was late.
    pub fn record_late(&mut self) {
        // A single late part after a long run is a pause rather than overload.
        let is_single = self.in_time_run >= LONG_RUN_PARTS;
        self.in_time_run = 0;
        if !is_single {
            self.admitted_share = (self.admitted_share * DECREASE_FACTOR).max(MIN_ADMITTED_SHARE);
        }
    }

    /// Returns the share of searches that ask the shard.
    pub fn admitted_share(self) -> f64 {
        self.admitted_share
    }

    /// Returns whether second attempts are of use.
    pub fn allows_hedging(self) -> bool {
        self.admitted_share >= MIN_SHARE_FOR_HEDGING
    }
}
