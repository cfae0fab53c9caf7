//! Starts the parts of a search, or a probe of a request that is new.

use base::Time;

use super::Purpose;
use crate::{
    attempt::QueryKey,
    effect::Effect,
    node::{Node, Timer},
    query::{PartState, Query},
    upstreams::Wanted,
};

impl Node {
    pub(super) fn start(&mut self, now: Time, query: Query, effects: &mut Vec<Effect>) {
        self.stats.searches += 1;
        self.stats.pending_searches += 1;
        let deadline = query.deadline;
        let key = self.queries.insert(query);
        self.timers.set(deadline, Timer::Deadline(key));
        self.fan_out(now, key, effects);
    }

    /// Starts all parts, or only a probe when the request has never been answered before.
    pub(super) fn fan_out(&mut self, now: Time, key: QueryKey, effects: &mut Vec<Effect>) {
        let Some(query) = self.queries.get(key) else {
            return;
        };
        let parts = u32::try_from(query.parts.len()).unwrap_or(u32::MAX);
        if parts == 0 {
            return self.finish(now, key, effects);
        }
        if self.quarantine.is_harmless(query.fingerprint) {
            return self.release(now, key, effects);
        }
        let first = u32::try_from(query.fingerprint % u64::from(parts)).unwrap_or(0);
        match self.find_probe(now, key, first) {
            Some(probe) => self.start_probe(now, key, probe, Purpose::First, effects),
            None => self.release(now, key, effects),
        }
    }

    /// Returns the first held part from `first` on that an upstream can try out, if possible one
    /// that shares no shard with an upstream which the request has broken.
    pub(super) fn find_probe(&self, now: Time, key: QueryKey, first: u32) -> Option<u32> {
        let query = self.queries.get(key)?;
        let parts = u32::try_from(query.parts.len()).unwrap_or(u32::MAX);
        let beside_broken = self.beside_broken(now, query);
        let chosen = |part: &u32| {
            let wanted = Wanted {
                replicas: &query.shard(*part).replicas,
                snapshot: query.snapshot.id,
                home: &self.identity.data_centre,
            };
            let is_held = query.parts[*part as usize].state == PartState::Held;
            is_held
                .then(|| self.choose_probe(now, query.fingerprint, wanted, &[]))
                .flatten()
        };
        let mut order = (first..parts).chain(0..first);
        let apart = |part: &u32| chosen(part).is_some_and(|id| !beside_broken.contains(&id));
        let found = order.clone().find(apart);
        found.or_else(|| order.find(|part| chosen(part).is_some()))
    }

    pub(super) fn start_probe(
        &mut self,
        now: Time,
        key: QueryKey,
        part: u32,
        purpose: Purpose,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(query) = self.queries.get_mut(key) {
            query.probe = Some(part);
            query.parts[part as usize].state = PartState::Open;
            self.attempt(now, key, part, purpose, effects);
            self.schedule_check(now, key);
        }
    }

    /// Starts all parts that are held.
    pub(super) fn release(&mut self, now: Time, key: QueryKey, effects: &mut Vec<Effect>) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        query.probe = None;
        for part in 0..u32::try_from(query.parts.len()).unwrap_or(u32::MAX) {
            let Some(query) = self.queries.get_mut(key) else {
                return;
            };
            let held = &mut query.parts[part as usize];
            if held.state == PartState::Held {
                held.state = PartState::Open;
                self.attempt(now, key, part, Purpose::First, effects);
            }
        }
        self.schedule_check(now, key);
        self.finish_if_complete(now, key, effects);
    }
}
