//! Generates catalogues and indexes of a given size.

use std::net::{Ipv4Addr, SocketAddr};

use base::{DataCentre, ServiceName, SnapshotId, UpstreamName};
use bytes::Bytes;
use cat::{Catalogue, Class, Entry, Index, Limits, Service, Shard, Snapshot, Upstream};
use node::Kind;

use crate::sim::Scenario;

/// Services in one data centre at the design size: 4,444 upstreams in groups of 740.
pub(super) const SERVICES_PER_DATA_CENTRE: usize = 6;

/// Size of a catalogue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scale {
    /// Number of services. Each is in one data centre, and the first ones are in that of the
    /// instance.
    pub(super) services: usize,
    /// Number of upstreams of each service.
    pub(super) upstreams: usize,
    /// Number of shards of each snapshot.
    pub(super) shards: usize,
    /// Number of entries of each service.
    pub(super) entries: usize,
}

impl Default for Scale {
    fn default() -> Self {
        Self {
            services: 1,
            upstreams: 740,
            shards: 700,
            entries: 1,
        }
    }
}

impl Scale {
    /// Returns the name of a data centre.
    pub(super) fn data_centre(number: usize) -> DataCentre {
        name(format!("dc-{number:02}"))
    }

    /// Returns the name of a service.
    pub(super) fn service(number: usize) -> ServiceName {
        name(format!("search-{number:03}"))
    }

    /// Returns the name of an upstream of a service.
    pub(super) fn upstream(service: usize, number: usize) -> UpstreamName {
        name(format!("search-{service:03}-{number:04}"))
    }

    /// Returns the catalogue.
    pub(super) fn catalogue(&self) -> Catalogue {
        let services = (0..self.services).map(|s| Service {
            name: Self::service(s),
            slots: 8,
            connections: 16,
            upstreams: (0..self.upstreams)
                .map(|u| self.upstream_declaration(s, u))
                .collect(),
        });
        let entries = (0..self.services).flat_map(|s| (0..self.entries).map(move |e| entry(s, e)));
        Catalogue {
            services: services.collect(),
            entries: entries.collect(),
        }
    }

    fn upstream_declaration(&self, service: usize, number: usize) -> Upstream {
        let offset = u32::try_from(service * self.upstreams + number).unwrap_or(u32::MAX);
        let address = Ipv4Addr::from(0x0a01_0000 + offset);
        Upstream {
            name: Self::upstream(service, number),
            address: SocketAddr::from((address, 9_000)),
            data_centre: Self::data_centre(service / SERVICES_PER_DATA_CENTRE),
        }
    }

    /// Returns the index of a service: one snapshot with two replicas of each shard.
    pub(super) fn index(&self, service: usize) -> Index {
        let replicas = |s: usize| (0..2).map(move |r| (s + r) % self.upstreams);
        let shard = |s: usize| Shard {
            name: name(format!("shard-{s:04}")),
            replicas: replicas(s).map(|u| Self::upstream(service, u)).collect(),
        };
        Index {
            service: Self::service(service),
            snapshots: vec![Snapshot {
                id: SnapshotId(1),
                shards: (0..self.shards).map(shard).collect(),
            }],
        }
    }

    /// Returns the platform objects of the catalogue at a revision and of all indexes.
    pub(super) fn objects(&self, revision: u64) -> Vec<(Kind, Box<str>, Bytes)> {
        let mut objects = Scenario::objects(&self.catalogue(), revision);
        for service in 0..self.services {
            let index = serde_json::to_vec(&self.index(service)).unwrap_or_default();
            let name = Self::service(service).as_str().into();
            objects.push((Kind::Index, name, index.into()));
        }
        objects
    }
}

fn entry(service: usize, number: usize) -> Entry {
    Entry {
        name: name(format!("entry-{service:03}-{number:05}")),
        service: Scale::service(service),
        owner: "search desk".into(),
        class: Class::Latency,
        limits: Limits {
            rate: base::Rate(1_000_000),
            concurrent: 100_000,
            ..Limits::default()
        },
    }
}

/// Parses a name that is valid by construction.
pub(super) fn name<T: std::str::FromStr>(text: String) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a generated name is valid")
}
