//! Configuration: routes per host and their targets.

use std::{collections::HashMap, time::Duration};

use base::{OrganisationName, RegionName, ServiceName};

use crate::{handover::ProtocolLevel, limit::RequestRate, organisation::Organisations};

/// One version of the configuration. Each request runs with a single version from start to end.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Version number, assigned by the author; a newer version has a greater number.
    pub version: u64,
    /// Positions of each host's routes, longest prefix first.
    hosts: HashMap<Box<str>, Vec<usize>>,
    routes: Vec<Route>,
    /// The highest priority that requests have; 0 is the highest of all.
    top_priority: u32,
    services: HashMap<ServiceName, Service>,
    /// The search that each shard is part of.
    searches: HashMap<ServiceName, Search>,
    /// The organisations that callers belong to; callers need no keys if there are none.
    pub organisations: Organisations,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_head: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Maximum time until a request head is complete.
    pub head_timeout: Duration,
    /// Maximum idle time of a keep-alive connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply until a configuration is known.
    fn default() -> Self {
        Self {
            max_head: 16 << 10,
            max_body: 256 << 10,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A set of interchangeable upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Maximum connections to one upstream from all instances together.
    pub max_connections: usize,
    /// Path of the health check of its upstreams.
    pub health_path: Box<str>,
    /// Requests a second that a cold upstream bears from all instances together; `None` if they are
    /// not limited.
    pub cold_rate: Option<RequestRate>,
    /// Time for which an upstream is cold after its start.
    pub cold_time: Duration,
}

/// A rule that maps requests to services.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name, which identifies the route across versions.
    pub name: Box<str>,
    /// Host of the requests.
    pub host: Box<str>,
    /// Prefix of their paths.
    pub prefix: Box<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Maximum time until a caller gets an answer.
    pub timeout: Duration,
    /// Latency objective: an answer within this time has its full value.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Maximum number of upstreams that a request is sent to, per shard.
    pub max_attempts: usize,
    /// Whether callers need no key, even if there are organisations.
    pub is_public: bool,
    /// Regions whose upstreams and instances may get the requests; `None` for all.
    pub regions: Option<Box<[RegionName]>>,
    /// The target of the requests.
    pub target: Target,
}

/// Target of a route's requests.
#[derive(Clone, Debug)]
pub enum Target {
    /// One service.
    One(ServiceName),
    /// One of several services, chosen by weight.
    Split(Box<[(ServiceName, u32)]>),
    /// Every shard of an index; the answer has the greatest records of their replies.
    Gather(Gather),
}

/// A query over all shards of an index.
#[derive(Clone, Debug)]
pub struct Gather {
    /// The shards, each a service.
    pub shards: Box<[ServiceName]>,
    /// Number of records in an answer.
    pub top: usize,
    /// Minimum number of parts of a successful answer.
    pub min_parts: usize,
}

/// Size of the searches that a shard is part of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Search {
    /// Number of shards.
    pub parts: usize,
    /// Latency objective, the shortest of the routes.
    pub objective: Duration,
}

impl Config {
    /// Creates a configuration.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<ServiceName, Service>,
        limits: Limits,
    ) -> Self {
        let mut hosts: HashMap<Box<str>, Vec<usize>> = HashMap::new();
        for (at, route) in routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(at);
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|at| std::cmp::Reverse(routes[*at].prefix.len()));
        }
        let priorities = routes.iter().map(|route| route.priority);
        Self {
            version,
            top_priority: priorities.min().unwrap_or_default(),
            hosts,
            services,
            searches: searches(&routes),
            routes,
            organisations: Organisations::default(),
            limits,
        }
    }

    /// Sets the organisations that callers belong to.
    pub fn with_organisations(self, organisations: Organisations) -> Self {
        let top_priority = match organisations.is_empty() {
            true => self.top_priority,
            false => top_priority(&self.routes, &organisations),
        };
        Self {
            organisations,
            top_priority,
            ..self
        }
    }

    /// Returns the position of the route for a request.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let path = path.split('?').next().unwrap_or(path);
        let list = self.hosts.get(host)?;
        let matches = |at: &&usize| path.starts_with(&*self.routes[**at].prefix);
        list.iter().find(matches).copied()
    }

    /// Returns the route at a position returned by [`find`](Self::find).
    pub fn route(&self, at: usize) -> &Route {
        &self.routes[at]
    }

    /// Returns the priority of requests on a route, given their organisation; 0 is the highest.
    pub fn priority(&self, at: usize, organisation: Option<&OrganisationName>) -> u32 {
        let organisation = organisation.and_then(|name| self.organisations.by_name(name));
        organisation
            .and_then(|it| it.priority)
            .unwrap_or(self.routes[at].priority)
    }

    /// Returns whether no requests have a higher priority than those on a route of an organisation.
    pub fn is_urgent(&self, at: usize, organisation: Option<&OrganisationName>) -> bool {
        self.priority(at, organisation) <= self.top_priority
    }

    /// Returns the level of the protocol that an instance must speak to get requests that run with
    /// this configuration.
    pub fn protocol_level(&self) -> ProtocolLevel {
        match self.organisations.is_empty() {
            true => ProtocolLevel::default(),
            false => ProtocolLevel::ORGANISATIONS,
        }
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the search that a service is a shard of, if any.
    pub fn search(&self, service: &ServiceName) -> Option<Search> {
        self.searches.get(service).copied()
    }

    /// Returns the declaration of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }
}

/// Returns the highest priority that requests have, where organisations have priorities of their
/// own.
fn top_priority(routes: &[Route], organisations: &Organisations) -> u32 {
    let top = |routes: &mut dyn Iterator<Item = &Route>| routes.map(|it| it.priority).min();
    let top_route = top(&mut routes.iter());
    let of_organisations = organisations
        .iter()
        .filter_map(|it| it.priority.or(top_route));
    let of_public_routes = top(&mut routes.iter().filter(|route| route.is_public));
    of_organisations
        .chain(of_public_routes)
        .min()
        .or(top_route)
        .unwrap_or_default()
}

/// Returns the search that each shard is part of.
fn searches(routes: &[Route]) -> HashMap<ServiceName, Search> {
    // Routes mostly share one index, which is then read once.
    let mut indexes: Vec<(&[ServiceName], Search)> = Vec::new();
    for route in routes {
        let Target::Gather(gather) = &route.target else {
            continue;
        };
        let shards = &*gather.shards;
        match indexes.iter_mut().find(|(known, _)| *known == shards) {
            Some((_, search)) => search.objective = search.objective.min(route.objective),
            None => {
                let parts = shards.len();
                let objective = route.objective;
                indexes.push((shards, Search { parts, objective }));
            }
        }
    }
    let all = indexes
        .into_iter()
        .flat_map(|(shards, search)| shards.iter().map(move |shard| (shard.clone(), search)));
    all.collect()
}
