//! Directory of the known upstreams, by service.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use base::{ServiceName, Time, UpstreamName};
use rand::Rng;
use slotmap::SlotMap;

use crate::{
    notice::Announcements,
    upstream::{Entry, Upstream, UpstreamKey},
};

/// Maximum number of removed incarnations whose latest publication is remembered, so that an older
/// one is not taken for a restart.
const MAX_REMOVED: usize = 4_096;

/// Effect of an entry on the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change that has to be reported.
    None,
    /// The upstream is new, has restarted, or has moved to another address or service.
    New(UpstreamKey),
    /// The upstream drains and accepts no new requests.
    Draining(UpstreamKey),
}

/// What an announcement has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Announcement {
    /// The upstream leaves, which was not known.
    pub leaves: bool,
    /// The upstream accepts no requests for longer than was known.
    pub pauses: bool,
}

/// Upstreams by key, name and service.
#[derive(Debug, Default)]
pub struct Directory {
    upstreams: SlotMap<UpstreamKey, Upstream>,
    names: HashMap<UpstreamName, UpstreamKey>,
    services: HashMap<ServiceName, Vec<UpstreamKey>>,
    /// Start time and sequence number of the latest publication of removed incarnations.
    removed: HashMap<UpstreamName, (u64, u64)>,
    announcements: Announcements,
    /// Removals that are not applied before `hold_until`.
    held_removals: HashSet<UpstreamName>,
    hold_until: Time,
    is_platform_lost: bool,
}

impl Directory {
    /// Inserts or updates the upstream of an entry.
    pub fn upsert(&mut self, now: Time, entry: Entry) -> Change {
        self.held_removals.remove(&entry.name);
        if let Some((started_ms, seq)) = self.removed.get(&entry.name)
            && (entry.started_ms, entry.seq) < (*started_ms, *seq)
        {
            return Change::None;
        }
        self.removed.remove(&entry.name);
        let Some(key) = self.names.get(&entry.name).copied() else {
            return self.insert(now, entry);
        };
        let known = &mut self.upstreams[key];
        if entry.started_ms < known.entry.started_ms {
            return Change::None;
        }
        let moved = entry.address != known.entry.address || entry.service != known.entry.service;
        if entry.started_ms > known.entry.started_ms || moved {
            self.force_remove(key);
            return self.insert(now, entry);
        }
        if entry.seq < known.entry.seq {
            return Change::None;
        }
        let drains = entry.draining && !known.entry.draining;
        known.cold_until = now + entry.cold_left;
        known.entry = entry;
        if drains {
            Change::Draining(key)
        } else {
            Change::None
        }
    }

    fn insert(&mut self, now: Time, entry: Entry) -> Change {
        let (name, service, draining) = (entry.name.clone(), entry.service.clone(), entry.draining);
        let announced = self.announcements.get(&name, entry.started_ms);
        let mut upstream = Upstream::new(entry, now);
        if let Some(announced) = announced {
            upstream.is_leaving = announced.is_leaving;
            upstream.paused_until = announced.paused_until;
        }
        let key = self.upstreams.insert(upstream);
        self.names.insert(name, key);
        self.services.entry(service).or_default().push(key);
        if draining {
            Change::Draining(key)
        } else {
            Change::New(key)
        }
    }

    /// Applies what an incarnation has announced; returns whether it leaves or pauses where it did
    /// not before.
    pub fn announce(
        &mut self,
        name: &UpstreamName,
        started_ms: u64,
        is_leaving: bool,
        paused_until: Option<Time>,
    ) -> Announcement {
        let recorded = self
            .announcements
            .record(name, started_ms, is_leaving, paused_until);
        let Some((before, after)) = recorded else {
            return Announcement::default();
        };
        let key = self.names.get(name).copied();
        let upstream = key.and_then(|key| self.upstreams.get_mut(key));
        if let Some(upstream) = upstream.filter(|it| it.entry.started_ms == started_ms) {
            upstream.is_leaving = after.is_leaving;
            upstream.paused_until = after.paused_until;
        }
        Announcement {
            leaves: after.is_leaving && !before.is_leaving,
            pauses: after.paused_until > before.paused_until,
        }
    }

    /// Removes an upstream whose entry was removed, and returns it; holds the removal while
    /// removals are held.
    pub fn remove(&mut self, now: Time, name: &UpstreamName) -> Option<(UpstreamKey, Upstream)> {
        if self.is_platform_lost || now < self.hold_until {
            if self.names.contains_key(name) {
                self.held_removals.insert(name.clone());
            }
            return None;
        }
        let key = self.names.get(name).copied()?;
        self.force_remove(key)
    }

    /// Removes an upstream regardless of its entry, for example because its address now belongs to
    /// another upstream.
    pub fn force_remove(&mut self, key: UpstreamKey) -> Option<(UpstreamKey, Upstream)> {
        let upstream = self.upstreams.remove(key)?;
        self.names.remove(&upstream.entry.name);
        if let Some(list) = self.services.get_mut(&upstream.entry.service) {
            list.retain(|other| *other != key);
            if list.is_empty() {
                self.services.remove(&upstream.entry.service);
            }
        }
        if self.removed.len() >= MAX_REMOVED {
            self.removed.clear();
        }
        let entry = &upstream.entry;
        self.removed
            .insert(entry.name.clone(), (entry.started_ms, entry.seq));
        Some((key, upstream))
    }

    /// Returns the known upstreams that are not in a full list.
    pub fn absent(&self, listed: &[Entry]) -> Vec<UpstreamName> {
        let listed: HashSet<&UpstreamName> = listed.iter().map(|entry| &entry.name).collect();
        let names = self.names.keys();
        names
            .filter(|name| !listed.contains(name))
            .cloned()
            .collect()
    }

    /// Holds all removals while the platform is unavailable.
    pub fn platform_lost(&mut self) {
        self.is_platform_lost = true;
    }

    /// Continues to hold removals for `hold` after the platform is available again; returns the end
    /// of that time.
    pub fn platform_back(&mut self, now: Time, hold: Duration) -> Time {
        self.is_platform_lost = false;
        self.hold_until = now + hold;
        self.hold_until
    }

    /// Returns whether removals are held.
    pub fn is_holding(&self, now: Time) -> bool {
        self.is_platform_lost || now < self.hold_until
    }

    /// Applies the held removals unless removals are still held; returns the removed upstreams.
    pub fn release(&mut self, now: Time) -> Vec<(UpstreamKey, Upstream)> {
        if self.is_holding(now) {
            return Vec::new();
        }
        let held = std::mem::take(&mut self.held_removals);
        held.iter()
            .filter_map(|name| self.remove(now, name))
            .collect()
    }

    /// Returns the key of the upstream with a name.
    pub fn named(&self, name: &UpstreamName) -> Option<UpstreamKey> {
        self.names.get(name).copied()
    }

    /// Returns the upstream of a key.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Returns the upstream of a key.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.upstreams.get_mut(key)
    }

    /// Returns the upstreams of a service, draining and ejected ones included.
    pub fn of(&self, service: &ServiceName) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let list = self.services.get(service).map_or(&[][..], Vec::as_slice);
        list.iter().map(|key| (*key, &self.upstreams[*key]))
    }

    /// Returns a random upstream.
    pub fn random(&self, rng: &mut impl Rng) -> Option<(UpstreamKey, &Upstream)> {
        let at = rng.random_range(0..self.upstreams.len().max(1));
        self.upstreams.iter().nth(at)
    }

    /// Returns the upstreams that are failing, starting at a random one.
    pub fn failing(&self, rng: &mut impl Rng) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let first = rng.random_range(0..self.upstreams.len().max(1));
        let from = self.upstreams.iter().skip(first);
        let all = from.chain(self.upstreams.iter().take(first));
        all.filter(|(_, upstream)| upstream.is_failing())
    }

    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }
}
