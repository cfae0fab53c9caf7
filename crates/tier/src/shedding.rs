//! Load shedding by shard: controls the share of searches that query a shard.
//!
//! Load pattern: some replicas slow down, and for seconds their shards have less capacity than the
//! load needs. Queues grow until every part of such a shard is late, although most could be in
//! time. Each late part reduces the shard's admitted share a little, and each part in time raises
//! it, so that searches skip the shard as often as necessary, as far as their minimum coverage
//! allows.
//!
//! A part that is late for a search with a short objective is no sign of a queue: the way to the
//! caller, a handover, a new connection, a pause or the instance's own work on ninety parts explain
//! it. If it lowered the share, the most urgent kind of search would be refused first, without any
//! overload. So lateness counts only if the part has waited for a multiple of what attempts of its
//! kind take without a queue.

use std::time::Duration;

/// Multiple of the undisturbed latency of a kind of search from which a wait is taken for a queue;
/// work varies by about half of that.
const QUEUEING_RATIO: u32 = 4;

/// Returns the wait from which a late part counts as queued at its upstream. `undisturbed` is the
/// latency without a queue, `own_work` the time that this instance needs for all parts of the
/// search.
pub fn queueing_wait(undisturbed: Option<Duration>, own_work: Duration) -> Duration {
    undisturbed.map_or(Duration::ZERO, |it| it * QUEUEING_RATIO + own_work)
}

/// Factor applied to the admitted share for a late part.
const DECREASE_FACTOR: f64 = 0.9;

/// Step added to the admitted share for a part in time.
const INCREASE_STEP: f64 = 0.02;

/// Length of a run of parts in time with which the step grows by another [`INCREASE_STEP`].
const LONG_RUN_PARTS: u32 = 8;

/// Minimum admitted share, so that a recovery is detected.
const MIN_ADMITTED_SHARE: f64 = 0.15;

/// Admitted share below which parts are not hedged, as hedges would only add to the queues.
const MIN_SHARE_FOR_HEDGING: f64 = 0.7;

/// Load shedding state of one shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardShedding {
    admitted_share: f64,
    /// Number of parts in time since the last late one.
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
    /// Records a part that was received in time.
    pub fn record_in_time(&mut self) {
        self.in_time_run = self.in_time_run.saturating_add(1);
        let steps = f64::from(1 + self.in_time_run / LONG_RUN_PARTS);
        self.admitted_share = (self.admitted_share + INCREASE_STEP * steps).min(1.0);
    }

    /// Records a part that was late or missing.
    pub fn record_late(&mut self) {
        // A single late part after a long run indicates a pause rather than overload.
        let is_single = self.in_time_run >= LONG_RUN_PARTS;
        self.in_time_run = 0;
        if !is_single {
            self.admitted_share = (self.admitted_share * DECREASE_FACTOR).max(MIN_ADMITTED_SHARE);
        }
    }

    /// Returns the share of searches that may query the shard.
    pub fn admitted_share(self) -> f64 {
        self.admitted_share
    }

    /// Returns whether parts of the shard are hedged.
    pub fn allows_hedging(self) -> bool {
        self.admitted_share >= MIN_SHARE_FOR_HEDGING
    }
}
