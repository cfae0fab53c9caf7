//! Replies to and failures of attempts of a search.

use std::rc::Rc;

use base::{Time, UpstreamName};
use cat::Class;

use super::{AttemptFailure, Purpose, RETRY_PAUSE};
use crate::{
    attempt::{AttemptKey, SearchKey},
    directory::UpstreamId,
    effect::Effect,
    node::Node,
    protocol::Hit,
    search_state::PartState,
};

/// Maximum number of restarts of one search at another snapshot.
const MAX_REPLANS: u32 = 2;

impl Node {
    /// Adds the hits of a reply to the search, and cancels the other attempts of the part.
    pub(crate) fn part_answered(
        &mut self,
        now: Time,
        key: SearchKey,
        part: u32,
        hits: Vec<Hit>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(search) = self.searches.get_mut(key) else {
            return;
        };
        search.hits.extend(hits);
        search.last_reply = now;
        let superseded = search.close_part(part, PartState::Answered);
        let fingerprint = search.fingerprint;
        let replicas = match self.quarantine.is_suspected(fingerprint) {
            true => search.shard(part).replicas.clone(),
            false => Vec::new(),
        };
        let probed = search.probe == Some(part);
        for &other in &superseded {
            self.record_censored_latency(now, key, part, other);
        }
        self.cancel_attempts(now, superseded, effects);
        let names = self.directory.names();
        let is_replica = |name: &UpstreamName| replicas.iter().any(|id| names.name(*id) == name);
        self.quarantine
            .record_answered(now, fingerprint, is_replica);
        if probed {
            self.start_held_parts(now, key, effects);
        } else {
            self.finish_if_complete(now, key, effects);
        }
    }

    /// Handles an attempt that ended without a valid reply: retries the part or gives it up, once
    /// no other attempt of it is in flight.
    pub(crate) fn part_failed(
        &mut self,
        now: Time,
        key: SearchKey,
        part: u32,
        attempt: AttemptKey,
        failure: AttemptFailure,
        effects: &mut Vec<Effect>,
    ) {
        let Some(search) = self.searches.get_mut(key) else {
            return;
        };
        let state = &mut search.parts[part as usize];
        state.live.retain(|&live| live != attempt);
        if failure == AttemptFailure::Overloaded {
            search.max_slot_wait = search.deadline.since(search.arrived);
        }
        let state = &mut search.parts[part as usize];
        if state.state != PartState::Open || !state.live.is_empty() {
            return;
        }
        match failure {
            AttemptFailure::Broken => self.part_broken(now, key, part, effects),
            AttemptFailure::NoSnapshot if self.replan(now, key, part, effects) => {}
            _ => self.retry_part(now, key, part, failure, effects),
        }
        self.schedule_check(now, key);
        self.finish_if_complete(now, key, effects);
    }

    /// Retries a part if the failure needs no retry budget or the budget allows it. Otherwise a part
    /// of the latency class is given up.
    pub(super) fn retry_part(
        &mut self,
        now: Time,
        key: SearchKey,
        part: u32,
        failure: AttemptFailure,
        effects: &mut Vec<Effect>,
    ) {
        let Some(search) = self.searches.get_mut(key) else {
            return;
        };
        let entry = Rc::clone(&search.entry);
        let is_free = matches!(
            failure,
            AttemptFailure::NotSent | AttemptFailure::Leaving | AttemptFailure::NoSnapshot
        );
        if is_free || self.take_retry_for(entry.declaration.class, &entry.declaration.name) {
            self.attempt(now, key, part, Purpose::Retry, effects);
            return;
        }
        let Some(search) = self.searches.get_mut(key) else {
            return;
        };
        if entry.declaration.class == Class::Latency {
            search.close_part(part, PartState::Missing);
        } else {
            search.parts[part as usize].check_at = now + RETRY_PAUSE;
        }
    }

    /// Holds a part whose upstream broke until a probe of the request is answered; a quarantined
    /// request is finished instead.
    pub(super) fn part_broken(
        &mut self,
        now: Time,
        key: SearchKey,
        part: u32,
        effects: &mut Vec<Effect>,
    ) {
        let Some(search) = self.searches.get_mut(key) else {
            return;
        };
        if self.quarantine.remaining(now, search.fingerprint).is_some() {
            return self.finish_search(now, key, effects);
        }
        search.parts[part as usize].state = PartState::Held;
        if search.probe.is_some_and(|probe| probe != part) {
            return;
        }
        search.probe = None;
        match self.find_probe(now, key, part) {
            Some(probe) => self.start_probe(now, key, probe, Purpose::Retry, effects),
            None => self.give_up_part(now, key, part, effects),
        }
    }

    /// Gives up a part that no upstream can probe, and finishes the search if no attempt is left.
    pub(super) fn give_up_part(
        &mut self,
        now: Time,
        key: SearchKey,
        part: u32,
        effects: &mut Vec<Effect>,
    ) {
        let Some(search) = self.searches.get_mut(key) else {
            return;
        };
        search.close_part(part, PartState::Missing);
        if search.parts.iter().all(|p| p.live.is_empty()) {
            self.finish_search(now, key, effects);
        }
    }

    /// Restarts the search at another snapshot if no replica of a part serves the current one;
    /// returns whether it did.
    pub(super) fn replan(
        &mut self,
        now: Time,
        key: SearchKey,
        part: u32,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(search) = self.searches.get(key) else {
            return false;
        };
        let snapshot = search.snapshot.id;
        let served = |id: &UpstreamId| self.upstreams.can_serve(now, *id, snapshot);
        if search.shard(part).replicas.iter().any(served) || search.replans >= MAX_REPLANS {
            return false;
        }
        let Some(service) = self.directory.service(&search.entry.service.name).cloned() else {
            return false;
        };
        let Some(other) = self.choose_snapshot(now, &service) else {
            return false;
        };
        if other.id == snapshot {
            return false;
        }
        let Some(search) = self.searches.get_mut(key) else {
            return false;
        };
        let abandoned = search.take_live_attempts();
        search.snapshot = other;
        search.replans += 1;
        search.reset();
        self.stats.replans += 1;
        self.cancel_attempts(now, abandoned, effects);
        self.fan_out(now, key, effects);
        true
    }
}
