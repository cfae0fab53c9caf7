//! Graceful shutdown: refuses new requests and stops once none is pending.

use std::time::Duration;

use base::Time;

use crate::{effect::Effect, node::Node};

/// Longest wait for other instances to take over the upstreams that this one owns.
const MAX_HANDOVER_WAIT: Duration = Duration::from_secs(2);

/// Longest wait for the platform to store the last outcomes.
const MAX_OUTCOME_WAIT: Duration = Duration::from_secs(5);

impl Node {
    /// Starts the shutdown: refuses new requests and notifies peers, which stop relaying to this
    /// instance.
    pub(crate) fn drain(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.stats.draining {
            return;
        }
        self.stats.draining = true;
        self.draining_since = now;
        self.idle_since = now;
        let hints = self.hints(now);
        self.members.leave(now, &hints, effects);
        self.follow_view(now, effects);
    }

    /// Stops the instance once no request is pending and its upstreams are handed over.
    pub(crate) fn stop_when_idle(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let idle = self.searches.is_empty() && self.attempts.is_empty() && self.runs.is_empty();
        if !idle {
            self.idle_since = now;
        }
        // Past this wait (the platform is down) the last outcomes are lost: repeated requests get
        // an unknown outcome.
        let unsaved = (self.claims.has_unsaved() || self.forwards.has_unsaved())
            && now.since(self.idle_since) < MAX_OUTCOME_WAIT;
        let has_successors = self
            .members
            .live_in(&self.identity.data_centre)
            .next()
            .is_some();
        let awaits_handover = has_successors
            && self.owners.held_count() > 0
            && now.since(self.draining_since) < MAX_HANDOVER_WAIT;
        if idle && !awaits_handover && !unsaved && !self.stopped {
            self.stopped = true;
            effects.push(Effect::Stop);
        }
    }
}
