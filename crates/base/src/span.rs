//! Durations, written with their units.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::size::{SizeError, split_unit, unknown_unit};

const MICROS_PER_MILLI: u128 = 1_000;
const MICROS_PER_SECOND: u128 = 1_000_000;

/// A duration, written as `250us`, `180ms` or `2s` with a resolution of one microsecond.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct Span(pub Duration);

impl Span {
    /// Creates a duration from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Creates a duration from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(Duration::from_secs(secs))
    }
}

impl FromStr for Span {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        const EXAMPLE: &str = "180ms";
        let (number, unit) = split_unit(text, EXAMPLE)?;
        match unit {
            "us" => Ok(Self(Duration::from_micros(number))),
            "ms" => Ok(Self(Duration::from_millis(number))),
            "s" => Ok(Self(Duration::from_secs(number))),
            _ => Err(unknown_unit(unit, EXAMPLE)),
        }
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.as_micros() {
            n if n % MICROS_PER_SECOND == 0 => write!(f, "{}s", n / MICROS_PER_SECOND),
            n if n % MICROS_PER_MILLI == 0 => write!(f, "{}ms", n / MICROS_PER_MILLI),
            n => write!(f, "{n}us"),
        }
    }
}

impl TryFrom<Box<str>> for Span {
    type Error = SizeError;

    fn try_from(text: Box<str>) -> Result<Self, SizeError> {
        text.parse()
    }
}

impl From<Span> for Box<str> {
    fn from(span: Span) -> Self {
        span.to_string().into()
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Self {
        Self(duration)
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Self {
        span.0
    }
}
