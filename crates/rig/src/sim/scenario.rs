//! Builds plans with one service, its shards and replicas, and one entry of each class.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Duration,
};

use base::{DataCentre, EntryName, Revision, ServiceName, ShardName, SnapshotId, UpstreamName};
use bytes::Bytes;
use cat::{
    Catalogue, Change, Class, Entry, Head, Index, Limits, Service, Shard, Snapshot, Upstream,
};
use node::{Config, Kind};

use super::{
    upstream::UpstreamBehaviour,
    world::{Plan, World},
};

/// Port of every simulated upstream.
const UPSTREAM_PORT: u16 = 9000;

/// Size and behaviour of a simulated deployment.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of instances, assigned to the data centres in turn.
    pub instances: usize,
    /// Number of upstreams, assigned to the data centres in turn.
    pub upstreams: usize,
    /// Number of data centres, at most 4.
    pub data_centres: usize,
    /// Number of shards in the only snapshot.
    pub shards: usize,
    /// Number of upstreams that hold each shard.
    pub replicas: usize,
    /// Number of slots of each upstream.
    pub slots: u32,
    /// Behaviour of each upstream.
    pub upstream: UpstreamBehaviour,
    /// Limits of each entry.
    pub limits: Limits,
    /// Settings of each instance.
    pub config: Config,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            instances: 1,
            upstreams: 4,
            data_centres: 1,
            shards: 8,
            replicas: 2,
            slots: 8,
            upstream: UpstreamBehaviour::default(),
            limits: Limits {
                results: 1_000,
                ..Limits::default()
            },
            config: Config::default(),
            seed: 1,
        }
    }
}

impl Scenario {
    /// Returns the name of the entry of a class.
    pub fn entry(class: Class) -> EntryName {
        class.as_str().parse().expect("a class is a valid name")
    }

    /// Returns the address of an upstream.
    pub fn address(upstream: usize) -> SocketAddr {
        let high = u8::try_from(upstream / 250).unwrap_or(u8::MAX);
        let low = u8::try_from(upstream % 250 + 1).unwrap_or(u8::MAX);
        SocketAddr::V4(SocketAddrV4::new(
            Ipv4Addr::new(10, 1, high, low),
            UPSTREAM_PORT,
        ))
    }

    /// Returns the name of an upstream.
    pub fn upstream_name(upstream: usize) -> UpstreamName {
        format!("upstream-{upstream:03}")
            .parse()
            .expect("a valid upstream name")
    }

    /// Returns the data centre of the instance or upstream with an index.
    pub fn data_centre(&self, number: usize) -> DataCentre {
        let name = ["a", "b", "c", "d"][number % self.data_centres.clamp(1, 4)];
        name.parse().expect("a valid data centre name")
    }

    /// Returns the name of the service.
    pub fn service() -> ServiceName {
        "service".parse().expect("a valid service name")
    }

    /// Returns a snapshot whose shards are distributed over the upstreams.
    pub fn snapshot(&self, id: SnapshotId, shards: usize) -> Snapshot {
        let replicas = |shard: usize| {
            (0..self.replicas).map(move |r| Self::upstream_name((shard + r) % self.upstreams))
        };
        let shard = |n: usize| Shard {
            name: shard_name(n),
            replicas: replicas(n).collect(),
        };
        Snapshot {
            id,
            shards: (0..shards).map(shard).collect(),
        }
    }

    /// Returns the index object that lists the given snapshots.
    pub fn index(&self, snapshots: Vec<Snapshot>) -> Bytes {
        let index = Index {
            service: Self::service(),
            snapshots,
        };
        serde_json::to_vec(&index)
            .expect("an index is valid JSON")
            .into()
    }

    /// Returns the catalogue with the service and its entries.
    pub fn catalogue(&self) -> Catalogue {
        let upstream = |n: usize| Upstream {
            name: Self::upstream_name(n),
            address: Self::address(n),
            data_centre: self.data_centre(n),
        };
        let service = Service {
            name: Self::service(),
            slots: self.slots,
            connections: self.slots + 8,
            upstreams: (0..self.upstreams).map(upstream).collect(),
        };
        let entries = [Class::Latency, Class::Coverage, Class::Once];
        let entry = |class: Class| Entry {
            name: Self::entry(class),
            service: Self::service(),
            owner: "desk".into(),
            class,
            limits: self.limits_of(class),
        };
        Catalogue {
            services: vec![service],
            entries: entries.map(entry).into(),
        }
    }

    fn limits_of(&self, class: Class) -> Limits {
        match class {
            Class::Latency | Class::Coverage => self.limits.clone(),
            Class::Once => Limits {
                hedge: base::Percent(0),
                ..self.limits.clone()
            },
        }
    }

    /// Returns the objects that publish a catalogue as the head at a revision.
    pub fn objects(catalogue: &Catalogue, revision: u64) -> Vec<(Kind, Box<str>, Bytes)> {
        let digest = catalogue.digest();
        let revision = Revision(revision);
        let change = Change {
            revision,
            from: None,
            to: digest.clone(),
            at: 0,
            items: Vec::new(),
            omitted: 0,
        };
        let head = Head {
            revision,
            document: digest.clone(),
            change,
        };
        let head = serde_json::to_vec(&head).expect("a head is valid JSON");
        vec![
            (Kind::Document, digest, catalogue.to_json().into()),
            (Kind::Catalogue, "head".into(), head.into()),
        ]
    }

    /// Returns the plan of this scenario.
    pub fn plan(&self) -> Plan {
        let mut objects = Self::objects(&self.catalogue(), 1);
        let index = self.index(vec![self.snapshot(SnapshotId(1), self.shards)]);
        objects.push((Kind::Index, Self::service().as_str().into(), index));
        let upstreams = 0..self.upstreams;
        let mut config = self.config.clone();
        if self.instances > 1 {
            config.members.seeds = (0..self.instances).map(World::peer_address).collect();
        }
        Plan {
            instances: (0..self.instances).map(|n| self.data_centre(n)).collect(),
            upstreams: upstreams
                .map(|n| {
                    (
                        Self::upstream_name(n),
                        Self::address(n),
                        self.upstream.clone(),
                    )
                })
                .collect(),
            objects,
            liveness: Self::service().as_str().into(),
            config,
            seed: self.seed,
        }
    }

    /// Creates the world and advances it until all instances are ready, at least to 4 s.
    ///
    /// # Panics
    ///
    /// Panics when an instance is not ready within ten simulated seconds.
    pub fn world(&self) -> World {
        let mut world = World::new(self.plan());
        for _ in 0..100 {
            world.advance(Duration::from_millis(100));
            let ready = |i: usize| world.node(i).is_some_and(|n| n.stats().ready);
            if (0..self.instances).all(ready) && world.now() >= base::Time::from_millis(4_000) {
                return world;
            }
        }
        panic!("an instance is not ready after {}", world.now());
    }
}

fn shard_name(n: usize) -> ShardName {
    format!("shard-{n:03}").parse().expect("a valid shard name")
}
