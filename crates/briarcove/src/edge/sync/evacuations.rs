//! Evacuations of data centres, as the store lists them.

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use base::DataCentre;
use compio::{
    runtime::spawn,
    time::{sleep, timeout},
};
use platform::{Position, objects::Object, store::Freshness};
use slog::{info, warn};
use tier::Event;

use super::{
    Flag, Sync, WatchedKind,
    watch::{self, WatchEnd},
};

/// Interval of checks whether the settings have the bound of evacuations, or whether the instance
/// has waited for a list for too long.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Share of the time within which an evacuation has to take effect for which an instance of a large
/// fleet waits to receive evacuations from another instance before it lists them again: after an
/// outage of the store all of them would list at once. An instance looks for one to follow each 3
/// s.
const FOLLOWING_PATIENCE_SHARE: f64 = 0.75;

/// Starts the task that keeps the evacuations in sync, if the platform has them or as soon as it
/// has.
pub(super) fn start(sync: &Rc<Sync>) {
    if sync.has_evacuations() {
        spawn(stop_waiting(Rc::clone(sync))).detach();
    }
    let sync = Rc::clone(sync);
    spawn(async move {
        while !sync.has_evacuations() {
            sleep(CHECK_INTERVAL).await;
        }
        watch::list_and_watch(sync, WatchedKind::Evacuations).await;
    })
    .detach();
}

/// Lets the instance serve without a list of evacuations once it has had the configuration and the
/// upstreams for the time within which an evacuation has to take effect.
async fn stop_waiting(sync: Rc<Sync>) {
    let mut since: Option<Instant> = None;
    while sync.evacuated.borrow().is_none() {
        sleep(CHECK_INTERVAL).await;
        let others = [WatchedKind::Config, WatchedKind::Upstreams];
        let knows_others =
            |kind: &WatchedKind| sync.known[*kind as usize].get() > Position::default();
        if since.is_none() && others.iter().all(knows_others) {
            since = Some(Instant::now());
        }
        let max_delay = sync.shell.cfg.borrow().max_evacuation_delay;
        let has_waited = since.is_some_and(|at| at.elapsed() >= max_delay.unwrap_or_default());
        if has_waited && sync.evacuated.borrow().is_none() {
            warn!(
                sync.shell.log,
                "evacuations cannot be listed; serving as if there were none"
            );
            sync.shell.dispatch(Event::Evacuations(Vec::new()));
            return;
        }
    }
}

impl Sync {
    /// Returns whether the platform has evacuations.
    pub(super) fn has_evacuations(&self) -> bool {
        self.shell.cfg.borrow().max_evacuation_delay.is_some()
    }

    /// Returns the condition that this instance receives a kind from another instance.
    pub(super) fn follows(&self, kind: WatchedKind) -> &Flag {
        match kind {
            WatchedKind::Config | WatchedKind::Upstreams => &self.is_following,
            WatchedKind::Evacuations => &self.follows_evacuations,
        }
    }

    /// Returns how fresh the first list of a kind has to be. A stale one costs a tenth, and the
    /// first watch delivers what it lacks; but an instance that starts during an evacuation sends
    /// nothing before it knows it.
    pub(super) fn first_freshness(&self, kind: WatchedKind) -> Freshness {
        let is_first_start = self.shell.cfg.borrow().is_first_start;
        match kind {
            WatchedKind::Evacuations if !is_first_start => Freshness::Latest,
            _ => Freshness::Stale,
        }
    }

    /// Forgets the position of evacuations after a watch that may have missed changes, so that an
    /// instance which this one follows from now on sends all of them. Returns whether it did: not
    /// for other kinds, not if this instance alone has missed a change, and not if there is no
    /// instance to follow or one is followed already.
    pub(super) fn forget_position(&self, kind: WatchedKind, end: &WatchEnd) -> bool {
        let is_watcher = self.candidates.borrow().is_empty();
        if kind != WatchedKind::Evacuations
            || end.concerns_one_instance()
            || is_watcher
            || self.follows(kind).get()
        {
            return false;
        }
        self.known[kind as usize].set(Position::default());
        true
    }

    /// Waits a while until this instance receives a kind from another instance again; returns
    /// whether it does, so that it need not list it.
    pub(super) async fn is_followed_again(&self, kind: WatchedKind) -> bool {
        let max_delay = self.shell.cfg.borrow().max_evacuation_delay;
        let patience = max_delay
            .unwrap_or_default()
            .mul_f64(FOLLOWING_PATIENCE_SHARE);
        timeout(patience, self.follows(kind).until(true))
            .await
            .is_ok()
    }

    /// Applies a full list of evacuations.
    pub(super) fn set_evacuations(&self, objects: &[Object]) {
        let live = objects.iter().filter(|object| !object.is_deleted);
        let all: BTreeSet<DataCentre> = live.filter_map(|it| self.data_centre(it)).collect();
        *self.evacuated.borrow_mut() = Some(all);
        self.report_evacuations();
    }

    /// Applies one evacuation that was asked for or taken back.
    pub(super) fn change_evacuation(&self, object: &Object) {
        let Some(data_centre) = self.data_centre(object) else {
            return;
        };
        {
            let mut evacuated = self.evacuated.borrow_mut();
            let evacuated = evacuated.get_or_insert_default();
            match object.is_deleted {
                true => evacuated.remove(&data_centre),
                false => evacuated.insert(data_centre),
            };
        }
        self.report_evacuations();
    }

    fn report_evacuations(&self) {
        let all = self.evacuated.borrow().iter().flatten().cloned().collect();
        self.shell.dispatch(Event::Evacuations(all));
    }

    /// Returns the data centre of an evacuation.
    fn data_centre(&self, object: &Object) -> Option<DataCentre> {
        let parsed = object.name.parse();
        parsed
            .inspect_err(|e| {
                info!(self.shell.log, "ignoring an evacuation of an invalid name"; "error" => %e);
            })
            .ok()
    }
}
