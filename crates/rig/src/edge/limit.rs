//! The bounds on the requests to an upstream that names a limit, or is cold, as the platform
//! defines them.

use std::time::{Duration, Instant};

use super::upstream::{Arrival, Behaviour};

/// Time from the first reply that names a limit until the limit has to hold.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Window over which requests to a cold upstream are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Number of requests allowed in a window beside those of the limit.
const SLACK: f64 = 5.0;

/// Multiple of the limit that is allowed.
const TOLERANCE: f64 = 1.5;

/// Returns a description of the first violation among the arrivals at one incarnation, in order of
/// time. `is_excused` returns whether something between two times excuses the instances.
pub fn check_limit(
    arrivals: &[&Arrival],
    is_excused: impl Fn(Instant, Instant) -> bool,
) -> Option<String> {
    let phases = arrivals.chunk_by(|a, b| a.behaviour == b.behaviour);
    for phase in phases {
        let Behaviour::Limits(rate) = phase[0].behaviour else {
            continue;
        };
        let allowed = TOLERANCE * f64::from(rate) * WINDOW.as_secs_f64() + SLACK;
        let first = phase[0].at;
        for (at, arrival) in phase.iter().enumerate() {
            let (from, to) = (arrival.at, arrival.at + WINDOW);
            if from < first + SETTLE_TIME || is_excused(from - SETTLE_TIME, to) {
                continue;
            }
            let count = phase[at..].iter().take_while(|it| it.at < to).count();
            if count as f64 > allowed {
                let (upstream, start) = &arrival.incarnation;
                return Some(format!(
                    "{upstream}.{start}: {count} requests in {WINDOW:?} at a limit of {rate} a \
                     second, {allowed} allowed"
                ));
            }
        }
    }
    None
}

/// Returns a description of the first second in which cold upstreams, of which each bears `rate`
/// requests a second, got too many: the arrivals at one incarnation, in order of time. Those in the
/// `settle` time after the first one, in which instances learn of it, are left out.
pub fn check_cold(arrivals: &[&Arrival], rate: f64, settle: Duration) -> Option<String> {
    let allowed = TOLERANCE * rate + SLACK;
    let cold: Vec<&&Arrival> = arrivals.iter().filter(|it| it.was_cold).collect();
    let from = cold.first()?.at + settle;
    let counted = || cold.iter().filter(|it| it.at >= from);
    counted().find_map(|first| {
        let in_second = |it: &&&&Arrival| it.at >= first.at && it.at < first.at + COLD_WINDOW;
        let count = counted().filter(in_second).count();
        let (upstream, start) = &first.incarnation;
        (count as f64 > allowed).then(|| {
            format!(
                "{upstream}.{start}: {count} requests in a second while cold, {allowed} allowed"
            )
        })
    })
}
