//! Sending the parts of searches in the order of their urgency.

use std::collections::VecDeque;

use base::{CallId, Time};

use super::Tier;
use crate::{
    call::PartState, effect::Effect, event::Protocol, mechanism::Mechanism, timers::Due,
    upstream::UpstreamKey,
};

impl<C: Protocol> Tier<C> {
    /// Sends parts of a call to their upstreams; those of a search that is not among the most
    /// urgent ones wait until the instance has sent what came before.
    pub(super) fn send_parts(
        &mut self,
        now: Time,
        id: CallId,
        parts: VecDeque<(usize, UpstreamKey)>,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call
            .config
            .is_urgent(call.route, call.organisation.as_ref())
            || call.parts.len() == 1
            || !self.is_on(Mechanism::SendOrder)
        {
            for (at, upstream) in parts {
                self.send(now, id, at, upstream, effects);
            }
            return;
        }
        let organisation = call.organisation.as_ref();
        let priority = call.config.priority(call.route, organisation);
        self.send_order.add(id, priority, call.soft_deadline, parts);
        self.send_waiting(now, effects);
    }

    /// Sends waiting parts as far as the instance has caught up.
    fn send_waiting(&mut self, now: Time, effects: &mut Vec<Effect<C>>) {
        while let Some((id, at, upstream)) = self.send_order.next(now) {
            if !self.calls.contains_key(&id) {
                continue;
            }
            let upstream_state = self.directory.get(upstream);
            if upstream_state.is_some_and(|it| it.admits(now, false)) {
                self.send(now, id, at, upstream, effects);
            } else if !self.try_again(now, id, at, effects)
                && let Some(call) = self.calls.get_mut(&id)
            {
                call.parts[at].state = PartState::Lost;
                self.settle(now, id, effects);
            }
        }
        if let Some(next) = self.send_order.next_at()
            && !self.is_send_scheduled
        {
            self.is_send_scheduled = true;
            self.timers.set(next, Due::SendWaiting);
        }
    }

    /// Goes on with the parts that wait.
    pub(super) fn on_send_due(&mut self, now: Time, effects: &mut Vec<Effect<C>>) {
        self.is_send_scheduled = false;
        self.send_waiting(now, effects);
    }
}
