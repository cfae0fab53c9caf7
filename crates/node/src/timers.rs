//! Timers of the reducer.

use std::{cmp::Reverse, collections::BinaryHeap};

use base::Time;

/// A queue of timers ordered by due time.
///
/// Timers cannot be cancelled; the receiver ignores one that is obsolete when it fires.
#[derive(Debug)]
pub struct Timers<K> {
    heap: BinaryHeap<Reverse<(Time, K)>>,
}

impl<K: Ord> Default for Timers<K> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
        }
    }
}

impl<K: Ord> Timers<K> {
    /// Adds a timer that is due at `at`.
    pub fn set(&mut self, at: Time, key: K) {
        self.heap.push(Reverse((at, key)));
    }

    /// Removes and returns the earliest timer, if it is due.
    pub fn pop_due(&mut self, now: Time) -> Option<K> {
        let Reverse((at, _)) = self.heap.peek()?;
        if *at > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, key))| key)
    }

    /// Returns the due time of the earliest timer.
    pub fn next(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }
}
