//! Limits that upstreams name in their replies: the requests a second that one takes from all
//! instances together.
//!
//! Load pattern: an upstream in need is the preferred one of many instances, each of which sends it
//! little and cannot tell that the sum is too much. Each instance sends its share of the limit, of
//! whatever kind, and the excess goes to other upstreams at once. Requests to an upstream come
//! mostly from its own data centre, so the instances there have most of the shares. What one does
//! not use in time lapses: hundreds of instances that have sent nothing for a while could otherwise
//! all send at once.

use std::{fmt, num::ParseFloatError, str::FromStr, time::Duration};

use base::Time;
use rand::Rng;
use snafu::{ResultExt, Snafu};

/// Time for which a request that was allowed and not sent may still be sent.
pub(crate) const LAPSE_TIME: Duration = Duration::from_millis(1_500);

/// Share of that time for which it is kept for requests of the highest priority.
const RESERVED_SHARE: f64 = 0.5;

/// Lowest limit of all instances together that is applied, in requests a second. Without any
/// request, no reply could end a limit of zero.
const MIN_RATE: f64 = 0.5;

/// Wait until a request is allowed if it is too long to be expressed.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Time between two reports of what was sent to an upstream that names a limit.
const REPORT_INTERVAL: Duration = Duration::from_secs(4);

/// A number of requests a second, written as a decimal number.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// Error of parsing a [`RequestRate`].
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RateError {
    /// The text is not a decimal number.
    #[snafu(display("expected a number of requests a second: {source}"))]
    Number {
        /// Error of the parser.
        source: ParseFloatError,
    },
    /// The number is negative, infinite or no number.
    #[snafu(display("a number of requests a second must be finite and not negative"))]
    OutOfRange,
}

impl RequestRate {
    /// Creates a rate; `None` if it is negative, infinite or no number.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the number of requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let per_second = text.trim().parse().context(NumberSnafu)?;
        Self::new(per_second).ok_or(RateError::OutOfRange)
    }
}

/// Returns the requests a second that an instance with a share of the limit may send.
fn own_rate(rate: RequestRate, share: f64) -> f64 {
    // A share of zero would never be used up and never allow anything.
    rate.per_second().max(MIN_RATE) * share.max(f64::MIN_POSITIVE)
}

/// What this instance has sent to an upstream that names a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// First attempts of parts.
    pub first: u32,
    /// Attempts beyond the first.
    pub extra: u32,
    /// Attempts for searches of other instances, the extra ones included.
    pub for_others: u32,
}

/// The limit that an upstream names, as observed by this instance.
#[derive(Clone, Debug)]
pub struct Limit {
    rate: RequestRate,
    /// Time of the latest reply that named it.
    named_at: Time,
    load: Load,
    /// Time from which the load is counted.
    counted_from: Time,
    /// Requests a second that this instance may send.
    own_rate: f64,
    /// Requests that this instance may send now; at least one is needed to send one.
    allowance: f64,
    /// Time of that allowance, which has grown since.
    allowance_since: Time,
}

impl Limit {
    /// Creates the limit that a reply names; `share` is the share of it that this instance has.
    pub fn new(now: Time, rate: RequestRate, share: f64, rng: &mut impl Rng) -> Self {
        Self {
            rate,
            named_at: now,
            load: Load::default(),
            counted_from: now,
            own_rate: own_rate(rate, share),
            // Instances that learn of it at once do not all send their first request at once.
            allowance: rng.random(),
            allowance_since: now,
        }
    }

    /// Returns the limit of all instances together.
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Applies the limit that a further reply names.
    pub fn rename(&mut self, now: Time, rate: RequestRate, share: f64) {
        self.rate = rate;
        self.named_at = now;
        self.set_share(now, share);
    }

    /// Changes the share of the limit that this instance has.
    pub fn set_share(&mut self, now: Time, share: f64) {
        self.allowance = self.allowance_at(now);
        self.allowance_since = now;
        self.own_rate = own_rate(self.rate, share);
    }

    /// Returns whether a request may be sent now.
    pub fn allows(&self, now: Time, is_urgent: bool) -> bool {
        self.allowance_at(now) >= self.needed(is_urgent)
    }

    /// Returns the time from which a request of any priority may be sent.
    pub fn allows_from(&self, now: Time) -> Time {
        let missing = self.needed(false) - self.allowance_at(now);
        if missing <= 0.0 {
            return now;
        }
        // Rounded up, so that a caller that returns then does not come a moment too early.
        let wait = Duration::try_from_secs_f64(missing / self.own_rate).unwrap_or(MAX_WAIT);
        now + wait + Duration::from_millis(1)
    }

    /// Counts a request that is sent against the allowance.
    pub fn take(&mut self, now: Time) {
        // A request that is sent regardless is made up for later.
        self.allowance = (self.allowance_at(now) - 1.0).max(-1.0);
        self.allowance_since = now;
    }

    /// Returns the allowance that is needed to send a request.
    fn needed(&self, is_urgent: bool) -> f64 {
        match is_urgent {
            true => 1.0,
            false => 1.0 + RESERVED_SHARE * self.lapsing().min(1.0),
        }
    }

    /// Returns the requests that are allowed within the lapse time.
    fn lapsing(&self) -> f64 {
        self.own_rate * LAPSE_TIME.as_secs_f64()
    }

    fn allowance_at(&self, now: Time) -> f64 {
        let grown = self.allowance + self.own_rate * now.since(self.allowance_since).as_secs_f64();
        // Whole requests lapse, so that the times at which instances may send stay spread.
        grown - (grown - 1.0 - self.lapsing()).ceil().max(0.0)
    }

    /// Returns whether a reply that names no limit ends this one: its request was sent after the
    /// latest reply that did, so it is not an older reply that arrived late.
    pub fn is_ended_by(&self, sent: Time) -> bool {
        sent > self.named_at
    }

    /// Counts an attempt; returns the load of the last interval and its length once that is over.
    pub fn count(
        &mut self,
        now: Time,
        is_first: bool,
        is_for_other: bool,
    ) -> Option<(Load, Duration)> {
        let elapsed = now.since(self.counted_from);
        let over = (elapsed >= REPORT_INTERVAL).then_some((self.load, elapsed));
        if over.is_some() {
            self.load = Load::default();
            self.counted_from = now;
        }
        match is_first {
            true => self.load.first += 1,
            false => self.load.extra += 1,
        }
        self.load.for_others += u32::from(is_for_other);
        over
    }
}
