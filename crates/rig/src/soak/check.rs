//! Checks of the observations of callers and upstreams against the guarantees of the product.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Response, StatusCode};

use super::{
    callers::{Kind, Outcome},
    cuts::CutOff,
};
use crate::edge::Arrival;

/// Time after the timeout of a request by which it must be answered, as the platform requires.
const MAX_OVERRUN: Duration = Duration::from_millis(500);

/// Time after the last byte of a request in which an instance that shuts down may close the
/// connection without an answer, as the platform permits.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Prefix of the ids of requests that check the recovery of an instance.
pub(super) const PROBE_PREFIX: &str = "proof-";

/// Statuses that guarantee that a request has not run and will not run.
const NOT_RUN: [StatusCode; 4] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
];

/// A period in which an instance was stopped, paused or shutting down.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outage {
    /// Index of the instance.
    pub(super) instance: usize,
    /// Start of the outage.
    pub(super) from: Instant,
    /// End of the outage; `None` while it lasts.
    pub(super) to: Option<Instant>,
    /// Whether the instance was asked to shut down, so that it must answer pending requests.
    pub(super) is_graceful: bool,
}

/// All observations of a run.
pub(super) struct Recording<'a> {
    /// Results of the callers' requests.
    pub(super) outcomes: &'a [Outcome],
    /// Requests that upstreams received.
    pub(super) arrivals: &'a [Arrival],
    /// Outages of instances.
    pub(super) outages: &'a [Outage],
    /// Times in which instances were cut off from all upstreams.
    pub(super) cuts: &'a [CutOff],
    /// Upstreams whose network path was disturbed, with the times from and until when.
    pub(super) disturbed: &'a [(String, Instant, Instant)],
    /// Number of shards of a search.
    pub(super) shards: usize,
    /// Minimum number of parts of a successful answer to a search.
    pub(super) min_parts: usize,
}

/// Returns a description of each violation.
pub(super) fn check(recording: &Recording<'_>) -> Vec<String> {
    let mut arrived: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in recording.arrivals {
        arrived.entry(&arrival.id).or_default().push(arrival);
    }
    let asked: HashSet<&str> = recording.outcomes.iter().map(|it| &*it.id).collect();
    let mut violations = Vec::new();
    for id in arrived
        .keys()
        .filter(|id| !id.starts_with(PROBE_PREFIX) && !asked.contains(**id))
    {
        violations.push(format!(
            "{id}: received by an upstream, but not sent by any caller"
        ));
    }
    for outcome in recording.outcomes {
        let arrivals = arrived.get(&*outcome.id).map_or(&[][..], Vec::as_slice);
        let mut found = Vec::new();
        found.extend(check_runs(outcome, arrivals));
        found.extend(check_time_left(outcome, arrivals));
        found.extend(check_answered(recording, outcome, arrivals));
        if let Some(answer) = &outcome.answer {
            found.extend(check_content(recording, outcome, answer, arrivals));
        }
        for what in found {
            let (id, kind, at) = (&outcome.id, outcome.kind, outcome.instance);
            violations.push(format!("{id} ({kind:?} at instance {at}): {what}"));
        }
    }
    violations
}

/// Checks that an order runs at most once, and not at all if it was refused as not run.
fn check_runs(outcome: &Outcome, arrivals: &[&Arrival]) -> Option<String> {
    let ran = arrivals.iter().filter(|arrival| arrival.ran).count();
    if outcome.kind != Kind::Order {
        return None;
    }
    let status = outcome.answer.as_ref().map(Response::status);
    match status {
        _ if ran > 1 => Some(format!("ran {ran} times")),
        Some(status) if ran > 0 && NOT_RUN.contains(&status) => {
            Some(format!("was refused with {status}, but has run"))
        }
        _ => None,
    }
}

/// Checks that no upstream received a longer timeout than the caller sent.
fn check_time_left(outcome: &Outcome, arrivals: &[&Arrival]) -> Option<String> {
    let most = arrivals.iter().map(|arrival| arrival.left_ms).max()?;
    (u128::from(most) > outcome.time_left.as_millis()).then(|| {
        let time_left = outcome.time_left.as_millis();
        format!("an upstream received a timeout of {most} ms, but the caller allowed only {time_left} ms")
    })
}

/// Checks that a request was answered in time, except during an outage that excuses it.
fn check_answered(
    recording: &Recording<'_>,
    outcome: &Outcome,
    arrivals: &[&Arrival],
) -> Option<String> {
    let overlaps = |outage: &&Outage| {
        let is_over = outage.to.is_some_and(|to| to < outcome.sent);
        outage.instance == outcome.instance && outage.from <= outcome.ended && !is_over
    };
    let outages: Vec<&Outage> = recording.outages.iter().filter(overlaps).collect();
    if outages.iter().any(|outage| !outage.is_graceful) {
        return None;
    }
    let took = outcome.ended - outcome.sent;
    if outcome.answer.is_some() {
        return (took > outcome.time_left + MAX_OVERRUN)
            .then(|| format!("answered after {took:?}"));
    }
    // During a shutdown two races may leave a request without an answer: the instance closes a
    // persistent connection while the request is in flight, or the kernel accepts a new connection
    // just before the process exits (seeds 5 and 9).
    let may_race = outcome.reused_connection || took < CLOSE_TIMEOUT;
    let is_excused = !outages.is_empty() && may_race && arrivals.is_empty();
    let received = arrivals.len();
    (!is_excused)
        .then(|| format!("no answer within {took:?}; upstreams received it {received} times"))
}

/// Checks that an answer consists of replies of upstreams to this request.
fn check_content(
    recording: &Recording<'_>,
    outcome: &Outcome,
    answer: &Response<Bytes>,
    arrivals: &[&Arrival],
) -> Option<String> {
    let text = |name: &str| {
        let value = answer.headers().get(name)?;
        value.to_str().ok()
    };
    if answer.status() == StatusCode::NOT_FOUND {
        return Some("was answered 404, though every configuration contains its route".into());
    }
    let signatures: Vec<&str> = if outcome.kind == Kind::Search {
        let all = text("x-part-stamps").unwrap_or_default();
        all.split(", ")
            .filter(|signature| !signature.is_empty())
            .collect()
    } else {
        text("x-server-stamp").into_iter().collect()
    };
    if answer.status().is_success() && signatures.is_empty() {
        return Some("succeeded without a signature".into());
    }
    let mut services = HashSet::new();
    let mut records = Vec::new();
    for signature in &signatures {
        let issued = arrivals
            .iter()
            .find(|arrival| arrival.signature() == *signature);
        let Some(arrival) = issued else {
            return Some(format!("has the signature {signature} of another request"));
        };
        if !services.insert(&arrival.service) {
            return Some(format!("has two parts of {}", arrival.service));
        }
        records.push(arrival.record());
    }
    if !answer.status().is_success() {
        return None;
    }
    records.sort_by(|a, b| b.cmp(a));
    if answer.body()[..] != records.concat()[..] {
        return Some("its body does not match its signatures".into());
    }
    if outcome.kind != Kind::Search {
        return None;
    }
    let missing: usize = text("x-missing-parts").and_then(|text| text.parse().ok())?;
    let parts = signatures.len();
    (parts + missing != recording.shards || parts < recording.min_parts)
        .then(|| format!("has {parts} parts and reports {missing} as missing"))
}
