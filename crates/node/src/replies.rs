//! Handling of the outcomes of attempts, and what they reveal about upstreams.

use std::time::Duration;

use base::{AttemptId, RequestId, SnapshotId, Time, UpstreamName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    attempt::{Attempt, AttemptKey, Origin, SearchKey, Stage},
    directory::UpstreamId,
    effect::{Effect, Note},
    event::{Failure, Reply, UpstreamEvent},
    node::Node,
    protocol::Echo,
    search::AttemptFailure,
    upstreams::ReplicaCriteria,
};

impl Node {
    /// Handles the outcome of an attempt that this instance sent to an upstream.
    pub(crate) fn on_upstream(
        &mut self,
        now: Time,
        id: AttemptId,
        event: UpstreamEvent,
        effects: &mut Vec<Effect>,
    ) {
        let key = AttemptKey::from_id(id);
        let Some(attempt) = self.attempts.remove(key) else {
            self.stats.discarded += 1;
            return;
        };
        let event = self.attribute_failure(now, &attempt, event);
        self.record_upstream_state(now, &attempt, &event, effects);
        self.free_slot(now, attempt.upstream, effects);
        let broke = matches!(event, UpstreamEvent::Failed(Failure::Broken));
        self.probe_ended(now, key, &attempt, broke, effects);
        if attempt.stage != Stage::Cancelled {
            self.deliver_event(now, key, &attempt, event, effects);
        }
    }

    /// Delivers the outcome of an attempt to its origin.
    pub(crate) fn deliver_event(
        &mut self,
        now: Time,
        key: AttemptKey,
        attempt: &Attempt,
        event: UpstreamEvent,
        effects: &mut Vec<Effect>,
    ) {
        match &attempt.origin {
            Origin::Search { search, part } => {
                let (search, part) = (*search, *part);
                self.release_outstanding(attempt.upstream);
                self.on_search_event(now, key, attempt, (search, part), event, effects);
            }
            Origin::Peer { .. } => self.send_peer_result(attempt, event),
            Origin::Run { request } => self.on_run_event(now, *request, attempt, event, effects),
        }
    }

    /// Updates the state of an upstream from the outcome of an attempt, whatever its origin.
    pub(crate) fn record_upstream_state(
        &mut self,
        now: Time,
        attempt: &Attempt,
        event: &UpstreamEvent,
        effects: &mut Vec<Effect>,
    ) {
        let id = attempt.upstream;
        let mut draining = false;
        match event {
            UpstreamEvent::Replied(reply) => {
                draining = reply.draining;
                self.record_upstream_success(id, now.since(attempt.sent));
            }
            UpstreamEvent::Ran {
                draining: leaving, ..
            } => {
                draining = *leaving;
                self.record_upstream_success(id, now.since(attempt.sent));
            }
            UpstreamEvent::NoSnapshot {
                draining: leaving, ..
            }
            | UpstreamEvent::Refused {
                draining: leaving, ..
            } => draining = *leaving,
            UpstreamEvent::Failed(Failure::Connect | Failure::Broken) => {
                if let Some(upstream) = self.upstreams.get_mut(id) {
                    upstream.record_failure(now);
                }
            }
            UpstreamEvent::Failed(_) => {}
        }
        if draining {
            self.upstream_leaving(now, id, Duration::ZERO, effects);
        }
        if matches!(event, UpstreamEvent::Failed(Failure::Broken)) {
            self.record_broken_upstream(now, attempt, effects);
        }
    }

    fn record_upstream_success(&mut self, id: UpstreamId, took: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_success(took);
        }
    }

    fn record_broken_upstream(&mut self, now: Time, attempt: &Attempt, effects: &mut Vec<Effect>) {
        let upstream = self.directory.names().name(attempt.upstream).clone();
        if self
            .quarantine
            .record_broken(now, attempt.fingerprint, &upstream)
        {
            effects.push(Effect::Note(Note::Quarantined(attempt.fingerprint)));
        }
    }

    /// Marks an upstream as leaving; the attempts in its queue fail and are retried elsewhere.
    ///
    /// `age` is the time since the upstream was first reported as leaving, by any instance.
    pub(crate) fn upstream_leaving(
        &mut self,
        now: Time,
        id: UpstreamId,
        age: Duration,
        effects: &mut Vec<Effect>,
    ) {
        if !self.upstreams.mark_leaving(now, id, age) {
            return;
        }
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let waiting = std::mem::take(&mut upstream.queue);
        effects.push(Effect::Note(Note::UpstreamLeaving(
            self.directory.names().name(id).clone(),
        )));
        for key in waiting {
            self.fail_attempt(now, key, AttemptFailure::Leaving, effects);
        }
    }

    /// Fails an attempt without an event of its upstream: it is queued, relayed or rejected.
    pub(crate) fn fail_attempt(
        &mut self,
        now: Time,
        key: AttemptKey,
        failure: AttemptFailure,
        effects: &mut Vec<Effect>,
    ) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        self.probe_ended(
            now,
            key,
            &attempt,
            failure == AttemptFailure::Broken,
            effects,
        );
        match attempt.origin {
            Origin::Search { search, part } => {
                self.release_outstanding(attempt.upstream);
                self.part_failed(now, search, part, key, failure, effects);
            }
            Origin::Peer { .. } => self.send_peer_failure(&attempt, failure),
            Origin::Run { request } => {
                self.run_attempt_failed(now, request, &attempt, failure, effects);
            }
        }
    }

    fn on_search_event(
        &mut self,
        now: Time,
        key: AttemptKey,
        attempt: &Attempt,
        (search, part): (SearchKey, u32),
        event: UpstreamEvent,
        effects: &mut Vec<Effect>,
    ) {
        let failure = match event {
            UpstreamEvent::Replied(reply) => {
                return self.on_search_reply(now, key, attempt, (search, part), reply, effects);
            }
            UpstreamEvent::NoSnapshot { .. } => {
                if let (Some(search), Some(upstream)) = (
                    self.searches.get(search),
                    self.upstreams.get_mut(attempt.upstream),
                ) {
                    upstream.record_missing_snapshot(now, search.snapshot.id);
                }
                AttemptFailure::NoSnapshot
            }
            UpstreamEvent::Refused { draining: true, .. } => AttemptFailure::Leaving,
            UpstreamEvent::Refused { .. } => AttemptFailure::Overloaded,
            UpstreamEvent::Failed(Failure::Connect | Failure::Unrouted) => AttemptFailure::NotSent,
            UpstreamEvent::Failed(Failure::Broken) => AttemptFailure::Broken,
            UpstreamEvent::Failed(_) | UpstreamEvent::Ran { .. } => AttemptFailure::Invalid,
        };
        self.part_failed(now, search, part, key, failure, effects);
    }

    /// Handles a reply to a search; one that does not echo the identity of the attempt is
    /// discarded.
    pub(crate) fn on_search_reply(
        &mut self,
        now: Time,
        key: AttemptKey,
        attempt: &Attempt,
        (search_key, part): (SearchKey, u32),
        reply: Reply,
        effects: &mut Vec<Effect>,
    ) {
        let Some(search) = self.searches.get(search_key) else {
            self.stats.discarded += 1;
            return;
        };
        if !matches_attempt(
            &reply.echo,
            key,
            search.request,
            search.snapshot.id,
            search.shard(part).name.as_str(),
        ) {
            self.stats.discarded += 1;
            return self.part_failed(now, search_key, part, key, AttemptFailure::Invalid, effects);
        }
        let took = now.since(attempt.started);
        search.shard(part).latency.borrow_mut().add(took);
        search.entry.service.latency.borrow_mut().add(took);
        if let Some(search) = self.searches.get_mut(search_key) {
            search.max_slot_wait = search
                .max_slot_wait
                .max(attempt.sent.since(attempt.started));
            search.parts[part as usize].live.retain(|&live| live != key);
        }
        self.part_answered(now, search_key, part, reply.hits, effects);
    }

    /// Adds the age of an attempt that another one overtook to the latency of its shard, if it
    /// exceeds the estimate. Its true latency is unknown, but longer.
    pub(crate) fn record_censored_latency(
        &mut self,
        now: Time,
        search: SearchKey,
        part: u32,
        attempt: AttemptKey,
    ) {
        let (Some(search), Some(attempt)) = (self.searches.get(search), self.attempts.get(attempt))
        else {
            return;
        };
        let took = now.since(attempt.started);
        let mut expected = search.shard(part).latency.borrow_mut();
        if expected.get().is_some_and(|expected| took > expected) {
            expected.add(took);
        }
    }

    /// Decrements the outstanding attempts of the upstream of an attempt.
    pub(crate) fn end_outstanding(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get(key) {
            let upstream = attempt.upstream;
            self.release_outstanding(upstream);
        }
    }

    pub(crate) fn release_outstanding(&mut self, id: UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.outstanding = upstream.outstanding.saturating_sub(1);
        }
    }

    /// Chooses the upstream for the probe of a request, the same one at every instance of the data
    /// centre.
    pub(crate) fn choose_probe(
        &self,
        now: Time,
        fingerprint: u64,
        criteria: ReplicaCriteria<'_>,
        tried: &[UpstreamId],
    ) -> Option<UpstreamId> {
        let usable = |id: &UpstreamId| {
            let name = self.directory.names().name(*id);
            !tried.contains(id)
                && self.upstreams.can_serve(now, *id, criteria.snapshot)
                && !self.quarantine.has_broken(now, fingerprint, name)
        };
        let rank = |id: &UpstreamId| {
            let is_local = self
                .upstreams
                .get(*id)
                .is_some_and(|u| u.declaration.data_centre == *criteria.data_centre);
            (
                is_local,
                rendezvous_weight(fingerprint, self.directory.names().name(*id)),
            )
        };
        criteria
            .replicas
            .iter()
            .copied()
            .filter(usable)
            .max_by_key(rank)
    }
}

/// Returns the rendezvous weight of an upstream for a request.
fn rendezvous_weight(fingerprint: u64, upstream: &UpstreamName) -> u64 {
    xxh3_64_with_seed(upstream.as_str().as_bytes(), fingerprint)
}

/// Returns whether a reply echoes the complete identity of its attempt.
fn matches_attempt(
    echo: &Echo,
    attempt: AttemptKey,
    request: RequestId,
    snapshot: SnapshotId,
    shard: &str,
) -> bool {
    echo.request == request
        && echo.attempt == attempt.id().0
        && echo.snapshot == snapshot
        && echo.shard.as_str() == shard
}
