//! Fan-out: starts the parts of a search, or a probe of a request that is not known to be harmless.

use base::Time;

use super::Purpose;
use crate::{
    attempt::SearchKey,
    effect::Effect,
    node::{Node, Timer},
    search_state::{PartState, SearchState},
    upstreams::ReplicaCriteria,
};

impl Node {
    /// Starts an admitted search.
    pub(super) fn start(&mut self, now: Time, search: SearchState, effects: &mut Vec<Effect>) {
        self.stats.searches += 1;
        self.stats.pending_searches += 1;
        let deadline = search.deadline;
        let key = self.searches.insert(search);
        self.timers.set(deadline, Timer::SearchDeadline(key));
        self.fan_out(now, key, effects);
    }

    /// Starts all parts, or a probe alone if the request is not known to be harmless.
    pub(super) fn fan_out(&mut self, now: Time, key: SearchKey, effects: &mut Vec<Effect>) {
        let Some(search) = self.searches.get(key) else {
            return;
        };
        let parts = u32::try_from(search.parts.len()).unwrap_or(u32::MAX);
        if parts == 0 {
            return self.finish_search(now, key, effects);
        }
        if self.quarantine.is_harmless(search.fingerprint) {
            return self.start_held_parts(now, key, effects);
        }
        let first = u32::try_from(search.fingerprint % u64::from(parts)).unwrap_or(0);
        match self.find_probe(now, key, first) {
            Some(probe) => self.start_probe(now, key, probe, Purpose::First, effects),
            None => self.start_held_parts(now, key, effects),
        }
    }

    /// Returns the first held part, from `first` on, that an upstream can probe.
    ///
    /// Upstreams that share no shard with one that the request broke are preferred.
    pub(super) fn find_probe(&self, now: Time, key: SearchKey, first: u32) -> Option<u32> {
        let search = self.searches.get(key)?;
        let parts = u32::try_from(search.parts.len()).unwrap_or(u32::MAX);
        let sharing_broken_shards = self.sharing_broken_shards(now, search);
        let chosen = |part: &u32| {
            let criteria = ReplicaCriteria {
                replicas: &search.shard(*part).replicas,
                snapshot: search.snapshot.id,
                data_centre: &self.identity.data_centre,
            };
            let is_held = search.parts[*part as usize].state == PartState::Held;
            is_held
                .then(|| self.choose_probe(now, search.fingerprint, criteria, &[]))
                .flatten()
        };
        let mut order = (first..parts).chain(0..first);
        let is_unrelated =
            |part: &u32| chosen(part).is_some_and(|id| !sharing_broken_shards.contains(&id));
        let found = order.clone().find(is_unrelated);
        found.or_else(|| order.find(|part| chosen(part).is_some()))
    }

    /// Starts a held part as the probe of its search.
    pub(super) fn start_probe(
        &mut self,
        now: Time,
        key: SearchKey,
        part: u32,
        purpose: Purpose,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(search) = self.searches.get_mut(key) {
            search.probe = Some(part);
            search.parts[part as usize].state = PartState::Open;
            self.attempt(now, key, part, purpose, effects);
            self.schedule_check(now, key);
        }
    }

    /// Starts all held parts.
    pub(super) fn start_held_parts(
        &mut self,
        now: Time,
        key: SearchKey,
        effects: &mut Vec<Effect>,
    ) {
        let Some(search) = self.searches.get_mut(key) else {
            return;
        };
        search.probe = None;
        for part in 0..u32::try_from(search.parts.len()).unwrap_or(u32::MAX) {
            let Some(search) = self.searches.get_mut(key) else {
                return;
            };
            let held = &mut search.parts[part as usize];
            if held.state == PartState::Held {
                held.state = PartState::Open;
                self.attempt(now, key, part, Purpose::First, effects);
            }
        }
        self.schedule_check(now, key);
        self.finish_if_complete(now, key, effects);
    }
}
