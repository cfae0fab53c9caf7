//! Deadlines of all jobs in one timer wheel.

use std::{
    mem,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::job::Job;

/// Resolution of deadlines.
pub(crate) const TICK: Duration = Duration::from_millis(2);

/// Slots of the wheel; a later deadline goes round more than once.
const SLOTS: usize = 256;

/// A timer wheel: adding a job is a push, and a finished job is dropped when its slot comes up.
pub(crate) struct Wheel {
    start: Instant,
    /// Ticks that have been swept.
    swept: u64,
    slots: Vec<Vec<Rc<Job>>>,
    len: usize,
}

impl Wheel {
    /// Makes an empty wheel.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            start: now,
            swept: 0,
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
            len: 0,
        }
    }

    /// Returns whether no job is held.
    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Skips the ticks that passed while the wheel was empty.
    pub(crate) fn restart(&mut self, now: Instant) {
        debug_assert!(self.is_empty());
        self.swept = self.tick_of(now);
    }

    /// Adds a job under its deadline.
    pub(crate) fn add(&mut self, job: Rc<Job>) {
        // One tick later than the deadline's own, so that it has passed when the slot comes up.
        let tick = self.tick_of(job.deadline).max(self.swept) + 1;
        self.slots[(tick % SLOTS as u64) as usize].push(job);
        self.len += 1;
    }

    /// Removes the jobs whose deadline has passed and appends them to `due`.
    pub(crate) fn sweep(&mut self, now: Instant, due: &mut Vec<Rc<Job>>) {
        let target = self.tick_of(now);
        let steps = (target - self.swept.min(target)).min(SLOTS as u64);
        for tick in target + 1 - steps..=target {
            let slot = (tick % SLOTS as u64) as usize;
            let mut jobs = mem::take(&mut self.slots[slot]);
            self.len -= jobs.len();
            for job in jobs.drain(..) {
                if job.is_finished() {
                    continue;
                }
                if job.deadline <= now {
                    due.push(job);
                } else {
                    self.slots[slot].push(job);
                    self.len += 1;
                }
            }
            if self.slots[slot].is_empty() {
                self.slots[slot] = jobs;
            }
        }
        self.swept = target;
    }

    fn tick_of(&self, at: Instant) -> u64 {
        let micros = at.saturating_duration_since(self.start).as_micros();
        (micros / TICK.as_micros()) as u64
    }
}
