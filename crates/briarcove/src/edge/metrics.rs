//! Prometheus metrics of an instance on the platform.

use platform::UpstreamReply;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use tier::{
    HandOverOutcome, Note, Outcome, effect::CallSummary, event::Reply, load_report::Usage,
    quota::Limits,
};

use super::limits::LimitMetrics;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 13] = [
    0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.12, 0.2, 0.5, 0.8, 1.5, 5.0, 15.0,
];

/// The metrics and their registry.
pub(super) struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    latency: Histogram,
    parts_asked: IntCounter,
    parts_answered: IntCounter,
    parts_skipped: IntCounter,
    extra_attempts: IntCounter,
    late_answers: IntCounter,
    attempts: IntCounterVec,
    cancelled_attempts: IntCounter,
    limited_attempts: IntCounter,
    cold_attempts: IntCounter,
    handed_over: IntCounterVec,
    declined: IntCounterVec,
    upstream_connections: IntCounter,
    connections_refused: IntCounter,
    store_calls: IntCounterVec,
    upstream_changes: IntCounterVec,
    crash_suspicions: IntCounterVec,
    config_version: IntGauge,
    store_era: IntGauge,
    pending_requests: IntGauge,
    attempts_in_flight: IntGauge,
    upstreams: IntGauge,
    evacuated_upstreams: IntGauge,
    limits: LimitMetrics,
    reported_placements: IntGauge,
    report_age: IntGauge,
}

/// Registers a metric and returns it; panics on an invalid or repeated name, a mistake in this
/// file.
macro_rules! register {
    ($registry:ident, $made:expr) => {{
        let metric = $made.expect("names and help texts of metrics are valid");
        $registry
            .register(Box::new(metric.clone()))
            .expect("names of metrics are used once");
        metric
    }};
}

impl Metrics {
    pub(super) fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            register!(
                registry,
                IntCounter::new(format!("briarcove_{name}_total"), help)
            )
        };
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let opts = Opts::new(format!("briarcove_{name}_total"), help);
            register!(registry, IntCounterVec::new(opts, labels))
        };
        let gauge = |name: &str, help: &str| {
            register!(registry, IntGauge::new(format!("briarcove_{name}"), help))
        };
        let latency = HistogramOpts::new(
            "briarcove_request_seconds",
            "Time from the arrival of a request to its answer",
        );
        let latency = latency.buckets(LATENCY_BUCKETS.to_vec());
        Self {
            requests: counters("requests", "Requests by outcome", &["outcome"]),
            latency: register!(registry, Histogram::with_opts(latency)),
            parts_asked: counter("parts_asked", "Parts of answered searches"),
            parts_answered: counter("parts_answered", "Parts that answers hold"),
            parts_skipped: counter("parts_skipped", "Parts left out before sending"),
            extra_attempts: counter("extra_attempts", "Second attempts of parts"),
            late_answers: counter("late_answers", "Requests that ended after their objective"),
            attempts: counters("attempts", "Attempts by outcome", &["outcome"]),
            cancelled_attempts: counter("cancelled_attempts", "Attempts that were broken off"),
            limited_attempts: counter(
                "limited_attempts",
                "Attempts at upstreams that name a limit, counted every four seconds",
            ),
            cold_attempts: counter(
                "cold_attempts",
                "Attempts at upstreams that bear few requests as they are cold, counted when that ends",
            ),
            handed_over: counters("handed_over", "Searches run by other instances", &["end"]),
            declined: counters(
                "declined",
                "Requests of other instances that were declined",
                &["reason"],
            ),
            upstream_connections: counter("upstream_connections", "Connections opened"),
            connections_refused: counter("refused_connections", "Connections of callers closed"),
            store_calls: counters("store_calls", "Calls to the store", &["call", "result"]),
            upstream_changes: counters("upstream_changes", "Beliefs on upstreams", &["change"]),
            crash_suspicions: counters(
                "crash_suspicions",
                "Requests in flight at upstreams that may have crashed",
                &["outcome"],
            ),
            config_version: gauge("config_version", "Version of the configuration in force"),
            store_era: gauge("store_era", "Era of the store, once it has risen"),
            pending_requests: gauge("requests_in_hand", "Requests without an answer yet"),
            attempts_in_flight: gauge("attempts_in_flight", "Attempts without an end yet"),
            upstreams: gauge("upstreams", "Upstreams known"),
            evacuated_upstreams: gauge(
                "evacuated_upstreams",
                "Upstreams in evacuated data centres",
            ),
            limits: LimitMetrics::new(&registry),
            reported_placements: gauge(
                "reported_placements",
                "Attempts since the start at upstreams whose load report was fresh",
            ),
            report_age: gauge(
                "report_age_us",
                "Mean age of those reports, in microseconds",
            ),
            registry,
        }
    }

    /// Updates the metrics for a note of the reducer.
    pub(super) fn set_store_era(&self, era: u64) {
        self.store_era.set(i64::try_from(era).unwrap_or(i64::MAX));
    }

    pub(super) fn count_note(&self, note: &Note) {
        let change = match note {
            Note::CallEnded(ended) => return self.count_call(ended),
            Note::ConfigInForce { version, .. } => {
                self.config_version
                    .set(i64::try_from(*version).unwrap_or(i64::MAX));
                return;
            }
            Note::UpstreamsListed { .. } => "listed",
            Note::UpstreamSeen(..) => "seen",
            Note::UpstreamDraining(..) => "draining",
            Note::UpstreamLeaving(..) => "announced_leaving",
            Note::UpstreamPaused(..) => "announced_pause",
            Note::Declined(why) => {
                return self.declined.with_label_values(&[why.name()]).inc();
            }
            Note::UpstreamLimited(..) => "announced_limit",
            Note::LimitEnded(..) => "limit_ended",
            Note::LimitedUpstreamLoad(_, load, _) => {
                self.limited_attempts
                    .inc_by(u64::from(load.first + load.extra));
                return;
            }
            Note::UpstreamCold(..) => "cold",
            Note::UpstreamWarm(_, summary) => {
                self.cold_attempts.inc_by(u64::from(summary.sent));
                "warm"
            }
            Note::UpstreamGone(..) => "gone",
            Note::RemovalHeld(..) => "removal_held",
            Note::UpstreamEjected(..) => "passed_over",
            Note::CrashSuspected => return self.count_suspicions("suspected", 1),
            Note::CrashUnconfirmed(count) => return self.count_suspicions("unconfirmed", *count),
            Note::UpstreamCrashed { .. } => return self.count_suspicions("confirmed", 1),
            Note::Quarantined(..) => "request_quarantined",
            Note::QuarantineLearned(..) => "quarantine_learned",
            Note::QuarantineTried(..) => "quarantine_tried",
            Note::QuarantineWithheld(..) => "quarantine_withheld",
            Note::ProbeInconclusive => return self.count_suspicions("inconclusive", 1),
            Note::QuarantineEnded(..) => "quarantine_ended",
            Note::InstanceEjected(..) => "instance_passed_over",
            Note::OverLimit(..) => return,
            Note::LimitsOwned(true, _) => "limits_owned",
            Note::LimitsOwned(false, _) => "limits_passed_on",
            Note::LenderSilent(..) => "lender_silent",
            Note::Separated(..) => "separated",
            Note::SeparationEnded(..) => "separation_ended",
            Note::CutOff => "cut_off",
            Note::Rejoined => "rejoined",
            Note::Evacuated { .. } => "evacuated",
            Note::EvacuationEnded { .. } => "evacuation_ended",
            Note::PlatformReset { .. } => "store_reset",
            Note::PlatformLost => "store_lost",
            Note::PlatformBack => "store_back",
        };
        self.upstream_changes.with_label_values(&[change]).inc();
    }

    fn count_suspicions(&self, outcome: &str, count: usize) {
        self.crash_suspicions
            .with_label_values(&[outcome])
            .inc_by(count as u64);
    }

    /// Counts a call that has ended.
    fn count_call(&self, ended: &CallSummary) {
        self.requests.with_label_values(&[ended.outcome]).inc();
        self.extra_attempts.inc_by(ended.extra as u64);
        if ended.is_branch {
            // The instance that received the search from its caller counts its latency and parts.
            return;
        }
        self.latency.observe(ended.took.as_secs_f64());
        self.parts_asked.inc_by(ended.asked as u64);
        self.parts_answered.inc_by(ended.answered as u64);
        self.parts_skipped.inc_by(ended.skipped as u64);
        self.late_answers.inc_by(u64::from(ended.late));
    }

    /// Counts an attempt by its outcome.
    pub(super) fn count_attempt(&self, outcome: &Outcome<UpstreamReply>) {
        let outcome = match outcome {
            Outcome::Reply(reply) if reply.is_success() => "success",
            Outcome::Reply(_) => "upstream_error",
            Outcome::Failed(failure) => failure.name(),
        };
        self.attempts.with_label_values(&[outcome]).inc();
    }

    pub(super) fn count_cancelled(&self) {
        self.cancelled_attempts.inc();
    }

    /// Counts a search that was handed over to another instance by how it ended.
    pub(super) fn count_hand_over(&self, end: &HandOverOutcome<UpstreamReply>) {
        let end = match end {
            HandOverOutcome::Answer(_) => "answered",
            HandOverOutcome::Declined => "declined",
            HandOverOutcome::Broken => "broken",
        };
        self.handed_over.with_label_values(&[end]).inc();
    }

    pub(super) fn count_opened_connection(&self) {
        self.upstream_connections.inc();
    }

    pub(super) fn count_refused_connection(&self) {
        self.connections_refused.inc();
    }

    pub(super) fn count_store_call(&self, call: &str, result: &str) {
        self.store_calls.with_label_values(&[call, result]).inc();
    }

    pub(super) fn set_gauges(
        &self,
        pending_requests: usize,
        attempts_in_flight: usize,
        upstreams: usize,
    ) {
        self.pending_requests.set(pending_requests as i64);
        self.attempts_in_flight.set(attempts_in_flight as i64);
        self.upstreams.set(upstreams as i64);
    }

    pub(super) fn set_evacuated_upstreams(&self, count: usize) {
        self.evacuated_upstreams.set(count as i64);
    }

    /// Updates the metrics of organisations that have limits.
    pub(super) fn set_limits(&self, limits: &Limits) {
        self.limits.set(limits);
    }

    pub(super) fn set_report_usage(&self, usage: Usage) {
        let mean = usage.age.as_micros() / u128::from(usage.placements.max(1));
        self.reported_placements
            .set(i64::try_from(usage.placements).unwrap_or(i64::MAX));
        self.report_age.set(i64::try_from(mean).unwrap_or(i64::MAX));
    }

    /// Returns all metrics in the Prometheus text format.
    pub(super) fn encode_text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            return format!("# failed to encode the metrics: {e}\n").into_bytes();
        }
        text
    }
}
