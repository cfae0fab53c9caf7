//! The catalogue: services with their upstreams, and the entries that callers name.

use std::{fmt, net::SocketAddr, str::FromStr, time::Duration};

use base::{ByteSize, DataCentre, EntryName, Percent, Rate, ServiceName, UpstreamName};
use serde::{Deserialize, Serialize};

use crate::read::Keyword;

/// Everything that operators declare; one accepted revision is in force at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalogue {
    /// Services, by name when read from a document.
    pub services: Vec<Service>,
    /// Entries, by name when read from a document.
    pub entries: Vec<Entry>,
}

impl Catalogue {
    /// Finds a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|s| s.name == *name)
    }

    /// Finds an entry by name.
    pub fn entry(&self, name: &EntryName) -> Option<&Entry> {
        self.entries.iter().find(|e| e.name == *name)
    }
}

/// A group of upstreams that serve the shards of one index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Requests that one upstream works on at once.
    pub slots: u32,
    /// Connections that one upstream accepts.
    pub connections: u32,
    /// Upstreams in all data centres.
    pub upstreams: Vec<Upstream>,
}

/// One upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Name, unique in the catalogue.
    pub name: UpstreamName,
    /// Address that accepts HTTP/1.1.
    pub address: SocketAddr,
    /// Data centre that the upstream is in.
    pub data_centre: DataCentre,
}

/// What a caller may ask for: a service under an owner, a class and limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name that callers use.
    pub name: EntryName,
    /// Service that answers.
    pub service: ServiceName,
    /// Team that answers for the entry.
    pub owner: Box<str>,
    /// What a late or missing shard costs.
    pub class: Class,
    /// Bounds on the entry's use.
    pub limits: Limits,
}

/// What a late or missing shard costs, and whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Answers by the deadline with the shards that arrived.
    Latency,
    /// Spends the whole deadline to cover every shard.
    Coverage,
    /// Runs at most once; each request needs an idempotency key.
    Once,
}

impl Class {
    /// Returns the class as documents write it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Latency => "latency",
            Self::Coverage => "coverage",
            Self::Once => "once",
        }
    }
}

impl Keyword for Class {
    const ALL: &'static [Self] = &[Self::Latency, Self::Coverage, Self::Once];

    fn as_str(self) -> &'static str {
        self.as_str()
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A text that names no class.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("expected \"latency\", \"coverage\" or \"once\""))]
pub struct ClassError;

impl FromStr for Class {
    type Err = ClassError;

    fn from_str(text: &str) -> Result<Self, ClassError> {
        let mut classes = Self::ALL.iter().copied();
        classes
            .find(|class| class.as_str() == text)
            .ok_or(ClassError)
    }
}

/// Bounds on the use of one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest time from a request's arrival to its answer.
    pub deadline: Duration,
    /// Queries a second that one instance admits.
    pub rate: Rate,
    /// Queries that one instance has in hand at once.
    pub concurrent: u32,
    /// Hedged sub-requests as a share of first attempts.
    pub hedge: Percent,
    /// Retried sub-requests as a share of first attempts.
    pub retry: Percent,
    /// Hits in one answer.
    pub results: u32,
    /// Size of a request body.
    pub body: ByteSize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            deadline: Duration::from_millis(180),
            rate: Rate(1_000),
            concurrent: 256,
            hedge: Percent(5),
            retry: Percent(10),
            results: 20,
            body: ByteSize(64 << 10),
        }
    }
}

impl Limits {
    /// Returns the limits of an entry that declares none.
    ///
    /// An entry of the once class has no hedging: a second attempt may run the request twice.
    pub fn of_class(class: Class) -> Self {
        match class {
            Class::Latency | Class::Coverage => Self::default(),
            Class::Once => Self {
                hedge: Percent(0),
                ..Self::default()
            },
        }
    }
}
