//! Limits of organisations: tokens for requests of callers, questions of other lenders, and their
//! timers.

use std::{rc::Rc, time::Duration};

use base::{CallId, InstanceName, OrganisationName, Time};

use super::Tier;
use crate::{
    call::Call,
    config::Config,
    effect::{Answer, Effect, Note, OverLimit, Refusal},
    event::{Origin, Protocol},
    handover::Instance,
    organisation::{Organisation, OrganisationLimit},
    quota::{
        Asked, LimitUse, Limits, Question, Reply,
        ledger::{self, ASK_TIMEOUT, Decided, Decision, Ledger},
        lending::{CLAIM_INTERVAL, Lending},
    },
    timers::Due,
};

/// State of the limits of all organisations.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    lending: Lending,
    ledger: Ledger,
    /// Whether any organisation has a limit. Nothing is asked or lent otherwise.
    has_limits: bool,
    /// Whether a timer for the next claims is set.
    is_claim_scheduled: bool,
    /// Whether this instance owned the limits when that was last reported.
    is_owner: bool,
}

impl Quotas {
    /// Ends the lending of this instance, which is about to stop.
    pub(super) fn retire(&mut self) {
        self.lending.retire();
    }

    /// Returns whether the reply to a question for tokens is pending.
    pub(super) fn is_asking(&self) -> bool {
        !self.ledger.is_idle()
    }
}

impl<C: Protocol> Tier<C> {
    /// Applies the limits of a configuration that replaces the current one.
    pub(super) fn set_limits(&mut self, now: Time, config: &Rc<Config>) {
        let limits = || limits(config);
        self.quotas.has_limits = limits().next().is_some();
        self.quotas.lending.set_limits(now, limits());
        for (name, old) in self.config.iter().flat_map(|old| self::limits(old)) {
            let new = config.organisations.by_name(name).and_then(|it| it.limit);
            if new.is_none_or(|new| new.rate < old.rate || new.burst < old.burst) {
                self.quotas.ledger.drop_tokens(name);
            }
        }
        self.schedule_claims(now);
    }

    /// Chooses the lenders out of all instances.
    pub(super) fn set_lenders(&mut self, now: Time, all: &[Instance]) {
        let own = &self.settings.instance;
        self.quotas.lending.set_instances(now, all, own);
        self.schedule_claims(now);
    }

    /// Takes a token for a request of a caller if its organisation has a limit; returns the call if
    /// it may run. Otherwise it waits or is refused.
    ///
    /// Requests of other instances have been counted there. Second attempts, branches and handovers
    /// belong to a request that has been counted.
    pub(super) fn take_token(
        &mut self,
        now: Time,
        id: CallId,
        mut call: Call<C>,
        effects: &mut Vec<Effect<C>>,
    ) -> Option<Call<C>> {
        let is_from_caller = call.head.origin == Origin::Caller;
        if !is_from_caller || limit_of(&call).is_none() {
            return Some(call);
        }
        let organisation = call.organisation.clone()?;
        match self.quotas.ledger.take(now, &organisation) {
            Decision::Allowed(until) => {
                call.token = Some(until);
                self.borrow(now, &organisation, effects);
                Some(call)
            }
            Decision::Refused(wait) => {
                self.refuse_over_limit(now, id, &mut call, wait, effects);
                None
            }
            Decision::Wait => {
                let objective = call.config.route(call.route).objective;
                let wait = ledger::wait_time(objective);
                self.timers.set(now + wait, Due::Token(id));
                self.calls.insert(id, call);
                self.quotas.ledger.wait(&organisation, id);
                self.borrow(now, &organisation, effects);
                None
            }
        }
    }

    /// Returns the token of a call that is refused without having run.
    pub(super) fn return_token(&mut self, now: Time, call: &mut Call<C>) {
        if let (Some(until), Some(organisation)) = (call.token.take(), &call.organisation) {
            self.quotas.ledger.give_back(now, organisation, until);
        }
    }

    /// Returns the reply to a question of another instance.
    pub fn lend(&mut self, now: Time, question: Question) -> Reply {
        let lending = &mut self.quotas.lending;
        match question {
            Question::Tokens {
                organisation,
                wanted,
            } => match lending.lend(now, &organisation, wanted) {
                Some(loan) => Reply::Loan(loan),
                None => Reply::Declined(organisation),
            },
            Question::Share {
                from,
                lenders,
                is_claim,
            } => {
                let (share, lenders, is_senior) = lending.on_claim(now, &from, lenders, is_claim);
                Reply::Share {
                    share,
                    lenders,
                    is_senior,
                }
            }
        }
    }

    /// Handles the reply to a question that was sent at `sent`.
    pub(super) fn on_lent(
        &mut self,
        now: Time,
        from: &InstanceName,
        sent: Time,
        reply: Reply,
        effects: &mut Vec<Effect<C>>,
    ) {
        match reply {
            Reply::Loan(loan) => {
                let decided = self.quotas.ledger.on_loan(now, from, sent, &loan);
                self.decide(now, &loan.organisation, decided, effects);
                self.borrow(now, &loan.organisation, effects);
            }
            Reply::Declined(organisation) => {
                self.quotas.ledger.on_declined(now, from, &organisation);
                self.borrow(now, &organisation, effects);
            }
            Reply::Share {
                share,
                lenders,
                is_senior,
            } => {
                let lease = (share, lenders, is_senior);
                self.quotas.lending.on_share(now, from, sent, lease);
            }
        }
    }

    /// Refuses a call that has waited long enough for a token.
    pub(super) fn on_token_due(&mut self, now: Time, id: CallId, effects: &mut Vec<Effect<C>>) {
        let waiting = self.calls.get(&id).and_then(|it| it.organisation.clone());
        if waiting.is_some_and(|it| self.quotas.ledger.stop_waiting(&it, id))
            && let Some(mut call) = self.calls.remove(&id)
        {
            self.refuse_over_limit(now, id, &mut call, ASK_TIMEOUT, effects);
        }
    }

    /// Asks other lenders in place of those that have not replied.
    pub(super) fn on_asks_due(&mut self, now: Time, effects: &mut Vec<Effect<C>>) {
        let (organisations, silent) = self.quotas.ledger.expire(now);
        effects.extend(
            silent
                .into_iter()
                .map(|it| Effect::Note(Note::LenderSilent(it))),
        );
        for organisation in organisations {
            self.borrow(now, &organisation, effects);
        }
    }

    /// Asks the other lenders for their shares if this instance owns the limits.
    pub(super) fn on_claims_due(&mut self, now: Time, effects: &mut Vec<Effect<C>>) {
        self.quotas.is_claim_scheduled = false;
        let lending = &mut self.quotas.lending;
        let (asked, is_claim) = lending.claims(now);
        let is_owner = lending.is_owner(now);
        if is_owner != std::mem::replace(&mut self.quotas.is_owner, is_owner) {
            let share = lending.share(now);
            effects.push(Effect::Note(Note::LimitsOwned(is_owner, share)));
        }
        if let Ok(from) = self.settings.instance.parse::<InstanceName>() {
            let question = Question::Share {
                from,
                lenders: lending.listed(),
                is_claim,
            };
            for other in asked {
                let asked = Asked {
                    sent: now,
                    question: question.clone(),
                };
                effects.push(Effect::Ask(other, asked));
            }
        }
        self.schedule_claims(now);
    }

    /// Returns the limits and their use; `None` if no organisation has a limit.
    pub fn limits(&self, now: Time) -> Option<Limits> {
        let config = self.config.as_ref().filter(|_| self.quotas.has_limits)?;
        let lending = &self.quotas.lending;
        let mut organisations: Vec<LimitUse> = limits(config)
            .map(|(name, limit)| LimitUse {
                organisation: name.clone(),
                limit: *limit,
                usage: self.quotas.ledger.usage(now, name),
                lent: lending.lent(name),
            })
            .collect();
        organisations.sort_by_key(|it| std::cmp::Reverse(it.usage.allowed + it.lent));
        Some(Limits {
            is_owner: lending.is_owner(now),
            share: lending.share(now),
            organisations,
        })
    }

    /// Borrows tokens of an organisation's limit if more are needed.
    fn borrow(&mut self, now: Time, organisation: &OrganisationName, effects: &mut Vec<Effect<C>>) {
        while let Some(wanted) = self.quotas.ledger.wanted(now, organisation) {
            let Quotas {
                lending, ledger, ..
            } = &mut self.quotas;
            let Some(lender) = ledger.lender(now, lending.order()).cloned() else {
                let decided = ledger.on_no_lender(now, organisation);
                return self.decide(now, organisation, decided, effects);
            };
            ledger.asked(now, organisation, &lender.name, wanted);
            if lender.name.as_str() != &*self.settings.instance {
                self.timers.set(now + ASK_TIMEOUT, Due::Asks);
                let question = Question::Tokens {
                    organisation: organisation.clone(),
                    wanted,
                };
                let sent = now;
                return effects.push(Effect::Ask(lender, Asked { sent, question }));
            }
            match lending.lend(now, organisation, wanted) {
                Some(loan) => {
                    let decided = ledger.on_loan(now, &lender.name, now, &loan);
                    self.decide(now, organisation, decided, effects);
                }
                None => ledger.on_declined(now, &lender.name, organisation),
            }
        }
    }

    /// Starts or refuses calls that have waited for tokens.
    fn decide(
        &mut self,
        now: Time,
        organisation: &OrganisationName,
        decided: Decided,
        effects: &mut Vec<Effect<C>>,
    ) {
        for (id, until) in decided.allowed {
            match self.calls.remove(&id) {
                Some(mut call) => {
                    call.token = Some(until);
                    self.start_allowed(now, id, call, effects);
                }
                None => self.quotas.ledger.give_back(now, organisation, until),
            }
        }
        for (id, wait) in decided.refused {
            if let Some(mut call) = self.calls.remove(&id) {
                self.refuse_over_limit(now, id, &mut call, wait, effects);
            }
        }
    }

    /// Refuses a call whose organisation is over its limit; `wait` is the time until there is room.
    fn refuse_over_limit(
        &mut self,
        now: Time,
        id: CallId,
        call: &mut Call<C>,
        wait: Duration,
        effects: &mut Vec<Effect<C>>,
    ) {
        let left = (call.arrived + call.allowed).since(now);
        let mut after = wait;
        if let (Some(organisation), Some(limit)) = (call.organisation.clone(), limit_of(call)) {
            after = self
                .quotas
                .ledger
                .retry_after(now, &organisation, wait, left);
            effects.push(Effect::Note(Note::OverLimit(Box::new(OverLimit {
                id: call.head.id.clone(),
                usage: self.quotas.ledger.usage(now, &organisation),
                organisation,
                limit,
                wait,
            }))));
        }
        self.note_call_ended(now, call, Refusal::OverLimit.name(), false, effects);
        effects.push(Effect::Answer(
            id,
            Answer::Refused(Refusal::OverLimit, after),
        ));
    }

    fn schedule_claims(&mut self, now: Time) {
        let quotas = &mut self.quotas;
        if quotas.has_limits
            && quotas.lending.is_lender()
            && !std::mem::replace(&mut quotas.is_claim_scheduled, true)
        {
            self.timers.set(now + CLAIM_INTERVAL, Due::Claims);
        }
    }
}

/// Returns the limit of a call's organisation.
fn limit_of<C: Protocol>(call: &Call<C>) -> Option<OrganisationLimit> {
    let organisation = call.organisation.as_ref()?;
    call.config.organisations.by_name(organisation)?.limit
}

/// Returns the organisations of a configuration that have a limit.
fn limits(config: &Config) -> impl Iterator<Item = (&OrganisationName, &OrganisationLimit)> {
    fn limited(it: &Organisation) -> Option<(&OrganisationName, &OrganisationLimit)> {
        it.limit.as_ref().map(|limit| (&it.name, limit))
    }
    config.organisations.iter().filter_map(limited)
}
