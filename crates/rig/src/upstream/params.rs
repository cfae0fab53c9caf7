//! Configuration of upstream stand-ins.

use std::time::Duration;

use base::{SnapshotId, UpstreamName};
use rand::{Rng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Upstreams that share one thread.
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
    /// Number of generated documents; each snapshot contains all of them.
    #[serde(default = "default_documents")]
    pub documents: u32,
    /// Seed of the generated documents.
    #[serde(default)]
    pub seed: u64,
    /// Behaviour of all upstreams of the service.
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
    /// Maximum number of requests that are processed at once.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot; more are answered 503.
    pub queue: usize,
    /// Maximum number of open connections; more are closed on arrival.
    pub connections: usize,
    /// Delay of the first request on a connection, in microseconds.
    pub connect_us: u64,
    /// Processing time of a request, during which it holds its slot, in microseconds.
    pub service_us: u64,
    /// Maximum random addition to `service_us`, in microseconds.
    pub jitter_us: u64,
    /// On average one request in this many is slow; 0 for none.
    pub slow_every: u32,
    /// Factor by which a slow request takes longer.
    pub slow_factor: u32,
    /// Seed of the random number generator, combined with the upstream's name.
    pub seed: u64,
    /// Duration of the cold start, in milliseconds. The upstream answers 503 in the first half, and
    /// all requests are slow in the second.
    pub cold_start_ms: u64,
    /// Share of requests that are answered 503 at random, in percent.
    pub shed_percent: u8,
    /// Age of the state that `/health` reports, in milliseconds.
    pub health_lag_ms: u64,
    /// Time after the start of a drain during which new requests are still accepted, in
    /// milliseconds.
    pub grace_ms: u64,
    /// Text in a request body that crashes the upstream; an empty text never matches.
    pub crash_marker: Box<str>,
    /// Time for which a crashed upstream refuses connections, in milliseconds.
    pub restart_ms: u64,
    /// On average one search in this many is answered with the reply to an earlier one; 0 for none.
    pub cross_every: u32,
    /// Number of next runs that take effect but whose connection is closed without a reply.
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
    /// Returns a copy with the given fields replaced.
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

    /// Draws the processing time of one request.
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

/// Body of an upstream's `POST /control`; absent fields change nothing.
#[derive(Debug, Deserialize)]
pub(super) struct Change {
    /// Starts or ends draining.
    pub(super) drain: Option<bool>,
    /// Snapshots of the index to serve from now on.
    pub(super) snapshots: Option<Vec<SnapshotId>>,
    /// Crashes the upstream immediately.
    #[serde(default)]
    pub(super) crash: bool,
    /// Fields of [`Params`] to change.
    #[serde(flatten)]
    pub(super) params: Map<String, Value>,
}
