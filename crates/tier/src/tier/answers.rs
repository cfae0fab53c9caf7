//! Completion of calls: answers, failures, and the summary that is reported for each call.

use std::rc::Rc;

use base::{CallId, Time, UpstreamName};

use super::{Tier, calls::is_gather};
use crate::{
    call::{Call, Part, PartState},
    completion::{self, Decision},
    config::Target,
    effect::{
        Answer, CallSummary, Effect, FailedAttempt, Fault, Gathered, LimitedShard, Note, Refusal,
    },
    event::{Head, Origin, Protocol, Reply},
    merge,
};

impl<C: Protocol> Tier<C> {
    /// Answers or fails a call once its progress and the time decide it.
    pub(super) fn settle(&mut self, now: Time, id: CallId, effects: &mut Vec<Effect<C>>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        match completion::decide(now, call.soft_deadline, call.progress()) {
            Decision::Wait => {}
            Decision::Answer => self.answer(now, id, effects),
            // The instance that sent the branch also has the replies of the other shards and
            // decides whether the search fails.
            Decision::GiveUp if self.is_branch(id) => self.answer(now, id, effects),
            Decision::GiveUp => self.give_up(now, id, Fault::Upstream, effects),
        }
    }

    /// Answers a call with the parts received so far and abandons the attempts in flight.
    pub(super) fn answer(&mut self, now: Time, id: CallId, effects: &mut Vec<Effect<C>>) {
        let Some(mut call) = self.calls.remove(&id) else {
            return;
        };
        let is_partial = call.progress().answered < call.parts.len();
        let outcome = match (call.head.branch.is_some(), is_partial) {
            (false, false) => "answered",
            (false, true) => "partial",
            (true, false) => "branch_answered",
            (true, true) => "branch_partial",
        };
        self.note_call_ended(now, &mut call, outcome, true, effects);
        if call.head.branch.is_none() {
            let name = Rc::from(&*call.config.route(call.route).name);
            self.route_state(&name).retry_schedule.record_answer(now);
        }
        self.abandon_all(now, &call);
        self.withdraw(id, &call, effects);
        let limited_shards = match call.head.branch {
            Some(_) => self.limited_shards(now, &call.config, call.route),
            None => Vec::new(),
        };
        let departures = self.departures(&call);
        if let Some(answer) = into_answer(call, limited_shards, departures) {
            effects.push(Effect::Answer(id, answer));
        }
    }

    /// Returns the upstreams of a call that leave, for the instance that sent the call.
    fn departures(&self, call: &Call<C>) -> Vec<(UpstreamName, u64)> {
        if call.head.origin == Origin::Caller {
            return Vec::new();
        }
        let tried = call.parts.iter().flat_map(|part| &part.tried);
        let leaving = tried
            .filter_map(|key| self.directory.get(*key))
            .filter(|upstream| upstream.is_leaving);
        leaving
            .map(|upstream| (upstream.entry.name.clone(), upstream.entry.started_ms))
            .collect()
    }

    /// Fails a call that can no longer succeed; refuses it instead if no upstream can have run it.
    fn give_up(&mut self, now: Time, id: CallId, fault: Fault, effects: &mut Vec<Effect<C>>) {
        let Some(mut call) = self.calls.remove(&id) else {
            return;
        };
        let is_open = call.parts.iter().any(|part| !part.in_flight.is_empty());
        let may_run = call.may_have_run || is_open || call.handed_to.is_some();
        self.withdraw(id, &call, effects);
        self.abandon_all(now, &call);
        if !may_run {
            if let Some(mut call) = self.relay(now, id, call, effects) {
                self.refuse(now, id, &mut call, Refusal::TurnedAway, effects);
            }
            return;
        }
        self.note_call_ended(now, &mut call, fault.name(), false, effects);
        effects.push(Effect::Answer(id, Answer::Failed(fault)));
    }

    /// Completes a call at its deadline, with an answer if enough parts have been received.
    pub(super) fn on_deadline(&mut self, now: Time, id: CallId, effects: &mut Vec<Effect<C>>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.handed_to.is_some() {
            self.give_up(now, id, Fault::Timeout, effects);
            return;
        }
        let progress = call.progress();
        if progress.answered >= progress.min_parts.max(1) || self.is_branch(id) {
            self.answer(now, id, effects);
        } else {
            self.give_up(now, id, Fault::Timeout, effects);
        }
    }

    /// Completes all pending calls, so that every caller gets an answer before its connection is
    /// closed.
    pub(super) fn on_stop(&mut self, now: Time, effects: &mut Vec<Effect<C>>) {
        let ids: Vec<CallId> = self.calls.keys().copied().collect();
        for id in ids {
            self.on_deadline(now, id, effects);
        }
    }

    /// Cancels a call whose caller has disconnected.
    pub(super) fn on_caller_gone(&mut self, now: Time, id: CallId, effects: &mut Vec<Effect<C>>) {
        let Some(mut call) = self.calls.remove(&id) else {
            return;
        };
        self.abandon_all(now, &call);
        self.withdraw(id, &call, effects);
        self.note_call_ended(now, &mut call, "caller_gone", false, effects);
    }

    /// Abandons the attempts that a call has in flight. Records late and missing parts for the
    /// reserve of the route, and parts that are open after the soft deadline for load shedding.
    fn abandon_all(&mut self, now: Time, call: &Call<C>) {
        let route = Rc::from(&*call.config.route(call.route).name);
        let is_gather = is_gather(&call.config, call.route);
        if is_gather && call.handed_to.is_none() && call.head.branch.is_none() {
            let is_over = now >= call.soft_deadline;
            let is_missed = |part: &&Part<C::Reply>| match part.state {
                PartState::Received(_) => part.is_late,
                // A branch that waits for one of its shards brings all others late.
                PartState::ReceivedByBranch => false,
                PartState::Lost => !part.tried.is_empty(),
                PartState::Open => is_over && !part.tried.is_empty(),
            };
            // Shards that shed load are skipped in proportion; if all of their parts counted here too,
            // one that never replies would take up the tolerance twice.
            let weight =
                |part: &Part<C::Reply>| self.shard_shedding(&part.service).admitted_share();
            let missed = call.parts.iter().filter(is_missed).map(weight).sum();
            self.route_state(&route).missed_parts.add(missed);
        }
        if is_gather && now >= call.soft_deadline {
            let queueing = self.queueing_wait(&route, call.parts.len());
            let is_queued = |part: &&Part<C::Reply>| {
                let first = part
                    .in_flight
                    .first()
                    .and_then(|key| self.attempts.get(*key));
                let waited = first.map(|attempt| now.since(attempt.sent));
                part.is_open()
                    && !part.tried.is_empty()
                    && waited.is_none_or(|waited| waited >= queueing)
            };
            for part in call.parts.iter().filter(is_queued) {
                self.shedding
                    .entry(part.service.clone())
                    .or_default()
                    .record_late();
            }
        }
        let in_flight = call
            .parts
            .iter()
            .flat_map(|part| part.in_flight.iter().copied());
        self.abandon(now, &route, in_flight);
    }

    /// Reports the outcome of a call to logs and metrics.
    pub(super) fn note_call_ended(
        &mut self,
        now: Time,
        call: &mut Call<C>,
        outcome: &'static str,
        is_success: bool,
        effects: &mut Vec<Effect<C>>,
    ) {
        let route = call.config.route(call.route);
        let progress = call.progress();
        let late = now > call.soft_deadline;
        let mut failed_attempts = std::mem::take(&mut call.failed_attempts);
        if !is_success || late || progress.answered < progress.asked {
            for part in call.parts.iter().filter(|part| part.is_open()) {
                for key in &part.in_flight {
                    if let Some(attempt) = self.attempts.get(*key)
                        && let Some(upstream) = self.directory.get(attempt.upstream)
                    {
                        failed_attempts.push(FailedAttempt {
                            upstream: upstream.entry.name.clone(),
                            service: part.service.clone(),
                            waited: now.since(attempt.sent),
                            failure: None,
                        });
                    }
                }
            }
        }
        effects.push(Effect::Note(Note::CallEnded(Box::new(CallSummary {
            id: call.head.id.clone(),
            digest: call.head.digest,
            route: route.name.clone(),
            version: call.config.version,
            organisation: call.organisation.clone(),
            outcome,
            took: now.since(call.arrived),
            allowed: call.allowed,
            answered: progress.answered,
            asked: progress.asked,
            skipped: call.skipped,
            extra: call.extra_attempts,
            late,
            via: call.via.clone(),
            is_branch: call.head.branch.is_some(),
            branch_instance: call.branch.as_ref().map(|branch| branch.instance.clone()),
            failed_attempts,
            overload: call.overload,
        }))));
    }

    /// Reports the outcome of a request that was not matched to a route.
    pub(super) fn note_unrouted(
        &self,
        head: &Head,
        outcome: &'static str,
        effects: &mut Vec<Effect<C>>,
    ) {
        effects.push(Effect::Note(Note::CallEnded(Box::new(CallSummary {
            id: head.id.clone(),
            digest: head.digest,
            route: Box::from(""),
            version: self.config.as_ref().map_or(0, |config| config.version),
            organisation: None,
            outcome,
            took: head.age,
            allowed: head.time_left.unwrap_or_default(),
            answered: 0,
            asked: 0,
            skipped: 0,
            extra: 0,
            late: false,
            via: None,
            is_branch: false,
            branch_instance: None,
            failed_attempts: Vec::new(),
            overload: None,
        }))));
    }
}

/// Builds the answer of a call that has enough parts.
fn into_answer<C: Protocol>(
    call: Call<C>,
    limited_shards: Vec<LimitedShard>,
    departures: Vec<(UpstreamName, u64)>,
) -> Option<Answer<C::Reply>> {
    let (asked, answered) = (call.parts.len(), call.progress().answered);
    let branch_reply = call.branch_reply;
    let is_gather = is_gather(&call.config, call.route);
    let mut replies = call.parts.into_iter().filter_map(|part| match part.state {
        PartState::Received(reply) => Some(reply),
        PartState::Open | PartState::Lost | PartState::ReceivedByBranch => None,
    });
    let Target::Gather(target) = &call.config.route(call.route).target else {
        return replies.next().map(Answer::Reply);
    };
    debug_assert!(is_gather);
    let replies: Vec<C::Reply> = replies.collect();
    let mut signatures: Vec<Box<str>> = replies
        .iter()
        .filter_map(|r| r.signature())
        .map(Box::from)
        .collect();
    signatures.extend(branch_reply.iter().flat_map(Reply::signatures));
    let bodies = replies.iter().chain(&branch_reply).map(Reply::body);
    Some(Answer::Gathered(Gathered {
        signatures,
        missing: asked - answered,
        body: merge::greatest(bodies, target.top),
        limited_shards,
        departures,
    }))
}
