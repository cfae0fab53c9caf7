//! Admission control: limits per catalogue entry, and an adaptive concurrency window per service.

use std::{collections::HashMap, time::Duration};

use base::{EntryName, ServiceName, Time};
use cat::Limits;

use crate::{
    budget::{RateBudget, ShareBudget},
    effect::{Reason, Refusal},
};

/// Retry-after time when pending requests reach a limit.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Largest burst of hedges or of retries, in attempts.
const BUDGET_BURST: u64 = 20;

/// Initial size of the window of a service, in requests.
const INITIAL_WINDOW: f64 = 16.0;

/// Smallest size of a window, in requests.
const MIN_WINDOW: f64 = 1.0;

/// Largest size of a window, in requests.
const MAX_WINDOW: f64 = 4_096.0;

/// Factor that shrinks a window when sub-requests wait too long for a slot.
const SHRINK_FACTOR: f64 = 0.85;

/// Share of the deadline that a sub-request may wait for a slot before the service counts as
/// overloaded, as a divisor.
const MAX_WAIT_DIVISOR: u32 = 3;

/// Limits of an entry and their current use.
#[derive(Debug)]
struct EntryState {
    limits: Limits,
    rate: RateBudget,
    pending: u32,
    hedges: ShareBudget,
    retries: ShareBudget,
}

/// Concurrency limit of a service.
///
/// It grows additively while requests fill it and shrinks multiplicatively when sub-requests wait
/// too long for slots of upstreams.
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

/// Admission state of all entries and services.
#[derive(Debug, Default)]
pub struct Admission {
    entries: HashMap<EntryName, EntryState>,
    windows: HashMap<ServiceName, Window>,
}

impl Admission {
    /// Replaces the limits of all entries; entries that remain keep their current use.
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

    /// Admits a request, or returns why it is refused.
    ///
    /// # Errors
    ///
    /// A [`Refusal`], with the time after which a retry may succeed.
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

    /// Records the end of an admitted request and the longest wait of its sub-requests for a slot.
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

    /// Returns whether sub-requests of the service recently waited too long for slots.
    pub fn is_overloaded(&self, now: Time, service: &ServiceName) -> bool {
        self.windows
            .get(service)
            .is_some_and(|w| w.overloaded_until > now)
    }

    /// Adds first attempts to the budgets for hedges and retries of the entry.
    pub fn record_first_attempts(&mut self, entry: &EntryName, attempts: u64) {
        if let Some(state) = self.entries.get_mut(entry) {
            state.hedges.deposit(attempts);
            state.retries.deposit(attempts);
        }
    }

    /// Takes a hedge from the budget of the entry, if one is left; returns whether it did.
    pub fn take_hedge(&mut self, entry: &EntryName) -> bool {
        self.entries
            .get_mut(entry)
            .is_some_and(|state| state.hedges.try_take())
    }

    /// Takes a retry from the budget of the entry, if one is left; returns whether it did.
    pub fn take_retry(&mut self, entry: &EntryName) -> bool {
        self.entries
            .get_mut(entry)
            .is_some_and(|state| state.retries.try_take())
    }
}
