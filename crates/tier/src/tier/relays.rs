//! Relays: requests that this instance hands over because it does not reach the upstreams.

use base::{CallId, Time};

use super::{Tier, calls::is_gather};
use crate::{
    call::{Call, Part},
    config::Search,
    effect::{Effect, Refusal},
    event::{Origin, Protocol},
    handover::Instance,
    homes::Homes,
};

/// Maximum number of instances that a request is handed to, one after the other. One that is cut
/// off too declines within a network round trip.
const MAX_RELAYS: u32 = 6;

impl<C: Protocol> Tier<C> {
    /// Hands a call over to another instance, or runs it locally.
    pub(super) fn dispatch(
        &mut self,
        now: Time,
        id: CallId,
        call: Call<C>,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(call) = self.hand_over(now, id, call, effects) else {
            return;
        };
        let is_cut_off = self.is_out_of_reach() && self.reachability.is_cut_off();
        // A single service may still be in reach when many shards are not.
        let is_relayed = is_cut_off || is_gather(&call.config, call.route);
        let call = match is_relayed {
            true => self.relay(now, id, call, effects),
            false => Some(call),
        };
        match call {
            Some(mut call) if is_cut_off => {
                self.refuse(now, id, &mut call, Refusal::CutOff, effects);
            }
            Some(call) => self.run_locally(now, id, call, effects),
            None => {}
        }
    }

    /// Hands a call over to an instance that may reach the upstreams, if this one does not; returns
    /// the call if it stays here.
    pub(super) fn relay(
        &mut self,
        now: Time,
        id: CallId,
        mut call: Call<C>,
        effects: &mut Vec<Effect<C>>,
    ) -> Option<Call<C>> {
        let is_cut_off = self.is_out_of_reach();
        // What another instance handed over goes back to it, so that requests do not travel between
        // instances that are all cut off.
        let is_from_caller = call.head.origin == Origin::Caller;
        let may_repeat = call.config.route(call.route).idempotent || !call.may_have_run;
        if !is_cut_off
            || !is_from_caller
            || !may_repeat
            || call.handovers >= MAX_RELAYS
            || now >= call.deadline
            || self.stops_before(now, call.config.route(call.route))
        {
            return Some(call);
        }
        let search = is_gather(&call.config, call.route).then(|| Search {
            parts: call.parts.len(),
            objective: call.config.route(call.route).objective,
        });
        let own = &self.settings.instance;
        let needed = call.config.protocol_level();
        let homes = Homes::of(&self.settings, &call);
        let may_run = |it: &Instance| homes.allows_instance(it, &self.settings.data_centre);
        let chosen = self
            .instances
            .relay_instance(now, own, search, needed, may_run);
        let Some(chosen) = chosen.cloned() else {
            return Some(call);
        };
        for part in &mut call.parts {
            *part = Part::new(part.service.clone());
        }
        call.skipped = 0;
        self.hand_to(now, id, call, chosen, effects);
        None
    }
}
