//! Late parts of a search: hedges, and retries of the coverage class.

use std::{rc::Rc, time::Duration};

use base::{EntryName, Time};
use cat::Class;

use super::{Purpose, RETRY_PAUSE};
use crate::{
    attempt::SearchKey,
    directory::UpstreamId,
    effect::Effect,
    node::{Node, Timer},
    search_state::PartState,
};

/// Shortest interval between two checks of the parts of a search.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Maximum number of hedges of one part.
///
/// With a fan-out of 100 and one slow sub-request in 100, the first hedge is slow as well in one
/// search of 100; the second hedge keeps that out of the 99th percentile.
const MAX_HEDGES: u32 = 2;

/// Maximum number of unfinished attempts of one part.
const MAX_LIVE: usize = 1 + MAX_HEDGES as usize;

impl Node {
    /// Checks the parts that are due, and makes hedges and retries.
    pub(crate) fn check_search(&mut self, now: Time, key: SearchKey, effects: &mut Vec<Effect>) {
        let Some(search) = self.searches.get_mut(key) else {
            return;
        };
        if search.check_at > now {
            return;
        }
        search.check_at = Time::NEVER;
        let due: Vec<u32> = search.due_parts(now);
        for part in due {
            self.check_part(now, key, part, effects);
        }
        self.schedule_check(now, key);
        self.finish_if_complete(now, key, effects);
    }

    /// Makes a hedge or a retry for a part that is due, if the part and the budgets allow one.
    pub(super) fn check_part(
        &mut self,
        now: Time,
        key: SearchKey,
        part: u32,
        effects: &mut Vec<Effect>,
    ) {
        let Some(search) = self.searches.get_mut(key) else {
            return;
        };
        let entry = Rc::clone(&search.entry);
        let retry_due = search.retry_due(part);
        let state = &mut search.parts[part as usize];
        state.check_at = Time::NEVER;
        if state.state != PartState::Open || state.live.len() >= MAX_LIVE {
            return;
        }
        let name = &entry.declaration.name;
        if state.live.is_empty() {
            if self.take_retry_for(entry.declaration.class, name) {
                self.attempt(now, key, part, Purpose::Retry, effects);
            } else if let Some(search) = self.searches.get_mut(key) {
                search.parts[part as usize].check_at = now + RETRY_PAUSE;
            }
            return;
        }
        let overloaded = self.admission.is_overloaded(now, &entry.service.name);
        if state.hedges < MAX_HEDGES && !overloaded && self.can_hedge(now, key, part) {
            if self.admission.take_hedge(name) {
                self.attempt(now, key, part, Purpose::Hedge, effects);
                // Incremented after the choice of the upstream: only the next hedge may go to an
                // upstream that was tried.
                let search = self.searches.get_mut(key);
                if let Some(state) = search.and_then(|q| q.parts.get_mut(part as usize)) {
                    state.hedges += 1;
                }
            } else if let Some(search) = self.searches.get_mut(key) {
                search.parts[part as usize].check_at = now + CHECK_INTERVAL;
            }
            return;
        }
        self.retry_if_due(now, key, part, retry_due, effects);
    }

    /// Queries another replica for a late part of the coverage class, once `retry_due` has passed.
    pub(super) fn retry_if_due(
        &mut self,
        now: Time,
        key: SearchKey,
        part: u32,
        retry_due: Time,
        effects: &mut Vec<Effect>,
    ) {
        let Some(search) = self.searches.get_mut(key) else {
            return;
        };
        if search.entry.declaration.class != Class::Coverage {
            return;
        }
        if now < retry_due {
            search.parts[part as usize].check_at = retry_due;
            return;
        }
        self.attempt(now, key, part, Purpose::Retry, effects);
    }

    /// Returns whether a replica is available for a hedge of a part.
    pub(super) fn can_hedge(&self, now: Time, key: SearchKey, part: u32) -> bool {
        let Some(search) = self.searches.get(key) else {
            return false;
        };
        let state = &search.parts[part as usize];
        let usable = |id: &UpstreamId| {
            (state.may_hedge_to_tried() || !state.tried.contains(id))
                && self.upstreams.can_serve(now, *id, search.snapshot.id)
        };
        search.shard(part).replicas.iter().any(usable)
    }

    /// Takes a retry from the budget of the entry; the coverage class may retry without one.
    pub(super) fn take_retry_for(&mut self, class: Class, entry: &EntryName) -> bool {
        self.admission.take_retry(entry) || class == Class::Coverage
    }

    /// Sets the timer for the next check of the parts of a search.
    pub(crate) fn schedule_check(&mut self, now: Time, key: SearchKey) {
        let Some(search) = self.searches.get_mut(key) else {
            return;
        };
        let next = search.next_check().max(now + CHECK_INTERVAL);
        if next >= search.deadline || next >= search.check_at {
            return;
        }
        search.check_at = next;
        self.timers.set(next, Timer::CheckParts(key));
    }
}
