//! Which instances hear each other.

use std::{collections::BTreeMap, time::Duration};

use base::Time;

/// Cuts between pairs of instances, each with its end.
#[derive(Debug, Default)]
pub(super) struct Network {
    cuts: BTreeMap<(usize, usize), Time>,
    /// Pairs whose messages are late, by how much and until when.
    late: BTreeMap<(usize, usize), (Duration, Time)>,
}

impl Network {
    /// Cuts two instances off from each other.
    pub(super) fn cut(&mut self, a: usize, b: usize, until: Time) {
        self.cuts.insert((a.min(b), a.max(b)), until);
    }

    /// Makes the messages between two instances late.
    pub(super) fn delay(&mut self, a: usize, b: usize, delay: Duration, until: Time) {
        self.late.insert((a.min(b), a.max(b)), (delay, until));
    }

    /// Returns how late a message is.
    pub(super) fn lateness(&self, now: Time, a: usize, b: usize) -> Duration {
        match self.late.get(&(a.min(b), a.max(b))) {
            Some((delay, until)) if *until > now => *delay,
            _ => Duration::ZERO,
        }
    }

    /// Returns whether a message passes.
    pub(super) fn passes(&self, now: Time, a: usize, b: usize) -> bool {
        self.cuts
            .get(&(a.min(b), a.max(b)))
            .is_none_or(|until| *until <= now)
    }
}
