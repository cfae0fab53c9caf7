//! Dispatch of runs to upstreams, and their outcomes.

use base::{RequestId, SnapshotId, Time};

use super::{RunStage, unknown_outcome};
use crate::{
    attempt::{Attempt, Origin, Stage},
    claims::State,
    directory::UpstreamId,
    dispatch::DispatchResult,
    effect::{Answer, Effect, Reason},
    event::{Failure, UpstreamEvent},
    node::Node,
    protocol::SubRequest,
    search::AttemptFailure,
    upstreams::ReplicaCriteria,
};

/// Maximum number of attempts of one run, each at another upstream.
const MAX_ATTEMPTS: usize = 4;

/// Placeholder for the snapshot in [`ReplicaCriteria`]; a run has none.
const NO_SNAPSHOT: SnapshotId = SnapshotId(0);

/// What an upstream event implies for a run.
enum RunOutcome {
    /// The run was executed, with this outcome.
    Ran(bytes::Bytes),
    /// No byte of the run was sent, or the upstream did not start it.
    NotSent(AttemptFailure),
    /// The run may or may not have been executed.
    Unknown,
}

impl Node {
    /// Sends a run to the next upstream; with none left, releases its claim and refuses it.
    ///
    /// `reason` is that of the refusal if no upstream is tried.
    pub(super) fn send_run(
        &mut self,
        now: Time,
        request: RequestId,
        mut reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        while let Some(upstream) = self.next_upstream(now, request) {
            let Some(attempt) = self.new_run_attempt(now, request, upstream) else {
                return;
            };
            let (key, dispatched) = self.route(now, attempt, effects);
            match dispatched {
                DispatchResult::Accepted => {
                    if let Some(run) = self.runs.runs.get_mut(&request) {
                        run.stage = RunStage::Sending(key);
                    }
                    return;
                }
                DispatchResult::Rejected(failure) => {
                    self.release_outstanding(upstream);
                    if let Some(attempt) = self.attempts.remove(key) {
                        self.probe_ended(
                            now,
                            key,
                            &attempt,
                            failure == AttemptFailure::Broken,
                            effects,
                        );
                    }
                    reason = self.refusal_reason(now, request, failure);
                }
            }
        }
        self.release_claim(now, request);
        self.refuse_run(now, request, reason, effects);
    }

    /// Chooses an upstream that has not been tried for the run.
    ///
    /// For a request that is not known to be harmless, the choice is the same at every instance of
    /// the data centre.
    fn next_upstream(&mut self, now: Time, request: RequestId) -> Option<UpstreamId> {
        let run = self.runs.runs.get(&request)?;
        if run.tried.len() >= MAX_ATTEMPTS || now >= run.deadline {
            return None;
        }
        if self.quarantine.remaining(now, run.fingerprint).is_some() {
            return None;
        }
        let criteria = ReplicaCriteria {
            replicas: &run.entry.service.upstreams,
            snapshot: NO_SNAPSHOT,
            data_centre: &self.identity.data_centre,
        };
        if !self.quarantine.is_harmless(run.fingerprint) {
            return self.choose_probe(now, run.fingerprint, criteria, &run.tried);
        }
        let skip = |id: UpstreamId| {
            let name = self.directory.names().name(id);
            run.tried.contains(&id) || self.quarantine.has_broken(now, run.fingerprint, name)
        };
        let skip_behind_ejected_peer =
            |id: UpstreamId| skip(id) || self.is_next_hop_ejected(now, id);
        let mut rng = self.rng.clone();
        let chosen = self
            .upstreams
            .choose(now, criteria, false, skip_behind_ejected_peer, &mut rng)
            .or_else(|| self.upstreams.choose(now, criteria, false, skip, &mut rng));
        self.rng = rng;
        chosen
    }

    fn new_run_attempt(
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

    /// Returns the reason of a refusal after the last attempt of a run failed.
    fn refusal_reason(&self, now: Time, request: RequestId, failure: AttemptFailure) -> Reason {
        let run = self.runs.runs.get(&request);
        let quarantined =
            run.is_some_and(|r| self.quarantine.remaining(now, r.fingerprint).is_some());
        match failure {
            _ if quarantined => Reason::Quarantined,
            AttemptFailure::Overloaded => Reason::Overload,
            _ => Reason::NoUpstream,
        }
    }

    /// Handles the failure of an attempt at a run without an event of its upstream.
    pub(crate) fn run_attempt_failed(
        &mut self,
        now: Time,
        request: RequestId,
        attempt: &Attempt,
        failure: AttemptFailure,
        effects: &mut Vec<Effect>,
    ) {
        self.release_outstanding(attempt.upstream);
        if attempt.stage == Stage::Queued {
            self.run_not_sent(now, request, failure, effects);
        } else {
            self.run_outcome_unknown(now, request, effects);
        }
    }

    /// Handles the outcome of an attempt at a run.
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
            run.slot_wait = attempt.sent.since(attempt.started);
        }
        match classify_event(request, event) {
            RunOutcome::Ran(outcome) => self.run_completed(now, request, outcome, attempt, effects),
            RunOutcome::NotSent(failure) => self.run_not_sent(now, request, failure, effects),
            RunOutcome::Unknown => self.run_outcome_unknown(now, request, effects),
        }
    }

    fn run_completed(
        &mut self,
        now: Time,
        request: RequestId,
        outcome: bytes::Bytes,
        attempt: &Attempt,
        effects: &mut Vec<Effect>,
    ) {
        // Any upstream of the service can run the request.
        self.quarantine
            .record_answered(now, attempt.fingerprint, |_| true);
        self.record_run_outcome(now, request, State::done(&outcome));
        let answer = Answer::Done {
            request,
            outcome,
            repeated: false,
        };
        self.end_run(now, request, &answer, effects);
    }

    /// Tries another upstream: no byte was sent, or the upstream did not start the run.
    fn run_not_sent(
        &mut self,
        now: Time,
        request: RequestId,
        failure: AttemptFailure,
        effects: &mut Vec<Effect>,
    ) {
        let Some(run) = self.runs.runs.get(&request) else {
            return;
        };
        if run.caller_answered {
            // The caller was answered that the outcome is unknown, and that is recorded.
            return self.end_run(now, request, &unknown_outcome(), effects);
        }
        let reason = match now >= run.deadline {
            true => Reason::DeadlinePassed,
            false => self.refusal_reason(now, request, failure),
        };
        self.send_run(now, request, reason, effects);
    }

    /// Ends a run that may or may not have been executed.
    fn run_outcome_unknown(&mut self, now: Time, request: RequestId, effects: &mut Vec<Effect>) {
        self.record_run_outcome(now, request, State::Unknown);
        self.end_run(now, request, &unknown_outcome(), effects);
    }
}

fn classify_event(request: RequestId, event: UpstreamEvent) -> RunOutcome {
    match event {
        UpstreamEvent::Ran {
            request: reported,
            outcome,
            ..
        } if reported == request => RunOutcome::Ran(outcome),
        UpstreamEvent::Refused { draining: true, .. } => {
            RunOutcome::NotSent(AttemptFailure::Leaving)
        }
        UpstreamEvent::Refused { .. } => RunOutcome::NotSent(AttemptFailure::Overloaded),
        UpstreamEvent::Failed(Failure::Connect | Failure::Unrouted) => {
            RunOutcome::NotSent(AttemptFailure::NotSent)
        }
        UpstreamEvent::Ran { .. }
        | UpstreamEvent::Replied(_)
        | UpstreamEvent::NoSnapshot { .. }
        | UpstreamEvent::Failed(_) => RunOutcome::Unknown,
    }
}
