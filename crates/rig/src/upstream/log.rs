//! What an upstream stand-in has seen and done.

use std::{collections::VecDeque, time::Duration};

use http::HeaderValue;
use serde::{Deserialize, Serialize};

/// Searches that the ring of served searches keeps.
const MAX_SERVED: usize = 4_096;
/// Requests after a drain whose lateness is kept.
const MAX_LATE: usize = 65_536;

/// One run that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Idempotency key of the request.
    pub key: Box<str>,
    /// Identity of the request.
    pub request: Box<str>,
    /// Time since the upstream's first start, in milliseconds.
    pub at_ms: u64,
}

/// One search that was answered 200.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Served {
    /// Identity of the request and its attempt.
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
    /// Plain counters.
    #[serde(flatten)]
    pub counters: Counters,
    /// Greatest number of requests worked on at once.
    pub max_in_work: usize,
    /// Connections that are open.
    pub open_connections: usize,
    /// Greatest number of connections open at once.
    pub max_connections: usize,
    /// Connections closed on arrival for the limit.
    pub refused_connections: u64,
    /// Lateness of requests started after a drain began, in milliseconds.
    pub late_starts_ms: Vec<u64>,
    /// Lateness of requests refused after a drain began, in milliseconds.
    pub late_refusals_ms: Vec<u64>,
    /// Every run that took effect.
    pub executions: Vec<Execution>,
    /// The last searches that were answered 200, oldest first.
    pub served: Vec<Served>,
}

/// Counters of one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Searches that got a slot.
    pub searches: u64,
    /// Requests answered 503.
    pub refused: u64,
    /// Searches answered 499.
    pub cancelled: u64,
    /// Requests to cancel, whether or not they met a search.
    pub cancels: u64,
    /// Requests whose deadline passed before their work was done.
    pub expired: u64,
    /// Searches of a snapshot that is not served.
    pub no_snapshot: u64,
    /// Replies that were another search's.
    pub crossed: u64,
    /// Crashes.
    pub crashes: u64,
}

/// Counters and logs; they outlive a crash.
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
    pub(super) fn serve(&mut self, request: &HeaderValue, shard: &HeaderValue, snapshot: u64) {
        if self.served.len() >= MAX_SERVED {
            self.served.pop_front();
        }
        self.served
            .push_back((request.clone(), shard.clone(), snapshot));
    }

    /// Records a request that is started after a drain began.
    pub(super) fn start_late(&mut self, late: Duration) {
        push_millis(&mut self.late_starts_ms, late);
    }

    /// Records a request that is refused after a drain began.
    pub(super) fn refuse_late(&mut self, late: Duration) {
        push_millis(&mut self.late_refusals_ms, late);
    }

    /// Copies the ring of served searches.
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

/// Returns whole milliseconds.
pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a header's text, or nothing when it is not text.
pub(super) fn text(value: &HeaderValue) -> Box<str> {
    value.to_str().unwrap_or_default().into()
}
