//! Decides about requests of callers whose organisation has a limit, with tokens that are borrowed
//! from the owner of the limits.
//!
//! Load pattern: some organisations send hundreds of requests a second to an instance, most of them
//! one every few seconds. Tokens are borrowed ahead of need for the former; a request of the latter
//! waits for a reply of the owner, which takes a few milliseconds. Over its limit, an organisation
//! may send many times what it is allowed: until the owner has another token, requests are refused
//! without asking.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use base::{CallId, InstanceName, OrganisationName, Time};

use super::{Loan, MAX_LIFETIME};
use crate::{handover::Instance, retry_after::RetrySchedule};

/// Time without a reply after which another lender is asked. A loaded instance with a tenth of a
/// core may be paused for most of that.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which a lender that has declined is not asked: it may become the owner.
const DECLINED_TIME: Duration = Duration::from_millis(300);

/// Time for which a lender that has not replied is not asked; longer than it takes to ask all.
const SILENT_TIME: Duration = Duration::from_secs(1);

/// Retry-after time while no lender replies: another one takes over within
/// [`super::lending::LEASE`].
const NO_OWNER_WAIT: Duration = Duration::from_millis(300);

/// Divisor of the objective that gives the time for which a request waits for a token: a caller
/// that is refused by then may still be served in time when it returns.
const WAIT_DIVISOR: u32 = 4;

/// Minimum and maximum of that time: a round trip, and replies of two lenders.
const WAIT_RANGE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(100));

/// Time constant of the measured use.
const USE_TIME: Duration = Duration::from_secs(1);

/// Standard deviations below the expected use within the lifetime of a loan up to which tokens are
/// borrowed ahead of need, so that few of them expire.
const AHEAD_DEVIATIONS: f64 = 2.0;

/// Maximum number of tokens that are asked for at once.
const MAX_WANTED: u32 = 10_000;

/// Time without use after which nothing is kept of an organisation.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// The decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may run, with a token that is valid until this time.
    Allowed(Time),
    /// It waits for a token.
    Wait,
    /// The limit is used up; there will be room after this time.
    Refused(Duration),
}

/// What a loan decides: the calls that may run, each with the end of its token, and those that are
/// refused.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Decided {
    /// Calls that may run.
    pub allowed: Vec<(CallId, Time)>,
    /// Calls that are refused, with the time after which there will be room.
    pub refused: Vec<(CallId, Duration)>,
}

/// Use of an organisation's limit at this instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Use {
    /// Requests that were allowed.
    pub allowed: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Unused tokens.
    pub held: u32,
    /// Requests a second that were allowed recently.
    pub rate: f64,
    /// Time since the last loan; `None` before the first one.
    pub loan_age: Option<Duration>,
}

/// A question for tokens.
#[derive(Clone, Debug)]
struct Pending {
    lender: InstanceName,
    sent: Time,
    wanted: u32,
}

/// What is kept of one organisation.
#[derive(Clone, Debug, Default)]
struct Account {
    /// Unused tokens by the time at which they expire, earliest first.
    held: VecDeque<(Time, u32)>,
    /// Requests within the last [`USE_TIME`], as an exponentially decaying count.
    recent: f64,
    recent_at: Time,
    /// Lifetime of the last loan.
    lifetime: Duration,
    /// The question whose reply is pending.
    pending: Option<Pending>,
    /// Calls that wait for a token, in order of arrival.
    waiting: VecDeque<CallId>,
    /// Time at which the owner has another token.
    next_at: Time,
    schedule: RetrySchedule,
    loaned_at: Option<Time>,
    last_use: Time,
    allowed: u64,
    refused: u64,
}

/// Tokens and pending requests of all limited organisations.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: HashMap<OrganisationName, Account>,
    /// The lender that has replied with a loan last.
    current: Option<InstanceName>,
    /// Lenders that have declined or not replied, and the time until which they are not asked.
    avoided: Vec<(InstanceName, Time)>,
}

impl Ledger {
    /// Decides about a request of an organisation.
    pub fn take(&mut self, now: Time, organisation: &OrganisationName) -> Decision {
        let account = self.accounts.entry(organisation.clone()).or_default();
        account.last_use = now;
        match account.take(now) {
            Some(until) => Decision::Allowed(until),
            None if now < account.next_at => Decision::Refused(account.next_at.since(now)),
            None => Decision::Wait,
        }
    }

    /// Records that a call waits for a token.
    pub fn wait(&mut self, organisation: &OrganisationName, call: CallId) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.waiting.push_back(call);
        }
    }

    /// Records that a call no longer waits; returns whether it did.
    pub fn stop_waiting(&mut self, organisation: &OrganisationName, call: CallId) -> bool {
        let Some(account) = self.accounts.get_mut(organisation) else {
            return false;
        };
        let before = account.waiting.len();
        account.waiting.retain(|it| *it != call);
        account.waiting.len() < before
    }

    /// Returns a token whose request has not run.
    pub fn give_back(&mut self, now: Time, organisation: &OrganisationName, until: Time) {
        if let Some(account) = self.accounts.get_mut(organisation)
            && now < until
        {
            account.allowed = account.allowed.saturating_sub(1);
            account.add(until, 1);
        }
    }

    /// Returns the retry-after time of a refused request, and reserves that place.
    pub fn retry_after(
        &mut self,
        now: Time,
        organisation: &OrganisationName,
        wait: Duration,
        time_left: Duration,
    ) -> Duration {
        let account = self.accounts.entry(organisation.clone()).or_default();
        account.refused += 1;
        account.schedule.next_slot(now, wait, time_left)
    }

    /// Returns the number of tokens to ask for now; `None` if there are enough or the reply to an
    /// earlier question is pending.
    pub fn wanted(&mut self, now: Time, organisation: &OrganisationName) -> Option<u32> {
        let account = self.accounts.get_mut(organisation)?;
        if account.pending.is_some() || now < account.next_at {
            return None;
        }
        let waiting = account.waiting.len() as u32;
        let ahead = account.ahead(now);
        let held = account.held(now);
        let is_low = ahead > 0 && held * 2 <= ahead;
        let wanted = waiting + ahead.saturating_sub(held);
        (waiting > 0 || is_low).then_some(wanted.clamp(1, MAX_WANTED))
    }

    /// Returns the lender to ask out of all in their order; `None` if none is left.
    pub fn lender<'a>(&mut self, now: Time, order: &'a [Instance]) -> Option<&'a Instance> {
        self.avoided.retain(|(_, until)| now < *until);
        let is_usable = |it: &&Instance| !self.avoided.iter().any(|(name, _)| *name == it.name);
        let mut usable = order.iter().filter(is_usable);
        let is_current = |it: &&Instance| self.current.as_ref() == Some(&it.name);
        usable.clone().find(is_current).or_else(|| usable.next())
    }

    /// Records that a lender was asked.
    pub fn asked(
        &mut self,
        now: Time,
        organisation: &OrganisationName,
        lender: &InstanceName,
        wanted: u32,
    ) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.pending = Some(Pending {
                lender: lender.clone(),
                sent: now,
                wanted,
            });
        }
    }

    /// Applies a loan that was asked for at `sent`; the calls that wait are decided, or further
    /// tokens are to be asked for.
    pub fn on_loan(&mut self, now: Time, from: &InstanceName, sent: Time, loan: &Loan) -> Decided {
        let mut decided = Decided::default();
        let Some(account) = self.accounts.get_mut(&loan.organisation) else {
            return decided;
        };
        // A late reply shows that the lender was in reach, not that it is.
        let answered = account.pending.take_if(|pending| pending.sent == sent);
        if answered.is_some() {
            self.avoided.retain(|(name, _)| name != from);
            self.current = Some(from.clone());
        }
        account.loaned_at = Some(now);
        account.lifetime = loan.lifetime;
        let until = sent.min(now) + loan.lifetime.min(MAX_LIFETIME);
        if loan.tokens > 0 && now < until {
            account.add(until, loan.tokens);
        }
        while let Some(call) = account.waiting.front().copied()
            && let Some(until) = account.take(now)
        {
            account.waiting.pop_front();
            decided.allowed.push((call, until));
        }
        if answered.is_some_and(|pending| loan.tokens < pending.wanted) {
            account.next_at = now + loan.next;
            let refused = account.waiting.drain(..);
            decided.refused = refused.map(|call| (call, loan.next)).collect();
        }
        decided
    }

    /// Records that a lender has declined. The organisation's question is to be asked again.
    pub fn on_declined(&mut self, now: Time, from: &InstanceName, organisation: &OrganisationName) {
        self.avoid(now, from, DECLINED_TIME);
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.pending.take_if(|pending| pending.lender == *from);
        }
    }

    /// Refuses the calls that wait, as no lender is left to ask.
    pub fn on_no_lender(&mut self, now: Time, organisation: &OrganisationName) -> Decided {
        let Some(account) = self.accounts.get_mut(organisation) else {
            return Decided::default();
        };
        account.next_at = now + NO_OWNER_WAIT / 4;
        let refused = account.waiting.drain(..);
        Decided {
            allowed: Vec::new(),
            refused: refused.map(|call| (call, NO_OWNER_WAIT)).collect(),
        }
    }

    /// Ends the questions without a reply; returns their organisations, and the lenders that are
    /// avoided from now on.
    pub fn expire(&mut self, now: Time) -> (Vec<OrganisationName>, Vec<InstanceName>) {
        let mut organisations = Vec::new();
        let mut silent: Vec<InstanceName> = Vec::new();
        for (name, account) in &mut self.accounts {
            let is_over = |pending: &mut Pending| now.since(pending.sent) >= ASK_TIMEOUT;
            if let Some(Pending { lender, .. }) = account.pending.take_if(is_over) {
                organisations.push(name.clone());
                if !silent.contains(&lender) {
                    silent.push(lender);
                }
            }
        }
        for lender in &silent {
            self.avoid(now, lender, SILENT_TIME);
        }
        self.accounts.retain(|_, account| {
            let is_pending = account.pending.is_some() || !account.waiting.is_empty();
            is_pending || now.since(account.last_use) < IDLE_TIME
        });
        (organisations, silent)
    }

    /// Drops the tokens of an organisation whose limit has changed.
    pub fn drop_tokens(&mut self, organisation: &OrganisationName) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.held.clear();
            account.next_at = Time::ZERO;
        }
    }

    /// Returns the use of an organisation's limit at this instance.
    pub fn usage(&self, now: Time, organisation: &OrganisationName) -> Use {
        let Some(account) = self.accounts.get(organisation) else {
            return Use::default();
        };
        Use {
            allowed: account.allowed,
            refused: account.refused,
            held: account.held(now),
            rate: account.rate(now),
            loan_age: account.loaned_at.map(|at| now.since(at)),
        }
    }

    /// Returns whether no question is pending.
    pub fn is_idle(&self) -> bool {
        self.accounts.values().all(|it| it.pending.is_none())
    }

    fn avoid(&mut self, now: Time, lender: &InstanceName, time: Duration) {
        self.avoided
            .retain(|(name, until)| name != lender && now < *until);
        self.avoided.push((lender.clone(), now + time));
        if self.current.as_ref() == Some(lender) {
            self.current = None;
        }
    }
}

impl Account {
    /// Takes a token; returns the time until which it is valid.
    fn take(&mut self, now: Time) -> Option<Time> {
        while self.held.front().is_some_and(|(until, _)| *until <= now) {
            self.held.pop_front();
        }
        let (until, count) = self.held.front_mut()?;
        let until = *until;
        *count -= 1;
        if *count == 0 {
            self.held.pop_front();
        }
        self.recent = self.recent_now(now) + 1.0;
        self.recent_at = now;
        self.allowed += 1;
        self.schedule.record_answer(now);
        Some(until)
    }

    fn add(&mut self, until: Time, count: u32) {
        let at = self.held.partition_point(|(other, _)| *other < until);
        match self.held.get_mut(at).filter(|(other, _)| *other == until) {
            Some((_, known)) => *known += count,
            None => self.held.insert(at, (until, count)),
        }
    }

    fn held(&self, now: Time) -> u32 {
        let valid = self.held.iter().filter(|(until, _)| now < *until);
        valid.map(|(_, count)| count).sum()
    }

    fn recent_now(&self, now: Time) -> f64 {
        let elapsed = now.since(self.recent_at).as_secs_f64();
        self.recent * (-elapsed / USE_TIME.as_secs_f64()).exp()
    }

    fn rate(&self, now: Time) -> f64 {
        self.recent_now(now) / USE_TIME.as_secs_f64()
    }

    /// Returns the number of tokens to hold ahead of need.
    fn ahead(&self, now: Time) -> u32 {
        let expected = self.rate(now) * self.lifetime.as_secs_f64();
        (expected - AHEAD_DEVIATIONS * expected.sqrt()).max(0.0) as u32
    }
}

/// Returns the time for which a request waits for a token.
pub fn wait_time(objective: Duration) -> Duration {
    (objective / WAIT_DIVISOR).clamp(WAIT_RANGE.0, WAIT_RANGE.1)
}
