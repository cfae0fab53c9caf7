//! Requests that break the upstreams that run them.
//!
//! Load pattern: one request breaks every upstream that begins to run it, and its caller sends it
//! again and again. Lost replies look alike, so a strike needs an upstream that broke the
//! connection and could not be reached right after. A cut between data centres does that to many
//! upstreams at once, so a request has to strike again when it comes again.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use base::{CallId, Time};

/// Times that a request has to come and break upstreams before it is refused.
const CRASHES_TO_QUARANTINE: usize = 2;

/// Time for which a request that breaks upstreams is refused.
const QUARANTINE_TIME: Duration = Duration::from_secs(120);

/// Requests that are remembered.
const MAX_TRACKED_REQUESTS: usize = 1_024;

/// Time after a broken connection within which a refused one makes it a strike.
const CONFIRM_WITHIN: Duration = Duration::from_secs(1);

/// What is remembered of requests that broke upstreams.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// Calls that broke upstreams, by digest.
    suspects: HashMap<u64, Vec<CallId>>,
    order: VecDeque<u64>,
    quarantined: HashMap<u64, Time>,
}

/// Broken connections of one upstream that may be strikes.
#[derive(Clone, Debug, Default)]
pub struct SuspectRequests(Vec<(u64, CallId, Time)>);

impl SuspectRequests {
    /// Remembers that a connection broke while it carried a request.
    pub fn connection_broke(&mut self, now: Time, digest: u64, call: CallId) {
        self.0.retain(|(.., at)| now.since(*at) <= CONFIRM_WITHIN);
        self.0.push((digest, call, now));
    }

    /// Returns the requests that are to blame for an upstream that is down.
    pub fn confirmed(&mut self, now: Time) -> Vec<(u64, CallId)> {
        let mut blamed: Vec<(u64, CallId)> = self
            .0
            .drain(..)
            .filter(|(.., at)| now.since(*at) <= CONFIRM_WITHIN)
            .map(|(digest, call, _)| (digest, call))
            .collect();
        blamed.sort_unstable();
        blamed.dedup();
        blamed
    }
}

impl CrashTracker {
    /// Counts a strike of a call; returns whether the request is quarantined by it.
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
        if calls.len() < CRASHES_TO_QUARANTINE {
            return false;
        }
        self.quarantine(now, digest);
        true
    }

    /// Refuses a request from now on.
    pub fn quarantine(&mut self, now: Time, digest: u64) {
        self.quarantined.retain(|_, until| *until > now);
        if self.quarantined.len() < MAX_TRACKED_REQUESTS {
            self.quarantined.insert(digest, now + QUARANTINE_TIME);
        }
    }

    /// Returns whether a request is refused.
    pub fn is_quarantined(&self, now: Time, digest: u64) -> bool {
        self.quarantined
            .get(&digest)
            .is_some_and(|until| *until > now)
    }
}
