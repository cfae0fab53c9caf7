//! Keeps configuration and upstreams up to date with the store, at few calls.
//!
//! Two watches wait for changes. A small read that may be stale, which costs a tenth of a call,
//! tells every few seconds whether the store answers and whether the watches have missed something:
//! a watch whose connection has fallen silent looks like one without news.

use std::{
    cell::{Cell, RefCell},
    fmt,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use compio::{
    runtime::spawn,
    time::{sleep, timeout},
};
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use platform::{
    Store, config, entry,
    store::{Error, Freshness, Object},
};
use serde_json::{Value, json};
use slog::{info, warn};
use tier::{Event, Instance};

use super::shell::Shell;

/// Longest wait of a watch; the platform allows 30 s.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Interval of the small read while the store answers.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Interval of the small read while the store does not answer.
const LOST_INTERVAL: Duration = Duration::from_millis(400);

/// Longest wait for the small read.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time for which changes of upstreams are collected before the next watch, as each reply of a
/// watch costs a call; drained upstreams have to be known in 3 s.
const UPSTREAMS_PAUSE: Duration = Duration::from_millis(800);

/// The same for configurations.
const CONFIG_PAUSE: Duration = Duration::from_millis(500);

/// Instances up to which each may ask for changes as they come.
const FEW_INSTANCES: usize = 40;

/// Part of the time allowed for a change, as a divisor, that many instances collect changes for.
const PAUSE_DIVISOR: u32 = 2;

/// Wait before a call that failed is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Kind of the records of instances, of our own.
const INSTANCES: &str = "briarcove-instances";

/// Kind of the records of requests that break upstreams, of our own.
const QUARANTINE: &str = "briarcove-quarantine";

/// Probes between two looks at the instances.
const PROBES_PER_COUNT: u32 = 8;

/// What the tasks of the synchronisation share.
struct Sync {
    shell: Rc<Shell>,
    lost: Cell<bool>,
    /// Revision up to which each watch has told everything.
    seen: [Cell<u64>; 2],
    /// Instances that were counted last.
    instances: Cell<usize>,
    /// Newest revision of the records that instances write, of which no watch tells.
    own: Cell<u64>,
    /// Ends the wait of each watch, so that it asks again.
    interrupts: [RefCell<Option<oneshot::Sender<()>>>; 2],
}

/// What a watch keeps up to date.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Watched {
    Config = 0,
    Upstreams = 1,
}

impl Watched {
    fn kind(self) -> &'static str {
        match self {
            Self::Config => config::KIND,
            Self::Upstreams => entry::KIND,
        }
    }

    /// Returns the time for which changes are collected.
    fn pause(self, cfg: &platform::Settings, instances: usize) -> Duration {
        let (usual, within) = match self {
            Self::Config => (CONFIG_PAUSE, cfg.config_within),
            Self::Upstreams => (UPSTREAMS_PAUSE, cfg.drain_within),
        };
        if instances <= FEW_INSTANCES {
            return usual;
        }
        // Many instances make many calls; a part of the time allowed is left to the change itself.
        (within / PAUSE_DIVISOR).max(usual)
    }
}

/// Why a watch ended.
enum Ended {
    /// The store has changes of which it did not tell, or was away.
    Doubted,
    /// The call failed.
    Failed(Error),
}

impl fmt::Display for Ended {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Doubted => f.write_str("it may have missed changes"),
            Self::Failed(e) => e.fmt(f),
        }
    }
}

/// Starts the tasks.
pub(super) fn start(shell: &Rc<Shell>) {
    let sync = Rc::new(Sync {
        shell: Rc::clone(shell),
        lost: Cell::new(false),
        seen: Default::default(),
        instances: Cell::new(0),
        own: Cell::new(0),
        interrupts: Default::default(),
    });
    spawn(follow(Rc::clone(&sync), Watched::Config)).detach();
    spawn(follow(Rc::clone(&sync), Watched::Upstreams)).detach();
    spawn(probe(sync)).detach();
}

/// Lists a kind, then follows its changes.
async fn follow(sync: Rc<Sync>, what: Watched) {
    // A stale list costs a tenth, and the first watch brings what it lacks.
    let mut freshness = Freshness::Stale;
    loop {
        let mut store = sync.store();
        let listed = store.list(what.kind(), freshness).await;
        match listed {
            Ok(listed) => {
                sync.shell.metrics.store_call("list", "ok");
                sync.list(what, listed.objects);
                sync.seen[what as usize].set(listed.revision);
                let problem = sync.watch(&mut store, what).await;
                info!(sync.shell.log, "watch ended; listing again"; "kind" => what.kind(),
                    "why" => %problem);
                // A watch that broke may have missed changes that its successor is not told of.
                freshness = Freshness::Latest;
                sync.await_store().await;
            }
            Err(e) => {
                sync.shell.metrics.store_call("list", "failed");
                warn!(sync.shell.log, "list failed"; "kind" => what.kind(), "error" => %e);
                sync.await_store().await;
            }
        }
    }
}

impl Sync {
    fn store(&self) -> Store {
        Store::new(self.shell.cfg.borrow().store, self.shell.buf.clone())
    }

    /// Follows the changes of a kind until the watch ends.
    async fn watch(&self, store: &mut Store, what: Watched) -> Ended {
        loop {
            let (tx, rx) = oneshot::channel();
            *self.interrupts[what as usize].borrow_mut() = Some(tx);
            let after = self.seen[what as usize].get();
            let changes = {
                let waiting = pin!(store.watch(what.kind(), after, WATCH_WAIT));
                match select(waiting, rx).await {
                    Either::Left((changes, _)) => Some(changes),
                    Either::Right(_) => None,
                }
            };
            let Some(changes) = changes else {
                return Ended::Doubted;
            };
            match changes {
                Ok(changes) => {
                    self.shell.metrics.store_call("watch", "ok");
                    self.seen[what as usize].set(changes.revision.max(after));
                    let any = !changes.objects.is_empty();
                    for object in changes.objects {
                        self.change(what, object);
                    }
                    if any {
                        let pause = what.pause(&self.shell.cfg.borrow(), self.instances.get());
                        sleep(self.shell.spread(pause)).await;
                    }
                }
                Err(e) => {
                    self.shell.metrics.store_call("watch", "failed");
                    return Ended::Failed(e);
                }
            }
        }
    }

    /// Waits until the store may answer again.
    async fn await_store(&self) {
        sleep(self.shell.spread(RETRY_PAUSE)).await;
        while self.lost.get() {
            sleep(LOST_INTERVAL / 4).await;
        }
    }

    fn list(&self, what: Watched, objects: Vec<Object>) {
        match what {
            Watched::Config => objects
                .into_iter()
                .for_each(|object| self.change(what, object)),
            Watched::Upstreams => {
                let live = objects.iter().filter(|object| !object.is_gone);
                let entries = live.filter_map(|object| entry::read(&object.name, &object.spec));
                self.shell.dispatch(Event::Listed(entries.collect()));
            }
        }
    }

    fn change(&self, what: Watched, object: Object) {
        match what {
            Watched::Config if &*object.name == config::NAME && !object.is_gone => {
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
        let entry = entry::read(&object.name, &object.spec).filter(|_| !object.is_gone);
        match (entry, object.name.parse()) {
            (Some(entry), _) => self.shell.dispatch(Event::Changed(entry)),
            (None, Ok(name)) => self.shell.dispatch(Event::Removed(name)),
            (None, Err(e)) => {
                info!(self.shell.log, "an entry has no valid name"; "error" => %e);
            }
        }
    }

    /// Notes the revisions of records that instances have written.
    fn own_records(&self, records: &[Object]) {
        let newest = records.iter().map(|record| record.revision).max();
        self.own.set(self.own.get().max(newest.unwrap_or(0)));
    }

    /// Returns the time until the next small read.
    fn probe_interval(&self) -> Duration {
        match (self.lost.get(), self.instances.get() <= FEW_INSTANCES) {
            (true, _) => LOST_INTERVAL,
            (false, true) => PROBE_INTERVAL,
            (false, false) => PROBE_INTERVAL * 2,
        }
    }

    /// Returns whether the store has changed beyond what watches and own records tell.
    fn is_unexplained(&self, revision: u64) -> bool {
        let seen = self.seen.iter().map(Cell::get).max().unwrap_or(0);
        revision > seen.max(self.own.get())
    }

    /// Reads which instances there are; returns whether this one is registered as it is now.
    async fn read_instances(&self, store: &mut Store) -> Option<Registered> {
        match store.list(INSTANCES, Freshness::Stale).await {
            Ok(all) => {
                self.own_records(&all.objects);
                let own = self.shell.cfg.borrow().instance.clone();
                let registered = all.objects.iter().find(|record| record.name == own);
                let registered = registered.map(|record| Registered {
                    revision: record.revision,
                    is_current: record.spec == self.record(),
                });
                let instances = read_records(all.objects);
                self.instances.set(instances.len());
                self.shell.dispatch(Event::Instances(instances));
                registered
            }
            Err(e) => {
                warn!(self.shell.log, "instances can't be read"; "error" => %e);
                None
            }
        }
    }

    /// Returns the record of this instance.
    fn record(&self) -> Value {
        let cfg = self.shell.cfg.borrow();
        json!({"dataCentre": &*cfg.data_centre, "address": cfg.peers.to_string(),
            "power": cfg.power})
    }

    /// Notes whether the store answers.
    fn set_lost(&self, lost: bool) {
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
}

/// The record of this instance in the store.
struct Registered {
    revision: u64,
    /// Whether it says what is true now.
    is_current: bool,
}

/// Reads the records of instances; of those at one address the newest is true, as an address is
/// used again when its instance is gone.
fn read_records(mut records: Vec<Object>) -> Vec<Instance> {
    records.sort_by_key(|record| std::cmp::Reverse(record.revision));
    let mut instances: Vec<Instance> = Vec::with_capacity(records.len());
    for record in records {
        let read = read_record(&record);
        if let Some(read) = read
            && !instances.iter().any(|known| known.address == read.address)
        {
            instances.push(read);
        }
    }
    instances
}

fn read_record(record: &Object) -> Option<Instance> {
    let text = |name: &str| record.spec.get(name).and_then(Value::as_str);
    Some(Instance {
        name: record.name.parse().ok()?,
        address: text("address")?.parse().ok()?,
        data_centre: text("dataCentre")?.parse().ok()?,
        power: record.spec.get("power").and_then(Value::as_f64)?,
    })
}

/// Registers the instance, and looks at the store at intervals.
async fn probe(sync: Rc<Sync>) {
    let mut store = sync.store();
    let mut is_registered = false;
    let mut doubted = 0;
    let mut probes = 0_u32;
    loop {
        let wait = sync.probe_interval();
        sleep(sync.shell.spread(wait)).await;
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
            sync.read_instances(&mut store).await;
        } else if doubted > 0 {
            if sync.is_unexplained(doubted) {
                sync.own.set(listed.revision);
                sync.interrupt();
            }
            doubted = 0;
        }
        share_quarantine(&sync, &mut store).await;
        if !is_registered {
            is_registered = register(&sync, &mut store).await;
        } else if probes.is_multiple_of(PROBES_PER_COUNT) {
            let registered = sync.read_instances(&mut store).await;
            is_registered = renew(&sync, &mut store, registered).await;
        }
        probes += 1;
    }
}

/// Writes the record of this instance; returns whether it is there.
async fn register(sync: &Sync, store: &mut Store) -> bool {
    let name = sync.shell.cfg.borrow().instance.clone();
    match store.create(INSTANCES, &name, sync.record()).await {
        Ok(()) | Err(Error::Conflict) => true,
        Err(e) => {
            warn!(sync.shell.log, "the record of the instance can't be written"; "error" => %e);
            false
        }
    }
}

/// Writes the record again where it is not true any more; returns whether it is there.
async fn renew(sync: &Sync, store: &mut Store, registered: Option<Registered>) -> bool {
    let Some(registered) = registered else {
        // It may be missing from a list that is stale, and is written again if it is.
        return false;
    };
    if registered.is_current {
        return true;
    }
    let name = sync.shell.cfg.borrow().instance.clone();
    let revision = registered.revision;
    let replaced = store
        .replace(INSTANCES, &name, revision, sync.record())
        .await;
    if let Err(e) = replaced {
        warn!(sync.shell.log, "the record of the instance can't be renewed"; "error" => %e);
    }
    true
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
