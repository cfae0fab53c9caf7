//! Detects that this instance gets too little CPU time to judge upstreams.
//!
//! Load pattern: the machine is overloaded or the process was paused. Probes and connections time
//! out although the upstreams are up, because this instance reads their replies too late. Timers
//! that fire late show it, whatever the cause.

use std::time::Duration;

use base::Time;

/// Lateness of a timer from which the instance counts as starved; one that is merely busy is late by
/// far less.
const MAX_LATENESS: Duration = Duration::from_millis(100);

/// Time for which it counts as starved after that; probes that were sent before have ended then.
const STARVED_PERIOD: Duration = Duration::from_secs(2);

/// Whether this instance is starved.
#[derive(Clone, Copy, Debug, Default)]
pub struct Starvation {
    until: Option<Time>,
}

impl Starvation {
    /// Records that a timer that was due at a time fires now.
    pub fn record_timer(&mut self, now: Time, due: Time) {
        if now.since(due) >= MAX_LATENESS {
            self.until = Some(now + STARVED_PERIOD);
        }
    }

    /// Returns whether upstreams that do not answer prove nothing.
    pub fn is_starved(&self, now: Time) -> bool {
        self.until.is_some_and(|until| until > now)
    }
}
