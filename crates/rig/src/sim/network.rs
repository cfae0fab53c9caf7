//! Which instances hear each other.

use std::collections::BTreeMap;

use base::Time;

/// Cuts between pairs of instances, each with its end.
#[derive(Debug, Default)]
pub(super) struct Network {
    cuts: BTreeMap<(usize, usize), Time>,
}

impl Network {
    /// Cuts two instances off from each other.
    pub(super) fn cut(&mut self, a: usize, b: usize, until: Time) {
        self.cuts.insert((a.min(b), a.max(b)), until);
    }

    /// Returns whether a message passes.
    pub(super) fn passes(&self, now: Time, a: usize, b: usize) -> bool {
        self.cuts
            .get(&(a.min(b), a.max(b)))
            .is_none_or(|until| *until <= now)
    }
}
