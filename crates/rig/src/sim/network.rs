//! Connectivity between simulated instances: partitions and message delays.

use std::{collections::BTreeMap, time::Duration};

use base::Time;

/// Faults on the links between pairs of instances. A pair is stored with the lower index first.
#[derive(Debug, Default)]
pub(super) struct Network {
    /// Partitioned pairs, with the time at which the partition ends.
    partitions: BTreeMap<(usize, usize), Time>,
    /// Pairs with delayed messages: the delay and the time at which it ends.
    delays: BTreeMap<(usize, usize), (Duration, Time)>,
}

impl Network {
    /// Drops all messages between two instances until a time.
    pub(super) fn partition(&mut self, a: usize, b: usize, until: Time) {
        self.partitions.insert((a.min(b), a.max(b)), until);
    }

    /// Delays all messages between two instances until a time.
    pub(super) fn delay(&mut self, a: usize, b: usize, delay: Duration, until: Time) {
        self.delays.insert((a.min(b), a.max(b)), (delay, until));
    }

    /// Returns the additional delay of a message sent now.
    pub(super) fn message_delay(&self, now: Time, a: usize, b: usize) -> Duration {
        match self.delays.get(&(a.min(b), a.max(b))) {
            Some((delay, until)) if *until > now => *delay,
            _ => Duration::ZERO,
        }
    }

    /// Returns whether a message sent now is delivered.
    pub(super) fn is_connected(&self, now: Time, a: usize, b: usize) -> bool {
        self.partitions
            .get(&(a.min(b), a.max(b)))
            .is_none_or(|until| *until <= now)
    }
}
