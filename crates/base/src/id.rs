//! Names and numeric identifiers.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 96;

/// Maximum number of digits in the issue time of an idempotency key.
const MAX_ISSUE_DIGITS: usize = 12;

/// Error of parsing a name or identifier.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(visibility(pub))]
pub enum IdError {
    /// The text is empty or longer than [`MAX_NAME_BYTES`].
    #[snafu(display("{what} must have 1 to {MAX_NAME_BYTES} characters"))]
    Length {
        /// Kind of name that was parsed.
        what: &'static str,
    },
    /// The text has a character outside `a-z A-Z 0-9 . _ : -`.
    #[snafu(display(
        "{what} has the character {found:?}; use letters, digits, '.', '_', ':', '-'"
    ))]
    Character {
        /// Kind of name that was parsed.
        what: &'static str,
        /// The first character that is not allowed.
        found: char,
    },
    /// The text of a key does not start with an issue time.
    #[snafu(display(
        "{what} must start with its issue time in unix seconds, such as 1764800000-5f2c"
    ))]
    IssueTime {
        /// Kind of name that was parsed.
        what: &'static str,
    },
    /// The text is not a number in the identifier's base.
    #[snafu(display("{what} must be a number"))]
    Number {
        /// Kind of identifier that was parsed.
        what: &'static str,
    },
}

fn check_name(what: &'static str, text: &str) -> Result<(), IdError> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(IdError::Length { what });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
    match text.chars().find(|&c| !allowed(c)) {
        Some(found) => Err(IdError::Character { what, found }),
        None => Ok(()),
    }
}

/// Returns the issue time at the start of a key, in Unix seconds.
fn issue_time(text: &str) -> Option<u64> {
    let (seconds, rest) = text.split_once('-')?;
    let digits = seconds.bytes().all(|b| b.is_ascii_digit());
    if !digits || seconds.len() > MAX_ISSUE_DIGITS || rest.is_empty() {
        return None;
    }
    seconds.parse().ok()
}

fn check_key(what: &'static str, text: &str) -> Result<(), IdError> {
    check_name(what, text)?;
    match issue_time(text) {
        Some(_) => Ok(()),
        None => Err(IdError::IssueTime { what }),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        text_id!($(#[$doc])* $name, $what, check_name);
    };
    ($(#[$doc:meta])* $name:ident, $what:literal, $check:path) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                $check($what, text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = IdError;

            fn try_from(text: Box<str>) -> Result<Self, IdError> {
                $check($what, &text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for Box<str> {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// Name of a catalogue entry.
    EntryName, "an entry name"
);
text_id!(
    /// Name of an organisation that callers belong to.
    OrganisationName, "an organisation name"
);
text_id!(
    /// Name of a region, which consists of data centres.
    RegionName, "a region name"
);
text_id!(
    /// Name of a service that upstreams offer.
    ServiceName, "a service name"
);
text_id!(
    /// Name of an upstream.
    UpstreamName, "an upstream name"
);
text_id!(
    /// Name of a shard of a service's index.
    ShardName, "a shard name"
);
text_id!(
    /// Name of an instance.
    InstanceName, "an instance name"
);
text_id!(
    /// Name of a data centre.
    DataCentre, "a data centre name"
);
text_id!(
    /// Key that a caller gives to a request that must run at most once: `<seconds>-<text>`, where
    /// `<seconds>` is the time at which the caller issued the key, in Unix seconds.
    IdempotencyKey, "an idempotency key", check_key
);

impl IdempotencyKey {
    /// Returns the issue time in Unix seconds.
    pub fn issued(&self) -> u64 {
        issue_time(&self.0).unwrap_or(0)
    }
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the identifier that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                text.parse().map(Self).map_err(|_| IdError::Number { what: $what })
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number_id!(
    /// Identifier of an attempt of a sub-request, unique within the process.
    AttemptId, "an attempt id"
);
number_id!(
    /// Identifier of a pending request, unique within the process.
    CallId, "a call id"
);
number_id!(
    /// Start count of an instance, which grows with each restart.
    Incarnation, "an incarnation"
);
number_id!(
    /// Identifier of a call to the platform, unique within the process.
    OpId, "an operation id"
);
number_id!(
    /// Revision of the catalogue, which grows with each change.
    Revision, "a revision"
);
number_id!(
    /// Version of an index snapshot, which grows with each snapshot.
    SnapshotId, "a snapshot id"
);
number_id!(
    /// Version of a platform object; all objects draw their versions from one counter.
    Version, "a version"
);

/// Identifier of a caller's request, unique across instances and written as 32 hexadecimal digits.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| IdError::Number {
                what: "a request id",
            })
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
