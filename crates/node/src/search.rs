//! Searches: plan, fan-out, hedges, retries and the answer.

use std::{rc::Rc, time::Duration};

use base::{CallId, EntryName, RequestId, Time};
use bytes::Bytes;
use cat::Class;

use crate::{
    attempt::{Attempt, AttemptKey, Origin, QueryKey, Stage},
    directory::{ServicePlan, SnapshotPlan, UpstreamId},
    dispatch::Dispatched,
    effect::{Answer, Effect, Found, Reason, Refusal},
    node::{Node, Timer},
    protocol::{Echo, SubRequest},
    quarantine::fingerprint,
    query::{NewQuery, PartState, Query},
    upstreams::Wanted,
};

/// Time kept back from the deadline for merging and writing the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(4);

/// Shortest time between two looks at the parts of one search.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Pause before upstreams that were tried are tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Most times that a search is planned again at another snapshot.
const MAX_REPLANS: u32 = 2;

/// Hedges of one part.
///
/// At a fan-out of a hundred with one slow sub-request in a hundred, the first hedge is slow as
/// well in one search of a hundred; the second takes that out of the 99th percentile.
const MAX_HEDGES: u32 = 2;

/// Attempts of one part that may be in flight at once.
const MAX_LIVE: usize = 1 + MAX_HEDGES as usize;

/// Wait that is suggested when nothing is known yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    First,
    Hedge,
    Retry,
}

/// A search as it arrives from a caller.
#[derive(Clone, Debug)]
pub(crate) struct NewSearch {
    pub(crate) request: RequestId,
    pub(crate) entry: EntryName,
    pub(crate) deadline: Option<Duration>,
    pub(crate) body: Bytes,
}

impl Node {
    /// Admits and starts a search, or refuses it.
    pub(crate) fn search(
        &mut self,
        now: Time,
        call: CallId,
        search: NewSearch,
        effects: &mut Vec<Effect>,
    ) {
        match self.plan(now, call, search) {
            Ok(query) => self.start(now, query, effects),
            Err(refusal) => effects.push(Effect::Answer(call, Answer::Refused(refusal))),
        }
    }

    fn plan(&mut self, now: Time, call: CallId, search: NewSearch) -> Result<Query, Refusal> {
        let refuse = |reason, retry_after| {
            Err(Refusal {
                reason,
                retry_after,
            })
        };
        self.check_serving()?;
        let Some(entry) = self.directory.entry(&search.entry).cloned() else {
            return refuse(Reason::NoEntry, None);
        };
        let limits = &entry.entry.limits;
        if entry.entry.class == Class::Once {
            return refuse(Reason::WrongClass, None);
        }
        if search.body.len() as u64 > limits.body.0 {
            return refuse(Reason::BodySize, None);
        }
        let fingerprint = fingerprint(&entry.service.name, &search.body);
        if let Some(left) = self.quarantine.remaining(now, fingerprint) {
            return refuse(Reason::Quarantined, Some(left));
        }
        let Some(snapshot) = self.choose_snapshot(now, &entry.service) else {
            return refuse(Reason::NoSnapshot, Some(NOT_READY_RETRY_AFTER));
        };
        let allowed = search
            .deadline
            .unwrap_or(limits.deadline)
            .min(limits.deadline);
        if allowed <= ANSWER_MARGIN {
            return refuse(Reason::DeadlinePassed, None);
        }
        self.admission
            .admit(now, &entry.entry.name, &entry.service.name)?;
        Ok(Query::new(NewQuery {
            call,
            request: search.request,
            entry,
            snapshot,
            arrived: now,
            deadline: now + (allowed - ANSWER_MARGIN),
            body: search.body,
            fingerprint,
        }))
    }

    /// Refuses while no catalogue is in force or a shutdown is under way.
    pub(crate) fn check_serving(&self) -> Result<(), Refusal> {
        if self.stats.draining {
            return Err(Refusal {
                reason: Reason::Draining,
                retry_after: Some(NOT_READY_RETRY_AFTER),
            });
        }
        if !self.stats.ready {
            return Err(Refusal {
                reason: Reason::NotReady,
                retry_after: Some(NOT_READY_RETRY_AFTER),
            });
        }
        Ok(())
    }

    /// Returns the newest snapshot of which every shard can be served, or else the one with most.
    fn choose_snapshot(&self, now: Time, service: &ServicePlan) -> Option<Rc<SnapshotPlan>> {
        let mut best: Option<(usize, &Rc<SnapshotPlan>)> = None;
        for snapshot in &service.snapshots {
            let unserved = self.unserved(now, snapshot);
            if unserved == 0 {
                return Some(Rc::clone(snapshot));
            }
            if best.is_none_or(|(fewest, _)| unserved < fewest) {
                best = Some((unserved, snapshot));
            }
        }
        best.map(|(_, snapshot)| Rc::clone(snapshot))
    }

    /// Counts the shards of a snapshot that no upstream can serve now.
    fn unserved(&self, now: Time, snapshot: &SnapshotPlan) -> usize {
        let served = |id: &UpstreamId| self.upstreams.can_serve(now, *id, snapshot.id);
        snapshot
            .shards
            .iter()
            .filter(|shard| !shard.replicas.iter().any(served))
            .count()
    }

    fn start(&mut self, now: Time, query: Query, effects: &mut Vec<Effect>) {
        self.stats.searches += 1;
        self.stats.searches_in_hand += 1;
        let deadline = query.deadline;
        let key = self.queries.insert(query);
        self.timers.set(deadline, Timer::Deadline(key));
        self.fan_out(now, key, effects);
    }

    /// Starts all parts, or only a probe when the request has never been answered before.
    fn fan_out(&mut self, now: Time, key: QueryKey, effects: &mut Vec<Effect>) {
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
    fn find_probe(&self, now: Time, key: QueryKey, first: u32) -> Option<u32> {
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

    fn start_probe(
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
    fn release(&mut self, now: Time, key: QueryKey, effects: &mut Vec<Effect>) {
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

    /// Makes one more attempt at a part, if an upstream for it is found.
    fn attempt(
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
            sub: Some(SubRequest::Search {
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
            self.queued_ended(now, attempt, ended, effects);
        }
        true
    }

    /// Chooses the upstream of an attempt: a probe's is the same at every instance.
    fn choose(
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
        let responsive = |id: UpstreamId| skip(id) || self.is_silent_route(now, id);
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
    fn no_upstream(&mut self, now: Time, key: QueryKey, part: u32) {
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

    /// Looks at the parts whose time has come and makes hedges or retries.
    pub(crate) fn check_query(&mut self, now: Time, key: QueryKey, effects: &mut Vec<Effect>) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        if query.check_at > now {
            return;
        }
        query.check_at = Time::NEVER;
        let due: Vec<u32> = query.due_parts(now);
        for part in due {
            self.check_part(now, key, part, effects);
        }
        self.schedule_check(now, key);
        self.finish_if_complete(now, key, effects);
    }

    fn check_part(&mut self, now: Time, key: QueryKey, part: u32, effects: &mut Vec<Effect>) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        let entry = Rc::clone(&query.entry);
        let patience = query.patience(part);
        let state = &mut query.parts[part as usize];
        state.check_at = Time::NEVER;
        if state.state != PartState::Open || state.live.len() >= MAX_LIVE {
            return;
        }
        let name = &entry.entry.name;
        if state.live.is_empty() {
            if self.take_retry_for(entry.entry.class, name) {
                self.attempt(now, key, part, Purpose::Retry, effects);
            } else if let Some(query) = self.queries.get_mut(key) {
                query.parts[part as usize].check_at = now + RETRY_PAUSE;
            }
            return;
        }
        let overloaded = self.admission.is_overloaded(now, &entry.service.name);
        if state.hedges < MAX_HEDGES && !overloaded && self.can_hedge(now, key, part) {
            if self.admission.take_hedge(name) {
                if let Some(query) = self.queries.get_mut(key) {
                    query.parts[part as usize].hedges += 1;
                }
                self.attempt(now, key, part, Purpose::Hedge, effects);
            } else if let Some(query) = self.queries.get_mut(key) {
                query.parts[part as usize].check_at = now + CHECK_INTERVAL;
            }
            return;
        }
        self.check_patience(now, key, part, patience, effects);
    }

    /// Asks another replica for a coverage-class part that has waited its share of the deadline.
    fn check_patience(
        &mut self,
        now: Time,
        key: QueryKey,
        part: u32,
        patience: Time,
        effects: &mut Vec<Effect>,
    ) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        if query.entry.entry.class != Class::Coverage {
            return;
        }
        if now < patience {
            query.parts[part as usize].check_at = patience;
            return;
        }
        self.attempt(now, key, part, Purpose::Retry, effects);
    }

    fn can_hedge(&self, now: Time, key: QueryKey, part: u32) -> bool {
        let Some(query) = self.queries.get(key) else {
            return false;
        };
        let state = &query.parts[part as usize];
        let usable = |id: &UpstreamId| {
            (state.may_repeat() || !state.tried.contains(id))
                && self.upstreams.can_serve(now, *id, query.snapshot.id)
        };
        query.shard(part).replicas.iter().any(usable)
    }

    /// Takes a retry from the budget; the coverage class may always retry.
    fn take_retry_for(&mut self, class: Class, entry: &EntryName) -> bool {
        self.admission.take_retry(entry) || class == Class::Coverage
    }

    /// Sets the timer of the next look at a search's parts.
    pub(crate) fn schedule_check(&mut self, now: Time, key: QueryKey) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        let next = query.next_check().max(now + CHECK_INTERVAL);
        if next >= query.deadline || next >= query.check_at {
            return;
        }
        query.check_at = next;
        self.timers.set(next, Timer::Check(key));
    }

    /// Takes a reply's hits into the search; the losers of the part are cancelled.
    pub(crate) fn part_answered(
        &mut self,
        now: Time,
        key: QueryKey,
        part: u32,
        hits: Vec<crate::protocol::Hit>,
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
        ended: Ended,
        effects: &mut Vec<Effect>,
    ) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        let state = &mut query.parts[part as usize];
        state.live.retain(|&live| live != attempt);
        if ended == Ended::Overloaded {
            query.waited = query.deadline.since(query.arrived);
        }
        let state = &mut query.parts[part as usize];
        if state.state != PartState::Open || !state.live.is_empty() {
            return;
        }
        match ended {
            Ended::Broke => self.part_broke(now, key, part, effects),
            Ended::NoSnapshot if self.replan(now, key, part, effects) => {}
            _ => self.retry_part(now, key, part, ended, effects),
        }
        self.schedule_check(now, key);
        self.finish_if_complete(now, key, effects);
    }

    fn retry_part(
        &mut self,
        now: Time,
        key: QueryKey,
        part: u32,
        ended: Ended,
        effects: &mut Vec<Effect>,
    ) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        let entry = Rc::clone(&query.entry);
        let free = matches!(ended, Ended::NotSent | Ended::Leaving | Ended::NoSnapshot);
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
    fn part_broke(&mut self, now: Time, key: QueryKey, part: u32, effects: &mut Vec<Effect>) {
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
    fn give_up_part(&mut self, now: Time, key: QueryKey, part: u32, effects: &mut Vec<Effect>) {
        let Some(query) = self.queries.get_mut(key) else {
            return;
        };
        query.close_part(part, PartState::Missing);
        if query.parts.iter().all(|p| p.live.is_empty()) {
            self.finish(now, key, effects);
        }
    }

    /// Plans the whole search again at another snapshot, if one can serve more of it.
    fn replan(&mut self, now: Time, key: QueryKey, part: u32, effects: &mut Vec<Effect>) -> bool {
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

    fn abandon(&mut self, now: Time, attempts: Vec<AttemptKey>, effects: &mut Vec<Effect>) {
        for attempt in attempts {
            self.end_outstanding(attempt);
            self.cancel(now, attempt, effects);
        }
    }

    /// Answers a search whose parts are all answered or given up.
    pub(crate) fn finish_if_complete(
        &mut self,
        now: Time,
        key: QueryKey,
        effects: &mut Vec<Effect>,
    ) {
        if self.queries.get(key).is_some_and(|q| q.unfinished == 0) {
            self.finish(now, key, effects);
        }
    }

    /// Answers a search with what it has.
    pub(crate) fn finish(&mut self, now: Time, key: QueryKey, effects: &mut Vec<Effect>) {
        let Some(query) = self.end_query(now, key, effects) else {
            return;
        };
        let found = Found {
            request: query.request,
            snapshot: query.snapshot.id,
            coverage: query.coverage(),
            hits: query.hits.into_best(),
        };
        effects.push(Effect::Answer(query.call, Answer::Found(found)));
    }

    /// Ends a search without an answer: its caller is gone.
    pub(crate) fn drop_call(&mut self, now: Time, call: CallId, effects: &mut Vec<Effect>) {
        let found = self.queries.iter().find(|(_, query)| query.call == call);
        if let Some((key, _)) = found {
            self.end_query(now, key, effects);
        }
    }

    fn end_query(&mut self, now: Time, key: QueryKey, effects: &mut Vec<Effect>) -> Option<Query> {
        let mut query = self.queries.remove(key)?;
        self.abandon(now, query.take_live(), effects);
        let entry = &query.entry;
        self.admission
            .ended(now, &entry.entry.name, &entry.service.name, query.waited);
        self.stats.searches_in_hand = self.stats.searches_in_hand.saturating_sub(1);
        Some(query)
    }
}

/// How an attempt of a search ended without a valid reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ended {
    /// No byte of it was sent.
    NotSent,
    /// The upstream takes no new work.
    Leaving,
    /// The upstream or its owner had no room.
    Overloaded,
    /// The upstream does not serve the snapshot.
    NoSnapshot,
    /// The connection broke while the upstream had the request.
    Broke,
    /// The reply was late or not valid.
    Invalid,
}
