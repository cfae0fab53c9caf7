//! Sizes, rates and percentages, written with their units.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

/// Error of parsing a size, rate, percentage or duration.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum SizeError {
    /// The text does not start with a number, or the number is too large.
    #[snafu(display("expected a number with a unit, such as {example}"))]
    Number {
        /// A valid text.
        example: &'static str,
    },
    /// The unit is missing or unknown.
    #[snafu(display("unknown unit {unit:?}; write it as {example}"))]
    Unit {
        /// The text in place of the unit.
        unit: Box<str>,
        /// A valid text.
        example: &'static str,
    },
}

/// Splits a quantity into its number and unit; `example` is a valid text for the error.
pub(crate) fn split_unit<'a>(
    text: &'a str,
    example: &'static str,
) -> Result<(u64, &'a str), SizeError> {
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    let number = number.parse().map_err(|_| SizeError::Number { example })?;
    Ok((number, unit.trim_start()))
}

pub(crate) fn unknown_unit(unit: &str, example: &'static str) -> SizeError {
    SizeError::Unit {
        unit: unit.into(),
        example,
    }
}

macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        pub struct $name(pub u64);

        impl TryFrom<Box<str>> for $name {
            type Error = SizeError;

            fn try_from(text: Box<str>) -> Result<Self, SizeError> {
                text.parse()
            }
        }

        impl From<$name> for Box<str> {
            fn from(value: $name) -> Self {
                value.to_string().into()
            }
        }
    };
}

quantity!(
    /// A size in bytes, written as `512B`, `64KiB` or `1MiB`.
    ByteSize
);
quantity!(
    /// A number of events per second, written as `500/s`.
    Rate
);
quantity!(
    /// A percentage, written as `5%`.
    Percent
);

impl FromStr for ByteSize {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        const EXAMPLE: &str = "64KiB";
        let (number, unit) = split_unit(text, EXAMPLE)?;
        let scale = match unit {
            "B" => 1,
            "KiB" => KIB,
            "MiB" => MIB,
            _ => return Err(unknown_unit(unit, EXAMPLE)),
        };
        number
            .checked_mul(scale)
            .map(Self)
            .ok_or(SizeError::Number { example: EXAMPLE })
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n >= MIB && n % MIB == 0 => write!(f, "{}MiB", n / MIB),
            n if n >= KIB && n % KIB == 0 => write!(f, "{}KiB", n / KIB),
            n => write!(f, "{n}B"),
        }
    }
}

impl FromStr for Rate {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        const EXAMPLE: &str = "500/s";
        match split_unit(text, EXAMPLE)? {
            (number, "/s") => Ok(Self(number)),
            (_, unit) => Err(unknown_unit(unit, EXAMPLE)),
        }
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Percent {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        const EXAMPLE: &str = "5%";
        match split_unit(text, EXAMPLE)? {
            (number, "%") => Ok(Self(number)),
            (_, unit) => Err(unknown_unit(unit, EXAMPLE)),
        }
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}
