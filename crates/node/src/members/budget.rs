//! Token bucket for the bytes of heartbeats.

use std::time::Duration;

use base::{ByteSize, Time};

/// Time of unused budget that may be spent at once, so that a starting instance can exchange
/// messages with all its peers.
const BURST: Duration = Duration::from_secs(8);

/// Bytes that may be sent; the balance goes below zero for messages that cannot wait.
#[derive(Debug)]
pub(super) struct Budget {
    /// Bytes per second.
    rate: i64,
    available: i64,
    refilled_at: Time,
}

impl Budget {
    /// Creates a full budget.
    pub(super) fn new(bytes_per_second: ByteSize, now: Time) -> Self {
        let rate = i64::try_from(bytes_per_second.0).unwrap_or(i64::MAX / 1_000_000_000);
        let available = bytes(rate, BURST);
        let refilled_at = now;
        Self {
            rate,
            available,
            refilled_at,
        }
    }

    pub(super) fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.refilled_at).min(BURST);
        let earned = bytes(self.rate, elapsed);
        if earned > 0 {
            self.available = (self.available + earned).min(bytes(self.rate, BURST));
            self.refilled_at = now;
        }
    }

    pub(super) fn spend(&mut self, bytes: usize) {
        self.available -= i64::try_from(bytes).unwrap_or(i64::MAX / 2);
    }

    /// Returns whether messages that can wait may be sent.
    pub(super) fn allows(&self) -> bool {
        self.available > 0
    }
}

fn bytes(rate: i64, span: Duration) -> i64 {
    let micros = i64::try_from(span.as_micros()).unwrap_or(i64::MAX / rate.max(1));
    rate.saturating_mul(micros) / 1_000_000
}
