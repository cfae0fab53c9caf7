//! Requests that may have crashed upstreams: suspicion, checks, and quarantine.

use std::{rc::Rc, time::Duration};

use base::{CallId, InstanceName, ServiceName, Time};

use super::{Attempt, Tier};
use crate::{
    call::{Call, PartState},
    crash::{
        Crash, PUBLISHED_PERIOD,
        suspicion::{
            BROKEN_CHECK_DELAY, Check, PROBE_RETRY_DELAY, ProbeResult, SILENT_CHECK_DELAY,
            SUSPICION_PERIOD,
        },
        tracker::{CrashOutcome, LearnedOutcome, ReplyOutcome},
    },
    effect::{Effect, Note, Refusal},
    event::Protocol,
    handover::Instance,
    timers::Due,
    upstream::{Entry, UpstreamKey},
};

impl<C: Protocol> Tier<C> {
    /// Suspects the request of an attempt that ended without a reply, unless requests like it are
    /// answered; its upstream is checked after a delay. `is_broken` tells that the connection broke
    /// rather than that the request was given up.
    pub(super) fn suspect(
        &mut self,
        now: Time,
        attempt: &Attempt,
        is_broken: bool,
        effects: &mut Vec<Effect<C>>,
    ) {
        let key = attempt.upstream;
        let Some(upstream) = self.directory.get(key) else {
            return;
        };
        let entry = &upstream.entry;
        // An upstream that drains ends by itself.
        let is_explained = upstream.is_departing()
            || (self.crashes).was_answered(now, attempt.digest, &entry.service);
        if is_explained {
            return;
        }
        let possible = Crash {
            digest: attempt.digest,
            call: attempt.id_hash,
            service: entry.service.clone(),
            upstream: entry.name.clone(),
            started_ms: entry.started_ms,
            up_at: upstream.up_at(is_broken.then_some(attempt.sent)),
            at: now,
        };
        let dropped = self.suspicions.add(key, entry.address, possible);
        effects.push(Effect::Note(Note::CrashSuspected));
        note_unconfirmed(dropped, effects);
        let delay = match is_broken {
            true => BROKEN_CHECK_DELAY,
            false => SILENT_CHECK_DELAY,
        };
        self.timers.set(now + delay, Due::CheckSuspect(key));
        self.timers
            .set(now + SUSPICION_PERIOD, Due::CheckSuspect(key));
    }

    /// Checks an upstream with suspected requests.
    pub(super) fn on_suspect_due(
        &mut self,
        now: Time,
        key: UpstreamKey,
        effects: &mut Vec<Effect<C>>,
    ) {
        let upstream = self.directory.get(key);
        let answered_since = upstream.and_then(|upstream| upstream.answered_since);
        let (dropped, check) = self.suspicions.check(now, key, answered_since);
        note_unconfirmed(dropped, effects);
        match check {
            Check::Done => {}
            Check::Probe(address) => effects.push(Effect::Probe(key, address)),
        }
    }

    /// Handles the result of a probe of an upstream that may be suspected.
    pub(super) fn on_suspect_probed(
        &mut self,
        now: Time,
        key: UpstreamKey,
        result: ProbeResult,
        effects: &mut Vec<Effect<C>>,
    ) {
        let is_starved = self.starvation.is_starved(now);
        if result == ProbeResult::Unsent || result == ProbeResult::Unanswered && is_starved {
            // The instance itself may be why there is no answer.
            self.suspicions.probe_inconclusive(key);
            effects.push(Effect::Note(Note::ProbeInconclusive));
            let again = now + PROBE_RETRY_DELAY;
            self.timers.set(again, Due::CheckSuspect(key));
        } else if self.suspicions.probed(key, result) {
            self.on_upstream_crashed(now, key, effects);
        } else if result == ProbeResult::Unanswered {
            let again = now + PROBE_RETRY_DELAY;
            self.timers.set(again, Due::CheckSuspect(key));
        }
    }

    /// Detects from an entry that a suspected upstream has restarted, or that another one has taken
    /// its address.
    pub(super) fn detect_restart(
        &mut self,
        now: Time,
        entry: &Entry,
        effects: &mut Vec<Effect<C>>,
    ) {
        let known = self.directory.named(&entry.name);
        let ended = match known.and_then(|key| Some((key, self.directory.get(key)?))) {
            Some((key, upstream)) => (entry.started_ms > upstream.entry.started_ms).then_some(key),
            None => self.suspicions.at(entry.address),
        };
        if let Some(key) = ended {
            self.on_upstream_crashed(now, key, effects);
        }
    }

    /// Counts the crash of an upstream against the requests that are suspected of it.
    pub(super) fn on_upstream_crashed(
        &mut self,
        now: Time,
        key: UpstreamKey,
        effects: &mut Vec<Effect<C>>,
    ) {
        if let Some(upstream) = self.directory.get_mut(key) {
            upstream.down_at = Some(now);
            // Whatever is sent from now on needs a connection that the upstream accepts.
            effects.push(Effect::CloseIdle(key));
        }
        for crash in self.suspicions.confirm(key) {
            let digest = crash.digest;
            if self.record_crash(now, crash.clone(), effects) == CrashOutcome::Suspected {
                let collectors = self.collectors(now, digest);
                effects.push(Effect::ReportCrash(crash, collectors));
            }
        }
    }

    fn record_crash(
        &mut self,
        now: Time,
        crash: Crash,
        effects: &mut Vec<Effect<C>>,
    ) -> CrashOutcome {
        let (digest, upstream) = (crash.digest, crash.upstream.clone());
        let is_common = self.frequency.is_common(now, digest);
        let outcome = self.crashes.record_crash(now, crash, is_common);
        if outcome == CrashOutcome::Unchanged {
            return outcome;
        }
        let crashes = self.crashes.crashes(digest);
        effects.push(Effect::Note(Note::UpstreamCrashed {
            upstream,
            digest,
            crashes,
        }));
        if outcome == CrashOutcome::Withheld {
            effects.push(Effect::Note(Note::QuarantineWithheld(digest)));
        }
        if outcome == CrashOutcome::Quarantined {
            effects.push(Effect::Quarantine(digest));
            effects.push(Effect::Note(Note::Quarantined(digest)));
            let recipients = self.instances.recipients(&mut self.rng);
            let left = self.crashes.quarantine_left(now, digest);
            let share = Effect::ShareQuarantine(digest, left.unwrap_or_default(), recipients);
            effects.push(share);
        }
        outcome
    }

    /// Applies a list of the instances. Those that were not known before are told what is in
    /// quarantine, as they may have missed it.
    pub(super) fn on_instances(
        &mut self,
        now: Time,
        all: Vec<Instance>,
        effects: &mut Vec<Effect<C>>,
    ) {
        self.set_lenders(now, &all);
        let new = self.instances.set(all, &self.settings.instance);
        self.divide_limits(now);
        if new.is_empty() {
            return;
        }
        for (digest, left) in self.crashes.quarantined(now) {
            effects.push(Effect::ShareQuarantine(digest, left, new.clone()));
        }
    }

    /// Returns the instances that collect the crashes of a request, besides this one.
    fn collectors(&self, now: Time, digest: u64) -> Vec<Instance> {
        let own = &self.settings.instance;
        let collectors = self.instances.collectors(now, own, digest);
        collectors.into_iter().cloned().collect()
    }

    /// Counts a crash that another instance has seen, and tells that one if the request is already
    /// quarantined.
    pub(super) fn on_crash_reported(
        &mut self,
        now: Time,
        from: &InstanceName,
        crash: Crash,
        effects: &mut Vec<Effect<C>>,
    ) {
        let digest = crash.digest;
        let left = self.crashes.quarantine_left(now, digest);
        self.record_crash(now, crash, effects);
        let sender = self.instances.get(from).cloned();
        if let (Some(left), Some(sender)) = (left, sender) {
            effects.push(Effect::ShareQuarantine(digest, left, vec![sender]));
        }
    }

    /// Sends the report of a crash to the next collector in place of one that was unreachable.
    pub(super) fn on_report_lost(
        &mut self,
        now: Time,
        to: InstanceName,
        crash: Crash,
        effects: &mut Vec<Effect<C>>,
    ) {
        self.eject_instance(now, to, effects);
        if let Some(next) = self.collectors(now, crash.digest).pop() {
            effects.push(Effect::ReportCrash(crash, vec![next]));
        }
    }

    /// Records that an upstream has replied to a request, which clears it of suspicion.
    pub(super) fn on_request_answered(
        &mut self,
        now: Time,
        digest: u64,
        service: &ServiceName,
        effects: &mut Vec<Effect<C>>,
    ) {
        let outcome = self.crashes.record_reply(now, digest, service);
        if outcome != ReplyOutcome::Unchanged {
            let collectors = self.collectors(now, digest);
            effects.push(Effect::ReportReply(digest, service.clone(), collectors));
        }
        self.apply_reply_outcome(digest, outcome, effects);
    }

    /// Records a reply that another instance has received.
    pub(super) fn on_reply_reported(
        &mut self,
        now: Time,
        digest: u64,
        service: &ServiceName,
        effects: &mut Vec<Effect<C>>,
    ) {
        let outcome = self.crashes.record_reply(now, digest, service);
        self.apply_reply_outcome(digest, outcome, effects);
    }

    fn apply_reply_outcome(
        &mut self,
        digest: u64,
        outcome: ReplyOutcome,
        effects: &mut Vec<Effect<C>>,
    ) {
        if outcome == ReplyOutcome::Released {
            effects.push(Effect::Note(Note::QuarantineEnded(digest)));
            effects.push(Effect::Unquarantine(digest));
            let recipients = self.instances.recipients(&mut self.rng);
            effects.push(Effect::ShareQuarantine(digest, Duration::ZERO, recipients));
        }
    }

    /// Applies the quarantine of a request, or its end, on behalf of another instance.
    pub(super) fn on_quarantine_shared(
        &mut self,
        now: Time,
        digest: u64,
        left: Duration,
        effects: &mut Vec<Effect<C>>,
    ) {
        if !left.is_zero() {
            self.learn_quarantine(now, digest, left, effects);
        } else if self.crashes.release(now, digest) {
            effects.push(Effect::Note(Note::QuarantineEnded(digest)));
        }
    }

    /// Applies a quarantine that another instance has published.
    pub(super) fn on_quarantine(&mut self, now: Time, digest: u64, effects: &mut Vec<Effect<C>>) {
        self.learn_quarantine(now, digest, PUBLISHED_PERIOD, effects);
    }

    /// Returns whether a quarantined request may be tried: one instance does so now and then if the
    /// request arrives often.
    pub(super) fn may_try_quarantined(&mut self, now: Time, digest: u64) -> bool {
        let own = &self.settings.instance;
        self.frequency.is_common(now, digest)
            && self.instances.is_first_collector(now, own, digest)
            && self.crashes.start_trial(now, digest)
    }

    /// Sends a quarantined request to one upstream. If the request has several parts, only the one
    /// whose upstreams have crashed is sent, and the call fails after it.
    pub(super) fn try_quarantined(
        &mut self,
        now: Time,
        id: CallId,
        mut call: Call<C>,
        effects: &mut Vec<Effect<C>>,
    ) {
        let suspected = self.crashes.most_crashed(call.head.digest);
        let part = call
            .parts
            .iter()
            .position(|it| suspected == Some(&it.service));
        let at = part.unwrap_or(0);
        let name: Rc<str> = Rc::from(&*call.config.route(call.route).name);
        let candidates = self.candidates(now, &name, &call);
        let Some(candidate) = candidates.get(at).copied().flatten() else {
            self.refuse(now, id, &mut call, Refusal::Quarantined, effects);
            return;
        };
        for (other, part) in call.parts.iter_mut().enumerate() {
            if other != at {
                part.state = PartState::Lost;
            }
        }
        effects.push(Effect::Note(Note::QuarantineTried(call.head.digest)));
        self.timers.set(call.deadline, Due::Deadline(id));
        self.calls.insert(id, call);
        self.send(now, id, at, candidate.key, effects);
    }

    fn learn_quarantine(
        &mut self,
        now: Time,
        digest: u64,
        period: Duration,
        effects: &mut Vec<Effect<C>>,
    ) {
        let is_common = self.frequency.is_common(now, digest);
        match self.crashes.quarantine(now, digest, period, is_common) {
            LearnedOutcome::Known => {}
            LearnedOutcome::Quarantined => {
                effects.push(Effect::Note(Note::QuarantineLearned(digest)));
            }
            LearnedOutcome::Withheld => {
                effects.push(Effect::Note(Note::QuarantineWithheld(digest)));
            }
        }
    }
}

fn note_unconfirmed<C: Protocol>(dropped: usize, effects: &mut Vec<Effect<C>>) {
    if dropped > 0 {
        effects.push(Effect::Note(Note::CrashUnconfirmed(dropped)));
    }
}
