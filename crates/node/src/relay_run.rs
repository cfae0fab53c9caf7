//! Relaying of requests of the once class to the instance that owns their upstream.
//!
//! Each message is accepted at most once. A sender numbers the runs that it relays; the receiver
//! ignores numbers that it has seen or that are below its window, messages from an earlier start of
//! the sender, and messages that were meant for an earlier start of its own.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{InstanceName, RequestId, Time};
use bytes::Bytes;
use wire::{RelayRun, ResultCode};

use crate::{
    attempt::{Attempt, AttemptKey, Origin, Stage},
    dispatch::DispatchResult,
    effect::Effect,
    node::{Node, Timer},
    protocol::SubRequest,
    quarantine::fingerprint,
    relay::{decode_request_id, result_with_code},
    search::AttemptFailure,
};

/// Size of the window of message numbers, below the highest one, in which duplicates are detected;
/// messages with older numbers are ignored.
const DEDUP_WINDOW: u64 = 4_096;

/// Message numbers received from one sender.
#[derive(Debug, Default)]
struct Sender {
    incarnation: u64,
    highest: u64,
    seen: BTreeSet<u64>,
}

/// Number of runs that this instance relayed, and the message numbers received from others.
#[derive(Debug, Default)]
pub(crate) struct RelayedRuns {
    sent: u64,
    senders: BTreeMap<InstanceName, Sender>,
}

impl RelayedRuns {
    /// Records a message number; returns whether the message is to be handled.
    fn accept(&mut self, from: &InstanceName, incarnation: u64, number: u64) -> bool {
        let sender = self.senders.entry(from.clone()).or_default();
        if incarnation > sender.incarnation {
            *sender = Sender {
                incarnation,
                ..Sender::default()
            };
        }
        let is_old = incarnation < sender.incarnation || number + DEDUP_WINDOW <= sender.highest;
        if is_old || !sender.seen.insert(number) {
            return false;
        }
        sender.highest = sender.highest.max(number);
        while let Some(&first) = sender.seen.first() {
            if first + DEDUP_WINDOW > sender.highest {
                break;
            }
            sender.seen.pop_first();
        }
        true
    }
}

impl Node {
    /// Relays a run towards the owner of its upstream; returns whether it did.
    pub(crate) fn relay_run(&mut self, now: Time, key: AttemptKey, peer: &InstanceName) -> bool {
        // The incarnation of a peer is known only while the peer is in the view.
        let Some(to) = self.members.incarnation(peer) else {
            return false;
        };
        let number = key.id().0;
        let Some(attempt) = self.attempts.get_mut(key) else {
            return false;
        };
        let Some(SubRequest::Run { request, key, body }) = attempt.sub_request.take() else {
            return false;
        };
        attempt.stage = Stage::Relayed(peer.clone());
        attempt.sent = now;
        let (upstream, left, hops) = (attempt.upstream, attempt.deadline.since(now), attempt.hops);
        let probe = attempt.probe;
        let service = self
            .upstreams
            .get(upstream)
            .map(|u| u.declaration.service.to_string());
        self.relayed_runs.sent += 1;
        self.stats.relayed += 1;
        let run = RelayRun {
            request: Bytes::copy_from_slice(&request.0.to_be_bytes()),
            key: key.to_string(),
            upstream: self.directory.names().name(upstream).to_string(),
            service: service.unwrap_or_default(),
            left_us: u64::try_from(left.as_micros()).unwrap_or(u64::MAX),
            body,
            attempt: number,
            number: self.relayed_runs.sent,
            to: to.0,
            hops: hops + 1,
            probe,
        };
        self.outbox.push_run(peer.clone(), run);
        true
    }

    /// Handles a run that a peer relayed to this instance.
    pub(crate) fn on_relay_run(
        &mut self,
        now: Time,
        from: &InstanceName,
        incarnation: u64,
        run: RelayRun,
        effects: &mut Vec<Effect>,
    ) {
        let is_for_this_start = run.to == self.identity.incarnation.0;
        if !is_for_this_start || !self.relayed_runs.accept(from, incarnation, run.number) {
            self.stats.discarded += 1;
            return;
        }
        let Some(request) = decode_request_id(&run.request) else {
            return self.bad_message(from, "relayed run has no valid request id", effects);
        };
        let number = run.attempt;
        let Some(attempt) = self.attempt_for_peer(now, from, request, run) else {
            let unrouted = result_with_code(number, ResultCode::Unrouted);
            return self.push_result(from, set_run_id(unrouted, request));
        };
        let deadline = attempt.deadline;
        self.stats.served_for_peers += 1;
        let (key, dispatched) = self.route(now, attempt, effects);
        match dispatched {
            DispatchResult::Accepted => {
                self.peer_attempts.insert((from.clone(), number), key);
                self.timers.set(deadline, Timer::RelayDeadline(key));
            }
            DispatchResult::Rejected(failure) => self.fail_attempt(now, key, failure, effects),
        }
    }

    fn attempt_for_peer(
        &self,
        now: Time,
        from: &InstanceName,
        request: RequestId,
        run: RelayRun,
    ) -> Option<Attempt> {
        let name = run.upstream.parse().ok()?;
        let upstream = self.directory.names().get(&name)?;
        let service = run.service.parse().ok()?;
        Some(Attempt {
            origin: Origin::Peer {
                from: from.clone(),
                attempt: run.attempt,
            },
            upstream,
            started: now,
            sent: now,
            deadline: now + Duration::from_micros(run.left_us),
            stage: Stage::Queued,
            fingerprint: fingerprint(&service, &run.body),
            probe: run.probe,
            hops: run.hops,
            run: Some(request),
            sub_request: Some(SubRequest::Run {
                request,
                key: run.key.parse().ok()?,
                body: run.body,
            }),
        })
    }

    /// Fails an attempt made for a peer at its deadline, if it still waits for a slot or for the
    /// result of another instance.
    ///
    /// The peer may have crashed, in which case it cancels nothing.
    pub(crate) fn relay_deadline(&mut self, now: Time, key: AttemptKey, effects: &mut Vec<Effect>) {
        let failure = match self.attempts.get(key).map(|a| &a.stage) {
            Some(Stage::Queued) => AttemptFailure::NotSent,
            Some(Stage::Relayed(_)) => AttemptFailure::Invalid,
            Some(Stage::Sent | Stage::Cancelled) | None => return,
        };
        self.fail_attempt(now, key, failure, effects);
    }
}

/// Adds the request identifier to the result of a run.
pub(crate) fn set_run_id(result: wire::RelayResult, request: RequestId) -> wire::RelayResult {
    wire::RelayResult {
        run: Bytes::copy_from_slice(&request.0.to_be_bytes()),
        ..result
    }
}
