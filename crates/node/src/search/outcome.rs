//! Replies and failures of attempts, and what follows from them.

use std::rc::Rc;

use base::Time;
use cat::Class;

use super::{AttemptFailure, Purpose, RETRY_PAUSE};
use crate::{
    attempt::{AttemptKey, QueryKey},
    directory::UpstreamId,
    effect::Effect,
    node::Node,
    protocol::Hit,
    query::PartState,
};

/// Most times that a search is planned again at another snapshot.
const MAX_REPLANS: u32 = 2;

impl Node {
    /// Takes a reply's hits into the search; the losers of the part are cancelled.
    pub(crate) fn part_answered(
        &mut self,
        now: Time,
        key: QueryKey,
        part: u32,
        hits: Vec<Hit>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        query.hits.extend(hits);
        query.last_reply = now;
        let losers = query.close_part(part, PartState::Answered);
        let fingerprint = query.fingerprint;
        let probed = query.probe == Some(part);
        for &loser in &losers {
            self.note_censored(now, key, part, loser);
        }
        self.abandon(now, losers, effects);
        self.quarantine.answered(fingerprint);
        if probed {
            self.release(now, key, effects);
        } else {
            self.finish_if_complete(now, key, effects);
        }
    }

    /// Decides what follows when an attempt of a search ended without a valid reply.
    pub(crate) fn part_failed(
        &mut self,
        now: Time,
        key: QueryKey,
        part: u32,
        attempt: AttemptKey,
        ended: AttemptFailure,
        effects: &mut Vec<Effect>,
    ) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        let state = &mut query.parts[part as usize];
        state.live.retain(|&live| live != attempt);
        if ended == AttemptFailure::Overloaded {
            query.waited = query.deadline.since(query.arrived);
        }
        let state = &mut query.parts[part as usize];
        if state.state != PartState::Open || !state.live.is_empty() {
            return;
        }
        match ended {
            AttemptFailure::Broken => self.part_broke(now, key, part, effects),
            AttemptFailure::NoSnapshot if self.replan(now, key, part, effects) => {}
            _ => self.retry_part(now, key, part, ended, effects),
        }
        self.schedule_check(now, key);
        self.finish_if_complete(now, key, effects);
    }

    pub(super) fn retry_part(
        &mut self,
        now: Time,
        key: QueryKey,
        part: u32,
        ended: AttemptFailure,
        effects: &mut Vec<Effect>,
    ) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        let entry = Rc::clone(&query.entry);
        let free = matches!(
            ended,
            AttemptFailure::NotSent | AttemptFailure::Leaving | AttemptFailure::NoSnapshot
        );
        if free || self.take_retry_for(entry.entry.class, &entry.entry.name) {
            self.attempt(now, key, part, Purpose::Retry, effects);
            return;
        }
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        if entry.entry.class == Class::Latency {
            query.close_part(part, PartState::Missing);
        } else {
            query.parts[part as usize].check_at = now + RETRY_PAUSE;
        }
    }

    /// Holds a part whose upstream broke until a probe of the same request is answered.
    pub(super) fn part_broke(
        &mut self,
        now: Time,
        key: QueryKey,
        part: u32,
        effects: &mut Vec<Effect>,
    ) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        if self.quarantine.remaining(now, query.fingerprint).is_some() {
            return self.finish(now, key, effects);
        }
        query.parts[part as usize].state = PartState::Held;
        if query.probe.is_some_and(|probe| probe != part) {
            return;
        }
        query.probe = None;
        match self.find_probe(now, key, part) {
            Some(probe) => self.start_probe(now, key, probe, Purpose::Retry, effects),
            None => self.give_up_part(now, key, part, effects),
        }
    }

    /// Ends a part that nothing can serve, and the search when nothing of it is in flight.
    pub(super) fn give_up_part(
        &mut self,
        now: Time,
        key: QueryKey,
        part: u32,
        effects: &mut Vec<Effect>,
    ) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        query.close_part(part, PartState::Missing);
        if query.parts.iter().all(|p| p.live.is_empty()) {
            self.finish(now, key, effects);
        }
    }

    /// Plans the whole search again at another snapshot, if one can serve more of it.
    pub(super) fn replan(
        &mut self,
        now: Time,
        key: QueryKey,
        part: u32,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(query) = self.queries.get(key) else {
            return false;
        };
        let snapshot = query.snapshot.id;
        let served = |id: &UpstreamId| self.upstreams.can_serve(now, *id, snapshot);
        if query.shard(part).replicas.iter().any(served) || query.replans >= MAX_REPLANS {
            return false;
        }
        let Some(service) = self.directory.service(&query.entry.service.name).cloned() else {
            return false;
        };
        let Some(other) = self.choose_snapshot(now, &service) else {
            return false;
        };
        if other.id == snapshot {
            return false;
        }
        let Some(query) = self.queries.get_mut(key) else {
            return false;
        };
        let abandoned = query.take_live();
        query.snapshot = other;
        query.replans += 1;
        query.reset();
        self.stats.replans += 1;
        self.abandon(now, abandoned, effects);
        self.fan_out(now, key, effects);
        true
    }
}
