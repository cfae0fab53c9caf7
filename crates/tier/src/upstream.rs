//! One upstream: what it says of itself, and what this instance sees of it.

use std::{net::SocketAddr, time::Duration};

use base::{DataCentre, ServiceName, Time, UpstreamName};

use crate::{event::AttemptKey, failure_rate::FailureRate, latency::LatencyRatio};

slotmap::new_key_type! {
    /// Names an upstream incarnation within one instance.
    pub struct UpstreamKey;
}

/// What an upstream has published about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the incarnation, which the upstream checks on each request.
    pub name: UpstreamName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub cold_left: Duration,
    /// Unix time of its start, in milliseconds.
    pub started_ms: u64,
    /// Counts its publications since its start.
    pub seq: u64,
}

/// Failures in a row after which an upstream rests.
const FAILURES_BEFORE_EJECTION: u32 = 3;

/// Pace up to which an upstream is sound; replicas differ by up to this much without any trouble.
const MAX_HEALTHY_LATENCY_RATIO: f64 = 2.5;

/// Rate of lost or rejected requests up to which an upstream is sound; a single one in a while.
const MAX_HEALTHY_FAILURE_RATE: f64 = 0.15;

/// Shortest rest of an upstream that fails.
const EJECTION_MIN: Duration = Duration::from_millis(500);

/// Longest rest of an upstream that fails.
const EJECTION_MAX: Duration = Duration::from_secs(4);

/// An upstream as this instance sees it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What it published last.
    pub entry: Entry,
    /// Requests in flight from this instance, oldest first, with the time of sending.
    pub in_flight: Vec<(AttemptKey, Time)>,
    /// How often it loses answers.
    pub loss_rate: FailureRate,
    /// How often it turns requests away.
    pub rejection_rate: FailureRate,
    /// How fast it is compared with the other upstreams of its requests.
    pub latency_ratio: LatencyRatio,
    /// Time until which it is slow after its start.
    pub cold_until: Time,
    /// Time until which it is passed over after failures.
    pub ejected_until: Time,
    /// Time until which it is passed over because it had no room.
    pub full_until: Time,
    /// Time of the last reply, after which a connection is kept for a while.
    pub replied_at: Option<Time>,
    failures: u32,
    ejections: u32,
}

impl Upstream {
    /// Makes an upstream of which nothing has been seen.
    pub fn new(entry: Entry, now: Time) -> Self {
        Self {
            cold_until: now + entry.cold_left,
            entry,
            in_flight: Vec::new(),
            loss_rate: FailureRate::default(),
            rejection_rate: FailureRate::default(),
            latency_ratio: LatencyRatio::default(),
            ejected_until: Time::ZERO,
            full_until: Time::ZERO,
            replied_at: None,
            failures: 0,
            ejections: 0,
        }
    }

    /// Returns whether it may be sent new work.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.entry.draining && self.ejected_until <= now && self.full_until <= now
    }

    /// Returns whether nothing is known against it, so that a short way to it is worth more than a
    /// better balance.
    pub fn is_healthy(&self, now: Time) -> bool {
        self.latency_ratio.get(now) < MAX_HEALTHY_LATENCY_RATIO
            && self.loss_rate.get(now) < MAX_HEALTHY_FAILURE_RATE
            && self.rejection_rate.get(now) < MAX_HEALTHY_FAILURE_RATE
    }

    /// Returns whether it failed last, even if it is no longer passed over.
    pub fn is_failing(&self) -> bool {
        self.ejections > 0
    }

    /// Counts a reply, good or bad, that shows the upstream at work.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Counts a failure; returns the rest that it earns.
    pub fn failed(&mut self, now: Time, is_unreachable: bool) -> Option<Duration> {
        self.failures += 1;
        if !is_unreachable && self.failures < FAILURES_BEFORE_EJECTION {
            return None;
        }
        let ejection = (EJECTION_MIN * 2_u32.pow(self.ejections.min(8))).min(EJECTION_MAX);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = self.ejected_until.max(now + ejection);
        Some(ejection)
    }

    /// Has the upstream pass over for a while after it said that it has no room.
    pub fn mark_full(&mut self, now: Time, ejection: Duration) {
        self.full_until = now + ejection;
    }

    /// Returns how long the oldest request has been in flight.
    pub fn oldest_wait(&self, now: Time) -> Duration {
        self.in_flight
            .first()
            .map_or(Duration::ZERO, |(_, sent)| now.since(*sent))
    }

    /// Forgets a request that is no longer in flight.
    pub fn attempt_ended(&mut self, attempt: AttemptKey) {
        self.in_flight.retain(|(key, _)| *key != attempt);
    }
}
