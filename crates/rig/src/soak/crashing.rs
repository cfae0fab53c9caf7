//! Upstreams that end: which do so by themselves, how they come back, and the check of what
//! requests that crash them may cost.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::check::Recording;
use crate::edge::{Arrival, CRASH_MARK};

/// Time after the third crash until no instance in touch may send the request on any more, and for
/// which an instance must have run to count as in touch.
const SETTLE_WINDOW: Duration = Duration::from_secs(4);

/// Maximum number of retries of a crashing request after the settle window, over all instances.
const MAX_LATE_RETRIES: usize = 3;

/// Time after which the entry of an upstream that has ended is removed.
pub(super) const ENTRY_LAPSE: Duration = Duration::from_millis(3_600);

/// Number mixed into the seed, so that ends and faults are drawn independently.
const SEED_MIX: u64 = 0x5eed_c4a5;

/// Draws when upstreams end by themselves, and how each end goes on.
pub(super) struct Ends {
    rng: SmallRng,
    next: Instant,
}

/// How an upstream comes back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Return {
    /// Time until it is back; `None` if it is gone until the end of the run.
    pub(super) after: Option<Duration>,
    /// Whether it has a new name then.
    pub(super) has_new_name: bool,
    /// Whether its next end is in silence.
    pub(super) ends_silently_next: bool,
}

impl Ends {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed ^ SEED_MIX),
            next: Instant::now(),
        }
    }

    /// Returns the upstream, as a number modulo their count, that ends by itself now, if any.
    pub(super) fn due(&mut self) -> Option<usize> {
        let now = Instant::now();
        if now < self.next {
            return None;
        }
        self.next = now + Duration::from_millis(self.rng.random_range(1_000..5_000));
        Some(self.rng.random_range(0..64))
    }

    /// Draws how an upstream that has ended comes back.
    pub(super) fn draw(&mut self) -> Return {
        let after = match self.rng.random_range(0..16) {
            0 => None,
            1 => Some(Duration::from_secs(10)),
            2..=5 => Some(Duration::from_secs(3)),
            6 | 7 => Some(Duration::from_millis(60)),
            _ => Some(Duration::from_secs(1)),
        };
        Return {
            after,
            has_new_name: self.rng.random_bool(0.5),
            ends_silently_next: self.rng.random_bool(0.25),
        }
    }
}

/// Returns the number of upstreams that crashing requests ended.
pub(super) fn count(recording: &Recording<'_>) -> usize {
    let arrivals = recording.arrivals.iter();
    arrivals.filter(|it| it.path.contains(CRASH_MARK)).count()
}

/// Returns a description of each violation: crashing requests that were sent on too often, and
/// harmless ones that instances refused, according to their `logs`, as if they crashed upstreams.
pub(super) fn check(recording: &Recording<'_>, logs: &[String]) -> Vec<String> {
    let outcomes = recording.outcomes.iter();
    let by_id: HashMap<&str, _> = outcomes.map(|outcome| (&*outcome.id, outcome)).collect();
    let mut crashing: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in recording.arrivals {
        if arrival.path.contains(CRASH_MARK) {
            crashing.entry(&arrival.path).or_default().push(arrival);
        }
    }
    let mut violations = Vec::new();
    for (path, mut arrivals) in crashing {
        arrivals.sort_by_key(|arrival| arrival.at);
        let Some(third) = arrivals.get(2) else {
            continue;
        };
        let is_late = |arrival: &&&Arrival| {
            let instance = by_id.get(&*arrival.id).map(|outcome| outcome.instance);
            let from = arrival.at - SETTLE_WINDOW;
            let in_touch = recording.outages.iter().all(|outage| {
                let is_over = outage.to.is_some_and(|to| to < from);
                Some(outage.instance) != instance || outage.from > arrival.at || is_over
            });
            arrival.at > third.at + SETTLE_WINDOW && in_touch
        };
        let late = arrivals.iter().filter(is_late);
        let retries: HashSet<&str> = late.map(|arrival| &*arrival.id).collect();
        if retries.len() > MAX_LATE_RETRIES {
            violations.push(format!(
                "{path}: {} retries reached upstreams later than {SETTLE_WINDOW:?} after it had \
                 ended three; {} upstreams ended in all",
                retries.len(),
                arrivals.len()
            ));
        }
    }
    for line in logs.iter().flat_map(|log| log.lines()) {
        if line.contains("\"outcome\":\"quarantined\"") {
            let mut ids = line.split("\"request\":\"").skip(1);
            let id = ids.next().and_then(|rest| rest.split('"').next());
            let outcome = id.and_then(|id| by_id.get(id));
            if outcome.is_none_or(|outcome| !outcome.path.contains(CRASH_MARK)) {
                let id = id.unwrap_or("a request");
                violations.push(format!("{id}: harmless, but refused as quarantined"));
            }
        }
    }
    violations
}
