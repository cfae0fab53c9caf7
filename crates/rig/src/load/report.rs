//! Report of a load, which is printed as JSON and as a table.

use std::{collections::BTreeMap, fmt, time::Duration};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Response;
use serde::{Deserialize, Serialize};

/// Largest latency that histograms record; longer ones count as this one.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Key of the last member of an answer.
const COVERAGE_KEY: &[u8] = b"\"coverage\":";

/// Latency statistics of requests with the same outcome, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Number of requests.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Maximum.
    pub max: u64,
}

impl From<&Histogram<u64>> for Latency {
    fn from(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile);
        Self {
            count: histogram.len(),
            mean: histogram.mean(),
            p50: at(0.5),
            p90: at(0.9),
            p95: at(0.95),
            p99: at(0.99),
            p999: at(0.999),
            max: histogram.max(),
        }
    }
}

/// Totals of the coverage that answers with status 200 report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Answers that cover every shard.
    pub full: u64,
    /// Answers that miss shards.
    pub partial: u64,
    /// Answers without the member `coverage`.
    pub none: u64,
    /// Answers whose list of missing shards does not match their counts.
    pub inconsistent: u64,
    /// Shards queried, over all answers.
    pub asked: u64,
    /// Shards that answered, over all answers.
    pub answered: u64,
}

/// Outcome of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Idempotency key.
    pub key: Box<str>,
    /// Status of the reply; absent when there was no reply.
    pub status: Option<u16>,
    /// Latency, in microseconds.
    pub latency_us: u64,
}

/// A reply with its body.
#[derive(Clone, Debug, PartialEq)]
pub struct KeptReply {
    /// Status of the reply.
    pub status: u16,
    /// Whether the reply has the header `retry-after`.
    pub retry_after: bool,
    /// Latency.
    pub latency: Duration,
    /// Body of the reply.
    pub body: Bytes,
}

/// Report of a load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Duration from the first request to the end of the last one, in seconds.
    pub seconds: f64,
    /// Requests that ended per second.
    pub rate: f64,
    /// Requests without a reply.
    pub failed: u64,
    /// Latencies of all requests, including those without a reply.
    pub all: Latency,
    /// Latencies by status of the reply.
    pub statuses: BTreeMap<u16, Latency>,
    /// Coverage of the answers.
    pub coverage: Coverage,
    /// Runs in the order in which they ended.
    pub runs: Vec<RunRecord>,
    /// Replies in the order of arrival, if [`Config::keep_replies`](super::Config) is set.
    #[serde(skip)]
    pub kept_replies: Vec<KeptReply>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = [
            "outcome", "count", "mean", "p50", "p90", "p95", "p99", "p99.9", "max",
        ];
        for title in columns {
            write!(f, "{title:>9}")?;
        }
        writeln!(f, "   (us)")?;
        write_row(f, "all", &self.all)?;
        for (status, latency) in &self.statuses {
            write_row(f, &status.to_string(), latency)?;
        }
        let Self {
            seconds,
            rate,
            failed,
            coverage,
            ..
        } = self;
        writeln!(
            f,
            "{rate:.0}/s over {seconds:.2} s; {failed} without a reply"
        )?;
        let Coverage {
            full,
            partial,
            none,
            inconsistent,
            asked,
            answered,
        } = coverage;
        writeln!(
            f,
            "coverage: {full} full, {partial} partial, {none} without, {inconsistent} inconsistent; \
             {answered} of {asked} shards"
        )
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, name: &str, latency: &Latency) -> fmt::Result {
    let Latency {
        count,
        mean,
        p50,
        p90,
        p95,
        p99,
        p999,
        max,
    } = latency;
    write!(f, "{name:>9}{count:>9}{mean:>9.0}{p50:>9}{p90:>9}{p95:>9}")?;
    writeln!(f, "{p99:>9}{p999:>9}{max:>9}")
}

/// Collects the outcomes of requests.
pub(super) struct Recorder {
    all: Histogram<u64>,
    statuses: BTreeMap<u16, Histogram<u64>>,
    failed: u64,
    coverage: Coverage,
    runs: Vec<RunRecord>,
    kept_replies: Vec<KeptReply>,
}

impl Recorder {
    /// Creates an empty recorder.
    pub(super) fn new() -> Self {
        Self {
            all: new_histogram(),
            statuses: BTreeMap::new(),
            failed: 0,
            coverage: Coverage::default(),
            runs: Vec::new(),
            kept_replies: Vec::new(),
        }
    }

    /// Records a request that ended; `key` is present for a run.
    pub(super) fn record(
        &mut self,
        key: Option<Box<str>>,
        reply: Option<&Response<Bytes>>,
        latency: Duration,
    ) {
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        let status = reply.map(|reply| reply.status().as_u16());
        self.all.saturating_record(latency_us);
        match status {
            Some(status) => {
                let histogram = self.statuses.entry(status).or_insert_with(new_histogram);
                histogram.saturating_record(latency_us);
            }
            None => self.failed += 1,
        }
        match (key, reply) {
            (Some(key), _) => self.runs.push(RunRecord {
                key,
                status,
                latency_us,
            }),
            (None, Some(reply)) if reply.status() == 200 => self.record_coverage(reply.body()),
            (None, _) => {}
        }
    }

    /// Keeps a reply with its body.
    pub(super) fn keep(&mut self, reply: &Response<Bytes>, latency: Duration) {
        self.kept_replies.push(KeptReply {
            status: reply.status().as_u16(),
            retry_after: reply.headers().contains_key("retry-after"),
            latency,
            body: reply.body().clone(),
        });
    }

    fn record_coverage(&mut self, body: &[u8]) {
        let Some(coverage) = parse_coverage(body) else {
            self.coverage.none += 1;
            return;
        };
        self.coverage.asked += coverage.asked;
        self.coverage.answered += coverage.answered;
        let missing = u64::try_from(coverage.missing.len()).unwrap_or(u64::MAX);
        if coverage.answered.saturating_add(missing) != coverage.asked {
            self.coverage.inconsistent += 1;
        }
        if coverage.answered == coverage.asked {
            self.coverage.full += 1;
        } else {
            self.coverage.partial += 1;
        }
    }

    /// Returns the report of a load that took `elapsed`.
    pub(super) fn report(self, elapsed: Duration) -> Report {
        let all = Latency::from(&self.all);
        let seconds = elapsed.as_secs_f64();
        let statuses = self.statuses.iter();
        Report {
            seconds,
            rate: self.all.len() as f64 / seconds,
            failed: self.failed,
            all,
            statuses: statuses.map(|(s, h)| (*s, h.into())).collect(),
            coverage: self.coverage,
            runs: self.runs,
            kept_replies: self.kept_replies,
        }
    }
}

/// Value of the member `coverage` of an answer.
#[derive(Deserialize)]
struct AnswerCoverage {
    asked: u64,
    answered: u64,
    missing: Vec<Box<str>>,
}

/// Parses the coverage alone. The key with its quotes cannot occur inside a JSON string, where
/// quotes are escaped.
fn parse_coverage(body: &[u8]) -> Option<AnswerCoverage> {
    let mut windows = body.windows(COVERAGE_KEY.len());
    let start = windows.rposition(|part| part == COVERAGE_KEY)?;
    let value = &body[start + COVERAGE_KEY.len()..];
    let mut parser = serde_json::Deserializer::from_slice(value);
    AnswerCoverage::deserialize(&mut parser).ok()
}

fn new_histogram() -> Histogram<u64> {
    match Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS) {
        Ok(histogram) => histogram,
        Err(e) => unreachable!("the constants are valid: {e}"),
    }
}
