//! What an upstream stand-in is made of and how it behaves.

use std::time::Duration;

use base::{SnapshotId, UpstreamName};
use rand::{Rng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// The upstreams that share one thread.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Services whose upstreams run on the thread.
    pub services: Vec<ServiceSpec>,
}

/// One service and its upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Snapshots, their shards and which upstreams hold them.
    pub index: cat::Index,
    /// Documents that the generator writes; each snapshot holds all of them.
    #[serde(default = "default_documents")]
    pub documents: u32,
    /// Seed of the documents.
    #[serde(default)]
    pub seed: u64,
    /// Behaviour of every upstream of the service.
    #[serde(default)]
    pub params: Params,
    /// The upstreams.
    pub upstreams: Vec<Member>,
}

fn default_documents() -> u32 {
    1_000
}

/// One upstream of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Name, as in the index.
    pub name: UpstreamName,
    /// Port on the loopback address; 0 takes a free one.
    #[serde(default)]
    pub port: u16,
    /// Fields of [`Params`] that differ from the service's.
    #[serde(default)]
    pub params: Map<String, Value>,
}

/// Behaviour of one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Params {
    /// Requests worked on at once.
    pub slots: usize,
    /// Requests that may wait for a slot; more are answered 503.
    pub queue: usize,
    /// Connections accepted at once; more are closed on arrival.
    pub connections: usize,
    /// Delay of a connection's first reply, in microseconds.
    pub connect_us: u64,
    /// Time that a request holds its slot, in microseconds.
    pub service_us: u64,
    /// Greatest random addition to `service_us`, in microseconds.
    pub jitter_us: u64,
    /// One request in this many is slow; 0 means none.
    pub slow_every: u32,
    /// How many times longer a slow request takes.
    pub slow_factor: u32,
    /// Seed of the random draws, together with the upstream's name.
    pub seed: u64,
    /// Time after a start in which the upstream is cold, in milliseconds: it answers 503 in the
    /// first half, and every request is slow in the second.
    pub cold_start_ms: u64,
    /// Share of requests answered 503 at random, in percent.
    pub shed_percent: u8,
    /// Age of the state that `/health` reports, in milliseconds.
    pub health_lag_ms: u64,
    /// Time in which a draining upstream still starts work, in milliseconds.
    pub grace_ms: u64,
    /// Text in a body that crashes the upstream; an empty text does nothing.
    pub crash_marker: Box<str>,
    /// Time for which a crashed upstream refuses connections, in milliseconds.
    pub restart_ms: u64,
    /// One search in this many is answered with the reply to an earlier one; 0 means none.
    pub cross_every: u32,
    /// Runs that take effect next and whose reply is withheld by closing the connection.
    pub lose_replies: u64,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            slots: 3,
            queue: 64,
            connections: 230,
            connect_us: 0,
            service_us: 0,
            jitter_us: 0,
            slow_every: 0,
            slow_factor: 10,
            seed: 0,
            cold_start_ms: 0,
            shed_percent: 0,
            health_lag_ms: 1_000,
            grace_ms: 1_000,
            crash_marker: Box::default(),
            restart_ms: 500,
            cross_every: 0,
            lose_replies: 0,
        }
    }
}

impl Params {
    /// Returns a copy with `fields` taken over.
    ///
    /// # Errors
    ///
    /// Fails when a field is unknown or has another type.
    pub fn with(&self, fields: Map<String, Value>) -> Result<Self, serde_json::Error> {
        let mut all = serde_json::to_value(self)?;
        if let Value::Object(all) = &mut all {
            all.extend(fields);
        }
        serde_json::from_value(all)
    }

    /// Draws the time that one request holds its slot.
    pub(super) fn service_time(&self, rng: &mut SmallRng, cold: bool) -> Duration {
        let mut time = Duration::from_micros(self.service_us);
        if self.jitter_us > 0 {
            time += Duration::from_micros(rng.random_range(0..=self.jitter_us));
        }
        let slow = self.slow_every > 0 && rng.random_range(0..self.slow_every) == 0;
        if slow || cold {
            time *= self.slow_factor;
        }
        time
    }

    /// Returns whether `body` crashes the upstream.
    pub(super) fn crashes_on(&self, body: &[u8]) -> bool {
        let marker = self.crash_marker.as_bytes();
        !marker.is_empty() && body.windows(marker.len()).any(|part| part == marker)
    }
}

/// Body of an upstream's `POST /control`; absent fields stay as they are.
#[derive(Debug, Deserialize)]
pub(super) struct Change {
    /// Starts or ends draining.
    pub(super) drain: Option<bool>,
    /// Snapshots that are served from now on, of those in the index.
    pub(super) snapshots: Option<Vec<SnapshotId>>,
    /// Crashes the upstream at once.
    #[serde(default)]
    pub(super) crash: bool,
    /// Fields of [`Params`].
    #[serde(flatten)]
    pub(super) params: Map<String, Value>,
}
