//! Faults and counters of the platform stand-in.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How the platform answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// At once, or after the configured latency.
    #[default]
    Ok,
    /// Every call is answered 503 and has no effect.
    Down,
    /// Every call takes longer by the fault's delay.
    Slow,
}

/// Body of `POST /control`; absent fields stay as they are.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Change {
    mode: Option<Mode>,
    delay_ms: Option<u64>,
    lose_replies: Option<u64>,
    late_writes: Option<bool>,
    pub(super) stale_reads: Option<bool>,
    /// Serves the copy of the last `stale_reads` again.
    pub(super) stale_again: Option<bool>,
}

/// Faults in force.
#[derive(Debug, Default)]
pub(super) struct Faults {
    mode: Mode,
    slow: Duration,
    lose_replies: u64,
    /// Whether a delayed write takes effect after the delay rather than before it.
    pub(super) late_writes: bool,
}

impl Faults {
    /// Takes over the fields that `change` has.
    pub(super) fn apply(&mut self, change: &Change) {
        self.mode = change.mode.unwrap_or(self.mode);
        self.slow = change.delay_ms.map_or(self.slow, Duration::from_millis);
        self.lose_replies = change.lose_replies.unwrap_or(self.lose_replies);
        self.late_writes = change.late_writes.unwrap_or(self.late_writes);
    }

    /// Returns the added delay of a call, or `None` when the platform is down.
    pub(super) fn delay(&self) -> Option<Duration> {
        match self.mode {
            Mode::Ok => Some(Duration::ZERO),
            Mode::Down => None,
            Mode::Slow => Some(self.slow),
        }
    }

    /// Returns whether the reply of the write that has just taken effect is lost.
    pub(super) fn lose_reply(&mut self) -> bool {
        let lost = self.lose_replies > 0;
        self.lose_replies = self.lose_replies.saturating_sub(1);
        lost
    }
}

/// Reply of `GET /control`; each call counts once, however it ends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads of one object.
    pub read: u64,
    /// Writes, also those that conflict.
    pub write: u64,
    /// Watches that began.
    pub watch: u64,
    /// Watches that wait.
    pub watching: usize,
    /// Writes whose condition did not hold.
    pub conflicts: u64,
    /// Writes that took effect and whose reply was withheld.
    pub lost_replies: u64,
    /// Version of the last write.
    pub version: u64,
    /// Objects held.
    pub objects: usize,
}
