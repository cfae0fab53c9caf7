//! Whether this instance reaches any upstream at all.
//!
//! Load pattern: a data centre is cut off from the upstreams while callers still reach it. Each
//! request would wait for its deadline and fail, although instances elsewhere could serve it. An
//! instance that only fails, or that reaches too few shards of an index, says that it is not ready,
//! refuses at once and tries upstreams until they answer.

use std::time::Duration;

use base::Time;

use crate::upstream::UpstreamKey;

/// Upstreams that have to fail in a row, without a reply from any other.
const FAILING: usize = 5;

/// Time without a reply after which failures count as a cut.
const SILENCE: Duration = Duration::from_millis(600);

/// Part of the shards of an index, as a divisor, that may be out of reach; more than that is a cut
/// rather than failed upstreams.
const OUT_OF_REACH_DIVISOR: usize = 3;

/// Interval at which an upstream is tried while cut off.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Failures since the last reply.
#[derive(Debug, Default)]
pub struct Reach {
    failing: Vec<UpstreamKey>,
    last_reply: Time,
    is_cut: bool,
    is_blind: bool,
}

impl Reach {
    /// Counts a reply of any kind; returns whether it ends a cut.
    pub fn replied(&mut self, now: Time) -> bool {
        self.failing.clear();
        self.last_reply = now;
        std::mem::take(&mut self.is_cut)
    }

    /// Counts a request that got no reply; returns when to look whether this is a cut.
    pub fn failed(&mut self, now: Time, upstream: UpstreamKey) -> Option<Time> {
        if self.failing.len() < FAILING && !self.failing.contains(&upstream) {
            self.failing.push(upstream);
            return (self.failing.len() == FAILING).then_some(now + SILENCE);
        }
        None
    }

    /// Returns whether a cut begins.
    pub fn begins(&mut self, now: Time) -> bool {
        let is_silent = now.since(self.last_reply) >= SILENCE;
        let begins = !self.is_cut && is_silent && self.failing.len() >= FAILING;
        self.is_cut |= begins;
        begins
    }

    /// Notes how many shards of an index are out of reach; returns whether that is news.
    pub fn looked(&mut self, out_of_reach: usize, shards: usize) -> bool {
        let is_blind = out_of_reach * OUT_OF_REACH_DIVISOR > shards;
        std::mem::replace(&mut self.is_blind, is_blind) != is_blind
    }

    /// Returns whether too few shards are reached.
    pub fn is_blind(&self) -> bool {
        self.is_blind
    }

    /// Returns whether the instance is cut off.
    pub fn is_cut(&self) -> bool {
        self.is_cut
    }
}
