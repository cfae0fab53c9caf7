//! State of a pending search.

use std::{rc::Rc, time::Duration};

use base::{CallId, RequestId, Time};
use bytes::Bytes;

use crate::{
    attempt::AttemptKey,
    directory::{EntryPlan, ShardPlan, SnapshotPlan, UpstreamId},
    effect::Coverage,
    protocol::Hit,
};

/// Progress of a part of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartState {
    /// Waiting for the probe of the search to be answered.
    Held,
    /// Attempts are in flight or will be made.
    Open,
    /// The reply of the shard is included in the results.
    Answered,
    /// Given up; no more attempts are made.
    Missing,
}

/// The part of a search that one shard answers.
#[derive(Clone, Debug)]
pub struct Part {
    /// Progress of the part.
    pub state: PartState,
    /// Unfinished attempts.
    pub live: Vec<AttemptKey>,
    /// Upstreams that were tried, with repetitions.
    pub tried: Vec<UpstreamId>,
    /// When the first attempt was made.
    pub started: Time,
    /// When to consider another attempt.
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

    /// Returns whether a hedge may go to an upstream that was tried before: only after a first
    /// hedge went to another one.
    pub fn may_hedge_to_tried(&self) -> bool {
        self.hedges > 0
    }

    /// Returns whether the part is neither answered nor given up.
    pub fn is_unfinished(&self) -> bool {
        matches!(self.state, PartState::Held | PartState::Open)
    }
}

/// The best hits received so far.
#[derive(Clone, Debug)]
pub struct TopHits {
    limit: usize,
    hits: Vec<Hit>,
}

impl TopHits {
    /// Creates an empty list that keeps the best `limit` hits.
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

    /// Returns the best hits, best first; hits of equal score are ordered by document identifier.
    pub fn into_best(mut self) -> Vec<Hit> {
        self.keep_best();
        self.hits
    }
}

/// State of a pending search.
#[derive(Debug)]
pub struct SearchState {
    /// Call of the caller, to be answered.
    pub call: CallId,
    /// Identity of the request.
    pub request: RequestId,
    /// Catalogue entry that the request names.
    pub entry: Rc<EntryPlan>,
    /// Snapshot that all hits come from.
    pub snapshot: Rc<SnapshotPlan>,
    /// When the request arrived.
    pub arrived: Time,
    /// When the search is answered at the latest.
    pub deadline: Time,
    /// Query, as received from the caller.
    pub body: Bytes,
    /// Digest of service and body.
    pub fingerprint: u64,
    /// Parts, one for each shard of the snapshot.
    pub parts: Vec<Part>,
    /// Number of parts that are neither answered nor given up.
    pub unfinished: u32,
    /// Part that probes the request while the others are held.
    pub probe: Option<u32>,
    /// When the parts are checked next for hedges and retries.
    pub check_at: Time,
    /// Best hits received so far.
    pub hits: TopHits,
    /// When the last included reply arrived.
    pub last_reply: Time,
    /// Longest wait of a sub-request for a slot; the whole deadline if one was refused for
    /// overload.
    pub max_slot_wait: Duration,
    /// Number of times that the search was restarted at another snapshot.
    pub replans: u32,
}

/// Parameters of a new [`SearchState`].
#[derive(Clone, Debug)]
pub struct NewSearchState {
    /// Call of the caller, to be answered.
    pub call: CallId,
    /// Identity of the request.
    pub request: RequestId,
    /// Catalogue entry that the request names.
    pub entry: Rc<EntryPlan>,
    /// Snapshot that all hits come from.
    pub snapshot: Rc<SnapshotPlan>,
    /// When the request arrived.
    pub arrived: Time,
    /// When the search is answered at the latest.
    pub deadline: Time,
    /// Query, as received from the caller.
    pub body: Bytes,
    /// Digest of service and body.
    pub fingerprint: u64,
}

impl SearchState {
    /// Creates a search whose parts are all held.
    pub fn new(new: NewSearchState) -> Self {
        let mut search = Self {
            call: new.call,
            request: new.request,
            hits: TopHits::new(new.entry.declaration.limits.results),
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

    /// Drops all hits and creates held parts for the shards of the current snapshot.
    pub fn reset(&mut self) {
        let shards = self.snapshot.shards.len();
        self.parts = (0..shards).map(|_| Part::new()).collect();
        self.unfinished = u32::try_from(shards).unwrap_or(u32::MAX);
        self.probe = None;
        self.check_at = Time::NEVER;
        self.hits = TopHits::new(self.entry.declaration.limits.results);
    }

    /// Returns the shard of a part.
    pub fn shard(&self, part: u32) -> &ShardPlan {
        &self.snapshot.shards[part as usize]
    }

    /// Removes and returns all unfinished attempts.
    pub fn take_live_attempts(&mut self) -> Vec<AttemptKey> {
        self.parts
            .iter_mut()
            .flat_map(|p| std::mem::take(&mut p.live))
            .collect()
    }

    /// Returns the current coverage of the search.
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

/// Share of the deadline after which a hedge is sent while no latency is known, as a divisor.
const DEFAULT_HEDGE_DIVISOR: u32 = 4;

/// Upper bound of the estimate of a shard with few samples, as a multiple of that of its service.
const SERVICE_FACTOR: u32 = 2;

/// Shortest delay before a hedge.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);

impl SearchState {
    /// Returns how long an attempt at a part may take before a hedge is considered.
    ///
    /// The estimate of a shard with few samples is bounded by that of its service. Otherwise two
    /// stragglers among the first samples would keep the shard without hedges for hundreds of
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

    /// Returns when another replica is to be queried for a part, with the time from its first
    /// attempt to the deadline divided evenly among the replicas.
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

    /// Ends a part with the given state; returns its unfinished attempts.
    pub fn close_part(&mut self, part: u32, state: PartState) -> Vec<AttemptKey> {
        let closed = &mut self.parts[part as usize];
        if closed.is_unfinished() {
            self.unfinished -= 1;
            closed.state = state;
        }
        std::mem::take(&mut closed.live)
    }
}
