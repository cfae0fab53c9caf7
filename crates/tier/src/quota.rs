//! Limits of organisations: how many requests of one all instances together may run.
//!
//! Load pattern: the callers of an organisation sit at a few of hundreds of instances, each of
//! which sees a small part of its requests, and which part changes within seconds. Equal shares
//! would refuse most of what is below the limit, and shares that are not bounded together would
//! admit several times the limit as soon as instances lose touch with each other.
//!
//! A few instances, the lenders, hold equal shares of every limit, so that the shares add up to the
//! limit without any message. A lender leases its share to the owner, the first of the lenders in
//! reach, for a moment at a time; so a group of instances that is cut off has the shares of its own
//! lenders, and what two groups admit adds up to the limit too. The owner fills a bucket of tokens
//! for each organisation at the rate of the shares that it has, and lends tokens to the instances
//! that callers use. Every loan and lease ends by the clock of the instance that asked for it,
//! counted from the time at which it asked, so that delayed messages cannot prolong one.
//!
//! - [`bucket`] holds the tokens of one organisation.
//! - [`ledger`] decides about the requests of callers, with tokens that it borrows.
//! - [`lending`] decides who owns the limits and lends the tokens.

pub mod bucket;
pub mod ledger;
pub mod lending;

use std::time::Duration;

use base::{InstanceName, OrganisationName, Time};

use crate::organisation::OrganisationLimit;

/// Time over which the platform counts the requests of an organisation (`quotaWindowS`).
const WINDOW: Duration = Duration::from_secs(5);

/// Share of the limit by which it may be exceeded within that time (`quotaOverage`).
const OVERAGE: f64 = 0.1;

/// Requests that may exceed it in addition (`quotaSlack`).
const SLACK: f64 = 20.0;

/// Share of that excess that tokens which were lent before a window and are used in it may take.
const LENT_SHARE: f64 = 0.3;

/// Maximum time for which tokens are lent: what an instance does not use by then is lost for the
/// organisation.
const MAX_LIFETIME: Duration = Duration::from_secs(1);

/// Share of what is left of that excess that buckets may hold beyond the burst; the rest is for
/// lenders that are not known everywhere yet.
const HELD_SHARE: f64 = 0.75;

/// Returns the number of requests by which a limit may be exceeded within [`WINDOW`].
fn excess(limit: &OrganisationLimit) -> f64 {
    OVERAGE * (limit.rate.per_second() * WINDOW.as_secs_f64() + limit.burst) + SLACK
}

/// Returns the time for which tokens of a limit are lent.
pub fn loan_lifetime(limit: &OrganisationLimit) -> Duration {
    let seconds = LENT_SHARE * excess(limit) / limit.rate.per_second().max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(seconds.min(MAX_LIFETIME.as_secs_f64()))
}

/// Returns the number of tokens that all buckets of a limit together may hold beyond the burst.
/// Requests do not arrive evenly, so that without these a caller below its rate would be refused
/// now and then.
fn extra_tokens(limit: &OrganisationLimit) -> f64 {
    let rate = limit.rate.per_second();
    let lent = rate * loan_lifetime(limit).as_secs_f64();
    let stale = rate * WINDOW.as_secs_f64() * lending::STALE_SHARE;
    let least = bucket::MIN_TOKENS * lending::MAX_LENDERS as f64;
    HELD_SHARE * (excess(limit) - lent - stale - least).max(0.0)
}

/// A request to another instance, and the time at which it was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    /// Time by the clock of the instance that asks, which the reply repeats.
    pub sent: Time,
    /// What it asks.
    pub question: Question,
}

/// What an instance asks another one.
#[derive(Clone, Debug, PartialEq)]
pub enum Question {
    /// For tokens of an organisation.
    Tokens {
        /// The organisation.
        organisation: OrganisationName,
        /// Number of tokens that the instance has use for.
        wanted: u32,
    },
    /// For a lease of its share of all limits.
    Share {
        /// The instance that asks.
        from: InstanceName,
        /// Number of lenders that it knows.
        lenders: u32,
        /// Whether it wants the share; otherwise it only makes itself known.
        is_claim: bool,
    },
}

/// Reply to a [`Question`].
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Tokens of an organisation.
    Loan(Loan),
    /// The instance does not own the limits, or does not know that of the organisation.
    Declined(OrganisationName),
    /// A lease of a share.
    Share {
        /// The share of all limits; zero if it is not leased to the instance that asks.
        share: f64,
        /// Number of lenders that the instance knows.
        lenders: u32,
        /// Whether the instance comes before the one that asks in the order of owners.
        is_senior: bool,
    },
}

/// The limits of all organisations and their use, as one instance knows them.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Whether this instance owns the limits.
    pub is_owner: bool,
    /// The share of each limit that it may lend.
    pub share: f64,
    /// The organisations with a limit, those with the most use first.
    pub organisations: Vec<LimitUse>,
}

/// The limit of one organisation and its use.
#[derive(Clone, Debug)]
pub struct LimitUse {
    /// The organisation.
    pub organisation: OrganisationName,
    /// Its limit.
    pub limit: OrganisationLimit,
    /// Its use at this instance.
    pub usage: ledger::Use,
    /// Tokens that this instance has lent.
    pub lent: u64,
}

/// Tokens that the owner lends.
#[derive(Clone, Debug, PartialEq)]
pub struct Loan {
    /// The organisation.
    pub organisation: OrganisationName,
    /// Number of tokens.
    pub tokens: u32,
    /// Time for which they can be used, from the time at which they were asked for.
    pub lifetime: Duration,
    /// Time until the owner has another token.
    pub next: Duration,
}
