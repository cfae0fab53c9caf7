//! Objects in the platform's store.

use std::{fmt, str::FromStr};

use base::Version;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Kinds of platform object that the system reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The head of the catalogue; one object named `head`.
    Catalogue,
    /// One immutable catalogue document, named by its digest.
    Document,
    /// Index snapshots of one service, named after it.
    Index,
    /// The platform's list of live and leaving upstreams of one service, named after it.
    Liveness,
    /// One bucket of claims.
    Claims,
    /// One entry of the audit trail, named by its revision.
    Trail,
}

impl Kind {
    /// The kinds that every instance watches.
    ///
    /// Documents are read when a head refers to them: a watch from the start would return every
    /// document that was ever accepted.
    pub const WATCHED: [Self; 3] = [Self::Catalogue, Self::Index, Self::Liveness];

    /// Returns the name of the kind in the object API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Catalogue => "catalogue",
            Self::Document => "document",
            Self::Index => "index",
            Self::Liveness => "liveness",
            Self::Claims => "claims",
            Self::Trail => "trail",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error for a text that is not the name of a kind.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("unknown object kind"))]
pub struct KindError;

impl FromStr for Kind {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self, KindError> {
        match text {
            "catalogue" => Ok(Self::Catalogue),
            "document" => Ok(Self::Document),
            "index" => Ok(Self::Index),
            "liveness" => Ok(Self::Liveness),
            "claims" => Ok(Self::Claims),
            "trail" => Ok(Self::Trail),
            _ => Err(KindError),
        }
    }
}

/// One object with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Kind of the object.
    pub kind: Kind,
    /// Name within the kind.
    pub name: Box<str>,
    /// Version, from one counter that the platform keeps for all objects.
    pub version: Version,
    /// The object as JSON.
    pub value: Bytes,
}
