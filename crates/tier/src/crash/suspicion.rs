//! Requests without a reply, until it is known whether their upstream crashed.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use base::Time;

use super::Crash;
use crate::upstream::UpstreamKey;

/// Delay before an upstream is checked after a connection to it broke. Traffic mostly shows by then
/// whether it is up.
pub const BROKEN_CHECK_DELAY: Duration = Duration::from_millis(100);

/// The same after a request was given up without a reply, which mostly means a slow upstream.
pub const SILENT_CHECK_DELAY: Duration = Duration::from_millis(300);

/// Interval between probes of an upstream that does not answer them.
pub const PROBE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Number of unanswered probes in a row after which an upstream counts as down.
const MAX_UNANSWERED_PROBES: u32 = 3;

/// Maximum number of upstreams that may leave probes unanswered at a time for any of them to count as
/// down; more than that are a network partition or a lack of CPU time.
const MAX_SILENT_UPSTREAMS: usize = 2;

/// Time for which a request stays suspected; a fast restart is published within this time.
pub const SUSPICION_PERIOD: Duration = Duration::from_secs(4);

/// Maximum number of suspected requests of one upstream.
const MAX_SUSPECTS: usize = 64;

/// Result of a probe of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProbeResult {
    /// The upstream accepted a connection.
    Accepted,
    /// The upstream's machine refused the connection, as no process listens.
    Refused,
    /// Nothing answered in time.
    Unanswered,
    /// This instance could not send the probe, for example for want of file descriptors.
    Unsent,
}

/// Suspected requests of all upstreams.
#[derive(Debug, Default)]
pub struct Suspicions(HashMap<UpstreamKey, Suspect>);

/// An upstream that may have crashed.
#[derive(Debug)]
struct Suspect {
    address: SocketAddr,
    /// The crashes that each request would have caused.
    requests: Vec<Crash>,
    /// Time until which the upstream is known to have been up.
    up_until: Time,
    /// Time since which the pending probe shows whether it is up.
    probed_since: Option<Time>,
    /// Probes in a row without an answer.
    unanswered: u32,
}

/// What to do about an upstream that is due for a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// Nothing.
    Done,
    /// Probe this address.
    Probe(SocketAddr),
}

impl Suspicions {
    /// Adds a request that got no reply, with the crash that it would have caused; returns the
    /// number of suspicions that are dropped for it.
    pub fn add(&mut self, key: UpstreamKey, address: SocketAddr, possible: Crash) -> usize {
        let suspect = self.0.entry(key).or_insert_with(|| Suspect {
            address,
            requests: Vec::new(),
            up_until: Time::ZERO,
            probed_since: None,
            unanswered: 0,
        });
        let is_full = suspect.requests.len() >= MAX_SUSPECTS;
        if is_full {
            suspect.requests.remove(0);
        }
        suspect.requests.push(possible);
        usize::from(is_full)
    }

    /// Returns whether requests of an upstream are suspected.
    pub fn has(&self, key: UpstreamKey) -> bool {
        self.0.contains_key(&key)
    }

    /// Drops old suspicions of an upstream, and returns their number and what is to be done next.
    /// `answered_since` is the time at which its last answered request was sent.
    pub fn check(
        &mut self,
        now: Time,
        key: UpstreamKey,
        answered_since: Option<Time>,
    ) -> (usize, Check) {
        let Some(suspect) = self.0.get_mut(&key) else {
            return (0, Check::Done);
        };
        let before = suspect.requests.len();
        suspect
            .requests
            .retain(|crash| now.since(crash.at) < SUSPICION_PERIOD);
        let dropped = before - suspect.requests.len();
        let Some(newest) = suspect.requests.iter().map(|crash| crash.at).max() else {
            self.0.remove(&key);
            return (dropped, Check::Done);
        };
        suspect.up_until = suspect.up_until.max(answered_since.unwrap_or(Time::ZERO));
        if suspect.probed_since.is_some() || suspect.up_until > newest {
            return (dropped, Check::Done);
        }
        suspect.probed_since = Some(now);
        (dropped, Check::Probe(suspect.address))
    }

    /// Applies the result of a probe; returns whether the upstream is down. An upstream that is up
    /// stays suspected, as it may have restarted since.
    pub fn probed(&mut self, key: UpstreamKey, result: ProbeResult) -> bool {
        let Some(suspect) = self.0.get_mut(&key) else {
            return false;
        };
        let probed_since = suspect.probed_since.take();
        match result {
            ProbeResult::Accepted => {
                suspect.unanswered = 0;
                suspect.up_until = suspect.up_until.max(probed_since.unwrap_or(Time::ZERO));
                false
            }
            ProbeResult::Refused => true,
            ProbeResult::Unsent => false,
            ProbeResult::Unanswered => {
                suspect.unanswered += 1;
                let is_silent = suspect.unanswered >= MAX_UNANSWERED_PROBES;
                let silent = self.0.values().filter(|it| it.unanswered > 0).count();
                is_silent && silent <= MAX_SILENT_UPSTREAMS
            }
        }
    }

    /// Ends a probe whose result proves nothing.
    pub fn probe_inconclusive(&mut self, key: UpstreamKey) {
        if let Some(suspect) = self.0.get_mut(&key) {
            suspect.probed_since = None;
        }
    }

    /// Removes and returns the suspected requests of an upstream that has crashed.
    pub fn confirm(&mut self, key: UpstreamKey) -> Vec<Crash> {
        let suspect = self.0.remove(&key);
        suspect.map(|suspect| suspect.requests).unwrap_or_default()
    }

    /// Returns the suspected upstream at an address.
    pub fn at(&self, address: SocketAddr) -> Option<UpstreamKey> {
        let mut all = self.0.iter();
        all.find(|(_, suspect)| suspect.address == address)
            .map(|(key, _)| *key)
    }
}
