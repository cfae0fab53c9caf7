//! One search in hand.

use std::{rc::Rc, time::Duration};

use base::{CallId, RequestId, Time};
use bytes::Bytes;

use crate::{
    attempt::AttemptKey,
    directory::{EntryPlan, ShardPlan, SnapshotPlan, UpstreamId},
    effect::Coverage,
    protocol::Hit,
};

/// How far one part of a search is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartState {
    /// Waits until the probe of the search is answered.
    Held,
    /// Has attempts in flight, or waits to start one.
    Open,
    /// Its whole reply is in the answer.
    Answered,
    /// No more attempts are made.
    Missing,
}

/// The part of a search that one shard answers.
#[derive(Clone, Debug)]
pub struct Part {
    /// How far it is.
    pub state: PartState,
    /// Attempts that have not ended.
    pub live: Vec<AttemptKey>,
    /// Upstreams that were asked.
    pub tried: Vec<UpstreamId>,
    /// When the first attempt was made.
    pub started: Time,
    /// When another attempt is to be considered.
    pub check_at: Time,
    /// Hedges that were sent.
    pub hedges: u32,
}

impl Part {
    fn new() -> Self {
        Self {
            state: PartState::Held,
            live: Vec::new(),
            tried: Vec::new(),
            started: Time::ZERO,
            check_at: Time::NEVER,
            hedges: 0,
        }
    }

    /// Returns whether a hedge may go to an upstream that was asked before: one has gone elsewhere.
    pub fn may_hedge_to_tried(&self) -> bool {
        self.hedges > 0
    }

    /// Returns whether the part still waits for a reply.
    pub fn is_unfinished(&self) -> bool {
        matches!(self.state, PartState::Held | PartState::Open)
    }
}

/// The best hits so far.
#[derive(Clone, Debug)]
pub struct TopHits {
    limit: usize,
    hits: Vec<Hit>,
}

impl TopHits {
    /// Makes an empty list that keeps the best `limit` hits.
    pub fn new(limit: u32) -> Self {
        Self {
            limit: limit as usize,
            hits: Vec::new(),
        }
    }

    /// Adds the hits of one shard.
    pub fn extend(&mut self, hits: Vec<Hit>) {
        self.hits.extend(hits);
        if self.hits.len() > self.limit * 4 {
            self.keep_best();
        }
    }

    fn keep_best(&mut self) {
        self.hits
            .sort_by(|a, b| b.score.cmp(&a.score).then_with(|| a.id.cmp(&b.id)));
        self.hits.truncate(self.limit);
    }

    /// Returns the best hits, best first; equal scores are ordered by document.
    pub fn into_best(mut self) -> Vec<Hit> {
        self.keep_best();
        self.hits
    }
}

/// One search in hand.
#[derive(Debug)]
pub struct SearchState {
    /// The caller's call.
    pub call: CallId,
    /// Identity of the request.
    pub request: RequestId,
    /// Entry that was asked.
    pub entry: Rc<EntryPlan>,
    /// Snapshot that the whole answer is drawn from.
    pub snapshot: Rc<SnapshotPlan>,
    /// When the request arrived.
    pub arrived: Time,
    /// When the answer is given at the latest.
    pub deadline: Time,
    /// Query as the caller sent it.
    pub body: Bytes,
    /// Digest of service and body.
    pub fingerprint: u64,
    /// One part for each shard of the snapshot.
    pub parts: Vec<Part>,
    /// Parts that still wait for a reply.
    pub unfinished: u32,
    /// Part that tries out the request while the others are held.
    pub probe: Option<u32>,
    /// When the parts are looked at next.
    pub check_at: Time,
    /// Best hits so far.
    pub hits: TopHits,
    /// When the last reply that is in the answer arrived.
    pub last_reply: Time,
    /// Longest wait of a sub-request for a slot.
    pub max_slot_wait: Duration,
    /// How often the search was planned again at another snapshot.
    pub replans: u32,
}

/// What a new search is made of.
#[derive(Clone, Debug)]
pub struct NewSearchState {
    /// The caller's call.
    pub call: CallId,
    /// Identity of the request.
    pub request: RequestId,
    /// Entry that was asked.
    pub entry: Rc<EntryPlan>,
    /// Snapshot that the whole answer is drawn from.
    pub snapshot: Rc<SnapshotPlan>,
    /// When the request arrived.
    pub arrived: Time,
    /// When the answer is given at the latest.
    pub deadline: Time,
    /// Query as the caller sent it.
    pub body: Bytes,
    /// Digest of service and body.
    pub fingerprint: u64,
}

impl SearchState {
    /// Makes a search whose parts are all held.
    pub fn new(new: NewSearchState) -> Self {
        let mut search = Self {
            call: new.call,
            request: new.request,
            hits: TopHits::new(new.entry.entry.limits.results),
            entry: new.entry,
            snapshot: new.snapshot,
            arrived: new.arrived,
            deadline: new.deadline,
            body: new.body,
            fingerprint: new.fingerprint,
            parts: Vec::new(),
            unfinished: 0,
            probe: None,
            check_at: Time::NEVER,
            last_reply: new.arrived,
            max_slot_wait: Duration::ZERO,
            replans: 0,
        };
        search.reset();
        search
    }

    /// Drops all parts and hits and starts over with the present snapshot.
    pub fn reset(&mut self) {
        let shards = self.snapshot.shards.len();
        self.parts = (0..shards).map(|_| Part::new()).collect();
        self.unfinished = u32::try_from(shards).unwrap_or(u32::MAX);
        self.probe = None;
        self.check_at = Time::NEVER;
        self.hits = TopHits::new(self.entry.entry.limits.results);
    }

    /// Returns the shard of a part.
    pub fn shard(&self, part: u32) -> &ShardPlan {
        &self.snapshot.shards[part as usize]
    }

    /// Takes all attempts that have not ended.
    pub fn take_live_attempts(&mut self) -> Vec<AttemptKey> {
        self.parts
            .iter_mut()
            .flat_map(|p| std::mem::take(&mut p.live))
            .collect()
    }

    /// Returns what the search covers now.
    pub fn coverage(&self) -> Coverage {
        let mut coverage = Coverage::default();
        for (part, shard) in self.parts.iter().zip(&self.snapshot.shards) {
            coverage.asked += 1;
            if part.state == PartState::Answered {
                coverage.answered += 1;
            } else {
                coverage.missing.push(shard.name.clone());
            }
        }
        coverage
    }
}

/// Share of the deadline after which a hedge is sent when no latency is known, as a divisor.
const DEFAULT_HEDGE_DIVISOR: u32 = 4;

/// Bound of a shard's estimate while it has few samples, as a multiple of its service's.
const SERVICE_FACTOR: u32 = 2;

/// Shortest wait before a hedge.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);

impl SearchState {
    /// Returns how long an attempt at a part may take before a hedge is considered.
    ///
    /// The estimate of a shard with few samples is bounded by that of its service: two stragglers
    /// among the first samples would otherwise keep the shard without hedges for hundreds of
    /// searches.
    pub fn hedge_delay(&self, part: u32) -> Duration {
        let shard = *self.shard(part).latency.borrow();
        let service = self.entry.service.latency.borrow().get();
        let expected = match (shard.get(), service) {
            (Some(own), Some(all)) if !shard.is_settled() => Some(own.min(all * SERVICE_FACTOR)),
            (Some(own), _) => Some(own),
            (None, all) => all,
        };
        let total = self.deadline.since(self.arrived);
        expected
            .unwrap_or(total / DEFAULT_HEDGE_DIVISOR)
            .max(MIN_HEDGE_DELAY)
    }

    /// Returns when a part has waited its share of the deadline, given the replicas left to ask.
    pub fn retry_due(&self, part: u32) -> Time {
        let state = &self.parts[part as usize];
        let replicas = self.shard(part).replicas.len().max(1);
        let share = self.deadline.since(state.started) / u32::try_from(replicas).unwrap_or(1);
        state.started + share * u32::try_from(state.tried.len()).unwrap_or(1)
    }

    /// Returns the open parts whose check is due.
    pub fn due_parts(&self, now: Time) -> Vec<u32> {
        let due = |part: &Part| part.state == PartState::Open && part.check_at <= now;
        (0..)
            .zip(&self.parts)
            .filter(|(_, part)| due(part))
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns when the next check of an open part is due.
    pub fn next_check(&self) -> Time {
        let open = self
            .parts
            .iter()
            .filter(|part| part.state == PartState::Open);
        open.map(|part| part.check_at).min().unwrap_or(Time::NEVER)
    }

    /// Ends a part; returns its attempts that have not ended.
    pub fn close_part(&mut self, part: u32, state: PartState) -> Vec<AttemptKey> {
        let closed = &mut self.parts[part as usize];
        if closed.is_unfinished() {
            self.unfinished -= 1;
            closed.state = state;
        }
        std::mem::take(&mut closed.live)
    }
}
