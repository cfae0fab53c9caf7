//! Group commit of one bucket: at most one call to the platform is in flight, and the changes that
//! arrive meanwhile go into the next write.

use std::{collections::BTreeSet, time::Duration};

use base::{IdempotencyKey, OpId, RequestId, Time, Version};
use rand::{Rng, rngs::SmallRng};

use super::{Change, ClaimsConfig, Content, DecidedClaim, Decision, Source, State};
use crate::{
    effect::{Effect, Note, PlatformOp},
    event::PlatformEvent,
    object::{Kind, Object},
    store::Context,
};

/// Longest pause after a conflicting write; the actual pause is a random part of it.
const CONFLICT_PAUSE: Duration = Duration::from_millis(2);

/// A change that is not stored yet.
#[derive(Debug)]
pub(super) struct PendingChange {
    change: Change,
    /// Whether it was part of a write, so that it may be stored already.
    maybe_written: bool,
    /// Whether the bucket was read since the change was submitted.
    fresh: bool,
}

impl PendingChange {
    pub(super) fn new(change: Change) -> Self {
        Self {
            change,
            maybe_written: false,
            fresh: false,
        }
    }

    fn is_claim(&self) -> bool {
        matches!(self.change, Change::Claim(..))
    }
}

/// Content of the bucket at a version.
#[derive(Debug)]
struct Cached {
    /// `None` while the object does not exist.
    version: Option<Version>,
    content: Content,
}

/// A write that was not acknowledged; it may still take effect while the object has the expected
/// version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Unresolved {
    expected: Option<Version>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Idle,
    Reading,
    Writing,
}

/// A call that was started.
#[derive(Debug)]
pub(super) struct StartedCall {
    pub(super) op: OpId,
    /// Size of the object that is written; zero for a read.
    pub(super) written_bytes: usize,
}

/// One bucket.
#[derive(Debug)]
pub(super) struct Bucket {
    name: Box<str>,
    stage: Stage,
    /// Content that was read or written last; while a write is in flight, the content that it writes.
    cached: Option<Cached>,
    queue: Vec<PendingChange>,
    /// Changes of the write in flight.
    batch: Vec<PendingChange>,
    unresolved: Option<Unresolved>,
    failures: u32,
    /// Time from which the next call may be started.
    due: Time,
    /// Time from which the next batch may be written.
    next_write: Time,
    last_used: Time,
}

impl Bucket {
    pub(super) fn new(number: u32) -> Self {
        Self {
            name: number.to_string().into(),
            stage: Stage::Idle,
            cached: None,
            queue: Vec::new(),
            batch: Vec::new(),
            unresolved: None,
            failures: 0,
            due: Time::ZERO,
            next_write: Time::ZERO,
            last_used: Time::ZERO,
        }
    }

    pub(super) fn push(&mut self, now: Time, cfg: &ClaimsConfig, item: PendingChange) {
        if self.queue.is_empty() && self.failures == 0 {
            // Only a write waits for further changes; a read does not.
            let linger = self.cached.is_some().then_some(cfg.linger);
            self.due = self.due.max(now + linger.unwrap_or_default());
            self.due = self.due.max(self.next_write);
        }
        self.queue.push(item);
        self.last_used = now;
    }

    pub(super) fn waiting(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn last_used(&self) -> Time {
        self.last_used
    }

    pub(super) fn cached_bytes(&self) -> usize {
        self.cached.as_ref().map_or(0, |c| c.content.size())
    }

    pub(super) fn is_idle(&self) -> bool {
        self.stage == Stage::Idle && self.queue.is_empty() && self.unresolved.is_none()
    }

    pub(super) fn has_unsaved(&self) -> bool {
        self.queue.iter().chain(&self.batch).any(|i| !i.is_claim())
    }

    /// Returns the time at which [`Bucket::step`] is due.
    pub(super) fn next_step(&self) -> Time {
        match self.stage {
            Stage::Idle if !self.is_idle() => self.due,
            Stage::Idle | Stage::Reading | Stage::Writing => Time::NEVER,
        }
    }

    /// Withdraws a claim of this instance; one that may be stored already turns into its release.
    pub(super) fn withdraw(
        &mut self,
        now: Time,
        cfg: &ClaimsConfig,
        key: &IdempotencyKey,
        request: RequestId,
    ) {
        let is_target = |item: &PendingChange| matches!(&item.change, Change::Claim(c, Source::Own) if c.request == request);
        let release = || Change::Release {
            request,
            key: key.clone(),
        };
        if self.batch.iter().any(is_target) {
            // The write in flight may store the record; the release removes it afterwards.
            self.batch.retain(|item| !is_target(item));
            let mut item = PendingChange::new(release());
            item.maybe_written = true;
            return self.push(now, cfg, item);
        }
        for item in self.queue.iter_mut().filter(|item| is_target(item)) {
            if item.maybe_written {
                item.change = release();
            }
        }
        self.queue.retain(|item| !is_target(item));
    }

    /// Starts the next call if one is due.
    pub(super) fn step(
        &mut self,
        cx: &mut Context<'_>,
        cfg: &ClaimsConfig,
        decided: &mut Vec<DecidedClaim>,
    ) -> Option<StartedCall> {
        if self.next_step() > cx.now {
            return None;
        }
        if self.cached.is_none() || self.needs_read(cfg) {
            return Some(self.start_read(cx));
        }
        let changed = self.evaluate(cfg, decided);
        let cached = self.cached.as_ref()?;
        // Writing the same content again changes the version, so that a write that is still
        // unresolved can no longer take effect.
        let fence = self.unresolved.is_some();
        if !changed && !fence {
            return None;
        }
        let value = cached.content.to_json();
        let written_bytes = value.len();
        let op = cx.platform(PlatformOp::Write {
            kind: Kind::Claims,
            name: self.name.clone(),
            expect: cached.version,
            value,
        });
        self.stage = Stage::Writing;
        self.next_write = cx.now + cfg.interval;
        Some(StartedCall { op, written_bytes })
    }

    fn start_read(&mut self, cx: &mut Context<'_>) -> StartedCall {
        self.cached = None;
        let op = cx.platform(PlatformOp::Read {
            kind: Kind::Claims,
            name: self.name.clone(),
        });
        self.stage = Stage::Reading;
        StartedCall {
            op,
            written_bytes: 0,
        }
    }

    /// Returns whether the decision on a claim depends on a record that may be outdated: one of
    /// another request, unless it has a final outcome for the same content.
    fn needs_read(&self, cfg: &ClaimsConfig) -> bool {
        let Some(cached) = &self.cached else {
            return true;
        };
        let is_stale = |item: &PendingChange| {
            let Change::Claim(claim, _) = &item.change else {
                return false;
            };
            !item.fresh
                && cached.content.get(&claim.key).is_some_and(|held| {
                    let final_outcome = matches!(held.state, State::Done(_));
                    held.request != claim.request && !(final_outcome && held.digest == claim.digest)
                })
        };
        self.queue.iter().take(cfg.batch).any(is_stale)
    }

    /// Applies the next batch to the content; returns whether the content changed.
    fn evaluate(&mut self, cfg: &ClaimsConfig, decided: &mut Vec<DecidedClaim>) -> bool {
        let Some(cached) = &mut self.cached else {
            return false;
        };
        let content = &mut cached.content;
        let count = self.queue.len().min(cfg.batch);
        let mut added: BTreeSet<RequestId> = BTreeSet::new();
        let mut changed = false;
        for mut item in self.queue.drain(..count) {
            match &item.change {
                Change::Claim(claim, source) => {
                    let on_record = content
                        .get(&claim.key)
                        .is_some_and(|held| held.request == claim.request);
                    let decision = content.claim(claim, cfg.bounds);
                    let is_new = decision == Decision::Claimed && !on_record;
                    if is_new {
                        added.insert(claim.request);
                        changed = true;
                    }
                    // Claims added by this batch are decided once the write is acknowledged.
                    if !added.contains(&claim.request) {
                        decided.push(DecidedClaim {
                            claim: claim.clone(),
                            source: source.clone(),
                            decision,
                        });
                        continue;
                    }
                }
                Change::Settle {
                    request,
                    key,
                    state,
                } => {
                    if !content.settle(key, *request, state, cfg.bounds) {
                        continue;
                    }
                    changed = true;
                }
                Change::Release { request, key } => {
                    if !content.release(key, *request) {
                        continue;
                    }
                    changed = true;
                }
            }
            item.maybe_written = true;
            self.batch.push(item);
        }
        changed
    }

    /// Handles the platform's answer to the call in flight.
    pub(super) fn on_platform(
        &mut self,
        cx: &mut Context<'_>,
        cfg: &ClaimsConfig,
        rng: &mut SmallRng,
        event: &PlatformEvent,
        decided: &mut Vec<DecidedClaim>,
    ) {
        let writing = self.stage == Stage::Writing;
        self.stage = Stage::Idle;
        self.last_used = cx.now;
        match event {
            PlatformEvent::Written(version) if writing => self.commit(cx.now, *version, decided),
            PlatformEvent::Conflict if writing => {
                self.unresolved = None;
                self.requeue();
                let pause = CONFLICT_PAUSE.mul_f64(rng.random());
                self.due = cx.now + pause;
            }
            PlatformEvent::Unknown if writing => {
                let expected = self.cached.as_ref().and_then(|c| c.version);
                self.unresolved = Some(Unresolved { expected });
                self.requeue();
                self.due = cx.now;
            }
            PlatformEvent::Read(object) if !writing => self.on_read(cx, cfg, object, decided),
            _ => {
                self.requeue();
                self.back_off(cx.now, cfg, rng);
            }
        }
    }

    /// Records that the write in flight was acknowledged, which decides its claims.
    fn commit(&mut self, now: Time, version: Version, decided: &mut Vec<DecidedClaim>) {
        if let Some(cached) = &mut self.cached {
            cached.version = Some(version);
        }
        self.unresolved = None;
        self.failures = 0;
        self.due = now.max(self.next_write);
        for item in self.batch.drain(..) {
            if let Change::Claim(claim, source) = item.change {
                decided.push(DecidedClaim {
                    claim,
                    source,
                    decision: Decision::Claimed,
                });
            }
        }
    }

    /// Replaces the content by the object that was read.
    fn on_read(
        &mut self,
        cx: &mut Context<'_>,
        cfg: &ClaimsConfig,
        object: &Option<Object>,
        decided: &mut Vec<DecidedClaim>,
    ) {
        let version = object.as_ref().map(|o| o.version);
        let content = match object {
            Some(object) => Content::from_json(&object.value),
            None => Ok(Content::default()),
        };
        match content {
            Ok(content) => {
                // A write that expects another version can no longer take effect.
                self.unresolved = self.unresolved.filter(|u| u.expected == version);
                self.cached = Some(Cached { version, content });
                for item in &mut self.queue {
                    item.fresh = true;
                }
                self.failures = 0;
                self.due = cx.now;
            }
            Err(error) => {
                cx.effects.push(Effect::Note(Note::BadObject {
                    kind: Kind::Claims,
                    name: self.name.clone(),
                    problem: error.to_string().into(),
                }));
                self.refuse_claims(decided);
                self.due = cx.now + cfg.last_backoff;
            }
        }
    }

    /// Refuses all waiting claims because the bucket cannot be parsed.
    fn refuse_claims(&mut self, decided: &mut Vec<DecidedClaim>) {
        for item in std::mem::take(&mut self.queue) {
            match item.change {
                Change::Claim(claim, source) => decided.push(DecidedClaim {
                    claim,
                    source,
                    decision: Decision::Refused,
                }),
                Change::Settle { .. } | Change::Release { .. } => self.queue.push(item),
            }
        }
    }

    /// Returns the changes of a failed write to the head of the queue, and drops the content, which
    /// may not be what the platform has.
    fn requeue(&mut self) {
        self.cached = None;
        let mut queue = std::mem::take(&mut self.batch);
        queue.append(&mut self.queue);
        self.queue = queue;
    }

    fn back_off(&mut self, now: Time, cfg: &ClaimsConfig, rng: &mut SmallRng) {
        let doublings = self.failures.min(16);
        self.failures += 1;
        let longest = cfg
            .first_backoff
            .saturating_mul(1 << doublings)
            .min(cfg.last_backoff);
        self.due = now + longest.mul_f64(0.5 + rng.random::<f64>() / 2.0);
    }
}
