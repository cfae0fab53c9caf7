//! Reachability: detects that this instance is cut off from its upstreams.
//!
//! Load pattern: a data centre is cut off from the upstreams while callers still reach it. Each
//! request would wait for its deadline and fail, although instances elsewhere could serve it. An
//! instance whose requests all fail, or that reaches too few shards of an index, reports that it is
//! not ready, hands requests over to other instances, and probes upstreams until they reply.

use std::time::Duration;

use base::Time;

use crate::upstream::UpstreamKey;

/// Number of different upstreams that have to fail, without a reply from any, for a cut-off; all of
/// them if fewer are known.
const MIN_FAILED_UPSTREAMS: usize = 5;

/// Time without a reply from any upstream after which failures count as a cut-off.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Divisor of an index's shards that gives the maximum number of unreachable ones; more than that
/// is a cut-off rather than failed upstreams.
const MAX_UNREACHABLE_DIVISOR: usize = 3;

/// Interval between probes while the instance is cut off or lacks shards.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Upstreams that failed since the last reply, and the resulting state.
#[derive(Debug, Default)]
pub struct Reachability {
    failed_upstreams: Vec<UpstreamKey>,
    last_reply: Time,
    is_cut_off: bool,
    lacks_shards: bool,
}

/// Returns the number of upstreams that have to fail for a cut-off, of those that are known.
fn failures_for_cut_off(known: usize) -> usize {
    known.clamp(1, MIN_FAILED_UPSTREAMS)
}

impl Reachability {
    /// Records a reply of any kind; returns whether it ends a cut-off.
    pub fn record_reply(&mut self, now: Time) -> bool {
        self.failed_upstreams.clear();
        self.last_reply = now;
        std::mem::take(&mut self.is_cut_off)
    }

    /// Records a request without a reply or connection; `known` is the number of known upstreams.
    /// Returns the time for the next check for a cut-off, if one is needed.
    pub fn record_failure(
        &mut self,
        now: Time,
        upstream: UpstreamKey,
        known: usize,
    ) -> Option<Time> {
        let needed = failures_for_cut_off(known);
        if self.failed_upstreams.len() < needed && !self.failed_upstreams.contains(&upstream) {
            self.failed_upstreams.push(upstream);
            return (self.failed_upstreams.len() == needed).then_some(now + SILENCE_TIMEOUT);
        }
        None
    }

    /// Checks for a cut-off; returns whether one begins. `known` is the number of known upstreams.
    pub fn detect_cut_off(&mut self, now: Time, known: usize) -> bool {
        let is_silent = now.since(self.last_reply) >= SILENCE_TIMEOUT;
        let has_failed = self.failed_upstreams.len() >= failures_for_cut_off(known);
        let begins = !self.is_cut_off && is_silent && has_failed;
        self.is_cut_off |= begins;
        begins
    }

    /// Sets the number of unreachable shards of an index; returns whether [`Self::lacks_shards`]
    /// changes. While data centres are known to be out of reach, more than `tolerated` are too many:
    /// no search could be served, but others may reach the shards.
    pub fn set_unreachable_shards(
        &mut self,
        unreachable: usize,
        shards: usize,
        tolerated: Option<usize>,
    ) -> bool {
        let lacks_shards = unreachable * MAX_UNREACHABLE_DIVISOR > shards
            || tolerated.is_some_and(|tolerated| unreachable > tolerated);
        std::mem::replace(&mut self.lacks_shards, lacks_shards) != lacks_shards
    }

    /// Returns whether too few shards are reachable.
    pub fn lacks_shards(&self) -> bool {
        self.lacks_shards
    }

    /// Returns whether the instance is cut off from all upstreams.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }
}
