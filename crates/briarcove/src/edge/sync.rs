//! Keeps configuration and upstreams up to date with the platform, at few calls.
//!
//! Two watches of the store wait for changes. With many instances only a few of them watch, and
//! the others follow one of those. A small read that may be stale, which costs a tenth of a call,
//! tells each instance every few seconds whether the store answers and whether something was
//! missed: a watch whose connection has fallen silent looks like one without news.

mod flag;
mod following;
mod records;
mod watch;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use compio::{
    runtime::spawn,
    time::{sleep, timeout},
};
use futures_channel::oneshot;
use futures_util::future::select;
use platform::{
    Store, config, entry,
    store::{Error, Freshness, Object},
};
use serde_json::json;
use slog::{info, warn};
use tier::{Event, Instance, watchers::FOLLOWING_THRESHOLD};

use super::shell::Shell;
use flag::Flag;

/// Interval of the small read while the store answers.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Interval of the small read while the store does not answer.
const LOST_INTERVAL: Duration = Duration::from_millis(400);

/// The same with many instances, whose refused calls would add up.
const LOST_INTERVAL_OF_MANY: Duration = Duration::from_millis(1_000);

/// Longest wait for the small read.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time after the first start of all instances at which their records can be read; a stale list is
/// up to two seconds old.
const RECORDS_AFTER: Duration = Duration::from_millis(2_600);

/// Kind of the records of requests that break upstreams, of our own.
const QUARANTINE: &str = "briarcove-quarantine";

/// Probes between two looks at the instances.
const PROBES_PER_COUNT: u32 = 8;

/// What the tasks of the synchronisation share.
pub(super) struct Sync {
    shell: Rc<Shell>,
    lost: Cell<bool>,
    /// Revision up to which everything of each kind is known.
    seen: [Cell<u64>; 2],
    /// Instances that were counted last.
    instances: Cell<usize>,
    /// Instances that this one may follow.
    candidates: RefCell<Vec<Instance>>,
    /// Whether it is known if this instance may follow another one.
    roles_known: Flag,
    /// Whether another instance tells the news.
    is_following: Flag,
    /// Has the store looked at without delay.
    look_now: Flag,
    /// Newest revision of the records that instances write, of which no watch tells.
    own: Cell<u64>,
    /// Ends the wait of each watch, so that it asks again.
    interrupts: [RefCell<Option<oneshot::Sender<()>>>; 2],
    /// Failed looks at instances that may be gone.
    unreached: RefCell<HashMap<Box<str>, u32>>,
    /// Times that this instance has removed records of others.
    removals: Cell<u64>,
}

/// What is kept up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Watched {
    /// The configuration.
    Config = 0,
    /// Entries of upstreams.
    Upstreams = 1,
}

/// Starts the tasks.
pub(super) fn start(shell: &Rc<Shell>) {
    let sync = Rc::new(Sync {
        shell: Rc::clone(shell),
        lost: Cell::new(false),
        seen: Default::default(),
        instances: Cell::new(0),
        candidates: RefCell::default(),
        roles_known: Flag::default(),
        is_following: Flag::default(),
        look_now: Flag::default(),
        own: Cell::new(0),
        interrupts: Default::default(),
        unreached: RefCell::default(),
        removals: Cell::new(0),
    });
    spawn(watch::follow(Rc::clone(&sync), Watched::Config)).detach();
    spawn(watch::follow(Rc::clone(&sync), Watched::Upstreams)).detach();
    spawn(following::run(Rc::clone(&sync))).detach();
    spawn(probe(sync)).detach();
}

impl Sync {
    fn store(&self) -> Store {
        Store::new(self.shell.cfg.borrow().store, self.shell.buf.clone())
    }

    /// Takes all objects of a kind.
    fn take_list(&self, what: Watched, objects: Vec<Object>, revision: u64) {
        self.shell.feed.list(what, &objects, revision);
        match what {
            Watched::Config => objects
                .into_iter()
                .for_each(|object| self.change(what, object)),
            Watched::Upstreams => {
                let live = objects.iter().filter(|object| !object.is_deleted);
                let entries = live.filter_map(|object| entry::read(&object.name, &object.spec));
                self.shell.dispatch(Event::EntriesListed(entries.collect()));
            }
        }
    }

    fn change(&self, what: Watched, object: Object) {
        match what {
            Watched::Config if &*object.name == config::NAME && !object.is_deleted => {
                match config::read(&object.spec) {
                    Ok(config) => self.shell.dispatch(Event::Config(Rc::new(config))),
                    Err(place) => warn!(self.shell.log, "the configuration can't be read";
                        "place" => &*place),
                }
            }
            Watched::Config => {}
            Watched::Upstreams => self.change_upstream(&object),
        }
    }

    fn change_upstream(&self, object: &Object) {
        let entry = entry::read(&object.name, &object.spec).filter(|_| !object.is_deleted);
        match (entry, object.name.parse()) {
            (Some(entry), _) => self.shell.dispatch(Event::EntryChanged(entry)),
            (None, Ok(name)) => self.shell.dispatch(Event::EntryRemoved(name)),
            (None, Err(e)) => {
                info!(self.shell.log, "an entry has no valid name"; "error" => %e);
            }
        }
    }

    /// Returns the time until the next small read.
    fn probe_interval(&self) -> Duration {
        let is_many = self.instances.get() > FOLLOWING_THRESHOLD;
        match (self.lost.get(), self.is_following.get()) {
            (_, true) => PROBE_INTERVAL * 2,
            (false, false) => PROBE_INTERVAL,
            (true, false) if is_many => LOST_INTERVAL_OF_MANY,
            (true, false) => LOST_INTERVAL,
        }
    }

    /// Returns whether the store has changed beyond what watches and own records tell.
    fn is_unexplained(&self, revision: u64) -> bool {
        let seen = self.seen.iter().map(Cell::get).max().unwrap_or(0);
        revision > seen.max(self.own.get())
    }

    /// Notes whether the store answers.
    fn set_lost(&self, lost: bool) {
        if lost {
            self.shell.feed.lost();
        } else {
            self.shell.feed.sound();
        }
        if self.lost.replace(lost) == lost {
            return;
        }
        self.shell.dispatch(if lost {
            Event::PlatformLost
        } else {
            Event::PlatformBack
        });
        if !lost {
            self.interrupt();
        }
    }

    /// Has both kinds listed again.
    fn interrupt(&self) {
        for interrupt in &self.interrupts {
            if let Some(tx) = interrupt.borrow_mut().take() {
                // A watch that has just ended asks again anyway.
                let _ = tx.send(());
            }
        }
    }

    /// Returns whether instances may be gone, which is looked at without waiting.
    fn has_suspects(&self) -> bool {
        !self.is_following.get() && !self.unreached.borrow().is_empty()
    }

    /// Waits for the time of the next small read.
    async fn next_look(&self) {
        let wait = pin!(sleep(self.shell.spread(self.probe_interval())));
        let asked = pin!(self.look_now.until(true));
        select(wait, asked).await;
        self.look_now.set(false);
    }
}

/// Registers the instance, and looks at the store at intervals.
async fn probe(sync: Rc<Sync>) {
    let mut store = sync.store();
    let is_first_start = sync.shell.cfg.borrow().is_first_start;
    let mut is_registered = if is_first_start {
        records::register(&sync, &mut store).await
    } else {
        // The others have their records already, and so may this one.
        let is_there = records::look(&sync, &mut store).await;
        sync.roles_known.set(true);
        is_there
    };
    let mut doubted = 0;
    let mut probes = 0_u32;
    loop {
        sync.next_look().await;
        let listed = store.list(QUARANTINE, Freshness::Stale);
        let listed = timeout(PROBE_TIMEOUT, listed).await.unwrap_or_else(|_| {
            Err(Error::Unavailable {
                reason: "no reply in time".into(),
            })
        });
        let listed = match listed {
            Ok(listed) => listed,
            Err(e) => {
                sync.shell.metrics.store_call("probe", "failed");
                if !sync.lost.get() {
                    warn!(sync.shell.log, "the store does not answer"; "error" => %e);
                }
                sync.set_lost(true);
                store = sync.store();
                continue;
            }
        };
        sync.shell.metrics.store_call("probe", "ok");
        sync.set_lost(false);
        for object in &listed.objects {
            if let Ok(digest) = u64::from_str_radix(&object.name, 16) {
                sync.shell.dispatch(Event::Quarantine(digest));
            }
        }
        sync.own_records(&listed.objects);
        if sync.is_unexplained(listed.revision) && doubted == 0 {
            // The watch may be about to tell, or another instance has written its record.
            doubted = listed.revision;
            records::read(&sync, &mut store).await;
        } else if doubted > 0 {
            if sync.is_unexplained(doubted) {
                sync.own.set(listed.revision);
                sync.interrupt();
            }
            doubted = 0;
        }
        share_quarantine(&sync, &mut store).await;
        if !is_registered {
            is_registered = records::register(&sync, &mut store).await;
        } else if probes % PROBES_PER_COUNT == PROBES_PER_COUNT - 1 || sync.has_suspects() {
            is_registered = records::look(&sync, &mut store).await;
        }
        if !sync.roles_known.get() && sync.shell.now().since(base::Time::ZERO) >= RECORDS_AFTER {
            records::read(&sync, &mut store).await;
            sync.roles_known.set(true);
        }
        probes += 1;
    }
}

/// Tells other instances of requests that break upstreams.
async fn share_quarantine(sync: &Sync, store: &mut Store) {
    let next = sync.shell.to_quarantine.borrow().front().copied();
    let Some(digest) = next else { return };
    match store
        .create(QUARANTINE, &format!("{digest:016x}"), json!({}))
        .await
    {
        Ok(()) | Err(Error::Conflict) => {
            sync.shell.to_quarantine.borrow_mut().pop_front();
        }
        Err(e) => warn!(sync.shell.log, "a quarantine can't be shared"; "error" => %e),
    }
}
