//! Timers of the reducer.

use std::{cmp::Reverse, collections::BinaryHeap};

use base::Time;

/// Timers by due time; a timer that is no longer wanted is ignored when it fires.
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
    /// Sets a timer.
    pub fn set(&mut self, at: Time, key: K) {
        self.heap.push(Reverse((at, key)));
    }

    /// Takes the next timer that is due.
    pub fn pop_due(&mut self, now: Time) -> Option<K> {
        let Reverse((at, _)) = self.heap.peek()?;
        if *at > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, key))| key)
    }

    /// Returns when the next timer is due.
    pub fn next(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }
}
