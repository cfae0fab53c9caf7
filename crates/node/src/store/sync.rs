//! Keeps the store up to date: from the platform when this instance watches it, else from peers.
//!
//! The watchers of a data centre wait at the platform; every other instance keeps one pull waiting
//! at a watcher. Whoever hears of a peer that is ahead pulls from it at once, so that a data centre
//! cut off from the platform still follows the others.

use std::{collections::BTreeMap, time::Duration};

use base::{InstanceName, OpId, Time, Version};
use wire::{Body, Pull};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    Change, Context, Page, Store,
    context::{PeerStatus, Peers},
    waiting::Waiting,
};
use crate::{
    effect::{Effect, Note, PeerAddress, PlatformOp},
    event::PlatformEvent,
    object::Kind,
};

/// Times of the store's upkeep.
#[derive(Clone, Debug)]
pub struct SyncConfig {
    /// Longest wait of a watch at the platform.
    pub watch_wait: Duration,
    /// Pause between an answer of the platform and the next watch; it bounds the calls.
    pub watch_pause: Duration,
    /// Longest wait of a pull at a watcher.
    pub pull_wait: Duration,
    /// Time after its wait at which a call or pull without an answer is given up.
    pub timeout: Duration,
    /// First pause after a failed call to the platform.
    pub first_backoff: Duration,
    /// Longest pause after failed calls to the platform.
    pub last_backoff: Duration,
    /// Time for which a peer that gave no answer is passed over.
    pub pass_over: Duration,
    /// Wait of an instance without peers before it trusts what it has.
    pub alone: Duration,
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
            pass_over: Duration::from_secs(3),
            alone: Duration::from_secs(2),
        }
    }
}

#[derive(Debug)]
struct Call {
    op: OpId,
    /// Version that a watch named.
    after: Version,
    until: Time,
}

#[derive(Debug)]
struct Asked {
    peer: InstanceName,
    /// Time before which an answer without news is too early; the peer is then passed over.
    early: Time,
    until: Time,
}

/// Upkeep of a [`Store`].
#[derive(Debug)]
pub struct StoreSync {
    cfg: SyncConfig,
    name: InstanceName,
    started: Time,
    /// The watch at the platform.
    watch: Option<Call>,
    /// The read of a document that a head refers to.
    read: Option<Call>,
    /// The pull that waits at a watcher.
    waiting_pull: Option<Asked>,
    /// The pull from a peer that is ahead.
    pull: Option<Asked>,
    failures: u32,
    platform_due: Time,
    read_due: Time,
    /// Time since which a head refers to a document that is not on hand.
    lacking_since: Option<Time>,
    passed_over: BTreeMap<InstanceName, Time>,
    peers_pulls: Waiting,
    platform_answered: bool,
    peer_answered: bool,
    has_peers: bool,
    wake: Time,
}

impl StoreSync {
    /// Starts the upkeep of an empty store.
    pub fn new(cfg: SyncConfig, name: InstanceName, now: Time) -> Self {
        Self {
            cfg,
            name,
            started: now,
            watch: None,
            read: None,
            waiting_pull: None,
            pull: None,
            failures: 0,
            platform_due: now,
            read_due: now,
            lacking_since: None,
            passed_over: BTreeMap::new(),
            peers_pulls: Waiting::default(),
            platform_answered: false,
            peer_answered: false,
            has_peers: false,
            wake: now,
        }
    }

    /// Does whatever is due; to be called after each tick, heartbeat and answer.
    pub fn poll(&mut self, cx: &mut Context<'_>, peers: &impl Peers, store: &Store) {
        self.give_up(cx.now);
        self.has_peers = peers.statuses().next().is_some();
        self.peers_pulls.answer(cx, store);
        self.watch_platform(cx, peers.is_watcher(), store);
        self.note_lack(cx.now, store);
        self.read_document(cx, peers.is_watcher(), store);
        self.pull_waiting(cx, peers, store);
        self.pull_ahead(cx, peers, store);
        self.wake = self.due_after(cx.now);
    }

    fn due_after(&self, now: Time) -> Time {
        let calls = [&self.watch, &self.read].into_iter().flatten();
        let pulls = [&self.waiting_pull, &self.pull].into_iter().flatten();
        let alone = self.started + self.cfg.alone;
        let overdue = self.lacking_since.map(|since| since + self.cfg.timeout);
        let due = [self.platform_due, self.read_due, alone]
            .into_iter()
            .chain(overdue);
        let ends = calls.map(|c| c.until).chain(pulls.map(|p| p.until));
        let passed_over = self.passed_over.values().copied();
        let waits = ends.chain(passed_over).chain(self.peers_pulls.next_wake());
        let later = waits.chain(due).filter(|&t| t > now);
        later.min().unwrap_or(Time::NEVER)
    }

    /// Returns the time at which [`StoreSync::poll`] is due next.
    pub fn next_wake(&self) -> Time {
        self.wake
    }

    /// Returns whether the instance may serve: a catalogue is in force, and the platform or a peer
    /// was heard or there is none to hear.
    pub fn is_ready(&self, now: Time, store: &Store) -> bool {
        let alone = !self.has_peers && now >= self.started + self.cfg.alone;
        store.head().is_some() && (self.platform_answered || self.peer_answered || alone)
    }

    /// Takes the platform's answer to a call of the upkeep; `None` when the call is another's.
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

    /// Takes a peer's objects.
    pub fn on_objects(
        &mut self,
        cx: &mut Context<'_>,
        from: &InstanceName,
        objects: wire::Objects,
        store: &mut Store,
    ) -> Vec<Change> {
        let slots = [&mut self.waiting_pull, &mut self.pull];
        let asked = slots.map(|slot| slot.take_if(|p| p.peer == *from));
        match Page::try_from(objects) {
            Ok(page) => {
                self.peer_answered = true;
                let before = store.seen();
                let changes = store.apply(page, cx.effects);
                let early = asked.iter().flatten().any(|a| cx.now < a.early);
                if early && changes.is_empty() && store.seen() == before {
                    self.pass_over(cx.now, from.clone());
                }
                changes
            }
            Err(error) => {
                self.pass_over(cx.now, from.clone());
                let text = format!("objects of {from}: {error}");
                cx.effects.push(Effect::Note(Note::BadMessage(text.into())));
                Vec::new()
            }
        }
    }

    /// Takes a peer's pull, which [`StoreSync::poll`] answers.
    pub fn on_pull(&mut self, now: Time, from: PeerAddress, pull: Pull) {
        let longest = now + self.cfg.pull_wait;
        self.peers_pulls.push(now, from, pull, longest);
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
        self.platform_due = cx.now + self.cfg.watch_pause;
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
            self.read_due = cx.now + self.cfg.timeout;
            return Vec::new();
        };
        store.apply(Page::of(vec![document.clone()]), cx.effects)
    }

    /// Gives up calls and pulls that had no answer in time.
    fn give_up(&mut self, now: Time) {
        if self.watch.take_if(|c| now >= c.until).is_some() {
            self.back_off(now);
        }
        if self.read.take_if(|c| now >= c.until).is_some() {
            self.read_due = now + self.cfg.timeout;
        }
        let silent =
            [&mut self.waiting_pull, &mut self.pull].map(|slot| slot.take_if(|p| now >= p.until));
        for asked in silent.into_iter().flatten() {
            self.pass_over(now, asked.peer);
        }
        self.passed_over.retain(|_, until| now < *until);
    }

    fn pass_over(&mut self, now: Time, peer: InstanceName) {
        self.passed_over.insert(peer, now + self.cfg.pass_over);
    }

    /// Puts off the next watch; instances spread by a hash of their name.
    fn back_off(&mut self, now: Time) {
        let doubled = self.cfg.first_backoff * 2_u32.saturating_pow(self.failures.min(16));
        let pause = doubled.min(self.cfg.last_backoff);
        let spread = xxh3_64_with_seed(self.name.as_str().as_bytes(), u64::from(self.failures));
        let percent = 50 + u32::try_from(spread % 51).unwrap_or_default();
        self.platform_due = now + pause * percent / 100;
        self.failures = self.failures.saturating_add(1);
    }

    fn watch_platform(&mut self, cx: &mut Context<'_>, watches: bool, store: &Store) {
        let is_fresh = !self.platform_answered && !self.peer_answered;
        let wanted = watches || is_fresh;
        if !wanted || self.watch.is_some() || cx.now < self.platform_due {
            return;
        }
        // The first watch does not wait: its answer says that there is nothing newer.
        let wait = if self.platform_answered {
            self.cfg.watch_wait
        } else {
            Duration::ZERO
        };
        let after = store.seen();
        let op = cx.platform(PlatformOp::Watch { after, wait });
        let until = cx.now + wait + self.cfg.timeout * 2;
        self.watch = Some(Call { op, after, until });
    }

    fn note_lack(&mut self, now: Time, store: &Store) {
        let lacks = store.wants().next().is_some();
        self.lacking_since = lacks.then(|| self.lacking_since.unwrap_or(now));
    }

    /// Returns whether a document has been missing for longer than a watcher needs to pass it on.
    fn is_overdue(&self, now: Time) -> bool {
        let overdue = |since: Time| now >= since + self.cfg.timeout;
        self.lacking_since.is_some_and(overdue)
    }

    /// Reads a missing document; an instance that watches reads at once, the others rely on it.
    fn read_document(&mut self, cx: &mut Context<'_>, watches: bool, store: &Store) {
        let may_read = watches || !self.has_peers || self.is_overdue(cx.now);
        if !may_read || self.read.is_some() || cx.now < self.read_due {
            return;
        }
        let Some(digest) = store.wants().next() else {
            return;
        };
        let op = cx.platform(PlatformOp::Read {
            kind: Kind::Document,
            name: digest.into(),
        });
        let until = cx.now + self.cfg.timeout * 2;
        let after = Version::default();
        self.read = Some(Call { op, after, until });
    }

    /// Keeps one pull waiting at a watcher.
    fn pull_waiting(&mut self, cx: &mut Context<'_>, peers: &impl Peers, store: &Store) {
        if self.waiting_pull.is_some() || peers.is_watcher() {
            return;
        }
        let name = self.name.as_str().as_bytes();
        let watchers = peers
            .statuses()
            .filter(|p| p.is_watcher && !self.is_passed_over(p));
        let near = |p: &PeerStatus<'_>| {
            let seed = xxh3_64_with_seed(p.name.as_str().as_bytes(), 0);
            xxh3_64_with_seed(name, seed)
        };
        let chosen = watchers.max_by_key(near);
        self.waiting_pull = chosen.map(|p| pull(cx, &p, store, &self.cfg, self.cfg.pull_wait));
    }

    /// Pulls from the peer that is furthest ahead.
    fn pull_ahead(&mut self, cx: &mut Context<'_>, peers: &impl Peers, store: &Store) {
        if self.pull.is_some() {
            return;
        }
        // The pull that waits at a watcher brings a missing document too.
        let waits = self.waiting_pull.is_some() && !self.is_overdue(cx.now);
        let lacks = self.lacking_since.is_some() && !waits;
        let ahead = |p: &PeerStatus<'_>| p.seen > store.seen() || (lacks && p.seen > Version(0));
        let useful = peers
            .statuses()
            .filter(|p| ahead(p) && !self.is_passed_over(p));
        let chosen = useful.max_by_key(|p| p.seen);
        self.pull = chosen.map(|p| pull(cx, &p, store, &self.cfg, Duration::ZERO));
    }

    fn is_passed_over(&self, peer: &PeerStatus<'_>) -> bool {
        self.passed_over.contains_key(peer.name)
    }
}

fn pull(
    cx: &mut Context<'_>,
    peer: &PeerStatus<'_>,
    store: &Store,
    cfg: &SyncConfig,
    wait: Duration,
) -> Asked {
    let message = Pull {
        after: store.seen().0,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        documents: store.wants().map(Into::into).collect(),
    };
    let address = PeerAddress {
        name: Some(peer.name.clone()),
        address: peer.address,
    };
    cx.effects.push(Effect::Peer(address, Body::Pull(message)));
    let until = cx.now + wait + cfg.timeout;
    Asked {
        peer: peer.name.clone(),
        early: if wait.is_zero() {
            until
        } else {
            cx.now + wait / 2
        },
        until,
    }
}
