//! Checks that instances respect what upstreams announce in their replies.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{
    callers::{Kind, Outcome},
    check::Recording,
    deployment::COLD_RATE,
};
use crate::edge::{Arrival, Behaviour, check_cold, check_limit};

/// Time after an instance has passed on that an upstream leaves, until it may send it no request
/// that a caller sent later.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Time after the refusal that starts a pause, in which requests may still arrive.
const PAUSE_SETTLE_TIME: Duration = Duration::from_millis(500);

/// Maximum number of requests of one instance in the rest of a pause.
const MAX_PAUSED_ARRIVALS: usize = 2;

/// Time from the first request to a cold upstream until its bound has to hold: that of the watch,
/// and of connections that were being opened.
const COLD_SETTLE_TIME: Duration = Duration::from_millis(500);

/// Returns a description of each limit of an upstream that was exceeded, also while it was cold.
/// Which instance has sent a part is not known, so an outage of any of them excuses all.
pub(super) fn check_limits(recording: &Recording<'_>) -> Vec<String> {
    let mut incarnations: HashMap<_, Vec<&Arrival>> = HashMap::new();
    for arrival in recording.arrivals {
        let arrivals = incarnations.entry(&arrival.incarnation).or_default();
        arrivals.push(arrival);
    }
    let check = |((upstream, _), mut arrivals): (&(String, u64), Vec<&Arrival>)| {
        arrivals.sort_by_key(|arrival| arrival.at);
        let is_exceeded = check_limit(&arrivals, |from: Instant, to: Instant| {
            let mut outages = recording.outages.iter();
            let mut disturbed = recording.disturbed.iter();
            outages.any(|it| it.from < to && it.to.is_none_or(|end| end > from))
                || disturbed
                    .any(|(name, start, end)| name == upstream && *start < to && *end > from)
        });
        is_exceeded.or_else(|| check_cold(&arrivals, COLD_RATE, COLD_SETTLE_TIME))
    };
    incarnations.into_iter().filter_map(check).collect()
}

/// Returns a description of each violation. Searches are left out, as another instance than the one
/// that received them may have sent their parts.
pub(super) fn check(recording: &Recording<'_>) -> Vec<String> {
    let outcomes = recording.outcomes.iter();
    let by_id: HashMap<&str, &Outcome> = outcomes.map(|it| (&*it.id, it)).collect();
    let mut groups: HashMap<_, Vec<(&Arrival, &Outcome)>> = HashMap::new();
    for arrival in recording.arrivals {
        if let Some(outcome) = by_id.get(&*arrival.id)
            && outcome.kind != Kind::Search
        {
            let group = groups.entry((&arrival.incarnation, outcome.instance));
            group.or_default().push((arrival, outcome));
        }
    }
    let mut violations = Vec::new();
    for (((upstream, start), instance), mut arrivals) in groups {
        arrivals.sort_by_key(|(arrival, _)| arrival.at);
        for (at, (arrival, outcome)) in arrivals.iter().enumerate() {
            let is_excused = |until| {
                let mut outages = recording.outages.iter();
                outages.any(|outage| {
                    let is_over = outage.to.is_some_and(|to| to < arrival.at);
                    outage.instance == instance && outage.from <= until && !is_over
                })
            };
            let later = || arrivals[at + 1..].iter();
            match arrival.behaviour {
                Behaviour::Leaves if outcome.answer.is_some() => {
                    let late = |(_, it): &&(&Arrival, &Outcome)| {
                        it.sent > outcome.ended + DRAIN_TIME && !is_excused(it.sent)
                    };
                    let count = later().filter(late).count();
                    if count > 0 {
                        violations.push(format!(
                            "{upstream}.{start}: {count} requests of instance {instance} after it \
                             had announced that it leaves"
                        ));
                    }
                }
                Behaviour::Pauses(pause) => {
                    let end = arrival.at + pause;
                    let paused = |(it, _): &&(&Arrival, &Outcome)| {
                        it.at > arrival.at + PAUSE_SETTLE_TIME && it.at < end && !is_excused(it.at)
                    };
                    let count = later().filter(paused).count();
                    if count > MAX_PAUSED_ARRIVALS {
                        violations.push(format!(
                            "{upstream}.{start}: {count} requests of instance {instance} in a pause \
                             of {pause:?}"
                        ));
                    }
                }
                _ => {}
            }
        }
    }
    violations
}
