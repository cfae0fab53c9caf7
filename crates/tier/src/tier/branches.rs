//! Branches: shards of a search that another instance queries on behalf of this one.

use std::rc::Rc;

use base::{CallId, InstanceName, Time};

use super::{Tier, calls::is_gather};
use crate::{
    admit::ShardDecision,
    branch::{self, ReportedShare},
    call::{Branch, Call, PartState},
    config::{Config, Target},
    effect::{BranchRequest, Effect, HandOver, LimitedShard},
    event::{HandOverOutcome, Protocol, Reply},
    handover::Instance,
    homes::Homes,
    mechanism::Mechanism,
    placement::{self, Candidate},
    shedding::ShardShedding,
    timers::Due,
};

/// Share of the time until the soft deadline after which a branch instance that has not replied is
/// pinged; most branches have replied by then.
const OVERDUE_SHARE: f64 = 0.6;

/// The planned branch of a search: shards without a replica in the local data centre, and the
/// instance that queries them.
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
    /// Chooses an instance to query the shards without a local replica; `None` if the call is a
    /// branch itself, if it may have run before, or if no instance is suitable.
    pub(super) fn plan_branch(&mut self, now: Time, call: &Call<C>) -> Option<BranchPlan> {
        let is_whole_search = call.head.branch.is_none() && !call.may_have_run;
        let is_possible = is_whole_search && self.is_on(Mechanism::Branches);
        if !is_possible || !is_gather(&call.config, call.route) {
            return None;
        }
        let homes = Homes::of(&self.settings, call);
        let data_centres = call.parts.iter().map(|part| {
            let upstreams = self.directory.of(&part.service);
            upstreams
                .filter(|(_, upstream)| upstream.is_in_service())
                .map(|(_, upstream)| &upstream.entry.data_centre)
                .filter(|data_centre| homes.allows(data_centre))
        });
        let own = &*self.settings.data_centre;
        let remote = branch::plan(own, data_centres, &mut self.rng);
        remote.into_iter().find_map(|remote| {
            let cpu_share = self.settings.cpu_share;
            let to = self.instances.branch_instance(
                now,
                &remote.data_centre,
                cpu_share,
                call.config.protocol_level(),
                &mut self.rng,
            )?;
            if !homes.allows_instance(to, own) {
                return None;
            }
            Some(BranchPlan {
                to: to.clone(),
                shards: remote.shards,
            })
        })
    }

    /// Returns the admitted share of a remote shard as last reported by a branch instance; 1
    /// without a report.
    pub(super) fn reported_share(&self, now: Time, call: &Call<C>, at: usize) -> f64 {
        let report = self.reported_shares.get(&call.parts[at].service);
        report.map_or(1.0, |report| report.share(now))
    }

    /// Hands the admitted shards of a branch over to its instance.
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
            due: call.soft_deadline,
            version: call.config.version,
            organisation: call.organisation.clone(),
            hides_key: !call.config.organisations.is_empty(),
            was_refused: call.was_refused,
            may_have_run: false,
            branch: Some(BranchRequest {
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

    /// Sends the parts of a branch that another instance handed over; that instance has admitted
    /// them already.
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

    /// Returns the shards of a route whose admitted share is below 1, as observed by this instance.
    pub(super) fn limited_shards(
        &self,
        now: Time,
        config: &Config,
        route: usize,
    ) -> Vec<LimitedShard> {
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
            .map(|(shard, service)| LimitedShard {
                shard: shard as u32,
                share: share(service),
            })
            .filter(|it| it.share < ShardShedding::default().admitted_share())
            .collect()
    }

    /// Records the admitted shares that a branch instance reported; remote shards that it did not
    /// list have a share of 1.
    pub(super) fn on_limited_shards(&mut self, now: Time, id: CallId, reported: &[LimitedShard]) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(branch) = &call.branch else {
            return;
        };
        for at in &branch.remote_shards {
            let found = reported.iter().find(|it| it.shard as usize == *at);
            let share = found.map_or(1.0, |it| it.share);
            let service = call.parts[*at].service.clone();
            self.reported_shares
                .insert(service, ReportedShare::new(now, share));
        }
    }

    /// Marks a call as confirmed by its sender, and confirms its open branch in turn.
    pub(super) fn on_confirmed(&mut self, id: CallId, effects: &mut Vec<Effect<C>>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.is_confirmed = true;
        if let Some(branch) = call.branch.as_ref().filter(|branch| branch.is_open) {
            effects.push(Effect::Confirm(id, branch.instance.clone()));
        }
    }

    /// Returns whether the sender of a call has confirmed that it still waits, which allows second
    /// attempts.
    pub fn is_confirmed(&self, id: CallId) -> bool {
        self.calls.get(&id).is_some_and(|call| call.is_confirmed)
    }

    /// Closes the open branch of a call; returns its instance.
    pub(super) fn close_branch(&mut self, id: CallId) -> Option<InstanceName> {
        let branch = self.calls.get_mut(&id)?.branch.as_mut()?;
        if !std::mem::take(&mut branch.is_open) {
            return None;
        }
        self.instances.remove_pending(&branch.instance);
        Some(branch.instance.clone())
    }

    /// Handles the outcome of a branch.
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
                self.on_sign_of_instance(now, &to, effects);
                self.take_branch_reply(now, id, reply);
                self.settle(now, id, effects);
            }
            HandOverOutcome::Declined => {
                self.suspect_instance(now, &to, id, effects);
                self.eject_instance(now, to, effects);
                self.query_remote_shards(now, id, effects);
            }
            HandOverOutcome::Broken => {
                self.suspect_instance(now, &to, id, effects);
                // The instance may already have used up the attempts of these shards.
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

    /// Marks the shards of a branch as lost.
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

    /// Queries the shards of a declined branch from this instance.
    fn query_remote_shards(&mut self, now: Time, id: CallId, effects: &mut Vec<Effect<C>>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let route = call.config.route(call.route);
        let (objective, name) = (route.objective, Rc::from(&*route.name));
        let is_urgent = call
            .config
            .is_urgent(call.route, call.organisation.as_ref());
        let parts = call.branch.as_ref().map(|branch| branch.parts.clone());
        let mean_latency = self.route_state(&name).latency.mean(objective);
        for at in parts.unwrap_or_default() {
            let service = self.calls[&id].parts[at].service.clone();
            let extra = self.extra_attempts.entry(service.clone()).or_default();
            extra.add_request(now, self.settings.extra_window);
            let homes = Homes::of(&self.settings, &self.calls[&id]);
            let usable = self
                .directory
                .of(&service)
                .filter(|(_, up)| up.admits(now, is_urgent) && homes.allows(&up.entry.data_centre));
            let chooser = self.settings.chooser();
            if let Some(chosen) =
                placement::choose(now, usable, chooser, mean_latency, &mut self.rng)
            {
                self.send(now, id, at, chosen.key, effects);
            } else if let Some(call) = self.calls.get_mut(&id) {
                call.parts[at].state = PartState::Lost;
            }
        }
        self.settle(now, id, effects);
    }

    /// Returns whether a call is a branch that another instance handed over.
    pub(super) fn is_branch(&self, id: CallId) -> bool {
        let call = self.calls.get(&id);
        call.is_some_and(|call| call.head.branch.is_some())
    }
}
