//! Timers of calls and attempts; one that is no longer needed fires and is ignored.

use std::{cmp::Reverse, collections::BinaryHeap};

use base::{CallId, Time};

use crate::event::AttemptKey;

/// Grid on which timers fire, in microseconds; each wake-up costs processor time.
const GRID_US: u64 = 1_000;

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    /// A part is late and may be asked elsewhere.
    Hedge(AttemptKey),
    /// A search may end with what is in.
    SoftDeadline(CallId),
    /// An instance that was handed a search has not answered in time.
    Overdue(CallId),
    /// It has not answered a ping either.
    Silent(CallId),
    /// A call's time is over.
    Deadline(CallId),
    /// An abandoned attempt has had its time.
    Close(AttemptKey),
    /// An upstream is tried by an instance that is cut off.
    Probe,
    /// Removals are no longer held.
    Removals,
}

/// Timers in order of time.
#[derive(Debug, Default)]
pub(crate) struct Timers(BinaryHeap<Reverse<(Time, Due)>>);

impl Timers {
    /// Sets a timer; it fires up to [`GRID_US`] later, together with others.
    pub(crate) fn set(&mut self, at: Time, due: Due) {
        let at = Time::from_micros(at.micros().div_ceil(GRID_US).saturating_mul(GRID_US));
        self.0.push(Reverse((at, due)));
    }

    /// Returns the time of the next timer.
    pub(crate) fn next(&self) -> Option<Time> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Returns the time of the next timer that is still of use, and drops those before it.
    pub(crate) fn next_useful(&mut self, is_useful: impl Fn(&Due) -> bool) -> Option<Time> {
        while let Some(Reverse((_, due))) = self.0.peek()
            && !is_useful(due)
        {
            self.0.pop();
        }
        self.next()
    }

    /// Takes the next timer that is due.
    pub(crate) fn pop(&mut self, now: Time) -> Option<Due> {
        if self.next()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, due))| due)
    }
}
