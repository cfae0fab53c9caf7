//! Keeps the configuration and the upstreams in sync with the platform's store, with few calls.
//!
//! Long-poll watches wait for changes, one for each kind. Evacuations are watched only if the
//! platform has them. In a large fleet only a few instances
//! watch the store, and the others follow one of them. Each instance also probes the store every
//! few seconds by a small stale read, which costs a tenth of a call. The probe shows whether the
//! store answers and whether a change was missed, as a watch on a dead connection cannot be told
//! from one without changes.

mod evacuations;
mod flag;
mod following;
mod quarantines;
mod records;
mod unreadable;
mod watch;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use base::DataCentre;
use compio::{
    runtime::spawn,
    time::{sleep, timeout},
};
use futures_channel::oneshot;
use futures_util::future::select;
use platform::{
    Era, LatestEra, Position, Store, config, entry,
    objects::Object,
    store::{Error, Freshness},
};
use slog::{info, warn};
use tier::{Event, Instance, watchers::FOLLOWING_THRESHOLD};

use super::shell::Shell;
use flag::Flag;

/// Interval of probes while the store answers.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Interval of probes while the store does not answer.
const LOST_PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// The same in a large fleet, whose refused calls would add up.
const LOST_PROBE_INTERVAL_LARGE_FLEET: Duration = Duration::from_millis(1_000);

/// Time limit for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Delay after the first start of the fleet before the instances' records are read: a stale list is
/// up to 2 s old, so an earlier one would lack records.
const RECORDS_READABLE_AFTER: Duration = Duration::from_millis(2_600);

/// Time after a rise of the era over which the instances write their objects again.
const REWRITE_SPREAD: Duration = Duration::from_millis(1_500);

/// Time after a rise of the era for which records that the store has lost still count: their
/// instances write them again within it.
const FORMER_RECORDS_PERIOD: Duration = Duration::from_secs(10);

/// Maximum number of invalid parts of a configuration that one line lists.
const MAX_LISTED_FINDINGS: usize = 8;

/// Number of probes between two checks of the instances' records.
const PROBES_PER_RECORD_CHECK: u32 = 8;

/// State shared by the tasks that keep the instance in sync.
pub(super) struct Sync {
    shell: Rc<Shell>,
    is_store_lost: Cell<bool>,
    /// Position up to which all changes of each kind are known, by [`WatchedKind`].
    known: [Cell<Position>; WatchedKind::COUNT],
    /// Latest era of the store that any call has shown.
    latest_era: LatestEra,
    /// Era that this instance has adapted to; `None` before the first answer.
    era: Cell<Option<Era>>,
    /// Set when the era has risen, until this instance's own objects are written again.
    is_rewrite_due: Cell<bool>,
    /// Number of instances in the last list of records.
    instance_count: Cell<usize>,
    /// Instances that this instance may follow, in the order in which they are tried.
    candidates: RefCell<Vec<Instance>>,
    /// Whether the candidates are known, and so whether this instance watches or follows.
    roles_known: Flag,
    /// Whether this instance receives updates from another instance in place of the store.
    is_following: Flag,
    /// Whether these updates include evacuations, which older builds do not send.
    follows_evacuations: Flag,
    /// The evacuated data centres; `None` until they are known.
    evacuated: RefCell<Option<BTreeSet<DataCentre>>>,
    /// Set to probe the store without waiting for the interval.
    probe_now: Flag,
    /// Position of the newest of the objects that instances write, which no watch covers.
    records_position: Cell<Position>,
    /// Records of instances as listed before the era rose, and the time until which those that the
    /// store has lost still count.
    former_records: RefCell<(Vec<Object>, Option<Instant>)>,
    /// Interrupts each watch, so that its kind is listed again.
    interrupts: [RefCell<Option<oneshot::Sender<Interruption>>>; WatchedKind::COUNT],
    /// Number of failed connection attempts by instance, for instances that may be gone.
    unreachable: RefCell<HashMap<Box<str>, u32>>,
    published: RefCell<quarantines::Published>,
    /// Quarantines that the store may have lost, and the time at which this instance looks for
    /// them.
    lost_quarantines: RefCell<Option<(Instant, Vec<u64>)>>,
    /// Number of rounds in which this instance has removed records of others.
    removals: Cell<u64>,
    /// Version of the configuration whose invalid parts were logged last.
    reported_version: Cell<u64>,
    /// Objects that cannot be read and were logged.
    reported: unreadable::Reported,
}

/// The kinds of objects that are kept in sync.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchedKind {
    /// The configuration.
    Config = 0,
    /// Entries of upstreams.
    Upstreams = 1,
    /// Evacuations of data centres.
    Evacuations = 2,
}

impl WatchedKind {
    /// Number of kinds.
    pub(super) const COUNT: usize = 3;

    /// Returns the kind of a number, as messages name it.
    fn from_number(number: u32) -> Option<Self> {
        match number {
            0 => Some(Self::Config),
            1 => Some(Self::Upstreams),
            2 => Some(Self::Evacuations),
            _ => None,
        }
    }
}

/// Why all kinds are listed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Interruption {
    /// The store was unavailable or has come back from an older copy, for all instances alike.
    Outage,
    /// This instance has missed a change.
    MissedChange,
}

/// Starts the tasks that keep the instance in sync.
pub(super) fn start(shell: &Rc<Shell>) {
    let sync = Rc::new(Sync {
        shell: Rc::clone(shell),
        is_store_lost: Cell::new(false),
        known: Default::default(),
        latest_era: LatestEra::default(),
        era: Cell::new(None),
        is_rewrite_due: Cell::new(false),
        instance_count: Cell::new(0),
        candidates: RefCell::default(),
        roles_known: Flag::default(),
        is_following: Flag::default(),
        follows_evacuations: Flag::default(),
        evacuated: RefCell::default(),
        probe_now: Flag::default(),
        records_position: Cell::default(),
        former_records: RefCell::default(),
        interrupts: Default::default(),
        unreachable: RefCell::default(),
        published: RefCell::default(),
        lost_quarantines: RefCell::default(),
        removals: Cell::new(0),
        reported_version: Cell::new(0),
        reported: unreadable::Reported::default(),
    });
    spawn(watch::list_and_watch(Rc::clone(&sync), WatchedKind::Config)).detach();
    spawn(watch::list_and_watch(
        Rc::clone(&sync),
        WatchedKind::Upstreams,
    ))
    .detach();
    evacuations::start(&sync);
    spawn(following::run(Rc::clone(&sync))).detach();
    spawn(run_probes(sync)).detach();
}

impl Sync {
    fn store(&self) -> Store {
        let address = self.shell.cfg.borrow().store;
        Store::new(address, self.shell.buf.clone(), self.latest_era.clone())
    }

    /// Adapts to the latest era if it has risen: the store has come back from an older copy, so
    /// that revisions have gone back and what was written last is lost. Everything is listed again,
    /// and this instance's own objects are written again.
    fn note_era(&self) {
        let latest = self.latest_era.get();
        let Some(former) = self.era.replace(Some(latest)) else {
            return;
        };
        if former == latest {
            return;
        }
        warn!(self.shell.log, "the era of the store has risen; listing everything again";
            "era" => %latest, "former" => %former,
            "config_position" => %self.known[0].get(),
            "upstreams_position" => %self.known[1].get());
        self.shell.metrics.set_store_era(latest.0);
        self.shell.dispatch(Event::PlatformReset);
        self.records_position.set(Position {
            era: latest,
            revision: 0,
        });
        self.former_records.borrow_mut().1 = Some(Instant::now() + FORMER_RECORDS_PERIOD);
        self.lose_published();
        self.is_rewrite_due.set(true);
        self.probe_now.set(true);
        if !self.is_following.get() {
            self.interrupt(Interruption::Outage);
        }
    }

    /// Applies a full list of the objects of a kind.
    fn apply_list(&self, kind: WatchedKind, objects: Vec<Object>, position: Position) {
        self.shell.feed.set_objects(kind, &objects, position);
        match kind {
            WatchedKind::Config => objects
                .into_iter()
                .for_each(|object| self.apply_change(kind, object)),
            WatchedKind::Upstreams => {
                let live = objects.iter().filter(|object| !object.is_deleted);
                let entries = live.filter_map(|object| entry::read(&object.name, &object.spec));
                self.shell.dispatch(Event::EntriesListed(entries.collect()));
            }
            WatchedKind::Evacuations => self.set_evacuations(&objects),
        }
    }

    /// Applies one changed object.
    fn apply_change(&self, kind: WatchedKind, object: Object) {
        match kind {
            WatchedKind::Config if &*object.name == config::NAME && !object.is_deleted => {
                let mut findings = Vec::new();
                match config::read_with_findings(&object.spec, &mut findings) {
                    Ok(config) => {
                        self.report_findings(config.version, &findings);
                        self.shell.dispatch(Event::Config(Rc::new(config)));
                    }
                    Err(place) => warn!(self.shell.log, "ignoring an invalid configuration";
                        "place" => &*place),
                }
            }
            WatchedKind::Config => {}
            WatchedKind::Upstreams => self.apply_upstream_change(&object),
            WatchedKind::Evacuations => self.change_evacuation(&object),
        }
    }

    /// Logs what was left out of a configuration, once for each version.
    fn report_findings(&self, version: u64, findings: &[Box<str>]) {
        if findings.is_empty() || self.reported_version.replace(version) == version {
            return;
        }
        let places = findings.iter().take(MAX_LISTED_FINDINGS);
        let places: Vec<&str> = places.map(|place| &**place).collect();
        warn!(self.shell.log, "leaving out invalid parts of a configuration";
            "version" => version, "count" => findings.len(), "places" => places.join(", "));
    }

    fn apply_upstream_change(&self, object: &Object) {
        let entry = entry::read(&object.name, &object.spec).filter(|_| !object.is_deleted);
        match (entry, object.name.parse()) {
            (Some(entry), _) => self.shell.dispatch(Event::EntryChanged(entry)),
            (None, Ok(name)) => self.shell.dispatch(Event::EntryRemoved(name)),
            (None, Err(e)) => {
                info!(self.shell.log, "ignoring an object with an invalid upstream name"; "error" => %e);
            }
        }
    }

    /// Returns the interval until the next probe.
    fn probe_interval(&self) -> Duration {
        let is_large_fleet = self.instance_count.get() > FOLLOWING_THRESHOLD;
        match (self.is_store_lost.get(), self.is_following.get()) {
            (_, true) => PROBE_INTERVAL * 2,
            (false, false) => PROBE_INTERVAL,
            (true, false) if is_large_fleet => LOST_PROBE_INTERVAL_LARGE_FLEET,
            (true, false) => LOST_PROBE_INTERVAL,
        }
    }

    /// Returns whether a position of the store is newer than all changes known from watches and
    /// from the instances' own objects.
    fn is_unexplained(&self, position: Position) -> bool {
        let known = self.known.iter().map(Cell::get);
        let newest = known.chain([self.records_position.get()]).max();
        newest.is_none_or(|newest| position > newest)
    }

    /// Records whether the store answers, and reports a change to the reducer.
    fn set_store_lost(&self, is_lost: bool) {
        if is_lost {
            self.shell.feed.store_lost();
        } else {
            self.shell.feed.store_answered();
        }
        if self.is_store_lost.replace(is_lost) == is_lost {
            return;
        }
        self.shell.dispatch(if is_lost {
            Event::PlatformLost
        } else {
            Event::PlatformBack
        });
        if !is_lost {
            self.interrupt_after_outage();
        }
    }

    /// Interrupts the watches after an outage, except that of evacuations while another instance
    /// sends them, which lists them itself.
    fn interrupt_after_outage(&self) {
        let skipped = self.follows_evacuations.get().then(|| {
            let evacuations = &self.interrupts[WatchedKind::Evacuations as usize];
            evacuations.borrow_mut().take()
        });
        self.interrupt(Interruption::Outage);
        if let Some(kept) = skipped {
            *self.interrupts[WatchedKind::Evacuations as usize].borrow_mut() = kept;
        }
    }

    /// Interrupts all watches, so that all kinds are listed again.
    fn interrupt(&self, why: Interruption) {
        for interrupt in &self.interrupts {
            if let Some(tx) = interrupt.borrow_mut().take() {
                // Sending fails only when the watch has just ended; it lists again anyway.
                let _ = tx.send(why);
            }
        }
    }

    /// Returns whether instances may be gone, so that their records are checked after each probe.
    fn has_suspects(&self) -> bool {
        !self.is_following.get() && !self.unreachable.borrow().is_empty()
    }

    /// Waits until the next probe is due or requested.
    async fn wait_for_next_probe(&self) {
        let wait = pin!(sleep(self.shell.jitter(self.probe_interval())));
        let requested = pin!(self.probe_now.until(true));
        select(wait, requested).await;
        self.probe_now.set(false);
    }
}

/// Registers the instance, then probes the store at intervals.
async fn run_probes(sync: Rc<Sync>) {
    let mut store = sync.store();
    let is_first_start = sync.shell.cfg.borrow().is_first_start;
    let mut is_registered = if is_first_start {
        records::register(&sync, &mut store).await
    } else {
        quarantines::read(&sync, &mut store).await;
        // The fleet is running, so the records of the others exist, and this one's may too.
        let is_there = records::check(&sync, &mut store).await;
        sync.roles_known.set(true);
        is_there
    };
    let mut unexplained: Option<Position> = None;
    let mut probes = 0_u32;
    loop {
        sync.wait_for_next_probe().await;
        let listed = store.list(quarantines::KIND, Freshness::Stale);
        let listed = timeout(PROBE_TIMEOUT, listed).await.unwrap_or_else(|_| {
            Err(Error::Unavailable {
                reason: "no reply in time".into(),
            })
        });
        sync.note_era();
        let listed = match listed {
            Ok(listed) => listed,
            Err(e @ Error::StaleEra { .. }) => {
                // The store answers, but from before its return; the next probe asks again.
                sync.shell.metrics.count_store_call("probe", "stale");
                info!(sync.shell.log, "ignoring an answer of the store"; "error" => %e);
                continue;
            }
            Err(e) => {
                sync.shell.metrics.count_store_call("probe", "failed");
                if !sync.is_store_lost.get() {
                    warn!(sync.shell.log, "the store does not answer"; "error" => %e);
                }
                sync.set_store_lost(true);
                store = sync.store();
                continue;
            }
        };
        sync.shell.metrics.count_store_call("probe", "ok");
        sync.set_store_lost(false);
        quarantines::apply(&sync, &mut store, &listed.objects).await;
        sync.note_records_position(&listed);
        if let Some(position) = unexplained.take() {
            if sync.is_unexplained(position) {
                sync.records_position.set(listed.position);
                sync.interrupt(Interruption::MissedChange);
            }
        } else if sync.is_unexplained(listed.position) {
            // The watch may be about to deliver the change, or another instance has written its
            // record: read the records, and decide at the next probe.
            unexplained = Some(listed.position);
            records::read(&sync, &mut store, Freshness::Stale).await;
        }
        quarantines::publish(&sync, &mut store).await;
        if sync.is_rewrite_due.get() && is_registered {
            // Not all instances write at the same moment.
            sleep(sync.shell.spread(REWRITE_SPREAD)).await;
            if let Some(records) = records::read(&sync, &mut store, Freshness::Latest).await {
                is_registered = records::has_own(&sync, &records);
                sync.is_rewrite_due.set(false);
            }
        }
        if !is_registered {
            is_registered = records::register(&sync, &mut store).await;
        } else if probes % PROBES_PER_RECORD_CHECK == PROBES_PER_RECORD_CHECK - 1
            || sync.has_suspects()
        {
            is_registered = records::check(&sync, &mut store).await;
        }
        if !sync.roles_known.get()
            && sync.shell.now().since(base::Time::ZERO) >= RECORDS_READABLE_AFTER
        {
            records::read(&sync, &mut store, Freshness::Stale).await;
            sync.roles_known.set(true);
        }
        probes += 1;
    }
}
