//! Probes of requests that may break upstreams, one at a time for each upstream and request.
//!
//! All instances probe a request at the same upstream, so its owner sees all probes: while one is
//! in flight the others wait for its outcome, and share it when the upstream breaks.

use std::collections::HashMap;

use base::Time;

use crate::{
    attempt::{Attempt, AttemptKey},
    directory::UpstreamId,
    effect::Effect,
    node::Node,
    search::Ended,
};

/// A probe in flight and the probes of the same request that wait for its outcome.
#[derive(Debug)]
pub(crate) struct Probe {
    active: AttemptKey,
    waiting: Vec<AttemptKey>,
}

/// Probes by upstream and digest of the request.
pub(crate) type Probes = HashMap<(UpstreamId, u64), Probe>;

impl Node {
    /// Returns whether an attempt is a probe that waits for the outcome of another.
    pub(crate) fn waits_for_probe(&mut self, key: AttemptKey) -> bool {
        let Some(attempt) = self.attempts.get(key).filter(|a| a.probe) else {
            return false;
        };
        match self
            .probes
            .get_mut(&(attempt.upstream, attempt.fingerprint))
        {
            Some(probe) => {
                probe.waiting.push(key);
                true
            }
            None => {
                let probe = Probe {
                    active: key,
                    waiting: Vec::new(),
                };
                self.probes
                    .insert((attempt.upstream, attempt.fingerprint), probe);
                false
            }
        }
    }

    /// Gives the outcome of a probe to those that waited for it.
    pub(crate) fn probe_ended(
        &mut self,
        now: Time,
        key: AttemptKey,
        attempt: &Attempt,
        broke: bool,
        effects: &mut Vec<Effect>,
    ) {
        if !attempt.probe {
            return;
        }
        let place = (attempt.upstream, attempt.fingerprint);
        if self
            .probes
            .get(&place)
            .is_none_or(|probe| probe.active != key)
        {
            return;
        }
        let Some(probe) = self.probes.remove(&place) else {
            return;
        };
        for waiting in probe.waiting {
            if broke {
                self.queued_ended(now, waiting, Ended::Broke, effects);
            } else if self.attempts.contains_key(waiting) && !self.waits_for_probe(waiting) {
                self.enqueue(now, waiting, effects);
            }
        }
    }
}
