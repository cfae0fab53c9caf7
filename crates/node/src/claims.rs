//! Claims: the records that requests of the once class need before they are sent.
//!
//! The guarantees that the handling of pending requests (`run.rs`) depends on:
//!
//! - A key is held by at most one request. Only the platform's conditional update on the version of
//!   a bucket object ensures this.
//! - [`Decision::Claimed`] is returned only when the record of this request was read back, or a
//!   write of it was acknowledged. A write whose reply was lost is resolved first.
//! - After [`Claims::withdraw`] there is no decision; a record that exists by then, or may still be
//!   written, is removed again.
//! - [`Change::Release`] is only for a request that was not sent and will never be.
//! - A key is always in the same bucket, so the number of buckets must not change while records are
//!   in use.

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

/// Largest object that the platform accepts, in bytes.
const PLATFORM_OBJECT_BYTES: usize = 1 << 20;

/// Bytes by which a full bucket stays below the platform's largest object.
const OBJECT_MARGIN_BYTES: usize = 64 << 10;

/// Settings of claims.
#[derive(Clone, Debug)]
pub struct ClaimsConfig {
    /// Number of bucket objects; must be the same at all instances and must not change.
    pub buckets: u32,
    /// Bounds of one bucket.
    pub bounds: Bounds,
    /// Time for which the first change of a batch waits for others.
    pub linger: Duration,
    /// Shortest time between two writes of one bucket.
    pub interval: Duration,
    /// Maximum number of changes in one write.
    pub batch: usize,
    /// Number of waiting changes at which a bucket accepts no further claims.
    pub queue: usize,
    /// Size of cached bucket content above which idle buckets are dropped, in bytes.
    pub cache_bytes: usize,
    /// Time after which a forwarded change without an answer is made here; zero turns forwarding
    /// off.
    pub forward_wait: Duration,
    /// First pause after a failed call to the platform.
    pub first_backoff: Duration,
    /// Longest pause after failed calls to the platform.
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

/// Instance that requested a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// This instance.
    Own,
    /// Another instance, which matches the answer by its ticket.
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
    /// Records a claim.
    Claim(Claim, Source),
    /// Records the outcome of the holder of a key.
    Settle {
        /// The holder.
        request: RequestId,
        /// The key.
        key: IdempotencyKey,
        /// Its outcome.
        state: State,
    },
    /// Removes the claim of a request that was never sent.
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

/// A claim and the decision on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecidedClaim {
    /// The claim.
    pub claim: Claim,
    /// Instance that requested it.
    pub source: Source,
    /// The decision.
    pub decision: Decision,
}

/// Counts of the claims since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimCounts {
    /// Claims that were recorded.
    pub claims: u64,
    /// Writes of bucket objects.
    pub writes: u64,
    /// Bytes of the bucket objects that were written.
    pub written_bytes: u64,
}

/// The buckets that one instance reads and writes.
#[derive(Debug)]
pub struct Claims {
    cfg: ClaimsConfig,
    buckets: BTreeMap<u32, Bucket>,
    /// Bucket of each call to the platform in flight.
    ops: HashMap<OpId, u32>,
    rng: SmallRng,
    wake: Time,
    counts: ClaimCounts,
}

impl Claims {
    /// Creates an instance without buckets.
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

    /// Returns the time after which a forwarded change without an answer is made here.
    pub fn forward_wait(&self) -> Duration {
        self.cfg.forward_wait
    }

    /// Returns the bucket of a key.
    pub fn bucket_of(&self, key: &IdempotencyKey) -> u32 {
        let buckets = u64::from(self.cfg.buckets.max(1));
        u32::try_from(xxh3_64(key.as_str().as_bytes()) % buckets).unwrap_or(0)
    }

    /// Adds a change to the next write of its bucket; returns false for a claim if too many changes
    /// wait.
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

    /// Withdraws a claim of this instance: there is no decision on it, and its record is removed if
    /// there is one.
    pub fn withdraw(&mut self, now: Time, key: &IdempotencyKey, request: RequestId) {
        let number = self.bucket_of(key);
        if let Some(bucket) = self.buckets.get_mut(&number) {
            bucket.withdraw(now, &self.cfg, key, request);
            self.wake = self.wake.min(bucket.next_step());
        }
    }

    /// Handles the platform's answer; returns `None` if the call was not for a bucket.
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

    /// Starts the calls to the platform that are due.
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

    /// Returns the time at which [`Claims::poll`] is due.
    pub fn next_wake(&self) -> Time {
        self.wake
    }

    /// Returns whether an outcome or a release is not stored yet.
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

    /// Drops the least recently used idle buckets while the cache is too large.
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
