//! Crashes by request, and the requests in quarantine.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use base::{ServiceName, Time};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Crash;

/// Number of upstreams that a request has to crash before it is quarantined.
const MIN_CRASHES: usize = 3;

/// The same if all of them are crashes of one upstream: other requests that it mostly runs when it
/// crashes look alike. Three more crashes are as many as the platform allows after the third.
const MIN_CRASHES_OF_ONE: usize = 5;

/// Number of calls with the request among those: a search crashes many upstreams at once, and so
/// does a failing rack.
const MIN_CALLS: usize = 2;

/// Time between the first and the last of the crashes; upstreams that fail together for another
/// reason do so at one time.
const MIN_SPAN: Duration = Duration::from_millis(200);

/// Time for which a crash counts.
const CRASH_PERIOD: Duration = Duration::from_secs(600);

/// Maximum number of crashes that are kept for a request.
const MAX_CRASHES: usize = 16;

/// Time for which a request is refused. Each quarantine in a row lasts twice as long as the one
/// before.
const QUARANTINE_PERIOD: Duration = Duration::from_secs(120);

/// Maximum number of doublings of [`QUARANTINE_PERIOD`].
const MAX_DOUBLINGS: u32 = 5;

/// Maximum number of requests in quarantine at a time, which bounds the harm of wrong verdicts.
const MAX_QUARANTINES: usize = 32;

/// Maximum number of trials in one quarantine that crash an upstream: a request that does so may
/// reach three more, over all instances. One without a reply or a crash shows nothing and is repeated.
const MAX_FAILED_TRIALS: u32 = 2;

/// Time in quarantine before the first trial, and between trials.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);

/// Time after a reply within which a request without one is not suspected.
const REPLY_PERIOD: Duration = Duration::from_secs(5);

/// Maximum number of requests that are tracked.
const MAX_TRACKED_REQUESTS: usize = 1_024;

/// Number of recent replies that are remembered.
const REPLY_SLOTS: usize = 2_048;

/// Tracks requests that crashed upstreams, by digest.
#[derive(Debug)]
pub struct CrashTracker {
    records: HashMap<u64, Record>,
    /// Digests in the order in which they were first seen.
    order: VecDeque<u64>,
    /// Recent replies: hashes of digest and service, each in the slot that it selects.
    replies: Box<[(u64, Time)]>,
}

#[derive(Debug, Default)]
struct Record {
    crashes: Vec<Crash>,
    quarantined_until: Option<Time>,
    /// Number of quarantines so far.
    quarantines: u32,
    /// Whether there has been a trial in this quarantine.
    was_tried: bool,
    /// Number of trials in this quarantine that crashed an upstream.
    failed_trials: u32,
    /// Time of the last trial, or of the start of the quarantine.
    tried_at: Time,
}

/// The effect of a crash on the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashOutcome {
    /// The crash was known, or the request has had a reply.
    Unchanged,
    /// The crash counts.
    Suspected,
    /// The request is in quarantine from now on.
    Quarantined,
    /// The request would be in quarantine, but it is too common or too many others are.
    Withheld,
}

/// The effect of a quarantine that another instance has decided on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnedOutcome {
    /// The request was already in quarantine.
    Known,
    /// The request is in quarantine from now on.
    Quarantined,
    /// It is not, as it is too common or too many others are.
    Withheld,
}

/// The effect of a reply on the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// No crash counted against the request.
    Unchanged,
    /// Crashes no longer count against the request.
    Cleared,
    /// Neither do they, and its quarantine has ended.
    Released,
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self {
            records: HashMap::new(),
            order: VecDeque::new(),
            replies: vec![(0, Time::ZERO); REPLY_SLOTS].into(),
        }
    }
}

impl CrashTracker {
    /// Records a crash; a request that `is_common` is not quarantined.
    pub fn record_crash(&mut self, now: Time, crash: Crash, is_common: bool) -> CrashOutcome {
        if self.was_answered(crash.at, crash.digest, &crash.service) {
            return CrashOutcome::Unchanged;
        }
        let may_quarantine = !is_common && self.has_room(now);
        let record = self.record(now, crash.digest);
        if record.crashes.iter().any(|known| crash.is_same(known)) {
            return CrashOutcome::Unchanged;
        }
        record
            .crashes
            .retain(|known| now.since(known.at) < CRASH_PERIOD);
        if record.crashes.len() >= MAX_CRASHES {
            // The first one stays, as it shows the span.
            record.crashes.remove(1);
        }
        if record.was_tried && crash.at >= record.tried_at {
            record.failed_trials += 1;
        }
        record.crashes.push(crash);
        if record.is_quarantined(now) || !record.is_conclusive() {
            return CrashOutcome::Suspected;
        }
        if !may_quarantine {
            return CrashOutcome::Withheld;
        }
        let period = QUARANTINE_PERIOD * 2_u32.pow(record.quarantines.min(MAX_DOUBLINGS));
        record.enter_quarantine(now, period);
        record.quarantines += 1;
        CrashOutcome::Quarantined
    }

    /// Records that an upstream has replied to a request, whatever the reply.
    pub fn record_reply(&mut self, now: Time, digest: u64, service: &ServiceName) -> ReplyOutcome {
        let key = reply_key(digest, service);
        self.replies[slot(key)] = (key, now);
        let Some(record) = self.records.get_mut(&digest) else {
            return ReplyOutcome::Unchanged;
        };
        let before = record.crashes.len();
        record.crashes.retain(|crash| crash.service != *service);
        if record.crashes.len() == before && !record.was_tried {
            return ReplyOutcome::Unchanged;
        }
        if !record.is_conclusive()
            && record
                .quarantined_until
                .take()
                .is_some_and(|until| until > now)
        {
            return ReplyOutcome::Released;
        }
        ReplyOutcome::Cleared
    }

    /// Returns whether an upstream of a service has replied to a request shortly before a time, or
    /// since.
    pub fn was_answered(&self, at: Time, digest: u64, service: &ServiceName) -> bool {
        let key = reply_key(digest, service);
        let (known, replied) = self.replies[slot(key)];
        known == key && at.since(replied) < REPLY_PERIOD
    }

    /// Quarantines a request on behalf of another instance, unless it `is_common` here.
    pub fn quarantine(
        &mut self,
        now: Time,
        digest: u64,
        period: Duration,
        is_common: bool,
    ) -> LearnedOutcome {
        let is_known = self.quarantine_left(now, digest).is_some();
        if !is_known && (is_common || !self.has_room(now)) {
            return LearnedOutcome::Withheld;
        }
        let record = self.record(now, digest);
        match record.quarantined_until.filter(|_| is_known) {
            Some(until) => record.quarantined_until = Some(until.max(now + period)),
            None => record.enter_quarantine(now, period),
        }
        match is_known {
            true => LearnedOutcome::Known,
            false => LearnedOutcome::Quarantined,
        }
    }

    /// Returns whether one more request may be quarantined.
    fn has_room(&self, now: Time) -> bool {
        self.quarantined(now).count() < MAX_QUARANTINES
    }

    /// Ends the quarantine of a request; returns whether it was in quarantine.
    pub fn release(&mut self, now: Time, digest: u64) -> bool {
        let Some(record) = self.records.get_mut(&digest) else {
            return false;
        };
        record.crashes.clear();
        record
            .quarantined_until
            .take()
            .is_some_and(|until| until > now)
    }

    /// Allows one more trial of a quarantined request, if one is due. A reply to the trial ends the
    /// quarantine.
    pub fn start_trial(&mut self, now: Time, digest: u64) -> bool {
        let Some(record) = self.records.get_mut(&digest) else {
            return false;
        };
        let is_due = now.since(record.tried_at) >= TRIAL_INTERVAL;
        if !record.is_quarantined(now) || !is_due || record.failed_trials >= MAX_FAILED_TRIALS {
            return false;
        }
        record.was_tried = true;
        record.tried_at = now;
        true
    }

    /// Returns the service most of whose upstreams a request has crashed.
    pub fn most_crashed(&self, digest: u64) -> Option<&ServiceName> {
        let crashes = &self.records.get(&digest)?.crashes;
        let count =
            |service: &ServiceName| crashes.iter().filter(|it| it.service == *service).count();
        let services = crashes.iter().map(|crash| &crash.service);
        services.max_by_key(|service| count(service))
    }

    /// Returns the time for which a request stays in quarantine.
    pub fn quarantine_left(&self, now: Time, digest: u64) -> Option<Duration> {
        let until = self.records.get(&digest)?.quarantined_until?;
        (until > now).then(|| until.since(now))
    }

    /// Returns the requests in quarantine, with the time for which they stay there.
    pub fn quarantined(&self, now: Time) -> impl Iterator<Item = (u64, Duration)> {
        let left = move |record: &Record| {
            let until = record.quarantined_until.filter(|until| *until > now);
            until.map(|until| until.since(now))
        };
        let records = self.records.iter();
        records.filter_map(move |(digest, record)| Some((*digest, left(record)?)))
    }

    /// Returns whether crashes count against a request.
    pub fn is_suspected(&self, digest: u64) -> bool {
        let record = self.records.get(&digest);
        record.is_some_and(|record| !record.crashes.is_empty())
    }

    /// Returns the number of crashes that count against a request.
    pub fn crashes(&self, digest: u64) -> usize {
        self.records.get(&digest).map_or(0, |it| it.crashes.len())
    }

    /// Returns the record of a request. If there are too many, a new one takes the place of the
    /// oldest that is not in quarantine.
    fn record(&mut self, now: Time, digest: u64) -> &mut Record {
        if !self.records.contains_key(&digest) {
            if self.order.len() >= MAX_TRACKED_REQUESTS {
                let is_free = |it: &u64| !self.records[it].is_quarantined(now);
                let free = self.order.iter().position(is_free);
                if let Some(oldest) = self.order.remove(free.unwrap_or(0)) {
                    self.records.remove(&oldest);
                }
            }
            self.order.push_back(digest);
        }
        self.records.entry(digest).or_default()
    }
}

impl Record {
    fn enter_quarantine(&mut self, now: Time, period: Duration) {
        self.quarantined_until = Some(now + period);
        self.was_tried = false;
        self.failed_trials = 0;
        self.tried_at = now;
    }

    fn is_quarantined(&self, now: Time) -> bool {
        self.quarantined_until.is_some_and(|until| until > now)
    }

    /// Returns whether the crashes leave no other explanation than the request.
    fn is_conclusive(&self) -> bool {
        let calls: HashSet<u64> = self.crashes.iter().map(|crash| crash.call).collect();
        let times = || self.crashes.iter().map(|crash| crash.at);
        let (Some(first), Some(last)) = (times().min(), times().max()) else {
            return false;
        };
        let upstreams: HashSet<_> = self.crashes.iter().map(|crash| &crash.upstream).collect();
        let needed = match upstreams.len() {
            0 | 1 => MIN_CRASHES_OF_ONE,
            _ => MIN_CRASHES,
        };
        self.crashes.len() >= needed && calls.len() >= MIN_CALLS && last.since(first) >= MIN_SPAN
    }
}

fn reply_key(digest: u64, service: &ServiceName) -> u64 {
    xxh3_64_with_seed(service.as_str().as_bytes(), digest)
}

fn slot(key: u64) -> usize {
    key as usize % REPLY_SLOTS
}
