//! Sub-requests that go through the instance which owns their upstream.

use base::Time;

use crate::{
    attempt::{Attempt, AttemptKey},
    dispatch::Dispatched,
    effect::Effect,
    event::UpstreamEvent,
    node::Node,
    search::Ended,
};

impl Node {
    /// Sends an attempt to its upstream, or to the instance that owns the upstream.
    pub(crate) fn route(
        &mut self,
        now: Time,
        attempt: Attempt,
        effects: &mut Vec<Effect>,
    ) -> (AttemptKey, Dispatched) {
        self.dispatch(now, attempt, effects)
    }

    pub(crate) fn cancel_relayed(&mut self, key: AttemptKey) {
        let _ = key;
    }

    pub(crate) fn relay_result(&mut self, now: Time, attempt: &Attempt, event: UpstreamEvent) {
        let _ = (now, attempt, event);
    }

    pub(crate) fn relay_refused(&mut self, attempt: &Attempt, ended: Ended) {
        let _ = (attempt, ended);
    }
}
