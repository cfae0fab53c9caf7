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
const FIRST_WINDOW: f64 = 16.0;

/// Fewest searches that a window holds.
const MIN_WINDOW: f64 = 1.0;

/// Most searches that a window holds.
const MAX_WINDOW: f64 = 4_096.0;

/// Factor by which the window shrinks when sub-requests wait too long for a slot.
const SHRINK: f64 = 0.85;

/// Share of an entry's deadline that a sub-request may wait for a slot, as a divisor.
const WAIT_DIVISOR: u32 = 3;

/// Limits of one entry with their present use.
#[derive(Debug)]
struct EntryUse {
    limits: Limits,
    rate: RateBudget,
    in_hand: u32,
    hedges: ShareBudget,
    retries: ShareBudget,
}

/// Searches of one service in hand, against a window that follows the waits for slots.
#[derive(Debug)]
struct Window {
    size: f64,
    in_hand: u32,
    shrunk_at: Time,
    overloaded_until: Time,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            size: FIRST_WINDOW,
            in_hand: 0,
            shrunk_at: Time::ZERO,
            overloaded_until: Time::ZERO,
        }
    }
}

/// Limits of all entries and windows of all services.
#[derive(Debug, Default)]
pub struct Admission {
    entries: HashMap<EntryName, EntryUse>,
    windows: HashMap<ServiceName, Window>,
}

impl Admission {
    /// Takes the limits in force; present use is kept.
    pub fn declare<'a>(
        &mut self,
        now: Time,
        entries: impl Iterator<Item = (&'a EntryName, &'a Limits)>,
    ) {
        let mut old = std::mem::take(&mut self.entries);
        for (name, limits) in entries {
            let known = old.remove(name);
            let kept = match known {
                Some(known) if known.limits == *limits => known,
                known => EntryUse {
                    limits: limits.clone(),
                    rate: RateBudget::new(limits.rate, now),
                    in_hand: known.map_or(0, |k| k.in_hand),
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
        let Some(used) = self.entries.get_mut(entry) else {
            return Err(Refusal {
                reason: Reason::NoEntry,
                retry_after: None,
            });
        };
        if used.in_hand >= used.limits.concurrent {
            return refuse(Reason::ConcurrencyLimit, BUSY_RETRY_AFTER);
        }
        let window = self.windows.entry(service.clone()).or_default();
        if f64::from(window.in_hand) >= window.size {
            return refuse(Reason::Overload, BUSY_RETRY_AFTER);
        }
        if !used.rate.take(now) {
            return refuse(
                Reason::RateLimit,
                Duration::from_micros(used.rate.wait_us()),
            );
        }
        used.in_hand += 1;
        window.in_hand += 1;
        Ok(())
    }

    /// Records the end of an admitted request and the longest wait of its parts for a slot.
    pub fn ended(&mut self, now: Time, entry: &EntryName, service: &ServiceName, waited: Duration) {
        let mut deadline = Duration::MAX;
        if let Some(used) = self.entries.get_mut(entry) {
            used.in_hand = used.in_hand.saturating_sub(1);
            deadline = used.limits.deadline;
        }
        let Some(window) = self.windows.get_mut(service) else {
            return;
        };
        let was_full = f64::from(window.in_hand) >= window.size * 0.8;
        window.in_hand = window.in_hand.saturating_sub(1);
        if waited > deadline / WAIT_DIVISOR {
            window.overloaded_until = now + deadline;
            if now.since(window.shrunk_at) >= waited {
                window.size = (window.size * SHRINK).max(MIN_WINDOW);
                window.shrunk_at = now;
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
    pub fn first_attempts(&mut self, entry: &EntryName, attempts: u64) {
        if let Some(used) = self.entries.get_mut(entry) {
            used.hedges.earn(attempts);
            used.retries.earn(attempts);
        }
    }

    /// Takes one hedge from the entry's budget; returns whether there was one.
    pub fn take_hedge(&mut self, entry: &EntryName) -> bool {
        self.entries
            .get_mut(entry)
            .is_some_and(|used| used.hedges.take())
    }

    /// Takes one retry from the entry's budget; returns whether there was one.
    pub fn take_retry(&mut self, entry: &EntryName) -> bool {
        self.entries
            .get_mut(entry)
            .is_some_and(|used| used.retries.take())
    }
}
