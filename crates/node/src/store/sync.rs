//! Keeps the store up to date: from the platform if this instance is a watcher, else from peers.
//!
//! The watchers of a data centre watch the platform by long polling; every other instance keeps one
//! pull waiting at a watcher. An instance that learns of a peer with newer objects pulls from it at
//! once, so that a data centre that cannot reach the platform is still updated by the others.

use std::{collections::BTreeMap, time::Duration};

use base::{InstanceName, OpId, Time, Version};
use wire::{Body, Pull};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    Change, Context, Page, Store,
    context::{PeerStatus, Peers},
    pending_pulls::PendingPulls,
};
use crate::{
    effect::{Effect, Note, PeerAddress, PlatformOp},
    event::PlatformEvent,
    object::Kind,
};

/// Time limits and pauses of the store's synchronisation.
#[derive(Clone, Debug)]
pub struct SyncConfig {
    /// Longest wait of a watch at the platform.
    pub watch_wait: Duration,
    /// Pause between an answer of the platform and the next watch; it bounds the rate of calls.
    pub watch_pause: Duration,
    /// Longest wait of a pull at a watcher.
    pub pull_wait: Duration,
    /// Time, in addition to its wait, after which a pull without an answer is given up; calls to
    /// the platform get twice this time.
    pub timeout: Duration,
    /// First pause after a failed call to the platform.
    pub first_backoff: Duration,
    /// Longest pause after failed calls to the platform.
    pub last_backoff: Duration,
    /// Time for which a peer that did not answer is ejected: nothing is pulled from it.
    pub ejection_time: Duration,
    /// Time after the start at which an instance without peers is ready with the store it has.
    pub no_peers_wait: Duration,
}

impl Default for SyncConfig {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_secs(10),
            watch_pause: Duration::from_millis(50),
            pull_wait: Duration::from_secs(10),
            timeout: Duration::from_secs(1),
            first_backoff: Duration::from_millis(250),
            last_backoff: Duration::from_secs(8),
            ejection_time: Duration::from_secs(3),
            no_peers_wait: Duration::from_secs(2),
        }
    }
}

/// A call to the platform in flight.
#[derive(Debug)]
struct PlatformCall {
    op: OpId,
    /// Version after which a watch requests objects.
    after: Version,
    deadline: Time,
}

/// A pull from a peer in flight.
#[derive(Debug)]
struct PeerPull {
    peer: InstanceName,
    /// Time before which an answer without newer objects is too early; the peer is then ejected.
    early_until: Time,
    deadline: Time,
}

/// Synchronisation of a [`Store`] with the platform and with peers.
#[derive(Debug)]
pub struct StoreSync {
    cfg: SyncConfig,
    name: InstanceName,
    started: Time,
    /// The watch at the platform.
    watch: Option<PlatformCall>,
    /// The read of a document that a head refers to.
    read: Option<PlatformCall>,
    /// The pull that waits at a watcher.
    waiting_pull: Option<PeerPull>,
    /// The pull from a peer that has newer objects.
    catch_up: Option<PeerPull>,
    failures: u32,
    next_watch: Time,
    next_read: Time,
    /// Time since which a document that a head refers to is missing.
    missing_since: Option<Time>,
    ejected_until: BTreeMap<InstanceName, Time>,
    /// Pulls of peers that this instance has to answer.
    pending_pulls: PendingPulls,
    platform_answered: bool,
    peer_answered: bool,
    has_peers: bool,
    wake: Time,
}

impl StoreSync {
    /// Starts the synchronisation of an empty store.
    pub fn new(cfg: SyncConfig, name: InstanceName, now: Time) -> Self {
        Self {
            cfg,
            name,
            started: now,
            watch: None,
            read: None,
            waiting_pull: None,
            catch_up: None,
            failures: 0,
            next_watch: now,
            next_read: now,
            missing_since: None,
            ejected_until: BTreeMap::new(),
            pending_pulls: PendingPulls::default(),
            platform_answered: false,
            peer_answered: false,
            has_peers: false,
            wake: now,
        }
    }

    /// Performs all actions that are due; must be called after each tick, heartbeat and answer.
    pub fn poll(&mut self, cx: &mut Context<'_>, peers: &impl Peers, store: &Store) {
        self.expire_calls(cx.now);
        self.has_peers = peers.statuses().next().is_some();
        self.pending_pulls.answer(cx, store);
        self.watch_platform(cx, peers.is_watcher(), store);
        self.update_missing_since(cx.now, store);
        self.read_document(cx, peers.is_watcher(), store);
        self.pull_from_watcher(cx, peers, store);
        self.pull_from_newest(cx, peers, store);
        self.wake = self.due_after(cx.now);
    }

    fn due_after(&self, now: Time) -> Time {
        let calls = [&self.watch, &self.read].into_iter().flatten();
        let pulls = [&self.waiting_pull, &self.catch_up].into_iter().flatten();
        let no_peers_due = self.started + self.cfg.no_peers_wait;
        let overdue = self.missing_since.map(|since| since + self.cfg.timeout);
        let due = [self.next_watch, self.next_read, no_peers_due]
            .into_iter()
            .chain(overdue);
        let ends = calls.map(|c| c.deadline).chain(pulls.map(|p| p.deadline));
        let ejections = self.ejected_until.values().copied();
        let waits = ends.chain(ejections).chain(self.pending_pulls.next_wake());
        let later = waits.chain(due).filter(|&t| t > now);
        later.min().unwrap_or(Time::NEVER)
    }

    /// Returns the time at which [`StoreSync::poll`] is due next.
    pub fn next_wake(&self) -> Time {
        self.wake
    }

    /// Returns whether the instance may serve: a catalogue is in force, and the platform or a peer
    /// has answered, or there has been no peer for a while.
    pub fn is_ready(&self, now: Time, store: &Store) -> bool {
        let has_no_peers = !self.has_peers && now >= self.started + self.cfg.no_peers_wait;
        store.head().is_some() && (self.platform_answered || self.peer_answered || has_no_peers)
    }

    /// Handles the platform's answer to a call; returns `None` if the call was not started here.
    pub fn on_platform(
        &mut self,
        cx: &mut Context<'_>,
        op: OpId,
        event: &PlatformEvent,
        store: &mut Store,
    ) -> Option<Vec<Change>> {
        if let Some(call) = self.watch.take_if(|c| c.op == op) {
            return Some(self.on_watched(cx, call.after, event, store));
        }
        self.read.take_if(|c| c.op == op)?;
        Some(self.on_read(cx, event, store))
    }

    /// Applies a peer's objects.
    pub fn on_objects(
        &mut self,
        cx: &mut Context<'_>,
        from: &InstanceName,
        objects: wire::Objects,
        store: &mut Store,
    ) -> Vec<Change> {
        let slots = [&mut self.waiting_pull, &mut self.catch_up];
        let answered = slots.map(|slot| slot.take_if(|p| p.peer == *from));
        match Page::try_from(objects) {
            Ok(page) => {
                self.peer_answered = true;
                let before = store.seen();
                let changes = store.apply(page, cx.effects);
                let early = answered.iter().flatten().any(|a| cx.now < a.early_until);
                if early && changes.is_empty() && store.seen() == before {
                    self.eject(cx.now, from.clone());
                }
                changes
            }
            Err(error) => {
                self.eject(cx.now, from.clone());
                let text = format!("objects from {from}: {error}");
                cx.effects.push(Effect::Note(Note::BadMessage(text.into())));
                Vec::new()
            }
        }
    }

    /// Adds a peer's pull, which [`StoreSync::poll`] answers.
    pub fn on_pull(&mut self, now: Time, from: PeerAddress, pull: Pull) {
        let longest = now + self.cfg.pull_wait;
        self.pending_pulls.push(now, from, pull, longest);
    }

    fn on_watched(
        &mut self,
        cx: &mut Context<'_>,
        after: Version,
        event: &PlatformEvent,
        store: &mut Store,
    ) -> Vec<Change> {
        let PlatformEvent::Changed { objects, seen } = event else {
            self.back_off(cx.now);
            return Vec::new();
        };
        self.failures = 0;
        self.next_watch = cx.now + self.cfg.watch_pause;
        self.platform_answered = true;
        let page = Page {
            objects: objects.clone(),
            after,
            seen: *seen,
        };
        store.apply(page, cx.effects)
    }

    fn on_read(
        &mut self,
        cx: &mut Context<'_>,
        event: &PlatformEvent,
        store: &mut Store,
    ) -> Vec<Change> {
        let PlatformEvent::Read(Some(document)) = event else {
            self.next_read = cx.now + self.cfg.timeout;
            return Vec::new();
        };
        store.apply(Page::of(vec![document.clone()]), cx.effects)
    }

    /// Gives up calls and pulls that were not answered in time; ejects the peers of such pulls.
    fn expire_calls(&mut self, now: Time) {
        if self.watch.take_if(|c| now >= c.deadline).is_some() {
            self.back_off(now);
        }
        if self.read.take_if(|c| now >= c.deadline).is_some() {
            self.next_read = now + self.cfg.timeout;
        }
        let silent = [&mut self.waiting_pull, &mut self.catch_up]
            .map(|slot| slot.take_if(|p| now >= p.deadline));
        for expired in silent.into_iter().flatten() {
            self.eject(now, expired.peer);
        }
        self.ejected_until.retain(|_, until| now < *until);
    }

    fn eject(&mut self, now: Time, peer: InstanceName) {
        self.ejected_until
            .insert(peer, now + self.cfg.ejection_time);
    }

    /// Delays the next watch exponentially; the jitter is a hash of the instance's name, so that
    /// instances do not call at the same time.
    fn back_off(&mut self, now: Time) {
        let doubled = self.cfg.first_backoff * 2_u32.saturating_pow(self.failures.min(16));
        let pause = doubled.min(self.cfg.last_backoff);
        let spread = xxh3_64_with_seed(self.name.as_str().as_bytes(), u64::from(self.failures));
        let percent = 50 + u32::try_from(spread % 51).unwrap_or_default();
        self.next_watch = now + pause * percent / 100;
        self.failures = self.failures.saturating_add(1);
    }

    fn watch_platform(&mut self, cx: &mut Context<'_>, is_watcher: bool, store: &Store) {
        let is_new = !self.platform_answered && !self.peer_answered;
        let wanted = is_watcher || is_new;
        if !wanted || self.watch.is_some() || cx.now < self.next_watch {
            return;
        }
        // The first watch is answered at once, which shows whether there is anything newer.
        let wait = if self.platform_answered {
            self.cfg.watch_wait
        } else {
            Duration::ZERO
        };
        let after = store.seen();
        let op = cx.platform(PlatformOp::Watch { after, wait });
        let deadline = cx.now + wait + self.cfg.timeout * 2;
        self.watch = Some(PlatformCall {
            op,
            after,
            deadline,
        });
    }

    fn update_missing_since(&mut self, now: Time, store: &Store) {
        let is_missing = store.missing_documents().next().is_some();
        self.missing_since = is_missing.then(|| self.missing_since.unwrap_or(now));
    }

    /// Returns whether a document has been missing for longer than a watcher needs to send it.
    fn is_overdue(&self, now: Time) -> bool {
        let overdue = |since: Time| now >= since + self.cfg.timeout;
        self.missing_since.is_some_and(overdue)
    }

    /// Reads a missing document from the platform.
    ///
    /// A watcher reads it at once; other instances get it from a watcher, and read it only if it is
    /// overdue or there are no peers.
    fn read_document(&mut self, cx: &mut Context<'_>, is_watcher: bool, store: &Store) {
        let may_read = is_watcher || !self.has_peers || self.is_overdue(cx.now);
        if !may_read || self.read.is_some() || cx.now < self.next_read {
            return;
        }
        let Some(digest) = store.missing_documents().next() else {
            return;
        };
        let op = cx.platform(PlatformOp::Read {
            kind: Kind::Document,
            name: digest.into(),
        });
        let deadline = cx.now + self.cfg.timeout * 2;
        let after = Version::default();
        self.read = Some(PlatformCall {
            op,
            after,
            deadline,
        });
    }

    /// Keeps one pull waiting at a watcher.
    fn pull_from_watcher(&mut self, cx: &mut Context<'_>, peers: &impl Peers, store: &Store) {
        if self.waiting_pull.is_some() || peers.is_watcher() {
            return;
        }
        let name = self.name.as_str().as_bytes();
        let watchers = peers
            .statuses()
            .filter(|p| p.is_watcher && !self.is_ejected(p));
        let weight = |p: &PeerStatus<'_>| {
            let seed = xxh3_64_with_seed(p.name.as_str().as_bytes(), 0);
            xxh3_64_with_seed(name, seed)
        };
        let chosen = watchers.max_by_key(weight);
        self.waiting_pull = chosen.map(|p| send_pull(cx, &p, store, &self.cfg, self.cfg.pull_wait));
    }

    /// Pulls from the peer with the newest objects, if it has newer ones than this instance or this
    /// instance lacks a document.
    fn pull_from_newest(&mut self, cx: &mut Context<'_>, peers: &impl Peers, store: &Store) {
        if self.catch_up.is_some() {
            return;
        }
        // The pull that waits at a watcher also returns a missing document.
        let waits = self.waiting_pull.is_some() && !self.is_overdue(cx.now);
        let is_missing = self.missing_since.is_some() && !waits;
        let ahead =
            |p: &PeerStatus<'_>| p.seen > store.seen() || (is_missing && p.seen > Version(0));
        let useful = peers.statuses().filter(|p| ahead(p) && !self.is_ejected(p));
        let chosen = useful.max_by_key(|p| p.seen);
        self.catch_up = chosen.map(|p| send_pull(cx, &p, store, &self.cfg, Duration::ZERO));
    }

    fn is_ejected(&self, peer: &PeerStatus<'_>) -> bool {
        self.ejected_until.contains_key(peer.name)
    }
}

fn send_pull(
    cx: &mut Context<'_>,
    peer: &PeerStatus<'_>,
    store: &Store,
    cfg: &SyncConfig,
    wait: Duration,
) -> PeerPull {
    let message = Pull {
        after: store.seen().0,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        documents: store.missing_documents().map(Into::into).collect(),
    };
    let address = PeerAddress {
        name: Some(peer.name.clone()),
        address: peer.address,
    };
    cx.effects.push(Effect::Peer(address, Body::Pull(message)));
    let deadline = cx.now + wait + cfg.timeout;
    PeerPull {
        peer: peer.name.clone(),
        early_until: if wait.is_zero() {
            deadline
        } else {
            cx.now + wait / 2
        },
        deadline,
    }
}
