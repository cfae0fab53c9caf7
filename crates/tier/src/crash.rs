//! Quarantine of requests that crash the upstreams that run them.
//!
//! Load pattern: one request crashes every upstream that begins to run it, and its caller sends it
//! again and again. A lost reply looks the same as a crash, so a crash is only counted if the
//! upstream broke the connection and was unreachable right after. A network partition does that to
//! many upstreams at once, so crashes have to be counted for several calls with the same request.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use base::{CallId, Time};

/// Number of calls with the same request that have to crash upstreams before it is quarantined.
const QUARANTINE_THRESHOLD: usize = 2;

/// Time for which a quarantined request is refused.
const QUARANTINE_PERIOD: Duration = Duration::from_secs(120);

/// Maximum number of suspected requests, and of quarantined ones.
const MAX_TRACKED_REQUESTS: usize = 1_024;

/// Time after a broken connection within which a refused connection confirms a crash.
const CONFIRM_WITHIN: Duration = Duration::from_secs(1);

/// Tracks requests that crashed upstreams, by digest.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// Calls that crashed upstreams, by digest of their request.
    suspects: HashMap<u64, Vec<CallId>>,
    order: VecDeque<u64>,
    quarantined: HashMap<u64, Time>,
}

/// Recently broken connections of one upstream, which may be due to a crash.
#[derive(Clone, Debug, Default)]
pub struct SuspectRequests(Vec<(u64, CallId, Time)>);

impl SuspectRequests {
    /// Records a connection that broke while a request was in flight; returns the number of older
    /// ones that were forgotten without a confirmed crash.
    pub fn connection_broke(&mut self, now: Time, digest: u64, call: CallId) -> usize {
        let before = self.0.len();
        self.0.retain(|(.., at)| now.since(*at) <= CONFIRM_WITHIN);
        self.0.push((digest, call, now));
        before + 1 - self.0.len()
    }

    /// Returns and clears the requests that may have crashed an upstream that is now unreachable.
    pub fn confirmed(&mut self, now: Time) -> Vec<(u64, CallId)> {
        let mut suspects: Vec<(u64, CallId)> = self
            .0
            .drain(..)
            .filter(|(.., at)| now.since(*at) <= CONFIRM_WITHIN)
            .map(|(digest, call, _)| (digest, call))
            .collect();
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }
}

impl CrashTracker {
    /// Records a crash caused by a call; returns whether its request is quarantined now.
    pub fn record_crash(&mut self, now: Time, digest: u64, call: CallId) -> bool {
        if self.is_quarantined(now, digest) {
            return false;
        }
        if !self.suspects.contains_key(&digest) {
            self.order.push_back(digest);
            if self.order.len() > MAX_TRACKED_REQUESTS
                && let Some(oldest) = self.order.pop_front()
            {
                self.suspects.remove(&oldest);
            }
        }
        let calls = self.suspects.entry(digest).or_default();
        if !calls.contains(&call) {
            calls.push(call);
        }
        if calls.len() < QUARANTINE_THRESHOLD {
            return false;
        }
        self.quarantine(now, digest);
        true
    }

    /// Quarantines a request; returns false if there is no room for it.
    pub fn quarantine(&mut self, now: Time, digest: u64) -> bool {
        self.quarantined.retain(|_, until| *until > now);
        let has_room = self.quarantined.len() < MAX_TRACKED_REQUESTS;
        if has_room {
            self.quarantined.insert(digest, now + QUARANTINE_PERIOD);
        }
        has_room
    }

    /// Returns the number of calls with a request that crashed upstreams.
    pub fn calls(&self, digest: u64) -> usize {
        self.suspects.get(&digest).map_or(0, Vec::len)
    }

    /// Returns whether a request is quarantined.
    pub fn is_quarantined(&self, now: Time, digest: u64) -> bool {
        self.quarantined
            .get(&digest)
            .is_some_and(|until| *until > now)
    }
}
