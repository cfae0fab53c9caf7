//! Points in time on the monotonic clock of an instance.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

/// A point in time, in microseconds since the instance's clock started.
///
/// The reducer never reads a clock: it is given the time with each event, so that tests can pause
/// and advance it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);
    /// A point in time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates a point in time from microseconds since the clock started.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a point in time from milliseconds since the clock started.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the clock started.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
