//! Instances that are cut off from all upstreams, and how their callers are served.

use std::{
    fs, io,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use super::check::Recording;

/// Time from the start of a cut from which callers have to be served.
const SETTLE_TIME: Duration = Duration::from_secs(4);

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

/// The process of each instance, and its cut.
#[derive(Debug, Default)]
pub(super) struct Cuts(Mutex<Vec<(Option<u32>, Option<Cut>)>>);

impl Cuts {
    fn change<T>(&self, change: impl FnOnce(&mut Vec<(Option<u32>, Option<Cut>)>) -> T) -> T {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sets the process id of an instance.
    pub(super) fn set_process(&self, instance: usize, id: Option<u32>) {
        self.change(|all| {
            all.resize(all.len().max(instance + 1), (None, None));
            all[instance].0 = id;
        });
    }

    /// Cuts an instance off, or ends its cut.
    pub(super) fn set(&self, instance: usize, cut: Option<Cut>) {
        self.change(|all| all[instance].1 = cut);
    }

    /// Returns how an instance is cut off.
    pub(super) fn of(&self, instance: usize) -> Option<Cut> {
        self.change(|all| all.get(instance).and_then(|(_, cut)| *cut))
    }

    /// Returns the instance that has opened the connection with a local port, by the socket that the
    /// kernel lists for it.
    pub(super) fn owner(&self, port: u16) -> io::Result<Option<usize>> {
        let sockets = fs::read_to_string("/proc/net/tcp")?;
        let port = format!(":{port:04X}");
        let inode = sockets.lines().find_map(|line| {
            let mut fields = line.split_whitespace();
            let is_local = fields.nth(1)?.ends_with(&port);
            is_local.then(|| fields.nth(7)).flatten()
        });
        let Some(inode) = inode else {
            return Ok(None);
        };
        let socket = format!("socket:[{inode}]");
        let processes = self.change(|all| all.clone());
        let holds = |id: u32| {
            // A process may have ended in the meantime.
            let files = fs::read_dir(format!("/proc/{id}/fd")).into_iter().flatten();
            let mut links = files
                .flatten()
                .filter_map(|it| fs::read_link(it.path()).ok());
            links.any(|link| link.to_str() == Some(&socket))
        };
        Ok(processes.iter().position(|(id, _)| id.is_some_and(holds)))
    }
}

/// A time in which an instance was cut off.
#[derive(Clone, Copy, Debug)]
pub(super) struct CutOff {
    pub(super) instance: usize,
    pub(super) from: Instant,
    pub(super) to: Instant,
}

/// Returns a description of each cut in which callers of the cut-off instances were served far worse
/// than those of the others. A cut in which any instance had an outage is left out.
pub(super) fn check(recording: &Recording<'_>) -> Vec<String> {
    let mut cuts: Vec<(Instant, Instant)> = recording
        .cuts
        .iter()
        .map(|cut| (cut.from, cut.to))
        .collect();
    cuts.dedup();
    let check = |(from, to): (Instant, Instant)| {
        let mut outages = recording.outages.iter();
        if outages.any(|it| it.from < to && it.to.is_none_or(|end| end > from)) {
            return None;
        }
        let is_cut = |instance: usize| {
            let mut cuts = recording.cuts.iter();
            cuts.any(|cut| cut.instance == instance && cut.from == from)
        };
        // Served and all requests, at the cut-off instances and at the others.
        let (mut at_cut, mut elsewhere) = ((0, 0), (0, 0));
        let counted = |sent: Instant| sent >= from + SETTLE_TIME && sent < to;
        for outcome in recording.outcomes.iter().filter(|it| counted(it.sent)) {
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
