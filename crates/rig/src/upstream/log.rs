//! Counters and logs of an upstream stand-in.

use std::{collections::VecDeque, time::Duration};

use http::HeaderValue;
use serde::{Deserialize, Serialize};

/// Maximum number of served searches in the log.
const MAX_SERVED: usize = 4_096;
/// Maximum number of entries in each list of requests that arrived during a drain.
const MAX_LATE: usize = 65_536;

/// One run that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Idempotency key of the request.
    pub key: Box<str>,
    /// Request id.
    pub request: Box<str>,
    /// Time since the upstream's first start, in milliseconds.
    pub at_ms: u64,
}

/// One search that was answered 200.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Served {
    /// Id of the request and its attempt.
    pub request: Box<str>,
    /// Shard that was searched.
    pub shard: Box<str>,
    /// Snapshot that was searched.
    pub snapshot: u64,
}

/// Reply of an upstream's `GET /control`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the upstream.
    pub name: Box<str>,
    /// Counters.
    #[serde(flatten)]
    pub counters: Counters,
    /// Maximum number of requests that were processed at once.
    pub max_in_work: usize,
    /// Number of open connections.
    pub open_connections: usize,
    /// Maximum number of connections that were open at once.
    pub max_connections: usize,
    /// Number of connections that were closed on arrival because of the limit.
    pub refused_connections: u64,
    /// Requests started during a drain: time since the drain began, in milliseconds.
    pub late_starts_ms: Vec<u64>,
    /// Requests refused during a drain: time since the drain began, in milliseconds.
    pub late_refusals_ms: Vec<u64>,
    /// All runs that took effect.
    pub executions: Vec<Execution>,
    /// The last searches that were answered 200, oldest first.
    pub served: Vec<Served>,
}

/// Counters of one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Searches that received a slot.
    pub searches: u64,
    /// Requests answered 503.
    pub refused: u64,
    /// Searches answered 499.
    pub cancelled: u64,
    /// Cancel requests, whether or not they matched a search.
    pub cancels: u64,
    /// Requests whose deadline passed before they were processed.
    pub expired: u64,
    /// Searches of a snapshot that is not served.
    pub no_snapshot: u64,
    /// Searches answered with the reply to another search.
    pub crossed: u64,
    /// Injected crashes.
    pub crashes: u64,
}

/// Counters and logs. They persist over injected crashes.
#[derive(Default)]
pub(super) struct Log {
    pub(super) counters: Counters,
    pub(super) executions: Vec<Execution>,
    pub(super) late_starts_ms: Vec<u64>,
    pub(super) late_refusals_ms: Vec<u64>,
    served: VecDeque<(HeaderValue, HeaderValue, u64)>,
}

impl Log {
    /// Records a search that is answered 200.
    pub(super) fn record_search(
        &mut self,
        request: &HeaderValue,
        shard: &HeaderValue,
        snapshot: u64,
    ) {
        if self.served.len() >= MAX_SERVED {
            self.served.pop_front();
        }
        self.served
            .push_back((request.clone(), shard.clone(), snapshot));
    }

    /// Records a request that is started during a drain, with the time since the drain began.
    pub(super) fn record_late_start(&mut self, late: Duration) {
        push_millis(&mut self.late_starts_ms, late);
    }

    /// Records a request that is refused during a drain, with the time since the drain began.
    pub(super) fn record_late_refusal(&mut self, late: Duration) {
        push_millis(&mut self.late_refusals_ms, late);
    }

    /// Returns the last served searches, oldest first.
    pub(super) fn served(&self) -> Vec<Served> {
        let served = self.served.iter();
        let copy = |(request, shard, snapshot): &(HeaderValue, HeaderValue, u64)| Served {
            request: text(request),
            shard: text(shard),
            snapshot: *snapshot,
        };
        served.map(copy).collect()
    }
}

fn push_millis(list: &mut Vec<u64>, late: Duration) {
    if list.len() < MAX_LATE {
        list.push(millis(late));
    }
}

/// Returns a duration in whole milliseconds.
pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a header value as text, or an empty text if it is not visible ASCII.
pub(super) fn text(value: &HeaderValue) -> Box<str> {
    value.to_str().unwrap_or_default().into()
}
