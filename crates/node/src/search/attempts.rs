//! Attempts at a part of a search.

use base::Time;
use cat::Class;

use super::{Purpose, RETRY_PAUSE};
use crate::{
    attempt::{Attempt, Origin, SearchKey, Stage},
    directory::UpstreamId,
    dispatch::DispatchResult,
    effect::Effect,
    node::Node,
    protocol::{Echo, SubRequest},
    search_state::PartState,
    upstreams::ReplicaCriteria,
};

impl Node {
    /// Makes an attempt at a part; returns whether an upstream was found for it.
    pub(super) fn attempt(
        &mut self,
        now: Time,
        key: SearchKey,
        part: u32,
        purpose: Purpose,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(upstream) = self.choose(now, key, part, purpose) else {
            self.no_upstream(now, key, part);
            return false;
        };
        let Some(search) = self.searches.get_mut(key) else {
            return false;
        };
        let probe = search.probe == Some(part);
        let echo = Echo {
            request: search.request,
            attempt: 0,
            snapshot: search.snapshot.id,
            shard: search.shard(part).name.clone(),
        };
        let limit = search.entry.declaration.limits.results;
        let attempt = Attempt {
            origin: Origin::Search { search: key, part },
            upstream,
            started: now,
            sent: now,
            deadline: search.deadline,
            stage: Stage::Queued,
            fingerprint: search.fingerprint,
            probe,
            hops: 0,
            run: None,
            sub_request: Some(SubRequest::Search {
                echo,
                limit,
                body: search.body.clone(),
            }),
        };
        let name = search.entry.declaration.name.clone();
        let hedge_after = search.hedge_delay(part);
        let state = &mut search.parts[part as usize];
        if state.tried.is_empty() {
            state.started = now;
        }
        state.tried.push(upstream);
        state.check_at = now + hedge_after;
        match purpose {
            Purpose::First => {
                self.stats.first_attempts += 1;
                self.admission.record_first_attempts(&name, 1);
            }
            Purpose::Hedge => self.stats.hedges += 1,
            Purpose::Retry => self.stats.retries += 1,
        }
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.outstanding += 1;
        }
        let (attempt, dispatched) = self.route(now, attempt, effects);
        if let Some(search) = self.searches.get_mut(key) {
            search.parts[part as usize].live.push(attempt);
        }
        if let DispatchResult::Rejected(failure) = dispatched {
            self.fail_attempt(now, attempt, failure, effects);
        }
        true
    }

    /// Chooses the upstream for an attempt; replicas behind an ejected peer come second.
    ///
    /// The upstream for a probe is the same at every instance of the data centre.
    pub(super) fn choose(
        &mut self,
        now: Time,
        key: SearchKey,
        part: u32,
        purpose: Purpose,
    ) -> Option<UpstreamId> {
        let search = self.searches.get(key)?;
        let shard = search.shard(part);
        let criteria = ReplicaCriteria {
            replicas: &shard.replicas,
            snapshot: search.snapshot.id,
            data_centre: &self.identity.data_centre,
        };
        let state = &search.parts[part as usize];
        let tried = &state.tried;
        let allow_tried = purpose == Purpose::Hedge && state.may_hedge_to_tried();
        if search.probe == Some(part) {
            return self.choose_probe(now, search.fingerprint, criteria, tried);
        }
        let allow_ejected = purpose != Purpose::Hedge;
        let fingerprint = search.fingerprint;
        let skip = |id: UpstreamId| {
            (tried.contains(&id) && !allow_tried)
                || self
                    .quarantine
                    .has_broken(now, fingerprint, self.directory.names().name(id))
        };
        let mut rng = self.rng.clone();
        let skip_behind_ejected_peer =
            |id: UpstreamId| skip(id) || self.is_next_hop_ejected(now, id);
        let chosen = self
            .upstreams
            .choose(now, criteria, false, skip_behind_ejected_peer, &mut rng)
            .or_else(|| {
                self.upstreams
                    .choose(now, criteria, allow_ejected, skip, &mut rng)
            });
        self.rng = rng;
        chosen
    }

    /// Handles that no upstream could be chosen for a part.
    ///
    /// Once its attempts have ended, the part is retried after a pause at any replica, or given up
    /// if it is of the latency class and the deadline comes first.
    pub(super) fn no_upstream(&mut self, now: Time, key: SearchKey, part: u32) {
        let Some(search) = self.searches.get_mut(key) else {
            return;
        };
        let class = search.entry.declaration.class;
        let state = &mut search.parts[part as usize];
        if !state.live.is_empty() {
            state.check_at = Time::NEVER;
            return;
        }
        state.tried.clear();
        state.check_at = now + RETRY_PAUSE;
        if class == Class::Latency && now + RETRY_PAUSE >= search.deadline {
            search.close_part(part, PartState::Missing);
        }
    }
}
