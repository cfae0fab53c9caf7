//! Faults and counters of the platform stand-in.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How the platform responds to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Calls are answered after the configured latency.
    #[default]
    Ok,
    /// Calls are answered 503 and have no effect.
    Down,
    /// Calls are answered after the configured latency plus `delay_ms`.
    Slow,
}

/// Body of `POST /control`; absent fields change nothing.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Change {
    mode: Option<Mode>,
    delay_ms: Option<u64>,
    lose_replies: Option<u64>,
    late_writes: Option<bool>,
    /// Whether reads are served from a copy of the store that is made now.
    pub(super) stale_reads: Option<bool>,
    /// Whether reads are served from the copy that the last `stale_reads` made.
    pub(super) stale_again: Option<bool>,
}

/// Active faults.
#[derive(Debug, Default)]
pub(super) struct Faults {
    mode: Mode,
    slow_delay: Duration,
    lose_replies: u64,
    /// Whether a write takes effect after the delay rather than before it.
    pub(super) late_writes: bool,
}

impl Faults {
    /// Applies the fields that are present in `change`.
    pub(super) fn apply(&mut self, change: &Change) {
        self.mode = change.mode.unwrap_or(self.mode);
        self.slow_delay = change
            .delay_ms
            .map_or(self.slow_delay, Duration::from_millis);
        self.lose_replies = change.lose_replies.unwrap_or(self.lose_replies);
        self.late_writes = change.late_writes.unwrap_or(self.late_writes);
    }

    /// Returns the additional delay of a call, or `None` if the platform is down.
    pub(super) fn delay(&self) -> Option<Duration> {
        match self.mode {
            Mode::Ok => Some(Duration::ZERO),
            Mode::Down => None,
            Mode::Slow => Some(self.slow_delay),
        }
    }

    /// Returns whether the reply to the current write is lost, and counts it.
    pub(super) fn lose_reply(&mut self) -> bool {
        let lost = self.lose_replies > 0;
        self.lose_replies = self.lose_replies.saturating_sub(1);
        lost
    }
}

/// Reply to `GET /control`. Each call is counted once, whatever its result is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads of one object.
    pub read: u64,
    /// Writes, including those that conflict.
    pub write: u64,
    /// Watches that were started.
    pub watch: u64,
    /// Watches that are waiting.
    pub watching: usize,
    /// Writes whose condition did not hold.
    pub conflicts: u64,
    /// Writes that took effect but received no reply.
    pub lost_replies: u64,
    /// Version of the last write.
    pub version: u64,
    /// Number of objects.
    pub objects: usize,
}
