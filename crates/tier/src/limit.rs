//! Limits that upstreams name in their replies: the requests a second that one takes from all
//! instances together.

use std::{fmt, num::ParseFloatError, str::FromStr, time::Duration};

use base::Time;

/// Time between two reports of what was sent to an upstream that names a limit.
const REPORT_INTERVAL: Duration = Duration::from_secs(4);

/// A number of requests a second, written as a decimal number.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// Error of parsing a [`RequestRate`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RateError {
    /// The text is not a decimal number.
    NotANumber(ParseFloatError),
    /// The number is negative, infinite or no number.
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

impl fmt::Display for RateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotANumber(e) => write!(f, "expected a number of requests a second: {e}"),
            Self::OutOfRange => f.write_str("a number of requests a second must not be negative"),
        }
    }
}

impl std::error::Error for RateError {}

impl FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let per_second = text.trim().parse().map_err(RateError::NotANumber)?;
        Self::new(per_second).ok_or(RateError::OutOfRange)
    }
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
}

impl Limit {
    /// Creates the limit that a reply names.
    pub fn new(now: Time, rate: RequestRate) -> Self {
        Self {
            rate,
            named_at: now,
            load: Load::default(),
            counted_from: now,
        }
    }

    /// Returns the limit of all instances together.
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Applies the limit that a further reply names.
    pub fn rename(&mut self, now: Time, rate: RequestRate) {
        self.rate = rate;
        self.named_at = now;
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
