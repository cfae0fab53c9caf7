//! Send order: which search's parts are sent next where an instance is the bottleneck.
//!
//! Load pattern: sending ninety parts takes half a core 18 ms. A search with an objective of 40 ms
//! that arrives behind one with 120 ms has lost its time before its first part leaves. So the parts
//! of searches that are not the most urgent ones wait here and are sent in slices, as far as the
//! instance has caught up; those of the most urgent ones are sent at once.

use std::{collections::VecDeque, time::Duration};

use base::{CallId, Time};

use crate::upstream::UpstreamKey;

/// CPU time for one part on a whole core and a kept connection, as `edge-load` shows.
const SEND_CPU_TIME: Duration = Duration::from_micros(90);

/// Work in hand from which waiting parts are not sent yet: a tenth of the shortest objective of the
/// users' searches, which an urgent search may wait for.
const MAX_BACKLOG: Duration = Duration::from_millis(4);

/// A search some of whose parts have not been sent.
#[derive(Debug)]
struct Waiting {
    priority: u32,
    due: Time,
    call: CallId,
    /// Positions of the parts and their upstreams.
    parts: VecDeque<(usize, UpstreamKey)>,
}

/// The parts that wait to be sent, and the work in hand.
#[derive(Debug, Default)]
pub struct SendOrder {
    waiting: Vec<Waiting>,
    /// Time at which the parts sent so far will have left.
    busy_until: Time,
}

impl SendOrder {
    /// Records that a part is sent by an instance with a CPU share.
    pub fn record(&mut self, now: Time, cpu_share: f64) {
        let cost = SEND_CPU_TIME.mul_f64(1.0 / cpu_share.max(1e-3));
        self.busy_until = self.busy_until.max(now) + cost;
    }

    /// Adds the parts of a search; it is sent after those with a lower `priority` value, and of
    /// these after those that are due earlier.
    pub fn add(
        &mut self,
        call: CallId,
        priority: u32,
        due: Time,
        parts: VecDeque<(usize, UpstreamKey)>,
    ) {
        if !parts.is_empty() {
            self.waiting.push(Waiting {
                priority,
                due,
                call,
                parts,
            });
        }
    }

    /// Returns the next part to send, if the instance has caught up so far.
    pub fn next(&mut self, now: Time) -> Option<(CallId, usize, UpstreamKey)> {
        if self.busy_until.since(now) >= MAX_BACKLOG {
            return None;
        }
        let searches = self.waiting.iter().enumerate();
        let (first, _) = searches.min_by_key(|(_, it)| (it.priority, it.due))?;
        let search = &mut self.waiting[first];
        let part = search.parts.pop_front();
        let call = search.call;
        if search.parts.is_empty() {
            self.waiting.swap_remove(first);
        }
        part.map(|(at, upstream)| (call, at, upstream))
    }

    /// Returns the time at which the next part may be sent, if any waits.
    pub fn next_at(&self) -> Option<Time> {
        (!self.waiting.is_empty()).then_some(self.busy_until - MAX_BACKLOG / 2)
    }
}
