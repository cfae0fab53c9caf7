//! Instances that are cut off from all upstreams, and how their callers are served.

use std::{
    net::Ipv4Addr,
    sync::atomic::{AtomicU8, Ordering},
    time::{Duration, Instant},
};

use super::{
    callers::Outcome,
    check::{Outage, Recording},
    plan::INSTANCES,
};

/// Time from the start of a cut from which callers have to be served.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Time from the end of an outage of an instance until the others use it again: some ejections.
const RETURN_TIME: Duration = Duration::from_millis(1_500);

/// Share of what callers of other instances are served that is required.
const REQUIRED_SHARE: f64 = 2.0 / 3.0;

/// Number of failures that are allowed, beside a share of all requests.
const ALLOWED_FAILURES: usize = 10;

/// Divisor of the number of all requests that gives that share.
const ALLOWED_FAILURES_DIVISOR: usize = 50;

/// How an instance is cut off from all upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// No data is forwarded, and new connections get no answer.
    Hangs,
    /// Open and new connections are reset.
    Resets,
    /// Open connections live on, new ones are reset.
    Refuses,
}

impl Cut {
    /// Returns the cut with a number, from 1 on.
    fn numbered(number: u8) -> Option<Self> {
        [Self::Hangs, Self::Resets, Self::Refuses]
            .into_iter()
            .find(|cut| *cut as u8 + 1 == number)
    }
}

/// The cut of each instance. Each connection of a proxy looks at it every few milliseconds, so
/// there is no lock.
#[derive(Debug, Default)]
pub(super) struct Cuts([AtomicU8; INSTANCES]);

impl Cuts {
    /// Cuts an instance off, or ends its cut.
    pub(super) fn set(&self, instance: usize, cut: Option<Cut>) {
        let number = cut.map_or(0, |cut| cut as u8 + 1);
        self.0[instance].store(number, Ordering::Relaxed);
    }

    /// Returns how an instance is cut off.
    pub(super) fn of(&self, instance: usize) -> Option<Cut> {
        Cut::numbered(self.0[instance].load(Ordering::Relaxed))
    }
}

/// Returns the loopback address at which an instance sees the upstreams, by which the proxies know
/// it.
pub(super) fn upstream_ip(instance: usize) -> Ipv4Addr {
    /// Last byte of the address for the first instance.
    const FIRST: u8 = 2;
    Ipv4Addr::new(127, 0, 0, FIRST + instance as u8)
}

/// A time in which an instance was cut off.
#[derive(Clone, Copy, Debug)]
pub(super) struct CutOff {
    pub(super) instance: usize,
    pub(super) from: Instant,
    pub(super) to: Instant,
}

/// Returns a description of each cut in which callers of the cut-off instances were served far
/// worse than those of the others. Requests beside or shortly after an outage of any instance are
/// left out.
pub(super) fn check(recording: &Recording<'_>) -> Vec<String> {
    let mut cuts: Vec<(Instant, Instant)> = recording
        .cuts
        .iter()
        .map(|cut| (cut.from, cut.to))
        .collect();
    cuts.dedup();
    let check = |(from, to): (Instant, Instant)| {
        let is_cut = |instance: usize| {
            let mut cuts = recording.cuts.iter();
            cuts.any(|cut| cut.instance == instance && cut.from == from)
        };
        // Served and all requests, at the cut-off instances and at the others.
        let (mut at_cut, mut elsewhere) = ((0, 0), (0, 0));
        let is_in_cut = |it: &Outcome| it.sent >= from + SETTLE_TIME && it.ended < to;
        let counted = recording.outcomes.iter().filter(|it| is_in_cut(it));
        for outcome in counted.filter(|it| !is_beside_outage(recording.outages, it)) {
            let answer = outcome.answer.as_ref();
            let is_served = answer.is_some_and(|answer| answer.status().is_success());
            let (served, all) = match is_cut(outcome.instance) {
                true => &mut at_cut,
                false => &mut elsewhere,
            };
            *served += usize::from(is_served);
            *all += 1;
        }
        let share = |(served, all): (usize, usize)| served as f64 / (all as f64).max(1.0);
        let failed = at_cut.1 - at_cut.0;
        let allowed = ALLOWED_FAILURES + (at_cut.1 + elsewhere.1) / ALLOWED_FAILURES_DIVISOR;
        let is_worse = share(at_cut) < share(elsewhere) * REQUIRED_SHARE;
        (is_worse && failed > allowed).then(|| {
            format!(
                "cut-off instances served {} of {} requests, the others {} of {}",
                at_cut.0, at_cut.1, elsewhere.0, elsewhere.1
            )
        })
    };
    cuts.into_iter().filter_map(check).collect()
}

/// Returns whether an instance was out while a request was pending or shortly before.
fn is_beside_outage(outages: &[Outage], outcome: &Outcome) -> bool {
    let mut outages = outages.iter();
    outages.any(|it| {
        let is_over = it.to.is_some_and(|end| end + RETURN_TIME < outcome.sent);
        it.from < outcome.ended && !is_over
    })
}
