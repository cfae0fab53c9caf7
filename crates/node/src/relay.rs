//! Relaying of sub-requests to the instance that owns their upstream.
//!
//! Relays and results are collected while a batch of events is handled and sent at its end, so the
//! sub-requests of one search to one owner share a message.

mod codec;

use std::collections::BTreeMap;

use base::{InstanceName, RequestId, SnapshotId, Time};
use bytes::Bytes;
pub(crate) use codec::{decode_request_id, result_with_code};
use codec::{decode_result, encode_result};
use wire::{Body, Relay, RelayPart, RelayResult, RelayRun, Relayed, ResultCode};

use crate::{
    attempt::{Attempt, AttemptKey, Origin, Stage},
    dispatch::DispatchResult,
    effect::Effect,
    event::{Failure, UpstreamEvent},
    node::{Node, Timer},
    protocol::{Echo, SubRequest},
    quarantine::fingerprint,
    relay_run::set_run_id,
    search::AttemptFailure,
};

/// Maximum number of relays of one sub-request: to the data centre of the upstream, and there to
/// its owner.
const MAX_HOPS: u32 = 2;

/// Messages to peers, collected during a batch of events.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    relays: BTreeMap<(InstanceName, RequestId, SnapshotId, u32), Relay>,
    results: BTreeMap<InstanceName, Vec<RelayResult>>,
    cancels: BTreeMap<InstanceName, Vec<u64>>,
    runs: Vec<(InstanceName, RelayRun)>,
    claims: Vec<(InstanceName, Body)>,
}

impl Outbox {
    /// Adds a run that is relayed to the owner of its upstream.
    pub(crate) fn push_run(&mut self, peer: InstanceName, run: RelayRun) {
        self.runs.push((peer, run));
    }

    /// Adds a forwarded claim change, or the answer to one.
    pub(crate) fn push_claim(&mut self, peer: InstanceName, message: Body) {
        self.claims.push((peer, message));
    }

    fn is_empty(&self) -> bool {
        self.relays.is_empty()
            && self.results.is_empty()
            && self.cancels.is_empty()
            && self.runs.is_empty()
            && self.claims.is_empty()
    }
}

impl Node {
    /// Dispatches an attempt to its upstream, or relays it towards the owner of the upstream.
    pub(crate) fn route(
        &mut self,
        now: Time,
        attempt: Attempt,
        effects: &mut Vec<Effect>,
    ) -> (AttemptKey, DispatchResult) {
        if self.owners.queues_here(attempt.upstream) {
            return self.dispatch(now, attempt, effects);
        }
        let peer = self
            .next_hop(attempt.upstream)
            .filter(|_| attempt.hops < MAX_HOPS);
        let is_run = attempt.run.is_some();
        let key = self.insert_attempt(attempt);
        let Some(peer) = peer else {
            return (key, DispatchResult::Rejected(AttemptFailure::NotSent));
        };
        if !is_run {
            self.relay(now, key, peer);
        } else if !self.relay_run(now, key, &peer) {
            return (key, DispatchResult::Rejected(AttemptFailure::NotSent));
        }
        (key, DispatchResult::Accepted)
    }

    fn relay(&mut self, now: Time, key: AttemptKey, peer: InstanceName) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        let Some(SubRequest::Search { echo, limit, body }) = attempt.sub_request.take() else {
            return;
        };
        let part = RelayPart {
            attempt: key.id().0,
            upstream: self.directory.names().name(attempt.upstream).to_string(),
            shard: echo.shard.to_string(),
            probe: attempt.probe,
            echo: echo.attempt,
        };
        attempt.stage = Stage::Relayed(peer.clone());
        attempt.sent = now;
        let hops = attempt.hops + 1;
        let left = attempt.deadline.since(now);
        let service = self
            .upstreams
            .get(attempt.upstream)
            .map(|u| u.declaration.service.to_string());
        let relay = self
            .outbox
            .relays
            .entry((peer, echo.request, echo.snapshot, hops))
            .or_insert_with(|| Relay {
                request: Bytes::copy_from_slice(&echo.request.0.to_be_bytes()),
                service: service.unwrap_or_default(),
                snapshot: echo.snapshot.0,
                left_us: u64::try_from(left.as_micros()).unwrap_or(u64::MAX),
                limit,
                body,
                parts: Vec::new(),
                hops,
            });
        relay.parts.push(part);
        self.stats.relayed += 1;
    }

    /// Handles sub-requests that a peer relayed to this instance.
    pub(crate) fn on_relay(
        &mut self,
        now: Time,
        from: &InstanceName,
        relay: Relay,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = decode_request_id(&relay.request) else {
            return self.bad_message(from, "relay has no valid request id", effects);
        };
        let Ok(service) = relay.service.parse() else {
            return self.bad_message(from, "relay has no valid service name", effects);
        };
        let fingerprint = fingerprint(&service, &relay.body);
        let deadline = now + std::time::Duration::from_micros(relay.left_us);
        for part in relay.parts {
            let upstream = part
                .upstream
                .parse()
                .ok()
                .and_then(|n| self.directory.names().get(&n));
            let (Some(upstream), Ok(shard)) = (upstream, part.shard.parse()) else {
                self.push_result(from, result_with_code(part.attempt, ResultCode::Unrouted));
                continue;
            };
            let echo = Echo {
                request,
                attempt: part.echo,
                snapshot: SnapshotId(relay.snapshot),
                shard,
            };
            let attempt = Attempt {
                origin: Origin::Peer {
                    from: from.clone(),
                    attempt: part.attempt,
                },
                upstream,
                started: now,
                sent: now,
                deadline,
                stage: Stage::Queued,
                fingerprint,
                probe: part.probe,
                hops: relay.hops,
                run: None,
                sub_request: Some(SubRequest::Search {
                    echo,
                    limit: relay.limit,
                    body: relay.body.clone(),
                }),
            };
            self.stats.served_for_peers += 1;
            let (key, dispatched) = self.route(now, attempt, effects);
            match dispatched {
                DispatchResult::Accepted => {
                    self.peer_attempts.insert((from.clone(), part.attempt), key);
                    self.timers.set(deadline, Timer::RelayDeadline(key));
                }
                DispatchResult::Rejected(failure) => self.fail_attempt(now, key, failure, effects),
            }
        }
    }

    /// Handles results of sub-requests that this instance relayed.
    pub(crate) fn on_relayed(
        &mut self,
        now: Time,
        from: &InstanceName,
        relayed: Relayed,
        effects: &mut Vec<Effect>,
    ) {
        for result in relayed.results {
            let key = AttemptKey::from_id(base::AttemptId(result.attempt));
            // An earlier start of this instance may have used the same attempt number, so the
            // request of a run is compared as well.
            let run = decode_request_id(&result.run);
            let expected = self.attempts.get(key).is_some_and(|a| {
                a.run == run && matches!(&a.stage, Stage::Relayed(peer) if peer == from)
            });
            if !expected {
                self.stats.discarded += 1;
                continue;
            }
            match decode_result(result) {
                Some((event, queued)) => self.on_relay_result(now, key, event, queued, effects),
                None => {
                    self.bad_message(from, "relay result cannot be decoded", effects);
                    self.on_relay_result(
                        now,
                        key,
                        UpstreamEvent::Failed(Failure::Malformed),
                        std::time::Duration::ZERO,
                        effects,
                    );
                }
            }
        }
    }

    fn on_relay_result(
        &mut self,
        now: Time,
        key: AttemptKey,
        event: UpstreamEvent,
        queued: std::time::Duration,
        effects: &mut Vec<Effect>,
    ) {
        let Some(mut attempt) = self.attempts.remove(key) else {
            return;
        };
        // The wait for a slot at the owner counts as the wait of this attempt.
        attempt.sent = attempt.started + queued;
        self.record_upstream_state(now, &attempt, &event, effects);
        self.deliver_event(now, key, &attempt, event, effects);
    }

    /// Queues the result of a sub-request for the peer that relayed it.
    pub(crate) fn send_peer_result(&mut self, attempt: &Attempt, event: UpstreamEvent) {
        let Origin::Peer {
            from,
            attempt: number,
        } = &attempt.origin
        else {
            return;
        };
        let queued = attempt.sent.since(attempt.started);
        let result = RelayResult {
            queued_us: u64::try_from(queued.as_micros()).unwrap_or(u64::MAX),
            ..encode_result(*number, event)
        };
        self.peer_attempts.remove(&(from.clone(), *number));
        self.push_result(from, with_run_id(result, attempt));
    }

    /// Queues the failure of a sub-request that ended without an event of the upstream.
    pub(crate) fn send_peer_failure(&mut self, attempt: &Attempt, failure: AttemptFailure) {
        let Origin::Peer {
            from,
            attempt: number,
        } = &attempt.origin
        else {
            return;
        };
        let code = match failure {
            // A run that was relayed further may have been sent.
            _ if attempt.run.is_some() && attempt.stage != Stage::Queued => ResultCode::Invalid,
            AttemptFailure::Broken if attempt.run.is_some() => ResultCode::Unrouted,
            AttemptFailure::Leaving => ResultCode::Leaving,
            AttemptFailure::Overloaded => ResultCode::Overloaded,
            AttemptFailure::Broken => ResultCode::Broke,
            AttemptFailure::NotSent | AttemptFailure::NoSnapshot | AttemptFailure::Invalid => {
                ResultCode::Unrouted
            }
        };
        self.peer_attempts.remove(&(from.clone(), *number));
        self.push_result(from, with_run_id(result_with_code(*number, code), attempt));
    }

    pub(crate) fn push_result(&mut self, peer: &InstanceName, result: RelayResult) {
        match self.outbox.results.get_mut(peer) {
            Some(results) => results.push(result),
            None => {
                self.outbox.results.insert(peer.clone(), vec![result]);
            }
        }
    }

    /// Queues the cancellation of a relayed attempt for the peer that it was relayed to.
    pub(crate) fn cancel_relayed(&mut self, now: Time, key: AttemptKey) {
        self.eject_silent_peer(now, key);
        let Some(Stage::Relayed(peer)) = self.attempts.get(key).map(|a| a.stage.clone()) else {
            return;
        };
        self.outbox
            .cancels
            .entry(peer)
            .or_default()
            .push(key.id().0);
    }

    /// Handles a peer's cancellation of sub-requests that it relayed to this instance.
    pub(crate) fn on_cancel(
        &mut self,
        now: Time,
        from: &InstanceName,
        numbers: Vec<u64>,
        effects: &mut Vec<Effect>,
    ) {
        for number in numbers {
            if let Some(key) = self.peer_attempts.remove(&(from.clone(), number)) {
                self.cancel(now, key, effects);
            }
        }
    }

    /// Sends the messages to peers that were collected during a batch of events.
    pub fn flush_peer_messages(&mut self, effects: &mut Vec<Effect>) {
        if self.outbox.is_empty() {
            return;
        }
        let outbox = std::mem::take(&mut self.outbox);
        for ((peer, ..), relay) in outbox.relays {
            self.send_to_peer(&peer, Body::Relay(relay), effects);
        }
        for (peer, message) in outbox.claims {
            self.send_to_peer(&peer, message, effects);
        }
        for (peer, run) in outbox.runs {
            self.send_to_peer(&peer, Body::RelayRun(run), effects);
        }
        for (peer, results) in outbox.results {
            self.send_to_peer(&peer, Body::Relayed(Relayed { results }), effects);
        }
        for (peer, attempts) in outbox.cancels {
            self.send_to_peer(&peer, Body::Cancel(wire::Cancel { attempts }), effects);
        }
    }
}

/// Adds the request identifier to the result of a run; other results stay unchanged.
fn with_run_id(result: RelayResult, attempt: &Attempt) -> RelayResult {
    match attempt.run {
        Some(request) => set_run_id(result, request),
        None => result,
    }
}
