//! Shards of a search that another instance asks.

use std::rc::Rc;

use base::{CallId, InstanceName, Time};

use super::{Tier, calls::is_gather};
use crate::{
    admit::ShardDecision,
    branch::{self, ReportedShare},
    call::{Branch, Call, PartState},
    config::{Config, Target},
    effect::{BranchOrder, Effect, HandOver, OverloadedShard},
    event::{HandOverOutcome, Protocol, Reply},
    handover::Instance,
    placement::{self, Candidate},
    shedding::ShardShedding,
    timers::Due,
};

/// Part of the time until the answer is due after which an instance without a reply is asked whether
/// it is alive; most replies are in by then.
const OVERDUE_SHARE: f64 = 0.6;

/// What is planned for the shards of a search that have no replica in the own data centre.
pub(super) struct BranchPlan {
    to: Instance,
    /// Positions of the shards, ascending.
    shards: Vec<usize>,
}

impl BranchPlan {
    pub(super) fn has(&self, at: usize) -> bool {
        self.shards.binary_search(&at).is_ok()
    }
}

impl<C: Protocol> Tier<C> {
    /// Finds the instance that is to ask the shards that are far from here.
    pub(super) fn plan_branch(&mut self, now: Time, call: &Call<C>) -> Option<BranchPlan> {
        let is_whole_search = call.head.branch.is_none() && !call.may_have_run;
        if !is_whole_search || !is_gather(&call.config, call.route) {
            return None;
        }
        let data_centres = call.parts.iter().map(|part| {
            let upstreams = self.directory.of(&part.service);
            upstreams
                .filter(|(_, upstream)| !upstream.entry.draining)
                .map(|(_, upstream)| &upstream.entry.data_centre)
        });
        let own = &*self.settings.data_centre;
        let remote = branch::plan(own, data_centres, &mut self.rng);
        remote.into_iter().find_map(|remote| {
            let cpu_share = self.settings.cpu_share;
            let to = self.instances.branch_instance(
                now,
                &remote.data_centre,
                cpu_share,
                &mut self.rng,
            )?;
            Some(BranchPlan {
                to: to.clone(),
                shards: remote.shards,
            })
        })
    }

    /// Returns the share of searches that a far shard takes, as far as it was told.
    pub(super) fn reported_share(&self, now: Time, call: &Call<C>, at: usize) -> f64 {
        let report = self.reported_shares.get(&call.parts[at].service);
        report.map_or(1.0, |report| report.share(now))
    }

    /// Gives the far shards that are to be asked to another instance.
    pub(super) fn send_branch(
        &mut self,
        now: Time,
        id: CallId,
        call: &mut Call<C>,
        plan: BranchPlan,
        decisions: &[ShardDecision],
        effects: &mut Vec<Effect<C>>,
    ) {
        let is_sent = |at: &usize| decisions[*at] == ShardDecision::Send;
        let parts: Vec<usize> = plan.shards.iter().copied().filter(is_sent).collect();
        if parts.is_empty() {
            return;
        }
        let skippable = call
            .parts
            .len()
            .saturating_sub(call.min_parts + call.skipped);
        self.instances.add_pending(&plan.to.name);
        let overdue = call.soft_deadline.since(now).mul_f64(OVERDUE_SHARE);
        self.timers.set(now + overdue, Due::Overdue(id));
        effects.push(Effect::HandOver(HandOver {
            call: id,
            to: plan.to.name.clone(),
            address: plan.to.address,
            request: call.request.clone(),
            deadline: call.deadline,
            version: call.config.version,
            was_refused: call.was_refused,
            may_have_run: false,
            branch: Some(BranchOrder {
                shards: parts.iter().map(|at| *at as u32).collect(),
                min_parts: parts.len().saturating_sub(skippable),
                soft_deadline: call.soft_deadline,
                is_confirmed: call.is_confirmed,
            }),
        }));
        call.alive_since = now;
        call.handed_at = now;
        call.branch = Some(Branch {
            instance: plan.to.name,
            remote_shards: plan.shards,
            parts,
            is_open: true,
        });
    }

    /// Sends the parts that another instance has asked for; they were admitted there.
    pub(super) fn run_branch(
        &mut self,
        now: Time,
        id: CallId,
        mut call: Call<C>,
        candidates: &[Option<Candidate>],
        effects: &mut Vec<Effect<C>>,
    ) {
        self.timers.set(call.deadline, Due::Deadline(id));
        self.timers.set(call.soft_deadline, Due::SoftDeadline(id));
        for (part, candidate) in call.parts.iter_mut().zip(candidates) {
            if candidate.is_none() {
                part.state = PartState::Lost;
            }
        }
        self.calls.insert(id, call);
        for (at, candidate) in candidates.iter().enumerate() {
            if let Some(candidate) = candidate {
                self.send(now, id, at, candidate.key, effects);
            }
        }
        self.settle(now, id, effects);
    }

    /// Returns the shards of a route that take fewer than all searches, as seen here.
    pub(super) fn overloaded_shards(
        &self,
        now: Time,
        config: &Config,
        route: usize,
    ) -> Vec<OverloadedShard> {
        let Target::Gather(gather) = &config.route(route).target else {
            return Vec::new();
        };
        let share = |service| {
            let mut upstreams = self.directory.of(service);
            match upstreams.any(|(_, upstream)| upstream.is_usable(now)) {
                true => self
                    .shedding
                    .get(service)
                    .map_or(1.0, |shedding| shedding.admitted_share()),
                false => 0.0,
            }
        };
        let shards = gather.shards.iter().enumerate();
        shards
            .map(|(shard, service)| OverloadedShard {
                shard: shard as u32,
                share: share(service),
            })
            .filter(|short| short.share < ShardShedding::default().admitted_share())
            .collect()
    }

    /// Takes what an instance has told about the shards that it asks.
    pub(super) fn on_overloaded_shards(
        &mut self,
        now: Time,
        id: CallId,
        short: &[OverloadedShard],
    ) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(branch) = &call.branch else {
            return;
        };
        for at in &branch.remote_shards {
            let found = short.iter().find(|short| short.shard as usize == *at);
            let share = found.map_or(1.0, |short| short.share);
            let service = call.parts[*at].service.clone();
            self.reported_shares
                .insert(service, ReportedShare::new(now, share));
        }
    }

    /// Tells the instance that asks far shards that its reply is still wanted.
    pub(super) fn on_confirmed(&mut self, id: CallId, effects: &mut Vec<Effect<C>>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.is_confirmed = true;
        if let Some(branch) = call.branch.as_ref().filter(|branch| branch.is_open) {
            effects.push(Effect::Confirm(id, branch.instance.clone()));
        }
    }

    /// Returns whether second attempts of a call may be sent.
    pub fn is_confirmed(&self, id: CallId) -> bool {
        self.calls.get(&id).is_some_and(|call| call.is_confirmed)
    }

    /// Ends the wait for the instance that asks far shards; returns it.
    pub(super) fn close_branch(&mut self, id: CallId) -> Option<InstanceName> {
        let branch = self.calls.get_mut(&id)?.branch.as_mut()?;
        if !std::mem::take(&mut branch.is_open) {
            return None;
        }
        self.instances.remove_pending(&branch.instance);
        Some(branch.instance.clone())
    }

    /// Takes what another instance has got from far shards, or the news that it has got nothing.
    pub(super) fn on_branch_ended(
        &mut self,
        now: Time,
        id: CallId,
        to: InstanceName,
        end: HandOverOutcome<C::Reply>,
        effects: &mut Vec<Effect<C>>,
    ) {
        match end {
            HandOverOutcome::Answer(reply) => {
                self.instances.mark_alive(now, &to);
                self.take_branch_reply(now, id, reply);
                self.settle(now, id, effects);
            }
            HandOverOutcome::Declined => {
                self.eject_instance(now, to, effects);
                self.ask_remote_shards(now, id, effects);
            }
            HandOverOutcome::Broken => {
                // Its shards may have used up their attempts.
                self.eject_instance(now, to, effects);
                self.fail_branch(id);
                self.settle(now, id, effects);
            }
        }
    }

    fn take_branch_reply(&mut self, now: Time, id: CallId, reply: C::Reply) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.may_have_run = true;
        let Some(branch) = &call.branch else {
            return;
        };
        let count = match reply.is_success() {
            true => reply.signatures().len(),
            false => 0,
        };
        let is_late = now >= call.soft_deadline;
        for (position, at) in branch.parts.iter().enumerate() {
            let part = &mut call.parts[*at];
            part.is_late = is_late;
            part.state = match position < count {
                true => PartState::ReceivedByBranch,
                false => PartState::Lost,
            };
        }
        call.branch_reply = (count > 0).then_some(reply);
    }

    /// Gives up the shards that another instance had.
    fn fail_branch(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.may_have_run = true;
        if let Some(branch) = &call.branch {
            for at in &branch.parts {
                call.parts[*at].state = PartState::Lost;
            }
        }
    }

    /// Asks the shards from here that another instance did not take.
    fn ask_remote_shards(&mut self, now: Time, id: CallId, effects: &mut Vec<Effect<C>>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let route = call.config.route(call.route);
        let (objective, name) = (route.objective, Rc::from(&*route.name));
        let parts = call.branch.as_ref().map(|branch| branch.parts.clone());
        let usual = self.route_state(&name).latency.mean(objective);
        for at in parts.unwrap_or_default() {
            let service = self.calls[&id].parts[at].service.clone();
            let extra = self.extra_attempts.entry(service.clone()).or_default();
            extra.add_request(now, self.settings.extra_window);
            let usable = self
                .directory
                .of(&service)
                .filter(|(_, up)| up.is_usable(now));
            let data_centre = &self.settings.data_centre;
            if let Some(chosen) = placement::choose(now, usable, data_centre, usual, &mut self.rng)
            {
                self.send(now, id, at, chosen.key, effects);
            } else if let Some(call) = self.calls.get_mut(&id) {
                call.parts[at].state = PartState::Lost;
            }
        }
        self.settle(now, id, effects);
    }

    /// Returns whether a call runs shards for another instance.
    pub(super) fn is_branch(&self, id: CallId) -> bool {
        let call = self.calls.get(&id);
        call.is_some_and(|call| call.head.branch.is_some())
    }
}
