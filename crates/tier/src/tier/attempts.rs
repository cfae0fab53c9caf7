//! Attempts: sending, completion, hedging and retries, and cancellation.

use std::{rc::Rc, time::Duration};

use base::{CallId, Time};

use super::{Attempt, Tier, calls::is_gather};
use crate::{
    call::PartState,
    effect::{Effect, FailedAttempt, Send},
    event::{AttemptKey, Failure, Origin, Outcome, Protocol, Reply},
    handover,
    hedge::{self, DuePart},
    homes::Homes,
    mechanism::Mechanism,
    placement,
    timers::Due,
    upstream::UpstreamKey,
};

/// Maximum attempts of one part that may fail before the request is sent.
const MAX_UNSENT: usize = 4;

/// Mean latency from which an abandoned attempt is cancelled at once: twice the cost of the new
/// connection that replaces the closed one.
const CANCEL_MIN_LATENCY: Duration = Duration::from_millis(12);

/// Time without a reply after which an attempt counts as a sign that its upstream is unreachable.
const NO_REPLY_THRESHOLD: Duration = Duration::from_millis(150);

impl<C: Protocol> Tier<C> {
    /// Sends a part to an upstream and schedules its hedge.
    pub(super) fn send(
        &mut self,
        now: Time,
        id: CallId,
        at: usize,
        key: UpstreamKey,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(upstream) = self.directory.get_mut(key) else {
            return;
        };
        let route = call.config.route(call.route);
        let name: Rc<str> = Rc::from(&*route.name);
        let attempt = self.attempts.insert(Attempt {
            call: id,
            part: at,
            upstream: key,
            sent: now,
            route: Rc::clone(&name),
            digest: call.head.digest,
            id_hash: call.id_hash,
        });
        self.send_order.record(now, self.settings.cpu_share);
        if let Some(load) = upstream.load.and_then(|load| load.at(now)) {
            self.report_usage.placements += 1;
            self.report_usage.age += load.age;
        }
        upstream.in_flight.push((attempt, now));
        let part = &mut call.parts[at];
        part.in_flight.push(attempt);
        part.tried.push(key);
        let latency_ratio = upstream.latency_ratio.get(now);
        let (objective, soft_deadline) = (route.objective, call.soft_deadline);
        let (idempotent, service) = (route.idempotent, part.service.clone());
        let first = part.tried.len() == 1;
        let config = Rc::clone(&call.config);
        let send = Send {
            attempt,
            upstream: key,
            name: upstream.entry.name.clone(),
            started_ms: upstream.entry.started_ms,
            address: upstream.entry.address,
            request: call.request.clone(),
            organisation: call.organisation.clone(),
            hides_key: !call.config.organisations.is_empty(),
            deadline: call.arrived + call.allowed,
            connect_within: self.settings.connect_timeout,
            idempotent,
            connections: 0,
        };
        let is_for_other = call.head.origin != Origin::Caller;
        self.take_limited(now, key, first, is_for_other, effects);
        let connections = self.connections(&config, &service);
        effects.push(Effect::Send(Send {
            connections,
            ..send
        }));
        if idempotent && first && self.is_on(Mechanism::Hedges) {
            let latency = self.route_state(&name).latency;
            let due = hedge::due(now, &latency, objective, latency_ratio, soft_deadline);
            self.timers.set(due, Due::Hedge(attempt));
        }
    }

    /// Handles the completion of an attempt.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Time,
        key: AttemptKey,
        outcome: Outcome<C::Reply>,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        self.record_outcome(now, key, &attempt, &outcome, effects);
        let Some(call) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        let part = &mut call.parts[attempt.part];
        part.in_flight.retain(|other| *other != key);
        match outcome {
            Outcome::Reply(reply) => self.on_reply(now, &attempt, reply, effects),
            Outcome::Failed(failure) => self.on_failure(now, &attempt, failure, effects),
        }
    }

    fn on_reply(
        &mut self,
        now: Time,
        attempt: &Attempt,
        reply: C::Reply,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(call) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        call.may_have_run = true;
        if reply.is_success() && reply.signature().is_none() {
            self.on_failure(now, attempt, Failure::Malformed, effects);
            return;
        }
        let is_gather = is_gather(&call.config, call.route);
        let parts = call.parts.len();
        let queueing = self.queueing_wait(&attempt.route, parts);
        let Some(call) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        let idempotent = call.config.route(call.route).idempotent;
        let part = &mut call.parts[attempt.part];
        if !part.is_open() {
            return;
        }
        if reply.is_success() || (!is_gather && !idempotent) {
            part.state = PartState::Received(reply);
            let others: Vec<AttemptKey> = part.in_flight.clone();
            if is_gather {
                let in_time = now < call.soft_deadline;
                part.is_late = !in_time;
                let shedding = self.shedding.entry(part.service.clone()).or_default();
                if in_time {
                    shedding.record_in_time();
                } else if now.since(attempt.sent) >= queueing {
                    shedding.record_late();
                }
            }
            self.abandon(now, &attempt.route, others.into_iter());
            self.settle(now, attempt.call, effects);
            return;
        }
        // The upstream itself failed; another replica may succeed.
        if !self.try_again(now, attempt.call, attempt.part, effects)
            && let Some(call) = self.calls.get_mut(&attempt.call)
        {
            let part = &mut call.parts[attempt.part];
            if part.in_flight.is_empty() {
                part.state = if is_gather {
                    PartState::Lost
                } else {
                    PartState::Received(reply)
                };
            }
            self.settle(now, attempt.call, effects);
        }
    }

    fn on_failure(
        &mut self,
        now: Time,
        attempt: &Attempt,
        failure: Failure,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(call) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        call.may_have_run |= !failure.is_not_run();
        let part = &mut call.parts[attempt.part];
        if !failure.was_sent() {
            part.unsent += 1;
            part.tried.retain(|tried| *tried != attempt.upstream);
        }
        if let Some(upstream) = self.directory.get(attempt.upstream) {
            call.failed_attempts.push(FailedAttempt {
                upstream: upstream.entry.name.clone(),
                service: part.service.clone(),
                waited: now.since(attempt.sent),
                failure: Some(failure),
            });
        }
        if !part.is_open() {
            return;
        }
        if !self.try_again(now, attempt.call, attempt.part, effects)
            && let Some(call) = self.calls.get_mut(&attempt.call)
        {
            let part = &mut call.parts[attempt.part];
            if part.in_flight.is_empty() {
                part.state = PartState::Lost;
            }
            self.settle(now, attempt.call, effects);
        }
    }

    /// Sends a part to another upstream if the route, the retry budget and the remaining time allow
    /// it; returns whether it was sent.
    pub(super) fn try_again(
        &mut self,
        now: Time,
        id: CallId,
        at: usize,
        effects: &mut Vec<Effect<C>>,
    ) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let route = call.config.route(call.route);
        let part = &call.parts[at];
        let may_repeat = route.idempotent || !call.may_have_run;
        if self.has_lost_key(call) {
            return false;
        }
        // Nothing has run yet, so another instance can serve the request.
        if !route.idempotent && self.stops_before(now, route) {
            return false;
        }
        let digest = call.head.digest;
        // Another attempt of a request that may have crashed an upstream could crash one more.
        if self.crashes.quarantine_left(now, digest).is_some()
            || !part.tried.is_empty() && self.crashes.is_suspected(digest)
        {
            return false;
        }
        if !may_repeat
            || !part.is_open()
            || !part.in_flight.is_empty() && !route.idempotent
            || part.tried.len() + usize::from(call.may_have_run_elsewhere) >= route.max_attempts
            || !part.tried.is_empty() && !call.is_confirmed
            || part.unsent >= MAX_UNSENT
            || now >= call.deadline
        {
            return false;
        }
        let name: Rc<str> = Rc::from(&*route.name);
        let mean_latency = self.routes.get(&name).map_or(route.objective / 4, |state| {
            state.latency.mean(route.objective)
        });
        let call = &self.calls[&id];
        let is_urgent = call
            .config
            .is_urgent(call.route, call.organisation.as_ref());
        let part = &call.parts[at];
        let homes = Homes::of(&self.settings, call);
        let others = self.directory.of(&part.service).filter(|(key, up)| {
            let is_usable = up.admits(now, is_urgent) && homes.allows(&up.entry.data_centre);
            is_usable && !part.tried.contains(key)
        });
        let chooser = self.settings.chooser();
        let Some(chosen) = placement::choose(now, others, chooser, mean_latency, &mut self.rng)
        else {
            return false;
        };
        if now + chosen.expected > call.deadline {
            return false;
        }
        let (repeated, service) = (!part.tried.is_empty(), part.service.clone());
        if repeated {
            let bound = self.bound(&service);
            if !self
                .extra_attempts
                .entry(service)
                .or_default()
                .try_take(now, &bound)
            {
                return false;
            }
            if let Some(call) = self.calls.get_mut(&id) {
                call.extra_attempts += 1;
            }
        }
        self.send(now, id, at, chosen.key, effects);
        true
    }

    /// Answers a search if enough parts have been received; upstreams that have not replied for
    /// [`NO_REPLY_THRESHOLD`] may be unreachable.
    pub(super) fn on_soft_deadline(&mut self, now: Time, id: CallId, effects: &mut Vec<Effect<C>>) {
        let silent = |key: &AttemptKey| {
            let attempt = self.attempts.get(*key)?;
            (now.since(attempt.sent) >= NO_REPLY_THRESHOLD).then_some(attempt.upstream)
        };
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let open = call.parts.iter().filter(|part| part.is_open());
        let silent: Vec<UpstreamKey> = open
            .flat_map(|part| &part.in_flight)
            .filter_map(silent)
            .collect();
        for upstream in silent {
            self.on_upstream_silent(now, upstream);
        }
        self.settle(now, id, effects);
    }

    /// Hedges a part that has not been answered yet, unless its shard sheds too much load.
    pub(super) fn on_hedge_due(
        &mut self,
        now: Time,
        key: AttemptKey,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let (id, at) = (attempt.call, attempt.part);
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let part = &call.parts[at];
        if !part.is_open()
            || part.in_flight.len() != 1
            || !self.shard_shedding(&part.service).allows_hedging()
        {
            return;
        }
        let upstream = self.directory.get(attempt.upstream);
        let due = DuePart {
            waited: now.since(attempt.sent),
            latency_ratio: upstream.map_or(1.0, |it| it.latency_ratio.get(now)),
            left: call.soft_deadline.since(now),
            part_work: handover::own_work(self.settings.cpu_share, 1),
            extra_attempts: call.extra_attempts,
            progress: call.progress(),
        };
        let route = call.config.route(call.route);
        let is_single = call.parts.len() == 1;
        let latency = self.routes.get(&*route.name).map(|state| state.latency);
        let latency = latency.unwrap_or_default();
        let is_bounded = self.is_on(Mechanism::EarlyHedgeBound);
        if is_single || !is_bounded || hedge::is_useful(&due, &latency, route.objective) {
            self.try_again(now, id, at, effects);
        }
    }

    /// Cancels an abandoned attempt that is still in flight after its linger time.
    pub(super) fn on_close(&mut self, now: Time, key: AttemptKey, effects: &mut Vec<Effect<C>>) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        let waited = now.since(attempt.sent);
        if waited >= NO_REPLY_THRESHOLD {
            self.on_upstream_silent(now, attempt.upstream);
        }
        self.suspect(now, &attempt, false, effects);
        let mean_latency = self.route_state(&attempt.route).latency.mean(waited);
        if let Some(upstream) = self.directory.get_mut(attempt.upstream) {
            upstream.attempt_ended(key);
            // The wait is a lower bound of the latency that the reply would have had.
            upstream
                .latency_ratio
                .add(now, now.since(attempt.sent), mean_latency);
        }
        effects.push(Effect::Cancel(key));
    }

    /// Schedules the cancellation of attempts whose replies are no longer needed: at once if the
    /// upstream work that this saves outweighs a new connection, otherwise after the linger time.
    pub(super) fn abandon(
        &mut self,
        now: Time,
        route: &Rc<str>,
        attempts: impl Iterator<Item = AttemptKey>,
    ) {
        let mean = self.route_state(route).latency.mean(Duration::ZERO);
        let linger = match mean >= CANCEL_MIN_LATENCY {
            true => Duration::ZERO,
            false => self.settings.linger,
        };
        for attempt in attempts {
            self.timers.set(now + linger, Due::Close(attempt));
        }
    }
}
