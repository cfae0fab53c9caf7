//! What upstreams report of attempts, and what instances learn from it.

use std::time::Duration;

use base::{AttemptId, RequestId, SnapshotId, Time, UpstreamName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    attempt::{Attempt, AttemptKey, Origin, QueryKey, Stage},
    directory::UpstreamId,
    effect::{Effect, Note},
    event::{Failure, Reply, UpstreamEvent},
    node::Node,
    protocol::Echo,
    search::AttemptFailure,
    upstreams::Wanted,
};

impl Node {
    /// Takes an event of an attempt that this instance sent to an upstream.
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
        let event = self.attribute(now, &attempt, event);
        self.learn(now, &attempt, &event, effects);
        self.free_slot(now, attempt.upstream, effects);
        let broke = matches!(event, UpstreamEvent::Failed(Failure::Broken));
        self.probe_ended(now, key, &attempt, broke, effects);
        if attempt.stage != Stage::Cancelled {
            self.conclude(now, key, &attempt, event, effects);
        }
    }

    /// Passes the end of an attempt on to whoever it was for.
    pub(crate) fn conclude(
        &mut self,
        now: Time,
        key: AttemptKey,
        attempt: &Attempt,
        event: UpstreamEvent,
        effects: &mut Vec<Effect>,
    ) {
        match &attempt.origin {
            Origin::Search { query, part } => {
                let (query, part) = (*query, *part);
                self.release_outstanding(attempt.upstream);
                self.on_search_event(now, key, attempt, (query, part), event, effects);
            }
            Origin::Peer { .. } => self.relay_result(attempt, event),
            Origin::Run { request } => self.on_run_event(now, *request, attempt, event, effects),
        }
    }

    /// Records what an event says of its upstream, whoever asked.
    pub(crate) fn learn(
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
                self.note_success(id, now.since(attempt.sent));
            }
            UpstreamEvent::Ran {
                draining: leaving, ..
            } => {
                draining = *leaving;
                self.note_success(id, now.since(attempt.sent));
            }
            UpstreamEvent::NoSnapshot {
                draining: leaving, ..
            }
            | UpstreamEvent::Refused {
                draining: leaving, ..
            } => draining = *leaving,
            UpstreamEvent::Failed(Failure::Connect | Failure::Broken) => {
                if let Some(upstream) = self.upstreams.get_mut(id) {
                    upstream.failed(now);
                }
            }
            UpstreamEvent::Failed(_) => {}
        }
        if draining {
            self.upstream_leaving(now, id, Duration::ZERO, effects);
        }
        if matches!(event, UpstreamEvent::Failed(Failure::Broken)) {
            self.note_broken(now, attempt, effects);
        }
    }

    fn note_success(&mut self, id: UpstreamId, took: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.succeeded(took);
        }
    }

    fn note_broken(&mut self, now: Time, attempt: &Attempt, effects: &mut Vec<Effect>) {
        let upstream = self.directory.names().name(attempt.upstream).clone();
        if self.quarantine.broke(now, attempt.fingerprint, &upstream) {
            effects.push(Effect::Note(Note::Quarantined(attempt.fingerprint)));
        }
    }

    /// Records that an upstream takes no new work; what waits for it goes elsewhere.
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

    /// Ends an attempt that never left this instance.
    pub(crate) fn fail_attempt(
        &mut self,
        now: Time,
        key: AttemptKey,
        ended: AttemptFailure,
        effects: &mut Vec<Effect>,
    ) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        self.probe_ended(now, key, &attempt, ended == AttemptFailure::Broken, effects);
        match attempt.origin {
            Origin::Search { query, part } => {
                self.release_outstanding(attempt.upstream);
                self.part_failed(now, query, part, key, ended, effects);
            }
            Origin::Peer { .. } => self.relay_refused(&attempt, ended),
            Origin::Run { request } => {
                self.run_queued_ended(now, request, &attempt, ended, effects);
            }
        }
    }

    fn on_search_event(
        &mut self,
        now: Time,
        key: AttemptKey,
        attempt: &Attempt,
        (query, part): (QueryKey, u32),
        event: UpstreamEvent,
        effects: &mut Vec<Effect>,
    ) {
        let ended = match event {
            UpstreamEvent::Replied(reply) => {
                return self.on_search_reply(now, key, attempt, (query, part), reply, effects);
            }
            UpstreamEvent::NoSnapshot { .. } => {
                if let (Some(query), Some(upstream)) = (
                    self.queries.get(query),
                    self.upstreams.get_mut(attempt.upstream),
                ) {
                    upstream.lacks_snapshot(now, query.snapshot.id);
                }
                AttemptFailure::NoSnapshot
            }
            UpstreamEvent::Refused { draining: true, .. } => AttemptFailure::Leaving,
            UpstreamEvent::Refused { .. } => AttemptFailure::Overloaded,
            UpstreamEvent::Failed(Failure::Connect | Failure::Unrouted) => AttemptFailure::NotSent,
            UpstreamEvent::Failed(Failure::Broken) => AttemptFailure::Broken,
            UpstreamEvent::Failed(_) | UpstreamEvent::Ran { .. } => AttemptFailure::Invalid,
        };
        self.part_failed(now, query, part, key, ended, effects);
    }

    /// Takes a reply into its search if it repeats the attempt's identity, and discards it if not.
    pub(crate) fn on_search_reply(
        &mut self,
        now: Time,
        key: AttemptKey,
        attempt: &Attempt,
        (query_key, part): (QueryKey, u32),
        reply: Reply,
        effects: &mut Vec<Effect>,
    ) {
        let Some(query) = self.queries.get(query_key) else {
            self.stats.discarded += 1;
            return;
        };
        if !echoes(
            &reply.echo,
            key,
            query.request,
            query.snapshot.id,
            query.shard(part).name.as_str(),
        ) {
            self.stats.discarded += 1;
            return self.part_failed(now, query_key, part, key, AttemptFailure::Invalid, effects);
        }
        let took = now.since(attempt.started);
        query.shard(part).latency.borrow_mut().add(took);
        query.entry.service.latency.borrow_mut().add(took);
        if let Some(query) = self.queries.get_mut(query_key) {
            query.waited = query.waited.max(attempt.sent.since(attempt.started));
            query.parts[part as usize].live.retain(|&live| live != key);
        }
        self.part_answered(now, query_key, part, reply.hits, effects);
    }

    /// Counts the time of an attempt that lost against another when it is longer than usual.
    pub(crate) fn note_censored(
        &mut self,
        now: Time,
        query: QueryKey,
        part: u32,
        attempt: AttemptKey,
    ) {
        let (Some(query), Some(attempt)) = (self.queries.get(query), self.attempts.get(attempt))
        else {
            return;
        };
        let took = now.since(attempt.started);
        let mut usual = query.shard(part).latency.borrow_mut();
        if usual.get().is_some_and(|usual| took > usual) {
            usual.add(took);
        }
    }

    /// Counts the end of one of this instance's own attempts against its upstream.
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

    /// Chooses the upstream that tries out a request: the same one at every instance.
    pub(crate) fn choose_probe(
        &self,
        now: Time,
        fingerprint: u64,
        wanted: Wanted<'_>,
        tried: &[UpstreamId],
    ) -> Option<UpstreamId> {
        let usable = |id: &UpstreamId| {
            let name = self.directory.names().name(*id);
            !tried.contains(id)
                && self.upstreams.can_serve(now, *id, wanted.snapshot)
                && !self.quarantine.has_broken(now, fingerprint, name)
        };
        let rank = |id: &UpstreamId| {
            let near = self
                .upstreams
                .get(*id)
                .is_some_and(|u| u.declaration.data_centre == *wanted.home);
            (
                near,
                rendezvous(fingerprint, self.directory.names().name(*id)),
            )
        };
        wanted
            .replicas
            .iter()
            .copied()
            .filter(usable)
            .max_by_key(rank)
    }
}

/// Returns the rendezvous weight of an upstream for a request.
fn rendezvous(fingerprint: u64, upstream: &UpstreamName) -> u64 {
    xxh3_64_with_seed(upstream.as_str().as_bytes(), fingerprint)
}

/// Returns whether a reply repeats the whole identity of its attempt.
fn echoes(
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
