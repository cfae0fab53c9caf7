//! Token buckets: extra attempts as a share of first attempts, and rate limits.

use base::{Percent, Rate, Time};

/// One token of a [`ShareBudget`], in thousandths, so that percentages add up exactly.
const MILLI: u64 = 1_000;

/// Limits extra attempts to a share of first attempts.
#[derive(Clone, Copy, Debug)]
pub struct ShareBudget {
    share: Percent,
    burst: u64,
    tokens_milli: u64,
}

impl ShareBudget {
    /// Creates a full budget that holds at most `burst` tokens.
    pub fn new(share: Percent, burst: u64) -> Self {
        Self {
            share,
            burst,
            tokens_milli: burst * MILLI,
        }
    }

    /// Adds tokens for a number of first attempts.
    pub fn deposit(&mut self, attempts: u64) {
        let deposited = attempts * self.share.0 * MILLI / 100;
        self.tokens_milli = (self.tokens_milli + deposited).min(self.burst * MILLI);
    }

    /// Takes one token if available; returns whether it did.
    pub fn try_take(&mut self) -> bool {
        if self.tokens_milli < MILLI {
            return false;
        }
        self.tokens_milli -= MILLI;
        true
    }
}

/// Limits events to a rate per second, with bursts of up to a tenth of a second.
#[derive(Clone, Copy, Debug)]
pub struct RateBudget {
    rate: Rate,
    tokens_micro: u64,
    filled_at: Time,
}

/// One token of a [`RateBudget`], in micro-tokens.
const TOKEN_MICRO: u64 = 1_000_000;

/// Length of the longest burst, as a divisor of one second.
const BURST_DIVISOR: u64 = 10;

impl RateBudget {
    /// Creates a full budget.
    pub fn new(rate: Rate, now: Time) -> Self {
        let mut budget = Self {
            rate,
            tokens_micro: 0,
            filled_at: now,
        };
        budget.tokens_micro = budget.capacity();
        budget
    }

    fn capacity(&self) -> u64 {
        (self.rate.0 * TOKEN_MICRO / BURST_DIVISOR).max(TOKEN_MICRO)
    }

    /// Takes one token if available; returns whether it did.
    pub fn try_take(&mut self, now: Time) -> bool {
        let elapsed_us = u64::try_from(now.since(self.filled_at).as_micros()).unwrap_or(u64::MAX);
        let deposited = elapsed_us.saturating_mul(self.rate.0);
        self.tokens_micro = self
            .tokens_micro
            .saturating_add(deposited)
            .min(self.capacity());
        self.filled_at = now;
        if self.tokens_micro < TOKEN_MICRO {
            return false;
        }
        self.tokens_micro -= TOKEN_MICRO;
        true
    }

    /// Returns the time until a token is available, in microseconds.
    pub fn wait_us(&self) -> u64 {
        let missing = TOKEN_MICRO.saturating_sub(self.tokens_micro);
        missing.div_ceil(self.rate.0.max(1))
    }
}
