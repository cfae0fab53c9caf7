//! The current catalogue and the published snapshots, compiled for the request path.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use base::{DataCentre, EntryName, Percent, ServiceName, ShardName, SnapshotId, UpstreamName};
use cat::{Catalogue, Entry, Index};

use base::quantile::Quantile;

/// Quantile of the latency of a shard after which a hedge is sent, in thousandths.
const HEDGE_QUANTILE_PERMILLE: u64 = 950;

/// Dense identifier of an upstream; it does not change during the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u32);

impl UpstreamId {
    /// Returns the identifier as an index.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// Assigns an identifier to each upstream name.
#[derive(Debug, Default)]
pub struct UpstreamNames {
    ids: HashMap<UpstreamName, UpstreamId>,
    names: Vec<UpstreamName>,
}

impl UpstreamNames {
    /// Returns the identifier of a name, assigning a new one if it is unknown.
    pub fn intern(&mut self, name: &UpstreamName) -> UpstreamId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = UpstreamId(u32::try_from(self.names.len()).unwrap_or(u32::MAX));
        self.names.push(name.clone());
        self.ids.insert(name.clone(), id);
        id
    }

    /// Returns the identifier of a name, if it is known.
    pub fn get(&self, name: &UpstreamName) -> Option<UpstreamId> {
        self.ids.get(name).copied()
    }

    /// Returns the name of an upstream.
    pub fn name(&self, id: UpstreamId) -> &UpstreamName {
        &self.names[id.index()]
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// A shard of a snapshot.
#[derive(Debug)]
pub struct ShardPlan {
    /// Name of the shard.
    pub name: ShardName,
    /// Upstreams that serve the shard.
    pub replicas: Vec<UpstreamId>,
    /// Latency estimate of the shard, shared between snapshots.
    pub latency: Rc<RefCell<Quantile>>,
}

/// A snapshot of the index of a service.
#[derive(Debug)]
pub struct SnapshotPlan {
    /// Identifier of the snapshot.
    pub id: SnapshotId,
    /// All shards of the snapshot.
    pub shards: Vec<ShardPlan>,
}

/// A service.
#[derive(Debug)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: ServiceName,
    /// Upstreams of the service.
    pub upstreams: Vec<UpstreamId>,
    /// Snapshots, newest first.
    pub snapshots: Vec<Rc<SnapshotPlan>>,
    /// Latency estimate over all shards, used for shards with few samples.
    pub latency: RefCell<Quantile>,
}

/// A catalogue entry with its service.
#[derive(Debug)]
pub struct EntryPlan {
    /// Declaration of the entry.
    pub declaration: Entry,
    /// Service that handles requests of the entry.
    pub service: Rc<ServicePlan>,
}

/// Declaration of an upstream in the catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamDeclaration {
    /// Identifier of the upstream.
    pub id: UpstreamId,
    /// Address on which it accepts HTTP/1.1.
    pub address: std::net::SocketAddr,
    /// Data centre that it is in.
    pub data_centre: DataCentre,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Requests that it handles concurrently.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
}

/// Entries and services of the current catalogue.
#[derive(Debug, Default)]
pub struct Directory {
    names: UpstreamNames,
    entries: HashMap<EntryName, Rc<EntryPlan>>,
    services: HashMap<ServiceName, Rc<ServicePlan>>,
    latencies: HashMap<(ServiceName, ShardName), Rc<RefCell<Quantile>>>,
}

impl Directory {
    /// Returns an entry by name.
    pub fn entry(&self, name: &EntryName) -> Option<&Rc<EntryPlan>> {
        self.entries.get(name)
    }

    /// Returns all entries.
    pub fn entries(&self) -> impl Iterator<Item = &Rc<EntryPlan>> {
        self.entries.values()
    }

    /// Returns a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Rc<ServicePlan>> {
        self.services.get(name)
    }

    /// Returns the names of all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Returns the identifiers of upstream names.
    pub fn names(&self) -> &UpstreamNames {
        &self.names
    }

    /// Replaces the entries and services; returns the declarations of all upstreams.
    ///
    /// Pending searches keep the plans that they started with.
    pub fn rebuild<'a>(
        &mut self,
        catalogue: &Catalogue,
        mut index: impl FnMut(&ServiceName) -> Option<&'a Index>,
    ) -> Vec<UpstreamDeclaration> {
        let mut declarations = Vec::new();
        let mut services = HashMap::new();
        for service in &catalogue.services {
            let upstreams = self.collect_declarations(service, &mut declarations);
            let snapshots = match index(&service.name) {
                Some(index) => self.plan_snapshots(index),
                None => Vec::new(),
            };
            let latency = match self.services.get(&service.name) {
                Some(old) => *old.latency.borrow(),
                None => Quantile::new(HEDGE_QUANTILE_PERMILLE),
            };
            let plan = ServicePlan {
                name: service.name.clone(),
                upstreams,
                snapshots,
                latency: RefCell::new(latency),
            };
            services.insert(service.name.clone(), Rc::new(plan));
        }
        self.services = services;
        self.entries = self.plan_entries(catalogue);
        self.drop_unused_latencies();
        declarations
    }

    fn collect_declarations(
        &mut self,
        service: &cat::Service,
        out: &mut Vec<UpstreamDeclaration>,
    ) -> Vec<UpstreamId> {
        let first = out.len();
        for upstream in &service.upstreams {
            out.push(UpstreamDeclaration {
                id: self.names.intern(&upstream.name),
                address: upstream.address,
                data_centre: upstream.data_centre.clone(),
                service: service.name.clone(),
                slots: service.slots,
                connections: service.connections,
            });
        }
        out[first..].iter().map(|d| d.id).collect()
    }

    fn plan_snapshots(&mut self, index: &Index) -> Vec<Rc<SnapshotPlan>> {
        let mut plans = Vec::new();
        for snapshot in index.snapshots.iter().rev() {
            let shards = snapshot
                .shards
                .iter()
                .map(|s| self.plan_shard(&index.service, s))
                .collect();
            plans.push(Rc::new(SnapshotPlan {
                id: snapshot.id,
                shards,
            }));
        }
        plans
    }

    fn plan_shard(&mut self, service: &ServiceName, shard: &cat::Shard) -> ShardPlan {
        let replicas = shard
            .replicas
            .iter()
            .map(|name| self.names.intern(name))
            .collect();
        let latency = self
            .latencies
            .entry((service.clone(), shard.name.clone()))
            .or_insert_with(|| Rc::new(RefCell::new(Quantile::new(HEDGE_QUANTILE_PERMILLE))));
        ShardPlan {
            name: shard.name.clone(),
            replicas,
            latency: Rc::clone(latency),
        }
    }

    fn plan_entries(&self, catalogue: &Catalogue) -> HashMap<EntryName, Rc<EntryPlan>> {
        let mut entries = HashMap::new();
        for entry in &catalogue.entries {
            let Some(service) = self.services.get(&entry.service) else {
                continue;
            };
            let mut declaration = entry.clone();
            if declaration.class == cat::Class::Once {
                declaration.limits.hedge = Percent(0);
            }
            let plan = EntryPlan {
                declaration,
                service: Rc::clone(service),
            };
            entries.insert(plan.declaration.name.clone(), Rc::new(plan));
        }
        entries
    }

    /// Drops the latency estimates of shards that are in no snapshot any more.
    fn drop_unused_latencies(&mut self) {
        self.latencies
            .retain(|_, latency| Rc::strong_count(latency) > 1);
    }
}
