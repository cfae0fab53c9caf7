//! Probes of requests that may break upstreams, one at a time for each upstream and request.
//!
//! All instances probe a request at the same upstream, so its owner sees all probes: while one is
//! in flight the others wait for its outcome, and share it when the upstream breaks.

use std::collections::{HashMap, HashSet};

use base::Time;

use crate::{
    attempt::{Attempt, AttemptKey, Stage},
    directory::UpstreamId,
    effect::Effect,
    event::{Failure, UpstreamEvent},
    node::Node,
    search::AttemptFailure,
    search_state::SearchState,
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
    /// Tells a request that broke its upstream from those that were in flight beside it.
    ///
    /// All connections to an upstream break at once. When a probe or a run is or was among them,
    /// searches that have been answered before count as not sent and go to another replica.
    pub(crate) fn attribute_failure(
        &mut self,
        now: Time,
        attempt: &Attempt,
        event: UpstreamEvent,
    ) -> UpstreamEvent {
        if !matches!(event, UpstreamEvent::Failed(Failure::Broken)) {
            return event;
        }
        let suspect_in_flight = self.has_suspect_in_flight(attempt.upstream);
        let Some(upstream) = self.upstreams.get_mut(attempt.upstream) else {
            return event;
        };
        if attempt.is_suspect() {
            upstream.record_suspect_failure(now);
            return event;
        }
        if suspect_in_flight || upstream.has_suspect_failed_since(attempt.sent) {
            return UpstreamEvent::Failed(Failure::Connect);
        }
        event
    }

    /// Returns the upstreams that share a shard with one which the search's request has broken.
    ///
    /// If such a one broke as well, the shard would have lost two replicas to the same request.
    pub(crate) fn sharing_broken_shards(
        &self,
        now: Time,
        search: &SearchState,
    ) -> HashSet<UpstreamId> {
        let names = self.directory.names();
        let broken = self.quarantine.broken_upstreams(now, search.fingerprint);
        let broken: Vec<UpstreamId> = broken.iter().filter_map(|name| names.get(name)).collect();
        let shards = search.snapshot.shards.iter();
        let shared = shards.filter(|s| s.replicas.iter().any(|id| broken.contains(id)));
        shared.flat_map(|s| s.replicas.iter().copied()).collect()
    }

    /// Returns whether an upstream has a request in hand that it may never have answered before.
    fn has_suspect_in_flight(&self, upstream: UpstreamId) -> bool {
        let in_flight = |attempt: &&Attempt| {
            let sent = matches!(attempt.stage, Stage::Sent | Stage::Cancelled);
            sent && attempt.upstream == upstream
        };
        let mut attempts = self.attempts.values().filter(in_flight);
        attempts.any(Attempt::is_suspect)
    }

    /// Returns whether an attempt is a probe that waits for the outcome of another.
    pub(crate) fn join_running_probe(&mut self, key: AttemptKey) -> bool {
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
        let probe_key = (attempt.upstream, attempt.fingerprint);
        if self
            .probes
            .get(&probe_key)
            .is_none_or(|probe| probe.active != key)
        {
            return;
        }
        let Some(probe) = self.probes.remove(&probe_key) else {
            return;
        };
        for waiting in probe.waiting {
            if broke {
                self.fail_attempt(now, waiting, AttemptFailure::Broken, effects);
            } else if self.attempts.contains_key(waiting) && !self.join_running_probe(waiting) {
                self.enqueue(now, waiting, effects);
            }
        }
    }
}
