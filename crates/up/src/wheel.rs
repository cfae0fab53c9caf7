//! Timer wheel for the deadlines of all jobs.

use std::{
    mem,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::job::Job;

/// Resolution of the deadlines.
pub(crate) const TICK: Duration = Duration::from_millis(2);

/// Number of slots; a later deadline takes more than one revolution.
const SLOTS: usize = 256;

/// A timer wheel. Adding a job is a push; a finished job is dropped when its slot is swept.
pub(crate) struct Wheel {
    start: Instant,
    /// Number of ticks swept.
    swept: u64,
    slots: Vec<Vec<Rc<Job>>>,
    len: usize,
}

impl Wheel {
    /// Creates an empty wheel.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            start: now,
            swept: 0,
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
            len: 0,
        }
    }

    /// Returns whether the wheel holds no job.
    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Skips the ticks that passed while the wheel was empty.
    pub(crate) fn restart(&mut self, now: Instant) {
        debug_assert!(self.is_empty());
        self.swept = self.tick_of(now);
    }

    /// Adds a job at its deadline.
    pub(crate) fn add(&mut self, job: Rc<Job>) {
        // Rounds up by one tick, so that the deadline has passed when the slot is swept.
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
