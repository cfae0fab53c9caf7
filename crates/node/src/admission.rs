//! Admission: the limits of each entry, and an adaptive window of searches for each service.

use std::{collections::HashMap, time::Duration};

use base::{EntryName, ServiceName, Time};
use cat::Limits;

use crate::{
    budget::{RateBudget, ShareBudget},
    effect::{Reason, Refusal},
};

/// Wait that is suggested when searches in hand fill a limit.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Hedges or retries that may be sent at once after a quiet time.
const BUDGET_BURST: u64 = 20;

/// Searches that the window of a service holds at first.
const INITIAL_WINDOW: f64 = 16.0;

/// Fewest searches that a window holds.
const MIN_WINDOW: f64 = 1.0;

/// Most searches that a window holds.
const MAX_WINDOW: f64 = 4_096.0;

/// Factor by which the window shrinks when sub-requests wait too long for a slot.
const SHRINK_FACTOR: f64 = 0.85;

/// Share of an entry's deadline that a sub-request may wait for a slot, as a divisor.
const MAX_WAIT_DIVISOR: u32 = 3;

/// Limits of one entry with their present use.
#[derive(Debug)]
struct EntryState {
    limits: Limits,
    rate: RateBudget,
    pending: u32,
    hedges: ShareBudget,
    retries: ShareBudget,
}

/// Searches of one service in hand, against a window that follows the waits for slots.
#[derive(Debug)]
struct Window {
    size: f64,
    pending: u32,
    last_shrunk: Time,
    overloaded_until: Time,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            size: INITIAL_WINDOW,
            pending: 0,
            last_shrunk: Time::ZERO,
            overloaded_until: Time::ZERO,
        }
    }
}

/// Limits of all entries and windows of all services.
#[derive(Debug, Default)]
pub struct Admission {
    entries: HashMap<EntryName, EntryState>,
    windows: HashMap<ServiceName, Window>,
}

impl Admission {
    /// Takes the limits in force; present use is kept.
    pub fn set_limits<'a>(
        &mut self,
        now: Time,
        entries: impl Iterator<Item = (&'a EntryName, &'a Limits)>,
    ) {
        let mut old = std::mem::take(&mut self.entries);
        for (name, limits) in entries {
            let known = old.remove(name);
            let kept = match known {
                Some(known) if known.limits == *limits => known,
                known => EntryState {
                    limits: limits.clone(),
                    rate: RateBudget::new(limits.rate, now),
                    pending: known.map_or(0, |k| k.pending),
                    hedges: ShareBudget::new(limits.hedge, BUDGET_BURST),
                    retries: ShareBudget::new(limits.retry, BUDGET_BURST),
                },
            };
            self.entries.insert(name.clone(), kept);
        }
    }

    /// Admits one request or says why not.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] with the time after which asking again may help.
    pub fn admit(
        &mut self,
        now: Time,
        entry: &EntryName,
        service: &ServiceName,
    ) -> Result<(), Refusal> {
        let refuse = |reason, wait| {
            Err(Refusal {
                reason,
                retry_after: Some(wait),
            })
        };
        let Some(state) = self.entries.get_mut(entry) else {
            return Err(Refusal {
                reason: Reason::NoEntry,
                retry_after: None,
            });
        };
        if state.pending >= state.limits.concurrent {
            return refuse(Reason::ConcurrencyLimit, BUSY_RETRY_AFTER);
        }
        let window = self.windows.entry(service.clone()).or_default();
        if f64::from(window.pending) >= window.size {
            return refuse(Reason::Overload, BUSY_RETRY_AFTER);
        }
        if !state.rate.try_take(now) {
            return refuse(
                Reason::RateLimit,
                Duration::from_micros(state.rate.wait_us()),
            );
        }
        state.pending += 1;
        window.pending += 1;
        Ok(())
    }

    /// Records the end of an admitted request and the longest wait of its parts for a slot.
    pub fn record_end(
        &mut self,
        now: Time,
        entry: &EntryName,
        service: &ServiceName,
        waited: Duration,
    ) {
        let mut deadline = Duration::MAX;
        if let Some(state) = self.entries.get_mut(entry) {
            state.pending = state.pending.saturating_sub(1);
            deadline = state.limits.deadline;
        }
        let Some(window) = self.windows.get_mut(service) else {
            return;
        };
        let was_full = f64::from(window.pending) >= window.size * 0.8;
        window.pending = window.pending.saturating_sub(1);
        if waited > deadline / MAX_WAIT_DIVISOR {
            window.overloaded_until = now + deadline;
            if now.since(window.last_shrunk) >= waited {
                window.size = (window.size * SHRINK_FACTOR).max(MIN_WINDOW);
                window.last_shrunk = now;
            }
        } else if was_full {
            window.size = (window.size + 1.0 / window.size).min(MAX_WINDOW);
        }
    }

    /// Returns whether sub-requests of the service have lately waited too long for slots.
    pub fn is_overloaded(&self, now: Time, service: &ServiceName) -> bool {
        self.windows
            .get(service)
            .is_some_and(|w| w.overloaded_until > now)
    }

    /// Counts first attempts, which earn hedges and retries.
    pub fn record_first_attempts(&mut self, entry: &EntryName, attempts: u64) {
        if let Some(state) = self.entries.get_mut(entry) {
            state.hedges.deposit(attempts);
            state.retries.deposit(attempts);
        }
    }

    /// Takes one hedge from the entry's budget; returns whether there was one.
    pub fn take_hedge(&mut self, entry: &EntryName) -> bool {
        self.entries
            .get_mut(entry)
            .is_some_and(|state| state.hedges.try_take())
    }

    /// Takes one retry from the entry's budget; returns whether there was one.
    pub fn take_retry(&mut self, entry: &EntryName) -> bool {
        self.entries
            .get_mut(entry)
            .is_some_and(|state| state.retries.try_take())
    }
}
