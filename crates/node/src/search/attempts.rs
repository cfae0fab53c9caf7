//! One more attempt at a part of a search.

use base::Time;
use cat::Class;

use super::{Purpose, RETRY_PAUSE};
use crate::{
    attempt::{Attempt, Origin, QueryKey, Stage},
    directory::UpstreamId,
    dispatch::Dispatched,
    effect::Effect,
    node::Node,
    protocol::{Echo, SubRequest},
    query::PartState,
    upstreams::Wanted,
};

impl Node {
    /// Makes one more attempt at a part, if an upstream for it is found.
    pub(super) fn attempt(
        &mut self,
        now: Time,
        key: QueryKey,
        part: u32,
        purpose: Purpose,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(upstream) = self.choose(now, key, part, purpose) else {
            self.no_upstream(now, key, part);
            return false;
        };
        let Some(query) = self.queries.get_mut(key) else {
            return false;
        };
        let probe = query.probe == Some(part);
        let echo = Echo {
            request: query.request,
            attempt: 0,
            snapshot: query.snapshot.id,
            shard: query.shard(part).name.clone(),
        };
        let limit = query.entry.entry.limits.results;
        let attempt = Attempt {
            origin: Origin::Search { query: key, part },
            upstream,
            started: now,
            sent: now,
            deadline: query.deadline,
            stage: Stage::Queued,
            fingerprint: query.fingerprint,
            probe,
            hops: 0,
            run: None,
            sub_request: Some(SubRequest::Search {
                echo,
                limit,
                body: query.body.clone(),
            }),
        };
        let name = query.entry.entry.name.clone();
        let hedge_after = query.hedge_delay(part);
        let state = &mut query.parts[part as usize];
        if state.tried.is_empty() {
            state.started = now;
        }
        state.tried.push(upstream);
        state.check_at = now + hedge_after;
        match purpose {
            Purpose::First => {
                self.stats.first_attempts += 1;
                self.admission.first_attempts(&name, 1);
            }
            Purpose::Hedge => self.stats.hedges += 1,
            Purpose::Retry => self.stats.retries += 1,
        }
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.outstanding += 1;
        }
        let (attempt, dispatched) = self.route(now, attempt, effects);
        if let Some(query) = self.queries.get_mut(key) {
            query.parts[part as usize].live.push(attempt);
        }
        if let Dispatched::Rejected(ended) = dispatched {
            self.fail_attempt(now, attempt, ended, effects);
        }
        true
    }

    /// Chooses the upstream of an attempt: a probe's is the same at every instance.
    pub(super) fn choose(
        &mut self,
        now: Time,
        key: QueryKey,
        part: u32,
        purpose: Purpose,
    ) -> Option<UpstreamId> {
        let query = self.queries.get(key)?;
        let shard = query.shard(part);
        let wanted = Wanted {
            replicas: &shard.replicas,
            snapshot: query.snapshot.id,
            home: &self.identity.data_centre,
        };
        let state = &query.parts[part as usize];
        let tried = &state.tried;
        let again = purpose == Purpose::Hedge && state.may_repeat();
        if query.probe == Some(part) {
            return self.choose_probe(now, query.fingerprint, wanted, tried);
        }
        let desperate = purpose != Purpose::Hedge;
        let fingerprint = query.fingerprint;
        let skip = |id: UpstreamId| {
            (tried.contains(&id) && !again)
                || self
                    .quarantine
                    .has_broken(now, fingerprint, self.directory.names().name(id))
        };
        let mut rng = self.rng.clone();
        let responsive = |id: UpstreamId| skip(id) || self.is_next_hop_ejected(now, id);
        let chosen = self
            .upstreams
            .choose(now, wanted, false, responsive, &mut rng)
            .or_else(|| {
                self.upstreams
                    .choose(now, wanted, desperate, skip, &mut rng)
            });
        self.rng = rng;
        chosen
    }

    /// Records that no upstream could be chosen for a part.
    pub(super) fn no_upstream(&mut self, now: Time, key: QueryKey, part: u32) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        let class = query.entry.entry.class;
        let state = &mut query.parts[part as usize];
        if !state.live.is_empty() {
            state.check_at = Time::NEVER;
            return;
        }
        state.tried.clear();
        state.check_at = now + RETRY_PAUSE;
        if class == Class::Latency && now + RETRY_PAUSE >= query.deadline {
            query.close_part(part, PartState::Missing);
        }
    }
}
