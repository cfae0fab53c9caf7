//! Probes (canary requests) of requests that may crash upstreams, one at a time per upstream and
//! request.
//!
//! All instances of a data centre probe a request at the same upstream, so the owner of that
//! upstream sees all probes. While one is in flight the others wait for its outcome, and fail with
//! it if the upstream crashes.

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

/// The active probe of a request, and the probes of the same request that wait for its outcome.
#[derive(Debug)]
pub(crate) struct Probe {
    active: AttemptKey,
    waiting: Vec<AttemptKey>,
}

/// Probes, by upstream and digest of the request.
pub(crate) type Probes = HashMap<(UpstreamId, u64), Probe>;

impl Node {
    /// Reports a broken connection as [`Failure::Connect`] if another request is the likely cause.
    ///
    /// When an upstream crashes, all connections to it break. If a suspect attempt is or was in
    /// flight there, an attempt that is not suspect counts as not sent: it is retried at another
    /// replica and does not count towards quarantine.
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

    /// Returns the upstreams that share a shard with one that the request of the search broke.
    ///
    /// A probe at one of these could cost the shard a second replica.
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

    /// Returns whether a suspect attempt is in flight at an upstream.
    fn has_suspect_in_flight(&self, upstream: UpstreamId) -> bool {
        let in_flight = |attempt: &&Attempt| {
            let sent = matches!(attempt.stage, Stage::Sent | Stage::Cancelled);
            sent && attempt.upstream == upstream
        };
        let mut attempts = self.attempts.values().filter(in_flight);
        attempts.any(Attempt::is_suspect)
    }

    /// Queues a probe behind the active one of the same upstream and request; returns whether there
    /// is one. Without one, the given probe becomes the active one.
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

    /// Fails the waiting probes if the active one broke the upstream, and sends the next one if
    /// not.
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
