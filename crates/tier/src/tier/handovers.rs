//! Handovers: requests that another instance runs on behalf of this one.

use std::{rc::Rc, time::Duration};

use base::{CallId, DataCentre, InstanceName, Time};

use super::{Tier, calls::is_gather};
use crate::{
    call::{Call, Part},
    config::{Config, Search},
    effect::{Answer, Effect, HandOver, Note, Refusal},
    event::{HandOverOutcome, Head, Origin, Protocol, Reply},
    handover::{Instance, LocalInstance},
    homes::Homes,
    mechanism::Mechanism,
    organisation::authenticate::CredentialFault,
    timers::Due,
};

/// Time within which a ping has to be answered: a network round trip of milliseconds and some
/// queueing on a loaded instance.
const PING_TIMEOUT: Duration = Duration::from_millis(120);

/// Divisor of the objective that gives the time within which an instance has to accept a search.
const ACCEPT_TIMEOUT_DIVISOR: u32 = 2;

/// Minimum and maximum of that time. A fan-out over a hundred shards takes 30 ms on half a core,
/// and a few of them may be queued ahead of the search.
const ACCEPT_TIMEOUT_RANGE: (Duration, Duration) =
    (Duration::from_millis(60), Duration::from_millis(150));

/// Maximum number of instances that a search is handed to, one after the other.
const MAX_HANDOVERS: u32 = 3;

/// Approximate number of shards whose replicas are examined to estimate the share of shards with a
/// replica in a data centre.
const SAMPLED_SHARDS: usize = 8;

/// Old configurations that are retained for searches of other instances. A series of changes may
/// write about a dozen versions within the time that an instance has to apply each of them.
const RETAINED_CONFIGS: usize = 16;

impl<C: Protocol> Tier<C> {
    /// Hands a caller's search over to an instance that is better suited to run it; returns the
    /// call if it has to run locally.
    pub(super) fn hand_over(
        &mut self,
        now: Time,
        id: CallId,
        call: Call<C>,
        effects: &mut Vec<Effect<C>>,
    ) -> Option<Call<C>> {
        let is_from_caller = call.head.origin == Origin::Caller;
        if !is_from_caller
            || !is_gather(&call.config, call.route)
            || call.handovers >= MAX_HANDOVERS
            || !self.is_on(Mechanism::Handovers)
        {
            return Some(call);
        }
        let own = LocalInstance {
            cpu_share: self.settings.cpu_share,
            data_centre: &self.settings.data_centre,
        };
        let directory = &self.directory;
        let homes = Homes::of(&self.settings, &call);
        let needed = call.config.protocol_level();
        let has_replica = |part: &&Part<C::Reply>, data_centre: &DataCentre| {
            let mut replicas = directory.of(&part.service);
            replicas.any(|(_, upstream)| {
                upstream.entry.data_centre == *data_centre && !upstream.is_evacuated
            }) && homes.allows(data_centre)
        };
        // A sample of the shards is enough, as all shards have their replicas placed alike.
        let sample = |instance: &Instance| {
            if instance.protocol < needed || !homes.allows_instance(instance, own.data_centre) {
                return None;
            }
            let parts = || {
                call.parts
                    .iter()
                    .step_by(call.parts.len() / SAMPLED_SHARDS + 1)
            };
            let local = parts()
                .filter(|part| has_replica(part, &instance.data_centre))
                .count();
            Some(local as f64 / parts().count().max(1) as f64)
        };
        let search = Search {
            parts: call.parts.len(),
            objective: call.config.route(call.route).objective,
        };
        let chosen = self
            .instances
            .choose(now, search, own, sample, &mut self.rng);
        let Some(chosen) = chosen.cloned() else {
            return Some(call);
        };
        self.hand_to(now, id, call, chosen, effects);
        None
    }

    /// Hands a call over to an instance.
    pub(super) fn hand_to(
        &mut self,
        now: Time,
        id: CallId,
        mut call: Call<C>,
        chosen: Instance,
        effects: &mut Vec<Effect<C>>,
    ) {
        let route = call.config.route(call.route);
        self.instances.add_pending(&chosen.name);
        self.acceptance.handed_over(now, &chosen.name);
        if route.idempotent {
            let silent = now + accept_timeout(route.objective);
            self.timers.set(silent, Due::Silent(id));
            self.timers.set(call.soft_deadline, Due::Overdue(id));
        }
        self.timers.set(call.deadline, Due::Deadline(id));
        effects.push(Effect::HandOver(HandOver {
            call: id,
            to: chosen.name.clone(),
            address: chosen.address,
            request: call.request.clone(),
            deadline: call.arrived + call.allowed.saturating_sub(self.settings.hop_delay),
            due: call.soft_deadline - self.acceptance.round_trip(self.settings.hop_delay),
            version: call.config.version,
            organisation: call.organisation.clone(),
            hides_key: !call.config.organisations.is_empty(),
            was_refused: call.was_refused,
            may_have_run: call.may_have_run,
            branch: None,
        }));
        call.handovers += 1;
        call.alive_since = now;
        call.handed_at = now;
        call.via = Some(chosen.name.clone());
        call.handed_to = Some(chosen.name);
        self.calls.insert(id, call);
    }

    /// Handles the outcome of a search or branch that was handed over.
    pub(super) fn on_handover_ended(
        &mut self,
        now: Time,
        id: CallId,
        end: HandOverOutcome<C::Reply>,
        effects: &mut Vec<Effect<C>>,
    ) {
        if let Some(to) = self.close_branch(id) {
            return self.on_branch_ended(now, id, to, end, effects);
        }
        let Some(to) = self.clear_handover(id) else {
            return;
        };
        match end {
            HandOverOutcome::Answer(reply) => {
                self.on_sign_of_instance(now, &to, effects);
                let Some(mut call) = self.calls.remove(&id) else {
                    return;
                };
                let is_success = reply.is_success();
                let outcome = if is_success {
                    "handed_over"
                } else {
                    "handed_over_failed"
                };
                self.note_call_ended(now, &mut call, outcome, is_success, effects);
                effects.push(Effect::Answer(id, Answer::Reply(reply)));
            }
            HandOverOutcome::Declined => {
                self.suspect_instance(now, &to, id, effects);
                self.eject_instance(now, to, effects);
                self.redispatch(now, id, false, effects);
            }
            HandOverOutcome::Broken => {
                let may_have_begun = self.calls.get(&id).is_some_and(|call| {
                    !call.config.route(call.route).idempotent
                        || self.instances.is_alive_since(&to, call.handed_at)
                        || call.may_have_run_elsewhere
                });
                self.suspect_instance(now, &to, id, effects);
                self.eject_instance(now, to, effects);
                if may_have_begun {
                    // The instance may already have used up the attempts of all parts.
                    self.fail(now, id, effects);
                } else {
                    self.redispatch(now, id, true, effects);
                }
            }
        }
    }

    /// Pings an instance that has not answered in time.
    pub(super) fn on_overdue(&mut self, now: Time, id: CallId, effects: &mut Vec<Effect<C>>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let Some(to) = call.remote_instance().cloned() {
            call.alive_since = now;
            self.suspect_instance(now, &to, id, effects);
            effects.push(Effect::Ping(to));
            self.timers.set(now + PING_TIMEOUT, Due::Silent(id));
        }
    }

    /// Disconnects and ejects an instance that has neither accepted a search nor answered a ping;
    /// one that has shown activity continues.
    pub(super) fn on_silent(&mut self, now: Time, id: CallId, effects: &mut Vec<Effect<C>>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(to) = call.remote_instance().cloned() else {
            return;
        };
        if self.instances.is_alive_since(&to, call.alive_since) {
            return;
        }
        let is_branch = call.handed_to.is_none();
        // Closing the connection ends all searches that were handed over to the instance.
        effects.push(Effect::Disconnect(to.clone()));
        if is_branch {
            // The whole data centre may be cut off; without this, each instance there would cost
            // another search its timeout.
            for other in self.instances.silent_neighbours(now, &to) {
                self.eject_instance(now, other, effects);
            }
        }
        self.eject_instance(now, to, effects);
    }

    /// Notifies the instance that a call waits for, if any, that its answer is no longer needed.
    pub(super) fn withdraw(&mut self, id: CallId, call: &Call<C>, effects: &mut Vec<Effect<C>>) {
        if let Some(to) = call.remote_instance() {
            self.instances.remove_pending(to);
            effects.push(Effect::Withdraw(id, to.clone()));
        }
    }

    /// Returns the configuration that a request runs with: that of the instance that received it
    /// from its caller. `None` if this instance does not have that version.
    pub(super) fn config_for(&self, head: &Head) -> Option<Rc<Config>> {
        let Origin::Instance { version, .. } = head.origin else {
            return self.config.clone();
        };
        let mut known = self.config.iter().chain(&self.old_configs);
        known.find(|config| config.version == version).cloned()
    }

    /// Retains a configuration that has been replaced.
    pub(super) fn retain_config(&mut self, config: Rc<Config>) {
        self.old_configs.push_front(config);
        self.old_configs.truncate(RETAINED_CONFIGS);
    }

    /// Ends the handover of a call; returns the instance that had it.
    fn clear_handover(&mut self, id: CallId) -> Option<InstanceName> {
        let to = self.calls.get_mut(&id)?.handed_to.take()?;
        self.instances.remove_pending(&to);
        Some(to)
    }

    /// Stops handing searches to an instance for a while.
    pub(super) fn eject_instance(
        &mut self,
        now: Time,
        name: InstanceName,
        effects: &mut Vec<Effect<C>>,
    ) {
        if self.instances.eject(now, &name) {
            effects.push(Effect::Note(Note::InstanceEjected(name)));
        }
    }

    /// Fails a search that another instance may have run.
    fn fail(&mut self, now: Time, id: CallId, effects: &mut Vec<Effect<C>>) {
        if let Some(mut call) = self.calls.remove(&id) {
            call.may_have_run = true;
            self.refuse(now, id, &mut call, Refusal::TurnedAway, effects);
        }
    }

    /// Hands a search over to yet another instance, or runs it locally.
    fn redispatch(
        &mut self,
        now: Time,
        id: CallId,
        may_have_run: bool,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(mut call) = self.calls.remove(&id) else {
            return;
        };
        call.may_have_run |= may_have_run;
        call.may_have_run_elsewhere |= may_have_run;
        if self
            .crashes
            .quarantine_left(now, call.head.digest)
            .is_some()
        {
            return self.refuse(now, id, &mut call, Refusal::Quarantined, effects);
        }
        if !call.may_have_run && self.has_lost_key(&call) {
            self.note_call_ended(
                now,
                &mut call,
                CredentialFault::Revoked.outcome(),
                false,
                effects,
            );
            effects.push(Effect::Answer(id, Answer::Unauthorised));
            return;
        }
        self.dispatch(now, id, call, effects);
    }

    /// Runs a call on this instance. If it may have run before, each of its parts counts as a
    /// second attempt against the budget for extra attempts.
    pub(super) fn run_locally(
        &mut self,
        now: Time,
        id: CallId,
        call: Call<C>,
        effects: &mut Vec<Effect<C>>,
    ) {
        let max_attempts = call.config.route(call.route).max_attempts;
        let may_send = |part: &Part<C::Reply>| {
            if !call.may_have_run {
                return true;
            }
            let bound = self.bound(&part.service);
            let extra = self.extra_attempts.entry(part.service.clone()).or_default();
            extra.add_request(now, bound.window);
            max_attempts > 1 && extra.try_take(now, &bound)
        };
        let allowed: Vec<bool> = call.parts.iter().map(may_send).collect();
        self.admit(now, id, call, &allowed, effects);
    }
}

/// Returns the time within which an instance has to accept a search.
fn accept_timeout(objective: Duration) -> Duration {
    (objective / ACCEPT_TIMEOUT_DIVISOR).clamp(ACCEPT_TIMEOUT_RANGE.0, ACCEPT_TIMEOUT_RANGE.1)
}
