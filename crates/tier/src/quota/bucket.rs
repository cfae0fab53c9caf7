//! The tokens that an owner has of one organisation's limit.
//!
//! Load pattern: the share of the limit that an owner has changes whenever other lenders come or
//! go. A bucket begins empty, since everything may have been spent before, and loses what exceeds
//! its share when that shrinks, since another owner may fill a bucket with the rest.

use std::time::Duration;

use base::Time;

use super::extra_tokens;
use crate::organisation::OrganisationLimit;

/// Tokens that a bucket can hold whatever the share is: with less than one, it would lend nothing.
pub(super) const MIN_TOKENS: f64 = 1.0;

/// Minimum and maximum time until the next token that is told: about a round trip between
/// instances; and the share may grow again.
const WAIT_RANGE: (Duration, Duration) = (Duration::from_millis(1), Duration::from_secs(2));

/// A bucket of tokens.
#[derive(Clone, Debug)]
pub struct Bucket {
    limit: OrganisationLimit,
    tokens: f64,
    /// Time up to which tokens have been added.
    filled_at: Time,
    lent: u64,
}

impl Bucket {
    /// Creates an empty bucket.
    pub fn new(now: Time, limit: OrganisationLimit) -> Self {
        Self {
            limit,
            tokens: 0.0,
            filled_at: now,
            lent: 0,
        }
    }

    /// Returns the limit.
    pub fn limit(&self) -> &OrganisationLimit {
        &self.limit
    }

    /// Returns the number of tokens that were lent.
    pub fn lent(&self) -> u64 {
        self.lent
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, limit: OrganisationLimit) {
        self.limit = limit;
    }

    /// Adds the tokens of the time since the last call, at the rate of the smaller one of the share
    /// of the limit then and `share`, the one now.
    pub fn fill(&mut self, now: Time, share_before: f64, share: f64) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.tokens += elapsed * self.limit.rate.per_second() * share_before.min(share);
        let most = match share > 0.0 {
            true => share * (self.limit.burst + extra_tokens(&self.limit)) + MIN_TOKENS,
            false => 0.0,
        };
        self.tokens = self.tokens.min(most);
    }

    /// Takes up to `wanted` tokens and returns their number.
    pub fn take(&mut self, wanted: u32) -> u32 {
        let taken = (self.tokens as u32).min(wanted);
        self.tokens -= f64::from(taken);
        self.lent += u64::from(taken);
        taken
    }

    /// Returns the time until there is a whole token, with a share of the limit.
    pub fn wait(&self, share: f64) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        let seconds = missing / (self.limit.rate.per_second() * share).max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.min(WAIT_RANGE.1.as_secs_f64())).max(WAIT_RANGE.0)
    }
}
