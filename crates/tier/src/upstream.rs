//! One upstream: its published entry, and its state as observed by this instance.

use std::{net::SocketAddr, time::Duration};

use base::{DataCentre, ServiceName, Time, UpstreamName};

use crate::{
    cold::Cold, event::AttemptKey, failure_rate::FailureRate, latency::LatencyRatio, limit::Limit,
    load_report::Received,
};

slotmap::new_key_type! {
    /// Key of an upstream incarnation within one instance.
    pub struct UpstreamKey;
}

/// An upstream's entry, as published on the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the incarnation, which the upstream checks on each request.
    pub name: UpstreamName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Data centre that it is in.
    pub data_centre: DataCentre,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it drains and accepts no new requests.
    pub draining: bool,
    /// Remaining time for which it is cold (slow after its start).
    pub cold_left: Duration,
    /// Unix time of its start, in milliseconds.
    pub started_ms: u64,
    /// Sequence number of this publication since its start.
    pub seq: u64,
}

/// Number of failures in a row after which an upstream is ejected.
const FAILURES_BEFORE_EJECTION: u32 = 3;

/// Latency ratio below which an upstream counts as healthy; replicas in good condition differ by up
/// to this factor.
const MAX_HEALTHY_LATENCY_RATIO: f64 = 2.5;

/// Rate of lost or rejected requests below which an upstream counts as healthy; it allows a single
/// one now and then.
const MAX_HEALTHY_FAILURE_RATE: f64 = 0.15;

/// Duration of the first ejection of an upstream.
const EJECTION_MIN: Duration = Duration::from_millis(500);

/// Maximum duration of an ejection; each one in a row is twice as long as the one before.
const EJECTION_MAX: Duration = Duration::from_secs(4);

/// State of an upstream, as observed by this instance.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its latest entry.
    pub entry: Entry,
    /// Requests in flight from this instance with their start times, oldest first.
    pub in_flight: Vec<(AttemptKey, Time)>,
    /// Rate of lost, invalid and unsuccessful replies.
    pub loss_rate: FailureRate,
    /// Rate of rejected requests.
    pub rejection_rate: FailureRate,
    /// Its latency relative to the mean of its routes.
    pub latency_ratio: LatencyRatio,
    /// Time until which it is cold after its start.
    pub cold_until: Time,
    /// Time until which it is ejected after failures.
    pub ejected_until: Time,
    /// Time until which it gets no new requests because it rejected one.
    pub full_until: Time,
    /// Whether it has announced that it leaves.
    pub is_leaving: bool,
    /// Whether its data centre is evacuated.
    pub is_evacuated: bool,
    /// Whether this instance does not reach its data centre.
    pub is_separated: bool,
    /// Time until which it accepts no requests from this instance, as it has announced.
    pub paused_until: Time,
    /// The limit that it names in its replies.
    pub limit: Option<Limit>,
    /// Its coldness, if it bears a limited rate meanwhile.
    pub cold: Option<Cold>,
    /// The latest report of its load.
    pub load: Option<Received>,
    /// Time of the last reply; its connection is kept open for a while after that.
    pub replied_at: Option<Time>,
    /// Time at which the latest request that was answered or rejected had been sent.
    pub answered_since: Option<Time>,
    /// Time at which it was last found down.
    pub down_at: Option<Time>,
    failures: u32,
    ejections: u32,
}

impl Upstream {
    /// Creates an upstream without observations.
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
            is_leaving: false,
            is_evacuated: false,
            is_separated: false,
            paused_until: Time::ZERO,
            limit: None,
            cold: None,
            load: None,
            replied_at: None,
            answered_since: None,
            down_at: None,
            failures: 0,
            ejections: 0,
        }
    }

    /// Returns whether it may be sent new requests, as far as its limits allow them.
    pub fn is_usable(&self, now: Time) -> bool {
        self.accepts(now)
            && !self.is_separated
            && self.ejected_until <= now
            && self.full_until <= now
    }

    /// Returns whether it may be sent a request now, also by the limit that it names and the rate
    /// that it bears while it is cold.
    pub fn admits(&self, now: Time, is_urgent: bool) -> bool {
        let (limit, cold) = (self.limit.as_ref(), self.cold.as_ref());
        self.is_usable(now)
            && limit.is_none_or(|limit| limit.allows(now, is_urgent))
            && cold.is_none_or(|cold| cold.allows(now, is_urgent))
    }

    /// Returns whether it accepts requests, by its entry, its announcements and its data centre.
    pub fn accepts(&self, now: Time) -> bool {
        self.is_in_service() && self.paused_until <= now
    }

    /// Returns whether it neither leaves nor is evacuated.
    pub fn is_in_service(&self) -> bool {
        !self.is_departing() && !self.is_evacuated
    }

    /// Returns whether it leaves, by its entry or its announcement.
    pub fn is_departing(&self) -> bool {
        self.entry.draining || self.is_leaving
    }

    /// Returns the time from which it may be sent new requests; `None` if it leaves or is
    /// evacuated.
    pub fn usable_from(&self, now: Time) -> Option<Time> {
        let (limit, cold) = (self.limit.as_ref(), self.cold.as_ref());
        let from = self
            .paused_until
            .max(self.ejected_until)
            .max(self.full_until)
            .max(limit.map_or(Time::ZERO, |limit| limit.allows_from(now)))
            .max(cold.map_or(Time::ZERO, |cold| cold.allows_from(now)));
        self.is_in_service().then_some(from)
    }

    /// Returns whether its latency and its failure rates are normal. A healthy upstream in the
    /// local data centre is preferred over a better balance of load.
    pub fn is_healthy(&self, now: Time) -> bool {
        self.latency_ratio.get(now) < MAX_HEALTHY_LATENCY_RATIO
            && self.loss_rate.get(now) < MAX_HEALTHY_FAILURE_RATE
            && self.rejection_rate.get(now) < MAX_HEALTHY_FAILURE_RATE
    }

    /// Forgets its latency and its failure rates. After a time without requests they say nothing of
    /// it, and placement would not choose it, so that nothing would show otherwise.
    pub fn forget_performance(&mut self) {
        self.latency_ratio = LatencyRatio::default();
        self.loss_rate = FailureRate::default();
        self.rejection_rate = FailureRate::default();
    }

    /// Returns whether it is out of reach, or has been ejected and has not succeeded since.
    pub fn is_failing(&self) -> bool {
        self.is_separated || self.ejections > 0
    }

    /// Records a success, which resets the failures and ejections in a row.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Records a failure; returns the duration of the ejection if it causes one.
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

    /// Stops new requests for a while after the upstream rejected one.
    pub fn mark_full(&mut self, now: Time, backoff: Duration) {
        self.full_until = now + backoff;
    }

    /// Returns the time for which the oldest request has been in flight.
    pub fn oldest_wait(&self, now: Time) -> Duration {
        self.in_flight
            .first()
            .map_or(Duration::ZERO, |(_, sent)| now.since(*sent))
    }

    /// Returns the latest time at which it is known to have been up: when it was sent a request
    /// that it answered, or the one sent at `broken_sent`, whose connection broke, if that was a
    /// new one. Connections are only kept after an answer.
    pub fn up_at(&self, broken_sent: Option<Time>) -> Option<Time> {
        let answered = self
            .answered_since
            .filter(|at| self.down_at.is_none_or(|down_at| *at > down_at));
        answered.or(broken_sent).max(self.answered_since)
    }

    /// Removes a request that is no longer in flight.
    pub fn attempt_ended(&mut self, attempt: AttemptKey) {
        self.in_flight.retain(|(key, _)| *key != attempt);
    }
}
