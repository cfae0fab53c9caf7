//! Requests that must run at most once.

use base::Time;

use crate::{attempt::Attempt, effect::Effect, event::UpstreamEvent, node::Node};

impl Node {
    pub(crate) fn on_run_event(
        &mut self,
        now: Time,
        attempt: &Attempt,
        event: UpstreamEvent,
        effects: &mut Vec<Effect>,
    ) {
        let _ = (now, attempt, event, effects);
    }

    pub(crate) fn run_not_sent(&mut self, now: Time, attempt: &Attempt, effects: &mut Vec<Effect>) {
        let _ = (now, attempt, effects);
    }
}
