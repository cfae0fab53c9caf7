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
const MIN_FAILED_UPSTREAMS: usize = 5;

/// Time without a reply after which failures count as a cut.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Part of the shards of an index, as a divisor, that may be out of reach; more than that is a cut
/// rather than failed upstreams.
const MAX_UNREACHABLE_DIVISOR: usize = 3;

/// Interval at which an upstream is tried while cut off.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Failures since the last reply.
#[derive(Debug, Default)]
pub struct Reachability {
    failed_upstreams: Vec<UpstreamKey>,
    last_reply: Time,
    is_cut_off: bool,
    lacks_shards: bool,
}

impl Reachability {
    /// Counts a reply of any kind; returns whether it ends a cut.
    pub fn record_reply(&mut self, now: Time) -> bool {
        self.failed_upstreams.clear();
        self.last_reply = now;
        std::mem::take(&mut self.is_cut_off)
    }

    /// Counts a request that got no reply; returns when to look whether this is a cut.
    pub fn record_failure(&mut self, now: Time, upstream: UpstreamKey) -> Option<Time> {
        if self.failed_upstreams.len() < MIN_FAILED_UPSTREAMS
            && !self.failed_upstreams.contains(&upstream)
        {
            self.failed_upstreams.push(upstream);
            return (self.failed_upstreams.len() == MIN_FAILED_UPSTREAMS)
                .then_some(now + SILENCE_TIMEOUT);
        }
        None
    }

    /// Returns whether a cut begins.
    pub fn detect_cut_off(&mut self, now: Time) -> bool {
        let is_silent = now.since(self.last_reply) >= SILENCE_TIMEOUT;
        let begins =
            !self.is_cut_off && is_silent && self.failed_upstreams.len() >= MIN_FAILED_UPSTREAMS;
        self.is_cut_off |= begins;
        begins
    }

    /// Notes how many shards of an index are out of reach; returns whether that is news.
    pub fn set_unreachable_shards(&mut self, unreachable: usize, shards: usize) -> bool {
        let lacks_shards = unreachable * MAX_UNREACHABLE_DIVISOR > shards;
        std::mem::replace(&mut self.lacks_shards, lacks_shards) != lacks_shards
    }

    /// Returns whether too few shards are reached.
    pub fn lacks_shards(&self) -> bool {
        self.lacks_shards
    }

    /// Returns whether the instance is cut off.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }
}
