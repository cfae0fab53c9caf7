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
    query::Query,
    search::AttemptFailure,
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
    pub(crate) fn attribute(
        &mut self,
        now: Time,
        attempt: &Attempt,
        event: UpstreamEvent,
    ) -> UpstreamEvent {
        if !matches!(event, UpstreamEvent::Failed(Failure::Broken)) {
            return event;
        }
        let beside_suspect = self.has_suspect_in_flight(attempt.upstream);
        let Some(upstream) = self.upstreams.get_mut(attempt.upstream) else {
            return event;
        };
        if attempt.is_suspect() {
            upstream.suspect_broke(now);
            return event;
        }
        if beside_suspect || upstream.has_broken_suspect_since(attempt.sent) {
            return UpstreamEvent::Failed(Failure::Connect);
        }
        event
    }

    /// Returns the upstreams that share a shard with one which the search's request has broken.
    ///
    /// If such a one broke as well, the shard would have lost two replicas to the same request.
    pub(crate) fn beside_broken(&self, now: Time, query: &Query) -> HashSet<UpstreamId> {
        let names = self.directory.names();
        let broken = self.quarantine.broken(now, query.fingerprint);
        let broken: Vec<UpstreamId> = broken.iter().filter_map(|name| names.get(name)).collect();
        let shards = query.snapshot.shards.iter();
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
                self.fail_attempt(now, waiting, AttemptFailure::Broken, effects);
            } else if self.attempts.contains_key(waiting) && !self.waits_for_probe(waiting) {
                self.enqueue(now, waiting, effects);
            }
        }
    }
}
