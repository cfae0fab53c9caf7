//! Metrics in the Prometheus text format.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use base::EntryName;
use node::{Answer, Coverage, Reason};
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    Opts, Registry, TextEncoder, core::Collector,
};

use crate::{
    error::BadRequest,
    status::{Counts, Status},
};

/// Bucket bounds of the latency histogram, in seconds.
const LATENCY_SECONDS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.5, 10.0,
];

/// Bucket bounds of the coverage histogram, as shares of the shards asked.
const COVERAGE_RATIOS: [f64; 8] = [0.0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1.0];

/// Label value for entries without their own label.
const OTHER_ENTRY: &str = "(other)";

/// Values of the `outcome` label.
const OUTCOMES: [&str; 6] = ["found", "partial", "refused", "unknown", "done", "expired"];

/// Name, help text and source of a counter.
type CounterSource = (&'static str, &'static str, fn(&Counts) -> u64);

#[rustfmt::skip]
const COUNTERS: [CounterSource; 15] = [
    ("searches_total", "Searches admitted.", |c| c.searches),
    ("runs_total", "Requests of the once class admitted.", |c| c.runs),
    ("first_attempts_total", "First attempts at sub-requests.", |c| c.first_attempts),
    ("hedges_total", "Hedged attempts at sub-requests.", |c| c.hedges),
    ("retries_total", "Retried attempts at sub-requests.", |c| c.retries),
    ("cancelled_total", "Attempts cancelled.", |c| c.cancelled),
    ("discarded_total", "Replies discarded as late or another request's.", |c| c.discarded),
    ("replans_total", "Queries planned again at another snapshot.", |c| c.replans),
    ("relayed_total", "Sub-requests relayed to another instance.", |c| c.relayed),
    ("served_for_peers_total", "Sub-requests carried out for other instances.", |c| c.served_for_peers),
    ("claim_writes_total", "Writes of claim buckets.", |c| c.claim_writes),
    ("claims_total", "Claims put on record.", |c| c.claims),
    ("platform_calls_total", "Calls to the platform.", |c| c.platform_calls),
    ("peer_messages_total", "Messages sent to peers.", |c| c.peer_messages),
    ("peer_bytes_total", "Bytes sent to peers.", |c| c.peer_bytes),
];

/// Name, help text and source of a gauge.
type GaugeSource = (&'static str, &'static str, fn(&Status) -> u64);

#[rustfmt::skip]
const GAUGES: [GaugeSource; 10] = [
    ("revision", "Revision of the catalogue in force.", |s| s.revision.0),
    ("platform_version", "Platform version up to which the instance is complete.", |s| s.seen.0),
    ("ready", "1 when the instance serves callers, 0 otherwise.", |s| u64::from(s.ready)),
    ("draining", "1 when the instance is shutting down, 0 otherwise.", |s| u64::from(s.draining)),
    ("peers_live", "Peers believed live.", |s| s.peers_live),
    ("upstreams_leaving", "Upstreams that take no new work.", |s| s.upstreams_leaving),
    ("quarantined", "Requests in quarantine.", |s| s.quarantined),
    ("searches_in_hand", "Searches in hand.", |s| s.searches_in_hand),
    ("attempts_in_flight", "Attempts in flight at upstreams.", |s| s.attempts_in_flight),
    ("uptime_milliseconds", "Milliseconds since the instance started.", |s| s.uptime_ms),
];

/// Metrics of one instance, in their own registry.
pub struct Metrics {
    registry: Registry,
    latency: HistogramVec,
    coverage: HistogramVec,
    refusals: IntCounterVec,
    callers_gone: IntCounter,
    connections: IntGauge,
    connections_refused: IntCounter,
    extra_load: Gauge,
    counters: Vec<IntCounter>,
    gauges: Vec<IntGauge>,
    /// Counts last added to the counters.
    published: Cell<Counts>,
    entries: RefCell<HashMap<EntryName, Rc<EntryMetrics>>>,
    other: Rc<EntryMetrics>,
    max_entries: usize,
}

/// Metrics of one entry, with resolved labels.
struct EntryMetrics {
    latency: [Histogram; OUTCOMES.len()],
    coverage: Histogram,
}

impl EntryMetrics {
    fn new(latency: &HistogramVec, coverage: &HistogramVec, entry: &str) -> Rc<Self> {
        Rc::new(Self {
            latency: OUTCOMES.map(|outcome| latency.with_label_values(&[entry, outcome])),
            coverage: coverage.with_label_values(&[entry]),
        })
    }
}

impl Metrics {
    /// Creates the metrics; at most `max_entries` entries get their own labels.
    pub(crate) fn new(max_entries: usize) -> Self {
        let registry = Registry::new();
        let latency = histograms(
            "answer_seconds",
            "Time from a request's arrival to its answer, in seconds.",
            &LATENCY_SECONDS,
            &["entry", "outcome"],
        );
        let coverage = histograms(
            "coverage_ratio",
            "Shards answered as a share of shards asked, from 0 to 1.",
            &COVERAGE_RATIOS,
            &["entry"],
        );
        let refusals = opts("refusals_total", "Requests that were not run, by reason.");
        let refusals = expect_valid(IntCounterVec::new(refusals, &["reason"]));
        for reason in Reason::ALL.map(Reason::as_str) {
            refusals.with_label_values(&[reason]);
        }
        for reason in BadRequest::REASONS {
            refusals.with_label_values(&[reason]);
        }
        let other = EntryMetrics::new(&latency, &coverage, OTHER_ENTRY);
        let metrics = Self {
            callers_gone: counter("callers_gone_total", "Callers gone before their answer."),
            connections: gauge("connections", "Connections of callers that are open."),
            connections_refused: counter(
                "connections_refused_total",
                "Connections of callers refused above the limit.",
            ),
            extra_load: expect_valid(Gauge::with_opts(opts(
                "extra_load_ratio",
                "Hedges and retries as a share of first attempts since the start.",
            ))),
            counters: COUNTERS.map(|(name, help, _)| counter(name, help)).into(),
            gauges: GAUGES.map(|(name, help, _)| gauge(name, help)).into(),
            published: Cell::default(),
            entries: RefCell::default(),
            other,
            max_entries,
            registry,
            latency,
            coverage,
            refusals,
        };
        metrics.register_all();
        metrics
    }

    /// Returns the registry, where other modules can register metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns all metrics in the text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .is_err()
        {
            text.clear();
        }
        text
    }

    /// Counts an answer to a request for `entry`.
    pub(crate) fn answered(&self, entry: &EntryName, answer: &Answer, elapsed: Duration) {
        let (outcome, known) = match answer {
            Answer::Results(results) => {
                let is_complete = results.coverage.answered == results.coverage.asked;
                (usize::from(!is_complete), true)
            }
            Answer::Refused(refusal) => {
                let reason = refusal.reason.as_str();
                self.refusals.with_label_values(&[reason]).inc();
                (2, implies_known_entry(refusal.reason))
            }
            Answer::Unknown { .. } => (3, true),
            Answer::Done { .. } => (4, true),
            Answer::Expired => (5, true),
        };
        let metrics = self.entry(entry, known);
        metrics.latency[outcome].observe(elapsed.as_secs_f64());
        if let Answer::Results(results) = answer {
            metrics.coverage.observe(ratio(&results.coverage));
        }
    }

    /// Counts an invalid request.
    pub(crate) fn rejected(&self, error: &BadRequest) {
        self.refusals.with_label_values(&[error.reason()]).inc();
    }

    /// Counts a caller that closed its connection before the answer.
    pub(crate) fn caller_gone(&self) {
        self.callers_gone.inc();
    }

    /// Counts a connection refused above the limit.
    pub(crate) fn connection_refused(&self) {
        self.connections_refused.inc();
    }

    /// Sets the number of open connections.
    pub(crate) fn set_connections(&self, open: usize) {
        self.connections
            .set(i64::try_from(open).unwrap_or(i64::MAX));
    }

    /// Updates the metrics whose values come from the reducer.
    pub(crate) fn publish(&self, status: &Status) {
        let before = self.published.replace(status.counts);
        for (counter, (_, _, read)) in self.counters.iter().zip(&COUNTERS) {
            counter.inc_by(read(&status.counts).saturating_sub(read(&before)));
        }
        for (gauge, (_, _, read)) in self.gauges.iter().zip(&GAUGES) {
            gauge.set(i64::try_from(read(status)).unwrap_or(i64::MAX));
        }
        let counts = &status.counts;
        if counts.first_attempts > 0 {
            let extra = (counts.hedges + counts.retries) as f64;
            self.extra_load.set(extra / counts.first_attempts as f64);
        }
    }

    /// Returns the metrics of an entry, and creates them if the entry is `known` to exist.
    fn entry(&self, entry: &EntryName, known: bool) -> Rc<EntryMetrics> {
        let mut entries = self.entries.borrow_mut();
        if let Some(metrics) = entries.get(entry) {
            return Rc::clone(metrics);
        }
        if !known || entries.len() >= self.max_entries {
            return Rc::clone(&self.other);
        }
        let metrics = EntryMetrics::new(&self.latency, &self.coverage, entry.as_str());
        entries.insert(entry.clone(), Rc::clone(&metrics));
        metrics
    }

    fn register_all(&self) {
        self.register(&self.latency);
        self.register(&self.coverage);
        self.register(&self.refusals);
        self.register(&self.callers_gone);
        self.register(&self.connections);
        self.register(&self.connections_refused);
        self.register(&self.extra_load);
        self.counters.iter().for_each(|c| self.register(c));
        self.gauges.iter().for_each(|g| self.register(g));
    }

    fn register<C: Collector + Clone + 'static>(&self, collector: &C) {
        expect_valid(self.registry.register(Box::new(collector.clone())));
    }
}

/// Returns whether a refusal implies that the catalogue contains the entry.
fn implies_known_entry(reason: Reason) -> bool {
    !matches!(
        reason,
        Reason::NoEntry | Reason::NotReady | Reason::Draining
    )
}

fn ratio(coverage: &Coverage) -> f64 {
    if coverage.asked == 0 {
        return 1.0;
    }
    f64::from(coverage.answered) / f64::from(coverage.asked)
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("briarcove")
}

fn counter(name: &str, help: &str) -> IntCounter {
    expect_valid(IntCounter::with_opts(opts(name, help)))
}

fn gauge(name: &str, help: &str) -> IntGauge {
    expect_valid(IntGauge::with_opts(opts(name, help)))
}

fn histograms(name: &str, help: &str, bounds: &[f64], labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::from(opts(name, help)).buckets(bounds.to_vec());
    expect_valid(HistogramVec::new(opts, labels))
}

/// Unwraps a result that fails only for an invalid or duplicate metric name in this file.
fn expect_valid<T>(result: prometheus::Result<T>) -> T {
    result.expect("metric names are valid and unique")
}
