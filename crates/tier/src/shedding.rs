//! How much of its searches a shard takes.
//!
//! Load pattern: some replicas turn slow, and what is left of their shards takes fewer parts than
//! are sent, for seconds. Queues grow until every part of the shard is late, although most could
//! be in time. Each late part closes the shard's valve a little and each one in time opens it, so
//! that searches leave the shard out as often as it needs, as long as their coverage allows that.

/// Factor for a part that was late.
const CLOSING: f64 = 0.9;

/// Step for a part that was in time.
const OPENING: f64 = 0.02;

/// Parts in time in a row after which each further one opens the valve by more.
const LONG_RUN: u32 = 8;

/// Least share, so that a recovery is noticed.
const LEAST: f64 = 0.15;

/// Share below which second attempts would only add to the queue.
const HEDGED_FROM: f64 = 0.7;

/// Share of searches that ask a shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Valve {
    share: f64,
    /// Parts in time since the last that was late.
    run: u32,
}

impl Default for Valve {
    fn default() -> Self {
        Self { share: 1.0, run: 0 }
    }
}

impl Valve {
    /// Counts a part that was in time.
    pub fn in_time(&mut self) {
        self.run = self.run.saturating_add(1);
        let faster = f64::from(1 + self.run / LONG_RUN);
        self.share = (self.share + OPENING * faster).min(1.0);
    }

    /// Counts a part that was late.
    pub fn late(&mut self) {
        // A single late part after a long run is a pause rather than overload.
        let is_single = self.run >= LONG_RUN;
        self.run = 0;
        if !is_single {
            self.share = (self.share * CLOSING).max(LEAST);
        }
    }

    /// Returns the share of searches that ask the shard.
    pub fn share(self) -> f64 {
        self.share
    }

    /// Returns whether second attempts are of use.
    pub fn is_hedged(self) -> bool {
        self.share >= HEDGED_FROM
    }
}
