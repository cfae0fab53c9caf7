//! Plan of a fleet, and the documents generated from it: catalogue, indexes, settings and
//! specifications of upstreams.

use std::net::SocketAddr;

use base::{ServiceName, ShardName, SnapshotId, UpstreamName};
use cat::{Class, Index, Shard, Snapshot};
use serde_json::{Map, Value, json};

use super::RunningUpstream;
use crate::upstream::{Group, Member, Params, ServiceSpec};

/// Plan of one service: its upstreams, its shards and an entry of each class.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the service; entries are named `<service>-<class>`.
    pub name: Box<str>,
    /// Number of upstreams; they are assigned to the data centres round-robin.
    pub upstreams: usize,
    /// Number of shards of each published snapshot.
    pub shards: usize,
    /// Number of upstreams that hold each shard.
    pub replicas: usize,
    /// Number of snapshots published at the start; their ids begin at 1.
    pub snapshots: u64,
    /// Number of documents in the corpus.
    pub documents: u32,
    /// Limits of the entries, in the format of the catalogue.
    pub limits: Value,
    /// Behaviour of the upstreams.
    pub params: Params,
    /// Number of threads that the upstreams share.
    pub threads: usize,
    /// Slots and connections that the catalogue declares; those of `params` when absent.
    pub declared: Option<(usize, usize)>,
    /// Entries in addition to the one of each class.
    pub entries: Vec<EntryPlan>,
    /// Number of shards of one more snapshot, which upstreams hold but which is not published; 0
    /// means that there is no such snapshot.
    pub unpublished_shards: usize,
}

/// Plan of an additional entry of a service.
#[derive(Clone, Debug)]
pub struct EntryPlan {
    /// Name of the entry.
    pub name: Box<str>,
    /// Class of the entry.
    pub class: Class,
    /// Limits of the entry, in the format of the catalogue.
    pub limits: Value,
}

impl Default for ServicePlan {
    fn default() -> Self {
        Self {
            name: "contracts".into(),
            upstreams: 4,
            shards: 8,
            replicas: 2,
            snapshots: 1,
            documents: 400,
            limits: json!({ "deadline": "180ms" }),
            params: Params::default(),
            threads: 1,
            declared: None,
            entries: Vec::new(),
            unpublished_shards: 0,
        }
    }
}

impl ServicePlan {
    fn upstream_names(&self) -> Vec<Box<str>> {
        (0..self.upstreams)
            .map(|n| format!("{}-{n:03}", self.name).into())
            .collect()
    }

    /// Returns the index with snapshots `first..=last`.
    ///
    /// # Panics
    ///
    /// Panics when the name of the service is not valid.
    pub fn index(&self, first: u64, last: u64) -> Index {
        let service: ServiceName = self.name.parse().expect("a valid service name");
        let snapshot = |id| Snapshot {
            id: SnapshotId(id),
            shards: self.shard_map(if id > self.snapshots {
                self.unpublished_shards
            } else {
                self.shards
            }),
        };
        Index {
            service,
            snapshots: (first..=last).map(snapshot).collect(),
        }
    }

    fn shard_map(&self, shards: usize) -> Vec<Shard> {
        let names: Vec<UpstreamName> = self
            .upstream_names()
            .iter()
            .map(|n| n.parse().expect("a valid name"))
            .collect();
        let shard = |s: usize| {
            let name: ShardName = format!("shard-{s:03}").parse().expect("a valid name");
            let replicas = (0..self.replicas).map(|r| names[(s + r) % names.len()].clone());
            Shard {
                name,
                replicas: replicas.collect(),
            }
        };
        (0..shards).map(shard).collect()
    }

    /// Divides the upstreams into one group for each thread.
    fn groups(&self) -> Vec<Group> {
        let member = |name: &UpstreamName| Member {
            name: name.clone(),
            port: 0,
            params: Map::new(),
        };
        let last = self.snapshots + u64::from(self.unpublished_shards > 0);
        let spec = |names: &[UpstreamName]| ServiceSpec {
            index: self.index(1, last),
            documents: self.documents,
            seed: 1,
            params: self.params.clone(),
            upstreams: names.iter().map(member).collect(),
        };
        let names = self.upstream_names();
        let names: Vec<UpstreamName> = names
            .iter()
            .map(|n| n.parse().expect("a valid name"))
            .collect();
        let threads = names.chunks(names.len().div_ceil(self.threads.max(1)));
        let group = |names| Group {
            services: vec![spec(names)],
        };
        threads.map(group).collect()
    }
}

/// Plan of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Name and number of instances of each data centre.
    pub data_centres: Vec<(Box<str>, usize)>,
    /// Services.
    pub services: Vec<ServicePlan>,
    /// Latency of each call to the platform, in milliseconds.
    pub platform_latency_ms: u64,
    /// Number of instances in each data centre that watch the platform.
    pub watchers: u32,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            data_centres: vec![("a".into(), 1)],
            services: vec![ServicePlan::default()],
            platform_latency_ms: 1,
            watchers: 2,
        }
    }
}

impl FleetPlan {
    /// Returns the name and data centre of each instance.
    pub(super) fn instances(&self) -> Vec<(Box<str>, Box<str>)> {
        let mut instances = Vec::new();
        for (data_centre, count) in &self.data_centres {
            for n in 0..*count {
                instances.push((format!("{data_centre}-{n}").into(), data_centre.clone()));
            }
        }
        instances
    }

    /// Returns the name of each service with its index as JSON.
    pub(super) fn indexes(&self) -> Vec<(Box<str>, String)> {
        let index = |service: &ServicePlan| {
            let index = service.index(1, service.snapshots);
            (
                service.name.clone(),
                serde_json::to_string(&index).unwrap_or_default(),
            )
        };
        self.services.iter().map(index).collect()
    }

    /// Returns the specification of each upstream process as JSON, with the names of its upstreams
    /// in the order in which the process prints their addresses.
    pub(super) fn upstream_groups(&self) -> Vec<(String, Vec<Box<str>>)> {
        let group = |service: &ServicePlan| {
            (
                serde_json::to_string(&service.groups()).unwrap_or_default(),
                service.upstream_names(),
            )
        };
        self.services.iter().map(group).collect()
    }

    /// Returns the catalogue with the addresses of the running upstreams as JSON.
    pub(super) fn catalogue(&self, running: &[RunningUpstream]) -> String {
        let mut services = Map::new();
        let mut entries = Map::new();
        for service in &self.services {
            services.insert(service.name.to_string(), self.service(service, running));
            for class in [Class::Latency, Class::Coverage, Class::Once] {
                let entry = entry(service, class, &service.limits);
                entries.insert(format!("{}-{class}", service.name), entry);
            }
            for extra in &service.entries {
                let entry = entry(service, extra.class, &extra.limits);
                entries.insert(extra.name.to_string(), entry);
            }
        }
        json!({ "services": services, "entries": entries }).to_string()
    }

    fn service(&self, service: &ServicePlan, running: &[RunningUpstream]) -> Value {
        let mut upstreams = Map::new();
        for (n, name) in service.upstream_names().into_iter().enumerate() {
            let Some(upstream) = running.iter().find(|u| u.name == name) else {
                continue;
            };
            let (data_centre, _) = &self.data_centres[n % self.data_centres.len()];
            let declaration =
                json!({ "address": upstream.address.to_string(), "data_centre": data_centre });
            upstreams.insert(name.into(), declaration);
        }
        let from_params = (service.params.slots, service.params.connections);
        let (slots, connections) = service.declared.unwrap_or(from_params);
        json!({ "slots": slots, "connections": connections, "upstreams": upstreams })
    }

    /// Returns the settings of an instance as JSON.
    pub(super) fn settings(
        &self,
        (name, data_centre): (&str, &str),
        (callers, peers): (SocketAddr, SocketAddr),
        platform: SocketAddr,
        seeds: &[SocketAddr],
    ) -> String {
        let seeds: Vec<String> = seeds
            .iter()
            .filter(|s| **s != peers)
            .map(SocketAddr::to_string)
            .collect();
        json!({
            "instance": name,
            "data_centre": data_centre,
            "callers": { "listen": callers.to_string() },
            "peers": { "listen": peers.to_string(), "seeds": seeds },
            "platform": { "address": platform.to_string(), "watchers": self.watchers },
            "log": { "format": "json", "level": "info" },
        })
        .to_string()
    }
}

fn entry(service: &ServicePlan, class: Class, limits: &Value) -> Value {
    json!({
        "service": service.name,
        "owner": "search desk",
        "class": class,
        "limits": limits_of(class, limits),
    })
}

/// Returns the limits of an entry, without `hedge` for the class once, which has no hedges.
fn limits_of(class: Class, limits: &Value) -> Value {
    let mut limits = limits.clone();
    if let (Class::Once, Value::Object(limits)) = (class, &mut limits) {
        limits.remove("hedge");
    }
    limits
}
