//! Lenders: who owns the limits of organisations, and what the owner lends.
//!
//! Load pattern: instances come and go while callers use the limits, lists of instances are seconds
//! old and differ, and a data centre may be cut off from the others. The sum of what all owners
//! lend must hold whoever believes to be one, so that the belief decides about refusals only.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use base::{InstanceName, OrganisationName, Time};
use xxhash_rust::xxh3::xxh3_64;

use super::{Loan, bucket::Bucket, loan_lifetime};
use crate::{
    handover::{Instance, ProtocolLevel},
    organisation::OrganisationLimit,
};

/// Lenders in a data centre: two, so that one of them can be lost.
const LENDERS_PER_DATA_CENTRE: usize = 2;

/// Maximum number of lenders: each of them can hold a token beyond its share of a limit.
pub(super) const MAX_LENDERS: usize = 8;

/// Interval at which the owner asks the other lenders for their shares.
pub const CLAIM_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a share is leased: that of three claims, as an instance with a tenth of a core
/// may be paused for most of 100 ms.
pub const LEASE: Duration = Duration::from_millis(600);

/// Time without a claim of a senior lender after which the next one takes its place.
const SENIOR_SILENT: Duration = Duration::from_millis(600);

/// Time without a reply after which a lender is asked only now and then.
const SILENT: Duration = Duration::from_millis(1_000);

/// Claims out of which a silent lender gets one, as each may open a connection.
const SILENT_DIVISOR: u32 = 5;

/// Time from its first list of instances on after which a lender may use its share: longer than
/// [`LEASE`], for which another one may have it, and than it takes to hear of the other lenders.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time for which the shares stay as small as the highest recent number of lenders makes them: the
/// ones that are no longer listed may only be cut off.
const RAISE_DELAY: Duration = Duration::from_secs(60);

/// Age of the list of instances from which an owner that does not reach all other lenders must
/// assume that those no longer count it; less than [`RAISE_DELAY`].
const LIST_VALID: Duration = Duration::from_secs(45);

/// Share of its limits that such an owner may use. Half of what the platform tolerates.
pub(super) const STALE_SHARE: f64 = 0.05;

/// Share that another lender has leased to this instance.
#[derive(Clone, Copy, Debug)]
struct Lease {
    share: f64,
    until: Time,
}

/// A lender other than this instance.
#[derive(Clone, Debug)]
struct OtherLender {
    instance: Instance,
    is_senior: bool,
    lease: Lease,
    /// Time of its last reply.
    heard_at: Option<Time>,
}

/// State of this instance as a lender.
#[derive(Clone, Debug, Default)]
pub struct Lending {
    /// All lenders, in the order in which they become the owner.
    order: Vec<Instance>,
    others: Vec<OtherLender>,
    /// Time since which this instance is listed as a lender.
    lender_since: Option<Time>,
    /// Time of the latest list of instances.
    listed_at: Time,
    /// The lenders that have been in touch since the start.
    contacts: HashSet<InstanceName>,
    /// The highest recent number of lenders, and the time at which it was last heard.
    lenders: (u32, Time),
    /// The instance that this one has leased its share to, and the end of the lease.
    leased_to: Option<(InstanceName, Time)>,
    senior_until: Time,
    is_retired: bool,
    buckets: HashMap<OrganisationName, Bucket>,
    /// The share up to which the buckets were filled last.
    share: f64,
    claims: u32,
}

impl Lending {
    /// Applies a list of instances.
    pub fn set_instances(&mut self, now: Time, all: &[Instance], own: &str) {
        self.fill(now);
        self.order = lenders(all);
        self.listed_at = now;
        let position = self.order.iter().position(|it| it.name.as_str() == own);
        self.lender_since = position.map(|_| self.lender_since.unwrap_or(now));
        let old = std::mem::take(&mut self.others);
        let others = self.order.iter().enumerate();
        let others = others.filter(|(_, it)| it.name.as_str() != own);
        self.others = others
            .map(|(at, instance)| {
                let known = old.iter().find(|it| it.instance.name == instance.name);
                OtherLender {
                    instance: instance.clone(),
                    is_senior: position.is_some_and(|own| at < own),
                    lease: known.map_or(
                        Lease {
                            share: 0.0,
                            until: Time::ZERO,
                        },
                        |it| it.lease,
                    ),
                    heard_at: known.and_then(|it| it.heard_at),
                }
            })
            .collect();
        self.contacts
            .retain(|name| self.others.iter().any(|it| it.instance.name == *name));
        self.hear_lenders(now, self.order.len() as u32);
        self.fill(now);
    }

    /// Applies the limits of a configuration.
    pub fn set_limits<'a>(
        &mut self,
        now: Time,
        limits: impl Iterator<Item = (&'a OrganisationName, &'a OrganisationLimit)>,
    ) {
        self.fill(now);
        let mut old = std::mem::take(&mut self.buckets);
        for (name, limit) in limits {
            let mut bucket = old.remove(name).unwrap_or_else(|| Bucket::new(now, *limit));
            bucket.set_limit(*limit);
            self.buckets.insert(name.clone(), bucket);
        }
        self.fill(now);
    }

    /// Ends the lending of this instance, which is about to stop.
    pub fn retire(&mut self) {
        self.is_retired = true;
    }

    /// Returns whether this instance is a lender.
    pub fn is_lender(&self) -> bool {
        self.lender_since.is_some()
    }

    /// Returns whether this instance owns the limits, as far as it knows.
    pub fn is_owner(&self, now: Time) -> bool {
        self.is_lender() && !self.is_retired && now >= self.senior_until
    }

    /// Returns the lenders in the order in which instances ask them.
    pub fn order(&self) -> &[Instance] {
        &self.order
    }

    /// Returns the share of all limits that this instance may lend.
    pub fn share(&self, now: Time) -> f64 {
        let is_leased_out = matches!(&self.leased_to, Some((_, until)) if now < *until);
        let own = match is_leased_out {
            true => 0.0,
            false => self.own_share(now),
        };
        let leases = self.others.iter().map(|it| it.lease);
        let leased = leases.filter(|lease| now < lease.until);
        let share = (own + leased.map(|lease| lease.share).sum::<f64>()).min(1.0);
        if self.is_stale(now) {
            share * STALE_SHARE
        } else {
            share
        }
    }

    /// Returns the number of tokens of an organisation that this instance has lent.
    pub fn lent(&self, organisation: &OrganisationName) -> u64 {
        self.buckets.get(organisation).map_or(0, Bucket::lent)
    }

    /// Lends up to `wanted` tokens; `None` if this instance does not own the limits or does not
    /// know that of the organisation.
    pub fn lend(
        &mut self,
        now: Time,
        organisation: &OrganisationName,
        wanted: u32,
    ) -> Option<Loan> {
        if !self.is_owner(now) || !self.buckets.contains_key(organisation) {
            return None;
        }
        self.fill(now);
        let share = self.share;
        let bucket = self.buckets.get_mut(organisation)?;
        let tokens = bucket.take(wanted);
        Some(Loan {
            organisation: organisation.clone(),
            tokens,
            lifetime: loan_lifetime(bucket.limit()),
            next: bucket.wait(share),
        })
    }

    /// Handles a question for the share of this instance; returns the share that is leased, the
    /// number of lenders and whether this instance is senior to the one that asks.
    pub fn on_claim(
        &mut self,
        now: Time,
        from: &InstanceName,
        lenders: u32,
        is_claim: bool,
    ) -> (f64, u32, bool) {
        self.hear_lenders(now, lenders);
        if self.others.iter().any(|it| it.instance.name == *from) {
            self.contacts.insert(from.clone());
        }
        // One that is not listed yet will be, and then leases what it can.
        let other = self.others.iter().find(|it| it.instance.name == *from);
        let is_junior = other.is_none_or(|it| !it.is_senior);
        let is_senior = self.is_lender() && !self.is_retired && is_junior;
        if is_senior || !is_claim {
            return (0.0, self.listed(), is_senior);
        }
        self.senior_until = now + SENIOR_SILENT;
        let is_taken = matches!(&self.leased_to, Some((to, until)) if to != from && now < *until);
        let share = if is_taken { 0.0 } else { self.own_share(now) };
        if share > 0.0 {
            self.fill(now);
            self.leased_to = Some((from.clone(), now + LEASE));
            self.fill(now);
        }
        (share, self.listed(), false)
    }

    /// Handles the reply to a question for a share that was sent at `sent`.
    pub fn on_share(
        &mut self,
        now: Time,
        from: &InstanceName,
        sent: Time,
        (share, lenders, is_senior): (f64, u32, bool),
    ) {
        self.fill(now);
        self.hear_lenders(now, lenders);
        let Some(other) = self.others.iter_mut().find(|it| it.instance.name == *from) else {
            return;
        };
        self.contacts.insert(from.clone());
        other.heard_at = Some(now);
        if is_senior {
            self.senior_until = now + SENIOR_SILENT;
        }
        if share.is_finite() && share > 0.0 {
            let until = sent.min(now) + LEASE;
            other.lease = Lease { share, until };
        }
    }

    /// Returns the lenders that are asked for their shares now, with whether this instance claims
    /// them; called every [`CLAIM_INTERVAL`].
    pub fn claims(&mut self, now: Time) -> (Vec<Instance>, bool) {
        self.fill(now);
        self.claims = self.claims.wrapping_add(1);
        let is_owner = self.is_owner(now);
        if self.is_retired || !self.is_lender() || !is_owner && self.is_settled(now) {
            return (Vec::new(), false);
        }
        let is_turn = self.claims.is_multiple_of(SILENT_DIVISOR);
        let is_asked = |other: &&OtherLender| {
            is_turn || other.heard_at.is_some_and(|at| now.since(at) < SILENT)
        };
        let asked = self.others.iter().filter(is_asked);
        (asked.map(|it| it.instance.clone()).collect(), is_owner)
    }

    /// Returns the number of lenders that are listed.
    pub fn listed(&self) -> u32 {
        self.order.len() as u32
    }

    fn own_share(&self, now: Time) -> f64 {
        match self.is_settled(now) {
            true => 1.0 / f64::from(self.lenders.0.max(1)),
            false => 0.0,
        }
    }

    /// Returns whether the share of this instance counts: enough of the other lenders know of it,
    /// so that they have reduced theirs.
    fn is_settled(&self, now: Time) -> bool {
        let Some(since) = self.lender_since else {
            return false;
        };
        let elapsed = now.since(since);
        let has_contact = self.contacts.len() * 2 >= self.others.len();
        elapsed >= RAISE_DELAY || has_contact && elapsed >= SETTLE_TIME
    }

    /// Returns whether the other lenders may have stopped to count this instance.
    fn is_stale(&self, now: Time) -> bool {
        let is_silent =
            |other: &OtherLender| other.heard_at.is_none_or(|at| now.since(at) >= LIST_VALID);
        now.since(self.listed_at) >= LIST_VALID && self.others.iter().any(is_silent)
    }

    fn hear_lenders(&mut self, now: Time, count: u32) {
        let (known, at) = self.lenders;
        let count = count.min(MAX_LENDERS as u32);
        if count >= known {
            self.lenders = (count, now);
        } else if now.since(at) >= RAISE_DELAY {
            let listed = self.order.len() as u32;
            self.lenders = (count.max(listed), now);
        }
    }

    /// Fills all buckets up to now. Called before and after each change of the share, so that every
    /// rise is seen.
    fn fill(&mut self, now: Time) {
        let share = self.share(now);
        for bucket in self.buckets.values_mut() {
            bucket.fill(now, self.share, share);
        }
        self.share = share;
    }
}

/// Returns the lenders among all instances, in the order in which they become the owner: in each
/// data centre those with the highest CPU shares.
fn lenders(all: &[Instance]) -> Vec<Instance> {
    let able = all
        .iter()
        .filter(|it| it.protocol >= ProtocolLevel::ORGANISATIONS);
    let mut ranked: Vec<&Instance> = able.collect();
    ranked.sort_by(|a, b| {
        let by_power = b.cpu_share.total_cmp(&a.cpu_share);
        let hash = |it: &Instance| xxh3_64(it.name.as_str().as_bytes());
        by_power
            .then_with(|| hash(a).cmp(&hash(b)))
            .then_with(|| a.name.cmp(&b.name))
    });
    let mut counts: HashMap<&str, usize> = HashMap::new();
    ranked.retain(|it| {
        let count = counts.entry(it.data_centre.as_str()).or_default();
        *count += 1;
        *count <= LENDERS_PER_DATA_CENTRE
    });
    ranked.truncate(MAX_LENDERS);
    ranked.into_iter().cloned().collect()
}
