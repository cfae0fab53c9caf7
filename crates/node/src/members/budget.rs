//! Token bucket for the bytes of control messages.

use std::time::Duration;

use base::{ByteSize, Time};

/// Time of unused budget that may be spent at once; it lets a starting instance meet its peers.
const BURST: Duration = Duration::from_secs(8);

/// Bytes that may be spent; it goes below zero for messages that cannot wait.
#[derive(Debug)]
pub(super) struct Budget {
    rate: i64,
    left: i64,
    filled: Time,
}

impl Budget {
    /// Makes a full budget of so many bytes a second.
    pub(super) fn new(a_second: ByteSize, now: Time) -> Self {
        let rate = i64::try_from(a_second.0).unwrap_or(i64::MAX / 1_000_000_000);
        let left = bytes(rate, BURST);
        let filled = now;
        Self { rate, left, filled }
    }

    pub(super) fn fill(&mut self, now: Time) {
        let elapsed = now.since(self.filled).min(BURST);
        let earned = bytes(self.rate, elapsed);
        if earned > 0 {
            self.left = (self.left + earned).min(bytes(self.rate, BURST));
            self.filled = now;
        }
    }

    pub(super) fn spend(&mut self, bytes: usize) {
        self.left -= i64::try_from(bytes).unwrap_or(i64::MAX / 2);
    }

    /// Returns whether messages that can wait may be sent.
    pub(super) fn allows(&self) -> bool {
        self.left > 0
    }
}

fn bytes(rate: i64, span: Duration) -> i64 {
    let micros = i64::try_from(span.as_micros()).unwrap_or(i64::MAX / rate.max(1));
    rate.saturating_mul(micros) / 1_000_000
}
