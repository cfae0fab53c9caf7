//! Promises that are checked on what callers and upstreams have seen.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Response, StatusCode};

use super::callers::{Kind, Outcome};
use crate::edge::Arrival;

/// Time beyond its own limit within which a caller has an answer; the platform allows half a
/// second.
const LATE_AFTER: Duration = Duration::from_millis(500);

/// Time within which a connection that the end of its process closes is closed; the platform
/// allows this after the last byte of a request.
const CLOSED_AFTER: Duration = Duration::from_millis(200);

/// Start of the identities of requests that only prove that an instance serves again.
pub(super) const PROOF: &str = "proof-";

/// Statuses that promise that a request has not run and will not.
const NOT_RUN: [StatusCode; 4] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
];

/// A span in which an instance did not run, or ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outage {
    /// Position of the instance.
    pub(super) instance: usize,
    /// Its beginning.
    pub(super) from: Instant,
    /// Its end; none while it lasts.
    pub(super) to: Option<Instant>,
    /// Whether it was told to end, so that what it has in hand is answered.
    pub(super) is_graceful: bool,
}

/// Everything that was seen.
pub(super) struct Seen<'a> {
    /// What came of the requests.
    pub(super) outcomes: &'a [Outcome],
    /// Requests that reached upstreams.
    pub(super) arrivals: &'a [Arrival],
    /// When instances did not run.
    pub(super) outages: &'a [Outage],
    /// Shards of a search.
    pub(super) shards: usize,
    /// Fewest parts of an answer.
    pub(super) least: usize,
}

/// Returns each promise that was broken.
pub(super) fn check(seen: &Seen<'_>) -> Vec<String> {
    let mut arrived: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in seen.arrivals {
        arrived.entry(&arrival.id).or_default().push(arrival);
    }
    let asked: HashSet<&str> = seen.outcomes.iter().map(|it| &*it.id).collect();
    let mut broken = Vec::new();
    for id in arrived
        .keys()
        .filter(|id| !id.starts_with(PROOF) && !asked.contains(**id))
    {
        broken.push(format!(
            "{id}: reached an upstream, but no caller has sent it"
        ));
    }
    for outcome in seen.outcomes {
        let arrivals = arrived.get(&*outcome.id).map_or(&[][..], Vec::as_slice);
        let mut found = Vec::new();
        found.extend(runs(outcome, arrivals));
        found.extend(time_left(outcome, arrivals));
        found.extend(ending(seen, outcome, arrivals));
        if let Some(answer) = &outcome.answer {
            found.extend(content(seen, outcome, answer, arrivals));
        }
        for what in found {
            let (id, kind, at) = (&outcome.id, outcome.kind, outcome.instance);
            broken.push(format!("{id} ({kind:?} at instance {at}): {what}"));
        }
    }
    broken
}

/// Runs of a request that must not run twice, nor after it was refused.
fn runs(outcome: &Outcome, arrivals: &[&Arrival]) -> Option<String> {
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

fn time_left(outcome: &Outcome, arrivals: &[&Arrival]) -> Option<String> {
    let most = arrivals.iter().map(|arrival| arrival.left_ms).max()?;
    (u128::from(most) > outcome.left.as_millis()).then(|| {
        let left = outcome.left.as_millis();
        format!("an upstream was told that {most} ms are left of {left}")
    })
}

/// Answers that are missing or late.
fn ending(seen: &Seen<'_>, outcome: &Outcome, arrivals: &[&Arrival]) -> Option<String> {
    let overlaps = |outage: &&Outage| {
        let is_over = outage.to.is_some_and(|to| to < outcome.sent);
        outage.instance == outcome.instance && outage.from <= outcome.ended && !is_over
    };
    let outages: Vec<&Outage> = seen.outages.iter().filter(overlaps).collect();
    if outages.iter().any(|outage| !outage.is_graceful) {
        return None;
    }
    let took = outcome.ended - outcome.sent;
    if outcome.answer.is_some() {
        return (took > outcome.left + LATE_AFTER).then(|| format!("answered after {took:?}"));
    }
    // A request may cross the close of a connection that was kept, and the kernel may accept a new
    // one at the moment at which a process that was told to end does so (seeds 5 and 9).
    let is_quick = outcome.was_kept || took < CLOSED_AFTER;
    let crosses = !outages.is_empty() && is_quick && arrivals.is_empty();
    (!crosses).then(|| format!("no answer within {took:?}; {} arrivals", arrivals.len()))
}

/// Answers that are not made of what upstreams replied to this request.
fn content(
    seen: &Seen<'_>,
    outcome: &Outcome,
    answer: &Response<Bytes>,
    arrivals: &[&Arrival],
) -> Option<String> {
    let text = |name: &str| {
        let value = answer.headers().get(name)?;
        value.to_str().ok()
    };
    if answer.status() == StatusCode::NOT_FOUND {
        return Some("was not found, though its route is in each configuration".into());
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
        return Some("its body is not what its signatures stand for".into());
    }
    if outcome.kind != Kind::Search {
        return None;
    }
    let missing: usize = text("x-missing-parts").and_then(|text| text.parse().ok())?;
    let parts = signatures.len();
    (parts + missing != seen.shards || parts < seen.least)
        .then(|| format!("has {parts} parts and {missing} are missing"))
}
