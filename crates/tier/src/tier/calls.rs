//! Requests: arrival, routing, admission and first attempts.

use std::{rc::Rc, time::Duration};

use base::{CallId, ServiceName, Time};
use xxhash_rust::xxh3::xxh3_64;

use super::{Tier, branches::BranchPlan};
use crate::{
    admit::{self, Admission, SearchRequirements, Shard, ShardDecision},
    call::{Call, Part, PartState},
    completion,
    config::{Config, Route, Target},
    delay,
    effect::{Answer, DeclineReason, Effect, Fault, Note, Refusal},
    event::{BranchHead, Head, Origin, Protocol},
    handover,
    homes::Homes,
    mechanism::Mechanism,
    placement::{self, Candidate},
    retry_after::RetrySchedule,
    stopping,
    timers::Due,
};

/// Retry-after time of callers that are refused because this instance has no configuration yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Assumed time until upstreams that are down or overloaded accept requests again.
const ASSUMED_RECOVERY: Duration = Duration::from_millis(400);

/// Time since the caller's first request after which a request counts as a retry after a refusal.
const MIN_RETURN_ELAPSED: Duration = Duration::from_millis(30);

/// Latency in means of its kind up to which a part is not late for a reason of its own shard. If
/// all parts take that long, the instance's own work explains it, or load shedding measures the
/// queues; a search that is refused for it would bring no reply that shows the opposite.
const USUAL_MEANS: f64 = 1.5;

impl<C: Protocol> Tier<C> {
    /// Handles a request from a caller or from another instance.
    pub(super) fn on_call(
        &mut self,
        now: Time,
        id: CallId,
        mut head: Head,
        request: C::Request,
        effects: &mut Vec<Effect<C>>,
    ) {
        let is_from_instance = head.origin != Origin::Caller;
        if is_from_instance && self.is_out_of_service() {
            return decline(id, DeclineReason::OutOfService, effects);
        }
        let config = self.config_for(&head).filter(|_| self.knows_evacuations());
        let Some(config) = config else {
            if is_from_instance {
                decline(id, DeclineReason::UnknownConfig, effects);
            } else {
                self.refuse_unrouted(id, &head, Refusal::NotReady, effects);
            }
            return;
        };
        let Some(route_index) = config.find(&head.host, &head.path) else {
            self.note_unrouted(&head, "not_found", effects);
            effects.push(Effect::Answer(id, Answer::NotFound));
            return;
        };
        let identity = self.identify(now, id, &config, route_index, &mut head, effects);
        let Ok(organisation) = identity else {
            return;
        };
        let route = config.route(route_index);
        let name: Rc<str> = Rc::from(&*route.name);
        let arrived = now - head.age;
        let allowed = head
            .time_left
            .map_or(route.timeout, |left| left.min(route.timeout));
        let elapsed = head
            .time_left
            .map_or(Duration::ZERO, |left| route.timeout.saturating_sub(left));
        let (services, min_parts) = self.services(&name, route);
        let Some((services, min_parts)) = select(services, min_parts, head.branch.as_ref()) else {
            return decline(id, DeclineReason::UnknownShard, effects);
        };
        let (was_refused, may_have_run) = match head.origin {
            Origin::Caller => (elapsed >= MIN_RETURN_ELAPSED, false),
            Origin::Instance {
                was_refused,
                may_have_run,
                ..
            } => (was_refused, may_have_run),
        };
        if head.origin == Origin::Caller {
            let round_trip = delay::of_caller(elapsed, self.settings.caller_delay);
            round_trip
                .into_iter()
                .for_each(|it| self.to_callers.add(it));
        }
        let due = head.branch.as_ref().map(|branch| branch.due).or(head.due);
        let soft_deadline = match due {
            Some(due) => arrived + due,
            None => self.soft_deadline(arrived, route, elapsed),
        };
        let call = Call {
            deadline: arrived + allowed.saturating_sub(self.settings.final_margin),
            request,
            config: Rc::clone(&config),
            route: route_index,
            organisation,
            arrived,
            allowed,
            soft_deadline,
            was_refused,
            parts: services.into_iter().map(Part::new).collect(),
            min_parts,
            handed_to: None,
            branch: None,
            branch_reply: None,
            via: None,
            handovers: 0,
            alive_since: now,
            may_have_run,
            may_have_run_elsewhere: may_have_run,
            is_confirmed: head.origin == Origin::Caller
                || head.branch.as_ref().is_some_and(|it| it.is_confirmed),
            handed_at: now,
            token: None,
            extra_attempts: 0,
            skipped: 0,
            failed_attempts: Vec::new(),
            overload: None,
            id_hash: xxh3_64(head.id.as_bytes()),
            head,
        };
        self.start(now, id, call, effects);
    }

    /// Returns the services that a request is sent to, and the minimum that have to reply.
    fn services(&mut self, name: &Rc<str>, route: &Route) -> (Vec<ServiceName>, usize) {
        match &route.target {
            Target::One(service) => (vec![service.clone()], 1),
            Target::Split(parts) => {
                let chosen = self.route_state(name).split.choose(parts);
                (chosen.into_iter().collect(), 1)
            }
            Target::Gather(gather) => (gather.shards.to_vec(), gather.min_parts),
        }
    }

    /// Returns the time by which an answer has to be sent to arrive within the objective. A request
    /// whose objective has already passed gets the whole objective again.
    fn soft_deadline(&self, arrived: Time, route: &Route, elapsed: Duration) -> Time {
        let elapsed = if elapsed < route.objective {
            elapsed
        } else {
            Duration::ZERO
        };
        completion::soft_deadline(arrived, route.objective, elapsed, self.way_back())
    }

    /// Returns the time to reserve for an answer on its way to a caller, together with the way of
    /// the request, which callers do not see.
    fn way_back(&self) -> Duration {
        let longest = self.settings.caller_delay;
        if !self.is_on(Mechanism::ObservedDelays) {
            return longest;
        }
        let passing_on = delay::answer_time(self.settings.cpu_share);
        (self.to_callers.get(longest) + passing_on).min(longest)
    }

    /// Returns whether the process is likely to end before a request on a route that starts now.
    pub(super) fn stops_before(&self, now: Time, route: &Route) -> bool {
        let Some(stops_at) = self.stops_at else {
            return false;
        };
        let state = self.routes.get(&*route.name);
        let mean = state.map_or(Duration::ZERO, |it| it.latency.mean(Duration::ZERO));
        !stopping::may_start(now, stops_at, route.objective, mean)
    }

    /// Starts a call once its organisation's limit allows it.
    fn start(&mut self, now: Time, id: CallId, call: Call<C>, effects: &mut Vec<Effect<C>>) {
        if let Some(call) = self.take_token(now, id, call, effects) {
            self.start_allowed(now, id, call, effects);
        }
    }

    /// Hands a call over to another instance or runs it locally.
    pub(super) fn start_allowed(
        &mut self,
        now: Time,
        id: CallId,
        mut call: Call<C>,
        effects: &mut Vec<Effect<C>>,
    ) {
        if self.stops_before(now, call.config.route(call.route)) {
            return self.refuse(now, id, &mut call, Refusal::Stopping, effects);
        }
        let digest = call.head.digest;
        self.frequency.record(now, digest);
        if self.crashes.quarantine_left(now, digest).is_some() {
            match self.may_try_quarantined(now, digest) {
                true => self.try_quarantined(now, id, call, effects),
                false => self.refuse(now, id, &mut call, Refusal::Quarantined, effects),
            }
            return;
        }
        self.dispatch(now, id, call, effects);
    }

    /// Decides about the admission of a call and sends the first attempts of its parts; `allowed`
    /// states for each part whether it may be sent at all.
    pub(super) fn admit(
        &mut self,
        now: Time,
        id: CallId,
        mut call: Call<C>,
        allowed: &[bool],
        effects: &mut Vec<Effect<C>>,
    ) {
        let name: Rc<str> = Rc::from(&*call.config.route(call.route).name);
        let mut candidates = self.candidates(now, &name, &call);
        for (candidate, allowed) in candidates.iter_mut().zip(allowed) {
            *candidate = candidate.filter(|_| *allowed);
        }
        if call.head.branch.is_some() {
            self.count_requests(now, &call, |_| true);
            return self.run_branch(now, id, call, &candidates, effects);
        }
        if is_gather(&call.config, call.route) {
            let own_work = handover::own_work(self.settings.cpu_share, call.parts.len());
            let objective = call.config.route(call.route).objective;
            call.soft_deadline = call.soft_deadline - delay::gather_time(own_work, objective);
        }
        let plan = self.plan_branch(now, &call);
        let shards = self.shards(now, &call, &candidates, plan.as_ref());
        let required = SearchRequirements {
            min_parts: call.min_parts,
            available: self.available(now, &call),
            reserve: self.reserve(&name),
            was_refused: call.was_refused && self.is_on(Mechanism::ReturningCallers),
            allows_trials: self.is_on(Mechanism::Trials),
            allows_skipping: self.is_on(Mechanism::Skipping),
        };
        match admit::admit(&shards, required, &mut self.rng) {
            Admission::Admit(decisions) => {
                self.timers.set(call.deadline, Due::Deadline(id));
                if call.parts.len() > 1 {
                    self.timers.set(call.soft_deadline, Due::SoftDeadline(id));
                }
                for (part, decision) in call.parts.iter_mut().zip(&decisions) {
                    if *decision == ShardDecision::Skip {
                        part.state = PartState::Lost;
                        call.skipped += 1;
                    }
                }
                if !call.may_have_run {
                    let is_local = |at| plan.as_ref().is_none_or(|plan| !plan.has(at));
                    self.count_requests(now, &call, is_local);
                }
                if let Some(plan) = plan {
                    self.send_branch(now, id, &mut call, plan, &decisions, effects);
                }
                let in_branch = call.branch.as_ref().map(|branch| branch.parts.clone());
                let in_branch = in_branch.unwrap_or_default();
                self.calls.insert(id, call);
                let is_own = |at: usize| in_branch.binary_search(&at).is_err();
                let parts = decisions.into_iter().zip(&candidates).enumerate();
                let parts = parts.filter_map(|(at, part)| match part {
                    (ShardDecision::Send, Some(candidate)) => Some((at, candidate.key)),
                    _ => None,
                });
                let parts = parts.filter(|(at, _)| is_own(*at)).collect();
                self.send_parts(now, id, parts, effects);
            }
            Admission::Overloaded(why) => {
                call.overload = Some(why);
                self.refuse(now, id, &mut call, Refusal::Overload, effects);
            }
            Admission::Down => {
                self.check_shard_reachability(now, effects);
                if let Some(mut call) = self.relay(now, id, call, effects) {
                    self.refuse(now, id, &mut call, Refusal::NoUpstream, effects);
                }
            }
        }
    }

    /// Returns the number of parts that admission should expect to be missed.
    fn reserve(&mut self, name: &Rc<str>) -> usize {
        match self.is_on(Mechanism::MissedParts) {
            true => self.route_state(name).missed_parts.reserve(),
            false => 0,
        }
    }

    /// Returns the state of each part's service, as input for the admission decision.
    fn shards(
        &self,
        now: Time,
        call: &Call<C>,
        candidates: &[Option<Candidate>],
        plan: Option<&BranchPlan>,
    ) -> Vec<Shard> {
        let is_gather = is_gather(&call.config, call.route);
        let share = |at: usize| match plan {
            _ if !is_gather || !self.is_on(Mechanism::Shedding) => 1.0,
            Some(plan) if plan.has(at) => self.reported_share(now, call, at),
            _ => self
                .shard_shedding(&call.parts[at].service)
                .admitted_share(),
        };
        let shard = |(at, found): (usize, &Option<Candidate>)| match found {
            None => Shard::Down,
            Some(candidate) => Shard::Up {
                expected: candidate.expected,
                admitted_share: share(at),
            },
        };
        candidates.iter().enumerate().map(shard).collect()
    }

    /// Counts the first attempts of parts; the budget for extra attempts is a share of them.
    fn count_requests(&mut self, now: Time, call: &Call<C>, is_counted: impl Fn(usize) -> bool) {
        let window = self.settings.extra_window;
        for (at, part) in call.parts.iter().enumerate() {
            if is_counted(at) {
                let extra = self.extra_attempts.entry(part.service.clone()).or_default();
                extra.add_request(now, window);
            }
        }
    }

    /// Returns the upstream with the lowest expected cost for each part.
    pub(super) fn candidates(
        &mut self,
        now: Time,
        name: &Rc<str>,
        call: &Call<C>,
    ) -> Vec<Option<Candidate>> {
        let objective = call.config.route(call.route).objective;
        let mean_latency = self.route_state(name).latency.mean(objective);
        let is_urgent = call
            .config
            .is_urgent(call.route, call.organisation.as_ref());
        let homes = Homes::of(&self.settings, call);
        let find = |part: &Part<C::Reply>| {
            let usable = self
                .directory
                .of(&part.service)
                .filter(|(_, up)| up.admits(now, is_urgent) && homes.allows(&up.entry.data_centre));
            let chooser = self.settings.chooser();
            placement::choose(now, usable, chooser, mean_latency, &mut self.rng)
        };
        call.parts.iter().map(find).collect()
    }

    /// Returns the time within which replies to first attempts are useful.
    fn available(&self, now: Time, call: &Call<C>) -> Duration {
        if !is_gather(&call.config, call.route) {
            return call.deadline.since(now);
        }
        // Parts that are expected after a short objective without a queue are sent all the same.
        let route = call.config.route(call.route);
        let queueing = self.queueing_wait(&route.name, call.parts.len());
        let mean = self
            .routes
            .get(&*route.name)
            .map(|it| it.latency.mean(Duration::ZERO));
        let usual = mean.unwrap_or_default().mul_f64(USUAL_MEANS);
        let useful = call.soft_deadline.since(now).max(queueing).max(usual);
        useful.min(call.deadline.since(now))
    }

    /// Refuses a call with a retry-after time, or fails it if an upstream may have run it.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        id: CallId,
        call: &mut Call<C>,
        why: Refusal,
        effects: &mut Vec<Effect<C>>,
    ) {
        if call.may_have_run {
            self.note_call_ended(now, call, Fault::Upstream.name(), false, effects);
            effects.push(Effect::Answer(id, Answer::Failed(Fault::Upstream)));
            return;
        }
        self.return_token(now, call);
        let left = (call.arrived + call.allowed).since(now);
        let name: Rc<str> = Rc::from(&*call.config.route(call.route).name);
        let quarantine_left = self.crashes.quarantine_left(now, call.head.digest);
        let after = match quarantine_left.filter(|_| why == Refusal::Quarantined) {
            Some(quarantine_left) => quarantine_left,
            // Another instance can serve the request at once.
            None if why == Refusal::Stopping => Duration::ZERO,
            None => {
                let recovery = match why {
                    Refusal::NoUpstream | Refusal::TurnedAway => self.recovery(now, call),
                    _ => ASSUMED_RECOVERY,
                };
                let is_queued = self.is_on(Mechanism::RetrySchedule);
                let schedule = &mut self.route_state(&name).retry_schedule;
                match is_queued {
                    true => schedule.next_slot(now, recovery, left),
                    false => RetrySchedule::default().next_slot(now, recovery, left),
                }
            }
        };
        self.note_call_ended(now, call, why.name(), false, effects);
        effects.push(Effect::Answer(id, Answer::Refused(why, after)));
    }

    /// Returns the time until as many services as a call needs have a usable upstream, as far as it
    /// is known.
    fn recovery(&self, now: Time, call: &Call<C>) -> Duration {
        let homes = Homes::of(&self.settings, call);
        let usable_in = |part: &Part<C::Reply>| {
            let upstreams = self.directory.of(&part.service);
            let upstreams = upstreams.filter(|(_, up)| homes.allows(&up.entry.data_centre));
            let earliest = upstreams.filter_map(|(_, up)| up.usable_from(now)).min();
            earliest.map_or(ASSUMED_RECOVERY, |at| at.since(now))
        };
        let mut waits: Vec<Duration> = call.parts.iter().map(usable_in).collect();
        waits.sort_unstable();
        let needed = call.min_parts.clamp(1, waits.len().max(1));
        let wait = waits.get(needed - 1).copied().unwrap_or(ASSUMED_RECOVERY);
        wait.max(ASSUMED_RECOVERY)
    }

    /// Refuses a request before it is matched to a route.
    pub(super) fn refuse_unrouted(
        &mut self,
        id: CallId,
        head: &Head,
        why: Refusal,
        effects: &mut Vec<Effect<C>>,
    ) {
        self.note_unrouted(head, why.name(), effects);
        let after = head.time_left.map_or(NOT_READY_RETRY_AFTER, |left| {
            NOT_READY_RETRY_AFTER.min(left / 3)
        });
        effects.push(Effect::Answer(id, Answer::Refused(why, after)));
    }
}

/// Declines a request that another instance handed over; nothing has run.
pub(super) fn decline<C: Protocol>(id: CallId, why: DeclineReason, effects: &mut Vec<Effect<C>>) {
    effects.push(Effect::Note(Note::Declined(why)));
    effects.push(Effect::Answer(id, Answer::Declined));
}

/// Returns the shards of a search that this instance queries, and the minimum that have to reply;
/// `None` if a branch names a shard that does not exist.
fn select(
    services: Vec<ServiceName>,
    min_parts: usize,
    branch: Option<&BranchHead>,
) -> Option<(Vec<ServiceName>, usize)> {
    let Some(branch) = branch else {
        return Some((services, min_parts));
    };
    let chosen = branch.shards.iter();
    let chosen: Option<Vec<ServiceName>> = chosen
        .map(|at| services.get(*at as usize).cloned())
        .collect();
    Some((chosen?, branch.min_parts))
}

/// Returns whether a route gathers parts from several shards.
pub(super) fn is_gather(config: &Config, route: usize) -> bool {
    matches!(config.route(route).target, Target::Gather(_))
}
