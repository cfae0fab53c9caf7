//! Claims: the record that a request of the once class needs before it is sent.
//!
//! The contract, which the requests in hand (`run.rs`) rely on:
//!
//! - A key is held by at most one request. The fence is the platform's conditional update on the
//!   version of a bucket object, and nothing else.
//! - [`Decision::Claimed`] is given only when the record of that very request was read back, or a
//!   write of it was acknowledged. A write whose reply was lost is resolved first.
//! - After [`Claims::withdraw`] there is no verdict; a record that is there by then, or may get
//!   there yet, is taken off again.
//! - [`Change::Release`] is only for a request that was never sent and never will be.
//! - Each key is in one bucket for ever, so the count of buckets must never change while records
//!   are of use.

mod bucket;
mod content;
pub(crate) mod forward;
mod record;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use base::{IdempotencyKey, InstanceName, OpId, RequestId, Time};
use rand::{SeedableRng, rngs::SmallRng};
use xxhash_rust::xxh3::xxh3_64;

use crate::{event::PlatformEvent, store::Context};
use bucket::{Bucket, PendingChange};
pub use content::{Bounds, Claim, Content, Decision};
pub use forward::{ClaimCode, Forwards, Pending};
pub use record::{MAX_OUTCOME_BYTES, Record, Row, State};

/// Largest object that the platform takes, in bytes.
const PLATFORM_OBJECT_BYTES: usize = 1 << 20;

/// Bytes of the platform's largest object that a bucket leaves free.
const OBJECT_MARGIN_BYTES: usize = 64 << 10;

/// Settings of the claims.
#[derive(Clone, Debug)]
pub struct ClaimsConfig {
    /// Bucket objects; the same for ever and at all instances.
    pub buckets: u32,
    /// Bounds of one bucket.
    pub bounds: Bounds,
    /// Time that the first change of a batch waits for others.
    pub linger: Duration,
    /// Shortest time between two writes of one bucket.
    pub interval: Duration,
    /// Most changes in one write.
    pub batch: usize,
    /// Most claims that wait for one bucket.
    pub queue: usize,
    /// Most bytes of bucket content that are kept while nothing waits for them.
    pub cache_bytes: usize,
    /// Time after which a change left to another instance is made here; zero leaves none.
    pub forward_wait: Duration,
    /// First pause after a call that the platform did not take.
    pub first_backoff: Duration,
    /// Longest pause after calls that the platform did not take.
    pub last_backoff: Duration,
}

impl Default for ClaimsConfig {
    fn default() -> Self {
        Self {
            buckets: 32,
            bounds: Bounds {
                bytes: PLATFORM_OBJECT_BYTES - OBJECT_MARGIN_BYTES,
                retention: Duration::from_secs(600),
            },
            linger: Duration::from_micros(500),
            interval: Duration::from_millis(100),
            batch: 1_024,
            queue: 4_096,
            cache_bytes: 32 << 20,
            forward_wait: Duration::from_millis(30),
            first_backoff: Duration::from_millis(20),
            last_backoff: Duration::from_secs(2),
        }
    }
}

/// Who asked for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// This instance.
    Own,
    /// Another instance, which matches the result by its ticket.
    Peer {
        /// The instance.
        from: InstanceName,
        /// Its ticket.
        ticket: u64,
    },
}

/// A change of a bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Puts a claim on record.
    Claim(Claim, Source),
    /// Records what became of the holder of a key.
    Settle {
        /// The holder.
        request: RequestId,
        /// The key.
        key: IdempotencyKey,
        /// What became of it.
        state: State,
    },
    /// Takes off the claim of a request that was never sent.
    Release {
        /// The holder.
        request: RequestId,
        /// The key.
        key: IdempotencyKey,
    },
}

impl Change {
    /// Returns the request that the change is about.
    pub fn request(&self) -> RequestId {
        match self {
            Self::Claim(claim, _) => claim.request,
            Self::Settle { request, .. } | Self::Release { request, .. } => *request,
        }
    }

    /// Returns the key that the change is about.
    pub fn key(&self) -> &IdempotencyKey {
        match self {
            Self::Claim(claim, _) => &claim.key,
            Self::Settle { key, .. } | Self::Release { key, .. } => key,
        }
    }
}

/// The verdict on one claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecidedClaim {
    /// The claim.
    pub claim: Claim,
    /// Who asked for it.
    pub source: Source,
    /// What became of it.
    pub decision: Decision,
}

/// Counts of the claims since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimCounts {
    /// Claims put on record.
    pub claims: u64,
    /// Writes of bucket objects.
    pub writes: u64,
    /// Bytes of the bucket objects that were written.
    pub written_bytes: u64,
}

/// The buckets that one instance has in hand.
#[derive(Debug)]
pub struct Claims {
    cfg: ClaimsConfig,
    buckets: BTreeMap<u32, Bucket>,
    ops: HashMap<OpId, u32>,
    rng: SmallRng,
    wake: Time,
    counts: ClaimCounts,
}

impl Claims {
    /// Makes an instance that has no bucket in hand.
    pub fn new(cfg: ClaimsConfig, seed: u64) -> Self {
        Self {
            cfg,
            buckets: BTreeMap::new(),
            ops: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            wake: Time::NEVER,
            counts: ClaimCounts::default(),
        }
    }

    /// Returns the time after which a change left to another instance is made here.
    pub fn forward_wait(&self) -> Duration {
        self.cfg.forward_wait
    }

    /// Returns the bucket of a key.
    pub fn bucket_of(&self, key: &IdempotencyKey) -> u32 {
        let buckets = u64::from(self.cfg.buckets.max(1));
        u32::try_from(xxh3_64(key.as_str().as_bytes()) % buckets).unwrap_or(0)
    }

    /// Takes a change into the next write of its bucket; returns whether a claim found room.
    pub fn submit(&mut self, now: Time, change: Change) -> bool {
        let number = self.bucket_of(change.key());
        let bucket = self
            .buckets
            .entry(number)
            .or_insert_with(|| Bucket::new(number));
        let is_claim = matches!(change, Change::Claim(..));
        if is_claim && bucket.waiting() >= self.cfg.queue {
            return false;
        }
        bucket.push(now, &self.cfg, PendingChange::new(change));
        self.wake = self.wake.min(bucket.next_step());
        true
    }

    /// Forgets a claim of this instance: it gets no verdict, and its record goes if there is one.
    pub fn withdraw(&mut self, now: Time, key: &IdempotencyKey, request: RequestId) {
        let number = self.bucket_of(key);
        if let Some(bucket) = self.buckets.get_mut(&number) {
            bucket.withdraw(now, &self.cfg, key, request);
            self.wake = self.wake.min(bucket.next_step());
        }
    }

    /// Takes the platform's answer; `None` when the call was not for a bucket.
    pub fn on_platform(
        &mut self,
        cx: &mut Context<'_>,
        op: OpId,
        event: &PlatformEvent,
    ) -> Option<Vec<DecidedClaim>> {
        let number = self.ops.remove(&op)?;
        let mut decided = Vec::new();
        if let Some(bucket) = self.buckets.get_mut(&number) {
            bucket.on_platform(cx, &self.cfg, &mut self.rng, event, &mut decided);
        }
        self.step(cx, number, &mut decided);
        self.finish_step(&decided);
        Some(decided)
    }

    /// Starts the calls that are due.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Vec<DecidedClaim> {
        let mut decided = Vec::new();
        if self.wake > cx.now {
            return decided;
        }
        let due = self.buckets.iter().filter(|(_, b)| b.next_step() <= cx.now);
        let due: Vec<u32> = due.map(|(number, _)| *number).collect();
        for number in due {
            self.step(cx, number, &mut decided);
        }
        self.finish_step(&decided);
        decided
    }

    /// Returns when [`Claims::poll`] is due.
    pub fn next_wake(&self) -> Time {
        self.wake
    }

    /// Returns whether an outcome or a release is not on record yet.
    pub fn has_unsaved(&self) -> bool {
        self.buckets.values().any(Bucket::has_unsaved)
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> ClaimCounts {
        self.counts
    }

    fn step(&mut self, cx: &mut Context<'_>, number: u32, decided: &mut Vec<DecidedClaim>) {
        let Some(bucket) = self.buckets.get_mut(&number) else {
            return;
        };
        if let Some(call) = bucket.step(cx, &self.cfg, decided) {
            self.ops.insert(call.op, number);
            self.counts.writes += u64::from(call.written_bytes > 0);
            self.counts.written_bytes += call.written_bytes as u64;
        }
    }

    fn finish_step(&mut self, decided: &[DecidedClaim]) {
        let claimed = decided.iter().filter(|r| r.decision == Decision::Claimed);
        self.counts.claims += claimed.count() as u64;
        self.shrink_cache();
        let steps = self.buckets.values().map(Bucket::next_step);
        self.wake = steps.min().unwrap_or(Time::NEVER);
    }

    /// Forgets the idle buckets that were used least lately while the cache is too large.
    fn shrink_cache(&mut self) {
        let mut bytes: usize = self.buckets.values().map(Bucket::cached_bytes).sum();
        while bytes > self.cfg.cache_bytes {
            let idle = self.buckets.iter().filter(|(_, b)| b.is_idle());
            let Some((number, size)) = idle
                .min_by_key(|(_, b)| b.last_used())
                .map(|(number, b)| (*number, b.cached_bytes()))
            else {
                return;
            };
            self.buckets.remove(&number);
            bytes -= size;
        }
    }
}
