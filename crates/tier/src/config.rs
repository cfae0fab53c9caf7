//! The configuration in force: routes of hosts and what they lead to.

use std::{collections::HashMap, time::Duration};

use base::ServiceName;

/// One version of the configuration; every answer is made from one of them.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Version that its author gave it; versions only grow.
    pub version: u64,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<Box<str>, Vec<usize>>,
    routes: Vec<Route>,
    services: HashMap<ServiceName, Service>,
    /// What callers may send.
    pub limits: Limits,
}

/// Bounds on what a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head, in bytes.
    pub max_head: usize,
    /// Largest body, in bytes.
    pub max_body: usize,
    /// Longest time for a head to arrive.
    pub head_timeout: Duration,
    /// Longest time that a kept connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns bounds for the time before a configuration is known.
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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Service {
    /// Connections that one upstream accepts from all instances together.
    pub max_connections: usize,
}

/// A rule that leads requests to services.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name, kept from version to version.
    pub name: Box<str>,
    /// Host of the requests.
    pub host: Box<str>,
    /// Start of their paths.
    pub prefix: Box<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full use.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Upstreams that one request may be sent to, for each shard.
    pub max_attempts: usize,
    /// Where requests go.
    pub target: Target,
}

/// Where the requests of a route go.
#[derive(Clone, Debug)]
pub enum Target {
    /// To one service.
    One(ServiceName),
    /// To one of several services, by weight.
    Split(Box<[(ServiceName, u32)]>),
    /// To every shard; the greatest records of their parts are the answer.
    Gather(Gather),
}

/// How parts become an answer.
#[derive(Clone, Debug)]
pub struct Gather {
    /// The shards, each a service.
    pub shards: Box<[ServiceName]>,
    /// Records in an answer.
    pub top: usize,
    /// Fewest parts of an answer that is a success.
    pub min_parts: usize,
}

impl Config {
    /// Makes a configuration.
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
        Self {
            version,
            hosts,
            routes,
            services,
            limits,
        }
    }

    /// Returns the position of the route for a request.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let path = path.split('?').next().unwrap_or(path);
        let list = self.hosts.get(host)?;
        let matches = |at: &&usize| path.starts_with(&*self.routes[**at].prefix);
        list.iter().find(matches).copied()
    }

    /// Returns the route at a position that [`find`](Self::find) gave.
    pub fn route(&self, at: usize) -> &Route {
        &self.routes[at]
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns what is declared of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }
}
