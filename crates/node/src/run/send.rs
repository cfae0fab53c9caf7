//! Runs on their way to an upstream, and what became of them.

use base::{RequestId, SnapshotId, Time};

use super::{RunStage, unknown};
use crate::{
    attempt::{Attempt, Origin, Stage},
    claims::State,
    directory::UpstreamId,
    dispatch::Dispatched,
    effect::{Answer, Effect, Reason},
    event::{Failure, UpstreamEvent},
    node::Node,
    protocol::SubRequest,
    search::AttemptFailure,
    upstreams::Wanted,
};

/// Upstreams that one run is offered to, at most.
const MAX_TRIES: usize = 4;

/// Stands for the snapshot of a run, which has none.
const NO_SNAPSHOT: SnapshotId = SnapshotId(0);

/// What an upstream's event says of a run.
enum RunEnd {
    /// It was carried out.
    Ran(bytes::Bytes),
    /// No byte of it was sent, or the upstream did not start it.
    NotSent(AttemptFailure),
    /// It may or may not have run.
    Unknown,
}

impl Node {
    /// Sends a run to the next upstream; with none left it is released and refused for `reason`.
    pub(super) fn send_run(
        &mut self,
        now: Time,
        request: RequestId,
        mut reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        while let Some(upstream) = self.next_upstream(now, request) {
            let Some(attempt) = self.run_attempt(now, request, upstream) else {
                return;
            };
            let (key, dispatched) = self.route(now, attempt, effects);
            match dispatched {
                Dispatched::Accepted => {
                    if let Some(run) = self.runs.runs.get_mut(&request) {
                        run.stage = RunStage::Sending(key);
                    }
                    return;
                }
                Dispatched::Rejected(ended) => {
                    self.release_outstanding(upstream);
                    if let Some(attempt) = self.attempts.remove(key) {
                        self.probe_ended(
                            now,
                            key,
                            &attempt,
                            ended == AttemptFailure::Broken,
                            effects,
                        );
                    }
                    reason = self.reason_of(now, request, ended);
                }
            }
        }
        self.release_claim(now, request);
        self.refuse_run(now, request, reason, effects);
    }

    /// Chooses an upstream that the run was not offered to; the same one everywhere while the
    /// request has never been answered.
    fn next_upstream(&mut self, now: Time, request: RequestId) -> Option<UpstreamId> {
        let run = self.runs.runs.get(&request)?;
        if run.tried.len() >= MAX_TRIES || now >= run.deadline {
            return None;
        }
        if self.quarantine.remaining(now, run.fingerprint).is_some() {
            return None;
        }
        let wanted = Wanted {
            replicas: &run.entry.service.upstreams,
            snapshot: NO_SNAPSHOT,
            home: &self.identity.data_centre,
        };
        if !self.quarantine.is_harmless(run.fingerprint) {
            return self.choose_probe(now, run.fingerprint, wanted, &run.tried);
        }
        let skip = |id: UpstreamId| {
            let name = self.directory.names().name(id);
            run.tried.contains(&id) || self.quarantine.has_broken(now, run.fingerprint, name)
        };
        let silent = |id: UpstreamId| skip(id) || self.is_next_hop_ejected(now, id);
        let mut rng = self.rng.clone();
        let chosen = self
            .upstreams
            .choose(now, wanted, false, silent, &mut rng)
            .or_else(|| self.upstreams.choose(now, wanted, false, skip, &mut rng));
        self.rng = rng;
        chosen
    }

    fn run_attempt(
        &mut self,
        now: Time,
        request: RequestId,
        upstream: UpstreamId,
    ) -> Option<Attempt> {
        let run = self.runs.runs.get_mut(&request)?;
        run.tried.push(upstream);
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.outstanding += 1;
        }
        Some(Attempt {
            origin: Origin::Run { request },
            upstream,
            started: now,
            sent: now,
            deadline: run.deadline,
            stage: Stage::Queued,
            fingerprint: run.fingerprint,
            probe: !self.quarantine.is_harmless(run.fingerprint),
            hops: 0,
            run: Some(request),
            sub_request: Some(SubRequest::Run {
                request,
                key: run.key.clone(),
                body: run.body.clone(),
            }),
        })
    }

    /// Returns why a run that no upstream took is refused.
    fn reason_of(&self, now: Time, request: RequestId, ended: AttemptFailure) -> Reason {
        let run = self.runs.runs.get(&request);
        let quarantined =
            run.is_some_and(|r| self.quarantine.remaining(now, r.fingerprint).is_some());
        match ended {
            _ if quarantined => Reason::Quarantined,
            AttemptFailure::Overloaded => Reason::Overload,
            _ => Reason::NoUpstream,
        }
    }

    /// Takes the end of an attempt at a run that this instance did not send to the upstream itself.
    pub(crate) fn run_queued_ended(
        &mut self,
        now: Time,
        request: RequestId,
        attempt: &Attempt,
        ended: AttemptFailure,
        effects: &mut Vec<Effect>,
    ) {
        self.release_outstanding(attempt.upstream);
        if attempt.stage == Stage::Queued {
            self.run_not_sent(now, request, ended, effects);
        } else {
            self.run_lost(now, request, effects);
        }
    }

    /// Takes an event of an attempt at a run.
    pub(crate) fn on_run_event(
        &mut self,
        now: Time,
        request: RequestId,
        attempt: &Attempt,
        event: UpstreamEvent,
        effects: &mut Vec<Effect>,
    ) {
        self.release_outstanding(attempt.upstream);
        if let Some(run) = self.runs.runs.get_mut(&request) {
            run.waited = attempt.sent.since(attempt.started);
        }
        match run_end(request, event) {
            RunEnd::Ran(outcome) => self.run_done(now, request, outcome, attempt, effects),
            RunEnd::NotSent(ended) => self.run_not_sent(now, request, ended, effects),
            RunEnd::Unknown => self.run_lost(now, request, effects),
        }
    }

    fn run_done(
        &mut self,
        now: Time,
        request: RequestId,
        outcome: bytes::Bytes,
        attempt: &Attempt,
        effects: &mut Vec<Effect>,
    ) {
        self.quarantine.answered(attempt.fingerprint);
        self.settle_run(now, request, State::done(&outcome));
        let answer = Answer::Done {
            request,
            outcome,
            repeated: false,
        };
        self.end_run(now, request, &answer, effects);
    }

    /// Tries another upstream: no byte was sent, or the upstream did not start the work.
    fn run_not_sent(
        &mut self,
        now: Time,
        request: RequestId,
        ended: AttemptFailure,
        effects: &mut Vec<Effect>,
    ) {
        let Some(run) = self.runs.runs.get(&request) else {
            return;
        };
        if run.answered {
            // The caller was told that the outcome is not known, and the record says so.
            return self.end_run(now, request, &unknown(), effects);
        }
        let reason = match now >= run.deadline {
            true => Reason::DeadlinePassed,
            false => self.reason_of(now, request, ended),
        };
        self.send_run(now, request, reason, effects);
    }

    /// Ends a run of which nobody knows whether it ran.
    fn run_lost(&mut self, now: Time, request: RequestId, effects: &mut Vec<Effect>) {
        self.settle_run(now, request, State::Unknown);
        self.end_run(now, request, &unknown(), effects);
    }
}

fn run_end(request: RequestId, event: UpstreamEvent) -> RunEnd {
    match event {
        UpstreamEvent::Ran {
            request: told,
            outcome,
            ..
        } if told == request => RunEnd::Ran(outcome),
        UpstreamEvent::Refused { draining: true, .. } => RunEnd::NotSent(AttemptFailure::Leaving),
        UpstreamEvent::Refused { .. } => RunEnd::NotSent(AttemptFailure::Overloaded),
        UpstreamEvent::Failed(Failure::Connect | Failure::Unrouted) => {
            RunEnd::NotSent(AttemptFailure::NotSent)
        }
        UpstreamEvent::Ran { .. }
        | UpstreamEvent::Replied(_)
        | UpstreamEvent::NoSnapshot { .. }
        | UpstreamEvent::Failed(_) => RunEnd::Unknown,
    }
}
