//! The reducer itself.

use base::Time;

use crate::{effect::Effect, event::Event, stats::Stats};

/// State of one instance.
#[derive(Debug, Default)]
pub struct Node {
    stats: Stats,
}

impl Node {
    /// Takes one event at its time and appends what is to be done.
    pub fn on(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        let _ = (now, event, effects);
    }

    /// Returns the time at which the next [`Event::Tick`] is due, if any.
    pub fn next_wake(&self) -> Option<Time> {
        None
    }

    /// Returns counts and gauges.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }
}
