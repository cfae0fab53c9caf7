//! Runs, the requests that must execute at most once: admission, claim, dispatch and answer.
//!
//! A run is sent only once its claim is recorded and only before its deadline. Until it is sent, it
//! can be withdrawn and refused as not run. A run that was sent, or relayed to the owner of the
//! upstream, is not cancelled; it is sent again only if it certainly did not start, and its outcome
//! is recorded.

mod forward;
mod send;

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use base::{CallId, EntryName, IdempotencyKey, RequestId, Time};
use bytes::Bytes;
use cat::Class;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    attempt::{AttemptKey, Stage},
    claims::{Change, Claim, DecidedClaim, Decision, Record, Source, State},
    directory::{EntryPlan, UpstreamId},
    effect::{Answer, Effect, Reason, Refusal},
    node::{Node, Timer},
    quarantine::fingerprint,
    store::Context,
};

/// Retry-after time when the outcome of a run is unknown.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry-after time when a run was not sent for a temporary reason.
const NOT_SENT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry-after time when the platform records no claims.
const PLATFORM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Retry-after time when the bucket of the key is full.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Time after its deadline for which a run still waits for the result of a relay.
const LATE_RESULT_WAIT: Duration = Duration::from_secs(2);

/// A run as received from a caller.
#[derive(Clone, Debug)]
pub(crate) struct NewRun {
    pub(crate) request: RequestId,
    pub(crate) entry: EntryName,
    pub(crate) deadline: Option<Duration>,
    pub(crate) key: IdempotencyKey,
    pub(crate) body: Bytes,
}

/// Progress of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunStage {
    /// Its claim is not recorded yet, as far as this instance knows.
    Claiming,
    /// Its claim is recorded, and the attempt is queued, sent or relayed.
    Sending(AttemptKey),
}

/// A caller that waits for an answer.
#[derive(Clone, Debug)]
struct WaitingCaller {
    call: CallId,
    entry: Rc<EntryPlan>,
}

/// A pending run.
#[derive(Debug)]
pub(crate) struct Run {
    key: IdempotencyKey,
    entry: Rc<EntryPlan>,
    body: Bytes,
    /// Digest of entry and body; differs if the key is reused for another request.
    digest: u64,
    /// Digest of service and body, by which requests are quarantined.
    fingerprint: u64,
    deadline: Time,
    stage: RunStage,
    tried: Vec<UpstreamId>,
    slot_wait: Duration,
    /// Whether the deadline passed after the run was sent: the outcome is recorded as unknown, and
    /// the caller has been answered unless it was gone.
    caller_answered: bool,
}

/// Pending runs, and the callers that wait for them.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    runs: BTreeMap<RequestId, Run>,
    /// The pending run that claims or has claimed a key.
    key_holders: HashMap<IdempotencyKey, RequestId>,
    /// Callers by request, including those of repeated requests, which wait for the run that holds
    /// the key.
    waiting: BTreeMap<RequestId, WaitingCaller>,
    /// Repeated requests, by the request whose run they wait for.
    repeats: BTreeMap<RequestId, Vec<RequestId>>,
    calls: HashMap<CallId, RequestId>,
}

impl Runs {
    /// Returns whether no run is pending and no caller waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.runs.is_empty() && self.waiting.is_empty()
    }
}

impl Node {
    /// Admits a run and submits its claim, or refuses it.
    pub(crate) fn run(&mut self, now: Time, call: CallId, new: NewRun, effects: &mut Vec<Effect>) {
        let request = new.request;
        match self.admit_run(now, &new) {
            Ok(run) => self.start_run(now, call, request, run, effects),
            Err(refusal) => effects.push(Effect::Answer(call, Answer::Refused(refusal))),
        }
    }

    fn admit_run(&mut self, now: Time, new: &NewRun) -> Result<Run, Refusal> {
        self.check_serving()?;
        let Some(entry) = self.directory.entry(&new.entry).cloned() else {
            return refuse(Reason::NoEntry, None);
        };
        let limits = &entry.declaration.limits;
        if entry.declaration.class != Class::Once {
            return refuse(Reason::WrongClass, None);
        }
        if new.body.len() as u64 > limits.body.0 {
            return refuse(Reason::BodySize, None);
        }
        let fingerprint = fingerprint(&entry.service.name, &new.body);
        if let Some(left) = self.quarantine.remaining(now, fingerprint) {
            return refuse(Reason::Quarantined, Some(left));
        }
        let allowed = new.deadline.unwrap_or(limits.deadline).min(limits.deadline);
        if allowed.is_zero() {
            return refuse(Reason::DeadlinePassed, None);
        }
        let digest = digest(&new.entry, &new.body);
        let holder = self.runs.key_holders.get(&new.key);
        let holder = holder.and_then(|request| self.runs.runs.get(request));
        if holder.is_some_and(|run| run.digest != digest) {
            return refuse(Reason::KeyReused, None);
        }
        self.admission
            .admit(now, &entry.declaration.name, &entry.service.name)?;
        Ok(Run {
            key: new.key.clone(),
            body: new.body.clone(),
            digest,
            fingerprint,
            deadline: now + allowed,
            stage: RunStage::Claiming,
            tried: Vec::new(),
            slot_wait: Duration::ZERO,
            caller_answered: false,
            entry,
        })
    }

    fn start_run(
        &mut self,
        now: Time,
        call: CallId,
        request: RequestId,
        run: Run,
        effects: &mut Vec<Effect>,
    ) {
        self.stats.runs += 1;
        let entry = Rc::clone(&run.entry);
        self.runs.calls.insert(call, request);
        self.runs
            .waiting
            .insert(request, WaitingCaller { call, entry });
        self.timers.set(run.deadline, Timer::RunDeadline(request));
        if let Some(&holder) = self.runs.key_holders.get(&run.key) {
            self.runs.repeats.entry(holder).or_default().push(request);
            return;
        }
        let claim = Claim {
            request,
            key: run.key.clone(),
            digest: run.digest,
        };
        self.runs.key_holders.insert(run.key.clone(), request);
        self.runs.runs.insert(request, run);
        if !self.submit_change(now, Change::Claim(claim, Source::Own)) {
            self.refuse_run(now, request, Reason::Overload, effects);
        }
    }

    /// Starts the platform calls that are due for claims.
    pub(crate) fn poll_claims(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.reclaim_overdue_changes(now, effects);
        let mut cx = Context {
            now,
            ops: &mut self.ops,
            effects,
        };
        let claims = self.claims.poll(&mut cx);
        self.apply_decisions(now, claims, effects);
    }

    /// Delivers decisions on claims to the runs or peers that requested them.
    pub(crate) fn apply_decisions(
        &mut self,
        now: Time,
        claims: Vec<DecidedClaim>,
        effects: &mut Vec<Effect>,
    ) {
        for decided in claims {
            match decided.source {
                Source::Own => {
                    self.apply_decision(now, decided.claim.request, decided.decision, effects);
                }
                Source::Peer { .. } => self.send_decision(&decided),
            }
        }
    }

    fn apply_decision(
        &mut self,
        now: Time,
        request: RequestId,
        decision: Decision,
        effects: &mut Vec<Effect>,
    ) {
        let Some(run) = self.runs.runs.get(&request) else {
            return;
        };
        if run.stage != RunStage::Claiming {
            return;
        }
        match decision {
            Decision::Claimed => self.on_claim_recorded(now, request, effects),
            Decision::Held(record) => {
                let answer = answer_from_record(run.digest, record);
                self.end_run(now, request, &answer, effects);
            }
            Decision::Expired => self.end_run(now, request, &Answer::Expired, effects),
            Decision::Full => self.refuse_run(now, request, Reason::ClaimsFull, effects),
            Decision::Refused => {
                self.refuse_run(now, request, Reason::PlatformUnavailable, effects);
            }
        }
    }

    /// Sends a run whose claim was recorded, unless its deadline has passed.
    fn on_claim_recorded(&mut self, now: Time, request: RequestId, effects: &mut Vec<Effect>) {
        let Some(run) = self.runs.runs.get(&request) else {
            return;
        };
        // The instance may have been paused since the write.
        if now >= run.deadline {
            self.release_claim(now, request);
            return self.refuse_run(now, request, Reason::DeadlinePassed, effects);
        }
        self.send_run(now, request, Reason::NoUpstream, effects);
    }

    /// Withdraws the pending claim of a run that was never sent.
    ///
    /// A claim that was forwarded may already be recorded, so it is released as well.
    fn withdraw_claim(&mut self, now: Time, key: IdempotencyKey, request: RequestId) {
        if self.forwards.withdraw(request) {
            // The release is forwarded as the claim was, so it is handled after it.
            self.submit_change(now, Change::Release { request, key });
        } else {
            self.claims.withdraw(now, &key, request);
        }
    }

    /// Deletes the recorded claim of a run that was never sent.
    fn release_claim(&mut self, now: Time, request: RequestId) {
        let Some(run) = self.runs.runs.get(&request) else {
            return;
        };
        let key = run.key.clone();
        self.submit_change(now, Change::Release { request, key });
    }

    /// Records the outcome of a run that was sent.
    fn record_run_outcome(&mut self, now: Time, request: RequestId, state: State) {
        let Some(run) = self.runs.runs.get(&request) else {
            return;
        };
        let key = run.key.clone();
        self.submit_change(
            now,
            Change::Settle {
                request,
                key,
                state,
            },
        );
    }

    /// Refuses a run that was not sent and never will be.
    fn refuse_run(
        &mut self,
        now: Time,
        request: RequestId,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        let wait = match reason {
            Reason::PlatformUnavailable => PLATFORM_RETRY_AFTER,
            Reason::ClaimsFull => FULL_RETRY_AFTER,
            _ => NOT_SENT_RETRY_AFTER,
        };
        let refusal = Refusal {
            reason,
            retry_after: Some(wait),
        };
        self.end_run(now, request, &Answer::Refused(refusal), effects);
    }

    /// Ends a run, and answers its caller and the callers of repeated requests.
    fn end_run(
        &mut self,
        now: Time,
        request: RequestId,
        answer: &Answer,
        effects: &mut Vec<Effect>,
    ) {
        let Some(run) = self.runs.runs.remove(&request) else {
            return;
        };
        self.runs.key_holders.remove(&run.key);
        self.answer_caller(now, request, run.slot_wait, answer.clone(), effects);
        let repeats = self.runs.repeats.remove(&request).unwrap_or_default();
        for repeat in repeats {
            let answer = match answer.clone() {
                Answer::Done {
                    request, outcome, ..
                } => Answer::Done {
                    request,
                    outcome,
                    repeated: true,
                },
                other => other,
            };
            self.answer_caller(now, repeat, run.slot_wait, answer, effects);
        }
    }

    /// Answers the caller of a request, if it still waits.
    fn answer_caller(
        &mut self,
        now: Time,
        request: RequestId,
        slot_wait: Duration,
        answer: Answer,
        effects: &mut Vec<Effect>,
    ) {
        let Some(call) = self.remove_caller(now, request, slot_wait) else {
            return;
        };
        effects.push(Effect::Answer(call, answer));
    }

    fn remove_caller(
        &mut self,
        now: Time,
        request: RequestId,
        slot_wait: Duration,
    ) -> Option<CallId> {
        let waiting = self.runs.waiting.remove(&request)?;
        self.runs.calls.remove(&waiting.call);
        let entry = &waiting.entry;
        self.admission
            .record_end(now, &entry.declaration.name, &entry.service.name, slot_wait);
        Some(waiting.call)
    }

    /// Handles the deadline of a run or of a repeated request.
    pub(crate) fn run_deadline(
        &mut self,
        now: Time,
        request: RequestId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(run) = self.runs.runs.get(&request) else {
            // A repeated request that waits for another one, or a run that has ended.
            return self.answer_caller(now, request, Duration::ZERO, unknown_outcome(), effects);
        };
        let key = run.key.clone();
        match run.stage {
            RunStage::Claiming => {
                self.withdraw_claim(now, key, request);
                self.refuse_run(now, request, Reason::PlatformUnavailable, effects);
            }
            RunStage::Sending(attempt) => self.sending_deadline(now, request, attempt, effects),
        }
    }

    fn sending_deadline(
        &mut self,
        now: Time,
        request: RequestId,
        attempt: AttemptKey,
        effects: &mut Vec<Effect>,
    ) {
        let stage = self.attempts.get(attempt).map(|a| a.stage.clone());
        if stage == Some(Stage::Queued) {
            self.cancel(now, attempt, effects);
            self.release_claim(now, request);
            return self.refuse_run(now, request, Reason::DeadlinePassed, effects);
        }
        let Some(run) = self.runs.runs.get_mut(&request) else {
            return;
        };
        if run.caller_answered {
            // The wait for a late result of the relay is over.
            if matches!(stage, Some(Stage::Relayed(_))) {
                self.attempts.remove(attempt);
                self.end_run(now, request, &unknown_outcome(), effects);
            }
            return;
        }
        run.caller_answered = true;
        self.record_run_outcome(now, request, State::Unknown);
        self.answer_caller(now, request, Duration::ZERO, unknown_outcome(), effects);
        self.timers
            .set(now + LATE_RESULT_WAIT, Timer::RunDeadline(request));
    }

    /// Handles a caller that closed its connection; a run that was not sent ends if no other caller
    /// waits for it.
    pub(crate) fn drop_run_caller(&mut self, now: Time, call: CallId, effects: &mut Vec<Effect>) {
        let Some(&request) = self.runs.calls.get(&call) else {
            return;
        };
        self.remove_caller(now, request, Duration::ZERO);
        let repeats = self.runs.repeats.get(&request);
        let wanted = repeats
            .is_some_and(|repeats| repeats.iter().any(|r| self.runs.waiting.contains_key(r)));
        let Some(run) = self.runs.runs.get(&request).filter(|_| !wanted) else {
            return;
        };
        let key = run.key.clone();
        match run.stage {
            RunStage::Claiming => self.withdraw_claim(now, key, request),
            RunStage::Sending(attempt) => {
                let stage = self.attempts.get(attempt).map(|a| a.stage.clone());
                if stage != Some(Stage::Queued) {
                    return;
                }
                self.cancel(now, attempt, effects);
                self.release_claim(now, request);
            }
        }
        self.refuse_run(now, request, Reason::DeadlinePassed, effects);
    }
}

fn refuse<T>(reason: Reason, retry_after: Option<Duration>) -> Result<T, Refusal> {
    Err(Refusal {
        reason,
        retry_after,
    })
}

fn unknown_outcome() -> Answer {
    Answer::Unknown {
        retry_after: UNKNOWN_RETRY_AFTER,
    }
}

/// Returns the answer to a request whose key is recorded for another request.
fn answer_from_record(digest: u64, record: Record) -> Answer {
    if record.digest != digest {
        return Answer::Refused(Refusal {
            reason: Reason::KeyReused,
            retry_after: None,
        });
    }
    match record.state {
        State::Done(outcome) => Answer::Done {
            request: record.request,
            outcome: outcome.unwrap_or_else(|| Bytes::from_static(b"null")),
            repeated: true,
        },
        State::Claimed | State::Unknown => unknown_outcome(),
    }
}

/// Returns the digest of a request, which distinguishes a repetition from a reuse of the key.
fn digest(entry: &EntryName, body: &[u8]) -> u64 {
    xxh3_64_with_seed(body, xxh3_64(entry.as_str().as_bytes()))
}
