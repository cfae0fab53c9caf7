//! The catalogue: services with their upstreams, and the entries that callers use.

use std::{fmt, net::SocketAddr, str::FromStr, time::Duration};

use base::{ByteSize, DataCentre, EntryName, Percent, Rate, ServiceName, UpstreamName};
use serde::{Deserialize, Serialize};

use crate::read::Keyword;

/// The services and entries that operators declare; one revision is in force at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalogue {
    /// Services, sorted by name when read from a document.
    pub services: Vec<Service>,
    /// Entries, sorted by name when read from a document.
    pub entries: Vec<Entry>,
}

impl Catalogue {
    /// Returns the service with a name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|s| s.name == *name)
    }

    /// Returns the entry with a name.
    pub fn entry(&self, name: &EntryName) -> Option<&Entry> {
        self.entries.iter().find(|e| e.name == *name)
    }
}

/// A group of upstreams that serve the shards of one index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of requests that one upstream processes at once.
    pub slots: u32,
    /// Maximum number of connections to one upstream.
    pub connections: u32,
    /// Upstreams in all data centres.
    pub upstreams: Vec<Upstream>,
}

/// An upstream of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Name, unique in the catalogue.
    pub name: UpstreamName,
    /// Address that accepts HTTP/1.1.
    pub address: SocketAddr,
    /// Data centre that the upstream is in.
    pub data_centre: DataCentre,
}

/// A name under which callers use a service, with an owner, a class and limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name that callers use.
    pub name: EntryName,
    /// Service that the requests are sent to.
    pub service: ServiceName,
    /// Team that is responsible for the entry.
    pub owner: Box<str>,
    /// How the entry trades latency for coverage.
    pub class: Class,
    /// Limits on the use of the entry.
    pub limits: Limits,
}

/// How an entry trades latency for coverage, and whether its requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Prefers timely answers: answers by the deadline with the shards that replied.
    Latency,
    /// Prefers complete answers: uses the time up to the deadline to cover every shard.
    Coverage,
    /// A request runs at most once and needs an idempotency key.
    Once,
}

impl Class {
    /// Returns the class as written in documents.
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

/// Error of parsing a class.
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

/// Limits on the use of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum time from the arrival of a request to its answer.
    pub deadline: Duration,
    /// Maximum requests per second at one instance.
    pub rate: Rate,
    /// Maximum number of requests pending at once at one instance.
    pub concurrent: u32,
    /// Maximum number of hedged sub-requests as a share of first attempts.
    pub hedge: Percent,
    /// Maximum number of retried sub-requests as a share of first attempts.
    pub retry: Percent,
    /// Maximum number of hits in one answer.
    pub results: u32,
    /// Maximum size of a request body.
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
    /// Returns the default limits of a class.
    ///
    /// The once class has no hedging, because a second attempt could run the request twice.
    pub fn default_for(class: Class) -> Self {
        match class {
            Class::Latency | Class::Coverage => Self::default(),
            Class::Once => Self {
                hedge: Percent(0),
                ..Self::default()
            },
        }
    }
}
