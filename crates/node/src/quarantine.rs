//! Quarantine of requests that crash upstreams.
//!
//! A request is identified by the digest of its service and body. The first sub-request with a
//! digest at an instance is a probe, sent alone; the rest of the fan-out follows when the probe is
//! answered. A digest whose sub-requests broke connections to two upstreams is quarantined for a
//! limited time. A reply of a replica of the same shard clears them: networks break connections too.

use std::{collections::HashMap, time::Duration};

use base::{ServiceName, Time, UpstreamName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of broken upstreams at which a request is quarantined.
pub const QUARANTINE_THRESHOLD: usize = 2;

/// Time for which a broken upstream is remembered and a request stays in quarantine.
pub const QUARANTINE_PERIOD: Duration = Duration::from_secs(60);

/// Maximum number of digests with remembered broken upstreams.
const MAX_RECORDS: usize = 4_096;

/// Maximum number of digests in each of the two generations of harmless ones; when the newer
/// generation is full, it replaces the older.
const MAX_HARMLESS: usize = 32_768;

/// Returns the digest that identifies a request.
pub fn fingerprint(service: &ServiceName, body: &[u8]) -> u64 {
    xxh3_64_with_seed(body, xxh3_64(service.as_str().as_bytes()))
}

/// Upstreams that one request broke: the connection broke after the request may have been sent.
#[derive(Clone, Debug)]
struct CrashRecord {
    broken: Vec<UpstreamName>,
    until: Time,
    /// Upstreams that a reply has cleared, and the time of that reply; a peer may still report them.
    cleared: Vec<UpstreamName>,
    cleared_at: Time,
}

/// Broken upstreams by digest, and digests that are known to be harmless.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<u64, CrashRecord>,
    harmless: HashMap<u64, ()>,
    previous_harmless: HashMap<u64, ()>,
}

impl Quarantine {
    /// Returns how long a request stays in quarantine, or `None` if it is not quarantined.
    pub fn remaining(&self, now: Time, fingerprint: u64) -> Option<Duration> {
        let record = self.records.get(&fingerprint)?;
        let is_quarantined = record.broken.len() >= QUARANTINE_THRESHOLD && record.until > now;
        is_quarantined.then(|| record.until.since(now))
    }

    /// Returns whether a request was answered and has broken no upstream since.
    pub fn is_harmless(&self, fingerprint: u64) -> bool {
        self.harmless.contains_key(&fingerprint)
            || self.previous_harmless.contains_key(&fingerprint)
    }

    /// Returns whether a request has broken an upstream and no reply has cleared it.
    pub fn is_suspected(&self, fingerprint: u64) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| !record.broken.is_empty())
    }

    /// Returns the upstreams that a request broke within the quarantine period.
    pub fn broken_upstreams(&self, now: Time, fingerprint: u64) -> &[UpstreamName] {
        let record = self.records.get(&fingerprint).filter(|r| r.until > now);
        record.map_or(&[], |r| &r.broken)
    }

    /// Returns whether a request broke an upstream within the quarantine period.
    pub fn has_broken(&self, now: Time, fingerprint: u64, upstream: &UpstreamName) -> bool {
        self.records
            .get(&fingerprint)
            .is_some_and(|r| r.until > now && r.broken.contains(upstream))
    }

    /// Records that an upstream answered a request; `is_replica` tells which upstreams would have
    /// run the same work.
    pub fn record_answered(
        &mut self,
        now: Time,
        fingerprint: u64,
        is_replica: impl Fn(&UpstreamName) -> bool,
    ) {
        if let Some(record) = self.records.get_mut(&fingerprint)
            && record.broken.iter().any(&is_replica)
        {
            record.cleared = record.broken.extract_if(.., |it| is_replica(it)).collect();
            record.cleared_at = now;
        }
        if self.harmless.contains_key(&fingerprint) {
            return;
        }
        if self.harmless.len() >= MAX_HARMLESS {
            self.previous_harmless = std::mem::take(&mut self.harmless);
        }
        self.harmless.insert(fingerprint, ());
    }

    /// Records that a request broke an upstream; returns whether it became quarantined.
    pub fn record_broken(&mut self, now: Time, fingerprint: u64, upstream: &UpstreamName) -> bool {
        self.harmless.remove(&fingerprint);
        self.previous_harmless.remove(&fingerprint);
        self.merge(
            now,
            fingerprint,
            std::slice::from_ref(upstream),
            QUARANTINE_PERIOD,
        )
    }

    /// Merges the record of a peer; returns whether the request became quarantined.
    pub fn merge(
        &mut self,
        now: Time,
        fingerprint: u64,
        broken: &[UpstreamName],
        kept: Duration,
    ) -> bool {
        if !self.records.contains_key(&fingerprint) && self.records.len() >= MAX_RECORDS {
            self.expire(now);
            if self.records.len() >= MAX_RECORDS {
                return false;
            }
        }
        let was_quarantined = self.remaining(now, fingerprint).is_some();
        let record = self.records.entry(fingerprint).or_insert(CrashRecord {
            broken: Vec::new(),
            until: now,
            cleared: Vec::new(),
            cleared_at: Time::ZERO,
        });
        if record.until <= now {
            record.broken.clear();
        }
        record.until = record.until.max(now + kept.min(QUARANTINE_PERIOD));
        let broken_at = (now + kept) - QUARANTINE_PERIOD;
        for upstream in broken {
            let is_cleared = broken_at < record.cleared_at && record.cleared.contains(upstream);
            if is_cleared {
                continue;
            }
            if !record.broken.contains(upstream) && record.broken.len() < QUARANTINE_THRESHOLD {
                record.broken.push(upstream.clone());
            }
        }
        !was_quarantined && self.remaining(now, fingerprint).is_some()
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Time) {
        self.records.retain(|_, r| r.until > now);
    }

    /// Returns the digests with records, their broken upstreams, and the time until they expire.
    pub fn records(&self, now: Time) -> impl Iterator<Item = (u64, &[UpstreamName], Duration)> {
        self.records
            .iter()
            .filter(move |(_, r)| r.until > now)
            .map(move |(&digest, r)| (digest, r.broken.as_slice(), r.until.since(now)))
    }

    /// Returns the number of requests in quarantine.
    pub fn len(&self, now: Time) -> usize {
        self.records
            .values()
            .filter(|r| r.until > now && r.broken.len() >= QUARANTINE_THRESHOLD)
            .count()
    }

    /// Returns whether no request is in quarantine.
    pub fn is_empty(&self, now: Time) -> bool {
        self.len(now) == 0
    }
}
