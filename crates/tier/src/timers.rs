//! Timers of calls and attempts. A timer cannot be cancelled: one that is no longer needed is
//! dropped when it becomes the next one, or ignored when it fires.

use std::{cmp::Reverse, collections::BinaryHeap};

use base::{CallId, Time};

use crate::{event::AttemptKey, upstream::UpstreamKey};

/// Granularity of timers in microseconds; firing several together saves wake-ups.
const GRANULARITY_US: u64 = 1_000;

/// The action that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    /// A part without a reply may be hedged.
    Hedge(AttemptKey),
    /// A search is answered with the parts received so far, if they are enough.
    SoftDeadline(CallId),
    /// The answer to a search that was handed over is overdue, and its instance is pinged.
    Overdue(CallId),
    /// The instance that has a search must have accepted it or answered a ping.
    Silent(CallId),
    /// A call has reached its deadline.
    Deadline(CallId),
    /// An abandoned attempt has reached the end of its linger time.
    Close(AttemptKey),
    /// Parts that wait may be sent.
    SendWaiting,
    /// Reachability is checked, and upstreams are probed while the instance is cut off.
    Probe,
    /// Checks of other data centres are over, or due again.
    Separation,
    /// Removals are no longer held.
    Removals,
    /// A call that waits for a token of its organisation's limit waits no longer.
    Token(CallId),
    /// Questions for tokens may have had no reply in time.
    Asks,
    /// The other lenders are asked for their shares of the limits.
    Claims,
    /// An upstream with suspected requests is checked.
    CheckSuspect(UpstreamKey),
    /// An upstream that is presumed cold is asked whether it is.
    CheckCold(UpstreamKey),
    /// An upstream is no longer cold.
    Warm(UpstreamKey),
}

/// Queue of timers, earliest first.
#[derive(Debug, Default)]
pub(crate) struct Timers(BinaryHeap<Reverse<(Time, Due)>>);

impl Timers {
    /// Sets a timer, rounded up to a multiple of [`GRANULARITY_US`].
    pub(crate) fn set(&mut self, at: Time, due: Due) {
        let at = Time::from_micros(
            at.micros()
                .div_ceil(GRANULARITY_US)
                .saturating_mul(GRANULARITY_US),
        );
        self.0.push(Reverse((at, due)));
    }

    /// Returns the time of the next timer.
    pub(crate) fn next(&self) -> Option<Time> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Returns the time of the next timer that is still needed, and drops the ones before it.
    pub(crate) fn next_needed(&mut self, is_needed: impl Fn(&Due) -> bool) -> Option<Time> {
        while let Some(Reverse((_, due))) = self.0.peek()
            && !is_needed(due)
        {
            self.0.pop();
        }
        self.next()
    }

    /// Removes and returns the next timer that is due, with the time since which it is.
    pub(crate) fn pop(&mut self, now: Time) -> Option<(Time, Due)> {
        if self.next()? > now {
            return None;
        }
        self.0.pop().map(|Reverse(timer)| timer)
    }
}
