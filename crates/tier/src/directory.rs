//! Directory of the known upstreams, by service.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    time::Duration,
};

use base::{DataCentre, ServiceName, Time, UpstreamName};
use rand::Rng;
use slotmap::SlotMap;

use crate::{
    evacuation::{EvacuationChange, Evacuations},
    notice::Announcements,
    upstream::{Entry, Upstream, UpstreamKey},
};

/// Maximum number of removed incarnations whose latest publication is remembered, so that an older
/// one is not taken for a restart.
const MAX_REMOVED: usize = 4_096;

/// A removed incarnation.
#[derive(Clone, Copy, Debug)]
struct Removed {
    started_ms: u64,
    /// Sequence number of its latest publication.
    seq: u64,
    /// Whether it was draining.
    was_draining: bool,
}

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
    removed: HashMap<UpstreamName, Removed>,
    /// Entries of removed incarnations that an older copy of the platform's data still lists; they
    /// are believed only if they are still listed at `believed_at`.
    doubtful: HashMap<UpstreamName, Entry>,
    believed_at: Time,
    announcements: Announcements,
    /// Removals that are not applied before `hold_until`.
    held_removals: HashSet<UpstreamName>,
    hold_until: Time,
    is_platform_lost: bool,
    evacuations: Evacuations,
}

impl Directory {
    /// Inserts or updates the upstream of an entry.
    pub fn upsert(&mut self, now: Time, entry: Entry) -> Change {
        self.held_removals.remove(&entry.name);
        if let Some(removed) = self.removed.get(&entry.name) {
            if now < self.believed_at && entry.started_ms <= removed.started_ms {
                self.doubt(entry);
                return Change::None;
            }
            if (entry.started_ms, entry.seq) < (removed.started_ms, removed.seq) {
                return Change::None;
            }
        }
        self.removed.remove(&entry.name);
        self.doubtful.remove(&entry.name);
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
        if entry.seq > known.entry.seq {
            // The same publication, listed again later, does not say that it is cold for longer.
            known.cold_until = now + entry.cold_left;
        }
        known.entry = entry;
        if drains {
            Change::Draining(key)
        } else {
            Change::None
        }
    }

    /// Keeps the entry of a removed incarnation for later, unless that one was draining.
    fn doubt(&mut self, entry: Entry) {
        let was_draining = self
            .removed
            .get(&entry.name)
            .is_some_and(|it| it.was_draining);
        if was_draining || entry.draining {
            self.doubtful.remove(&entry.name);
        } else {
            self.doubtful.insert(entry.name.clone(), entry);
        }
    }

    /// Prepares for lists of an older copy of the platform's data: removals and evacuations are
    /// held until `hold`, and upstreams that were removed are not believed to be back for `doubt`,
    /// after which the platform has removed the entries of those that do not run. Returns both
    /// times.
    pub fn begin_era(&mut self, now: Time, hold: Duration, doubt: Duration) -> [Time; 2] {
        self.hold_until = self.hold_until.max(now + hold);
        self.evacuations.hold(now + hold);
        self.believed_at = now + doubt;
        self.doubtful.clear();
        [self.hold_until, self.believed_at]
    }

    /// Returns the entries that are believed now, and no longer doubts them.
    pub fn take_believed(&mut self, now: Time) -> Vec<Entry> {
        if now < self.believed_at || self.doubtful.is_empty() {
            return Vec::new();
        }
        let believed = std::mem::take(&mut self.doubtful);
        for name in believed.keys() {
            // The sequence number of a publication that was lost no longer counts.
            self.removed.remove(name);
        }
        believed.into_values().collect()
    }

    fn insert(&mut self, now: Time, entry: Entry) -> Change {
        let (name, service, draining) = (entry.name.clone(), entry.service.clone(), entry.draining);
        let started_ms = entry.started_ms;
        let announced = self.announcements.get(&name, started_ms);
        let mut upstream = Upstream::new(entry, now);
        upstream.is_evacuated = self.evacuations.has(&upstream.entry.data_centre);
        if let Some(announced) = announced {
            upstream.is_leaving = announced.is_leaving;
            upstream.paused_until = announced.paused_until;
            upstream.limit = announced
                .limit
                .filter(|_| announced.started_ms == started_ms);
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
        self.doubtful.remove(name);
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
        let limit = upstream.limit.clone();
        self.announcements
            .keep_limit(&entry.name, entry.started_ms, limit);
        let removed = Removed {
            started_ms: entry.started_ms,
            seq: entry.seq,
            was_draining: entry.draining,
        };
        self.removed.insert(entry.name.clone(), removed);
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
        self.hold_until = self.hold_until.max(now + hold);
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

    /// Replaces the data centres that are evacuated; returns what has changed.
    pub fn set_evacuated(
        &mut self,
        now: Time,
        all: impl Iterator<Item = DataCentre>,
    ) -> EvacuationChange {
        let change = self.evacuations.set(now, all);
        self.mark_evacuated();
        change
    }

    /// Ends the evacuations that the platform does not list, unless they are still held.
    pub fn release_evacuated(&mut self, now: Time) -> EvacuationChange {
        let change = self.evacuations.end_hold(now);
        self.mark_evacuated();
        change
    }

    fn mark_evacuated(&mut self) {
        for upstream in self.upstreams.values_mut() {
            let is_evacuated = self.evacuations.has(&upstream.entry.data_centre);
            if std::mem::replace(&mut upstream.is_evacuated, is_evacuated) && !is_evacuated {
                upstream.forget_performance();
            }
        }
    }

    /// Records whether this instance reaches a data centre. Upstreams that are in reach again are
    /// used at once, as their failures are explained.
    pub fn set_separated(&mut self, now: Time, data_centre: &DataCentre, is_separated: bool) {
        for upstream in self.upstreams.values_mut() {
            if upstream.entry.data_centre == *data_centre {
                upstream.is_separated = is_separated;
                if !is_separated {
                    upstream.succeeded();
                    upstream.ejected_until = now;
                }
            }
        }
    }

    /// Returns the data centres of all upstreams.
    pub fn data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        let all = self.upstreams.values();
        let all: BTreeSet<&DataCentre> = all.map(|it| &it.entry.data_centre).collect();
        all.into_iter()
    }

    /// Returns the upstreams in a data centre that are in service.
    pub fn in_data_centre(
        &self,
        data_centre: &DataCentre,
    ) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let is_there = |up: &Upstream| up.entry.data_centre == *data_centre && up.is_in_service();
        self.upstreams.iter().filter(move |(_, up)| is_there(up))
    }

    /// Returns whether the evacuated data centres are known.
    pub fn knows_evacuations(&self) -> bool {
        self.evacuations.are_known()
    }

    /// Returns the number of upstreams in evacuated data centres.
    pub fn evacuated_count(&self) -> usize {
        let all = self.upstreams.values();
        all.filter(|upstream| upstream.is_evacuated).count()
    }

    /// Returns the number of upstreams that are not evacuated.
    pub fn in_use(&self) -> usize {
        self.upstreams.len() - self.evacuated_count()
    }

    /// Returns the number of upstreams in a data centre.
    pub fn count_in(&self, data_centre: &DataCentre) -> usize {
        let all = self.upstreams.values();
        all.filter(|upstream| upstream.entry.data_centre == *data_centre)
            .count()
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

    /// Returns the key of the upstream with a name if it is the incarnation that started at a time.
    pub fn incarnation(&self, name: &UpstreamName, started_ms: u64) -> Option<UpstreamKey> {
        let key = self.names.get(name).copied()?;
        let upstream = self.upstreams.get(key)?;
        (upstream.entry.started_ms == started_ms).then_some(key)
    }

    /// Returns the upstreams that name a limit, or bear a limited rate as they are cold.
    pub fn limited(&self) -> Vec<UpstreamKey> {
        let is_limited = |up: &Upstream| up.limit.is_some() || up.cold.is_some();
        let limited = self.upstreams.iter().filter(|(_, up)| is_limited(up));
        limited.map(|(key, _)| key).collect()
    }

    /// Returns the upstreams that are cold, by their entries or otherwise.
    pub fn cold(&self, now: Time) -> Vec<UpstreamKey> {
        let is_cold = |up: &Upstream| up.cold_until > now || up.cold.is_some();
        let cold = self.upstreams.iter().filter(|(_, up)| is_cold(up));
        cold.map(|(key, _)| key).collect()
    }

    /// Returns the upstreams of a service, draining and ejected ones included.
    pub fn of(&self, service: &ServiceName) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let list = self.services.get(service).map_or(&[][..], Vec::as_slice);
        list.iter().map(|key| (*key, &self.upstreams[*key]))
    }

    /// Returns a random upstream that is not evacuated.
    pub fn random(&self, rng: &mut impl Rng) -> Option<(UpstreamKey, &Upstream)> {
        let at = rng.random_range(0..self.in_use().max(1));
        let mut all = self.upstreams.iter().filter(|(_, up)| !up.is_evacuated);
        all.nth(at)
    }

    /// Returns the upstreams that are failing and not evacuated, starting at a random one.
    pub fn failing(&self, rng: &mut impl Rng) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let first = rng.random_range(0..self.upstreams.len().max(1));
        let from = self.upstreams.iter().skip(first);
        let all = from.chain(self.upstreams.iter().take(first));
        all.filter(|(_, upstream)| upstream.is_failing() && !upstream.is_evacuated)
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
