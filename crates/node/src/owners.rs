//! Which instance of a data centre sends to an upstream of that data centre.
//!
//! Slots and connections of an upstream are too few to be split among all instances, so one
//! instance owns each upstream and the others relay to it. Owners are assigned by rendezvous
//! hashing over the live members. A new owner sends nothing before every member of its view has
//! answered that it does not send to the upstream, from a view of the same members; an instance
//! that holds the upstream answers once nothing of its own is in flight. A member that is gone is
//! not waited for: its removal takes longer than any attempt, and an instance that stood still
//! gives up what it holds.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use base::{InstanceName, Time, UpstreamName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::directory::UpstreamId;

/// Pause between two requests for the same handover.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which answers from a view of other members are taken as well, so that an upstream
/// does not stay without an owner while views differ for good.
const VIEW_MISMATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// An upstream of this instance's data centre.
#[derive(Clone, Copy, Debug)]
pub struct LocalUpstream<'a> {
    /// Its number.
    pub id: UpstreamId,
    /// Its name.
    pub name: &'a UpstreamName,
}

/// The members of a data centre as one instance sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Live members that take new work, sorted; this instance among them unless it is leaving.
    pub active: Vec<InstanceName>,
    /// All other members that can be asked, leaving ones too.
    pub others: BTreeSet<InstanceName>,
}

impl View {
    /// Returns a digest of the members that take new work.
    pub fn digest(&self) -> u64 {
        let add = |seed, name: &InstanceName| xxh3_64_with_seed(name.as_str().as_bytes(), seed);
        self.active.iter().fold(0, add)
    }
}

/// How this instance stands to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
enum HoldState {
    /// It sends to the upstream.
    Held,
    /// It is to send, and asks the other members.
    Requesting {
        since: Time,
        next_request: Time,
        answered: BTreeSet<InstanceName>,
    },
    /// It has been asked for the upstream and finishes what is in flight.
    Releasing { to: InstanceName },
}

/// A request to one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverRequest {
    /// The member.
    pub member: InstanceName,
    /// The upstreams to hand over.
    pub upstreams: Vec<UpstreamId>,
}

/// Answer to a request for a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverReply {
    /// The asked instance does not send to the upstream.
    Free,
    /// There is no answer yet; the asker asks again.
    Pending,
}

/// Assignments and holds of one instance.
#[derive(Debug)]
pub struct Owners {
    own_name: InstanceName,
    view: View,
    digest: u64,
    assigned: HashMap<UpstreamId, InstanceName>,
    hold_states: HashMap<UpstreamId, HoldState>,
}

impl Owners {
    /// Makes an instance that holds nothing.
    pub fn new(own_name: InstanceName) -> Self {
        Self {
            own_name,
            view: View::default(),
            digest: 0,
            assigned: HashMap::new(),
            hold_states: HashMap::new(),
        }
    }

    /// Assigns the upstreams of each service to the members of the data centre.
    pub fn assign(&mut self, now: Time, services: &[Vec<LocalUpstream<'_>>], view: View) {
        self.digest = view.digest();
        self.view = view;
        self.assigned.clear();
        for upstreams in services {
            self.assigned
                .extend(assign_service(upstreams, &self.view.active));
        }
        let mut ids: Vec<UpstreamId> = self.assigned.keys().copied().collect();
        ids.sort_unstable();
        for upstream in ids {
            self.update_hold(now, upstream);
        }
        let assigned = &self.assigned;
        self.hold_states.retain(|id, _| assigned.contains_key(id));
    }

    /// Starts to ask for an upstream that is assigned to this instance, or stops asking.
    fn update_hold(&mut self, now: Time, upstream: UpstreamId) {
        let is_owner = self.assigned.get(&upstream) == Some(&self.own_name);
        match self.hold_states.get(&upstream) {
            None if is_owner => {
                let answered = BTreeSet::new();
                self.hold_states.insert(
                    upstream,
                    HoldState::Requesting {
                        since: now,
                        next_request: now,
                        answered,
                    },
                );
            }
            Some(HoldState::Requesting { .. }) if !is_owner => {
                self.hold_states.remove(&upstream);
            }
            _ => {}
        }
        self.acquire_if_answered(upstream);
    }

    /// Holds an upstream once every other member has answered; returns whether it is held now.
    fn acquire_if_answered(&mut self, upstream: UpstreamId) -> bool {
        let Some(state) = self.hold_states.get_mut(&upstream) else {
            return false;
        };
        let HoldState::Requesting { answered, .. } = state else {
            return false;
        };
        let complete = self.view.others.is_subset(answered);
        if complete {
            *state = HoldState::Held;
        }
        complete
    }

    /// Returns whether every upstream that is assigned to this instance is held by it.
    pub fn is_settled(&self) -> bool {
        let mut states = self.hold_states.values();
        states.all(|state| !matches!(state, HoldState::Requesting { .. }))
    }

    /// Returns the digest of the members that take new work.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the instance that an upstream is assigned to.
    pub fn owner(&self, upstream: UpstreamId) -> Option<&InstanceName> {
        self.assigned.get(&upstream)
    }

    /// Returns whether this instance may send to an upstream.
    pub fn holds(&self, upstream: UpstreamId) -> bool {
        self.hold_states.get(&upstream) == Some(&HoldState::Held)
    }

    /// Returns whether work for an upstream belongs in this instance's queue.
    pub fn queues_here(&self, upstream: UpstreamId) -> bool {
        self.holds(upstream) || self.owner(upstream) == Some(&self.own_name)
    }

    /// Returns the requests that are due, one for each member that has not answered.
    pub fn due_requests(&mut self, now: Time) -> Vec<HandoverRequest> {
        let mut requests: BTreeMap<&InstanceName, Vec<UpstreamId>> = BTreeMap::new();
        for (&upstream, state) in &mut self.hold_states {
            let HoldState::Requesting {
                next_request,
                answered,
                ..
            } = state
            else {
                continue;
            };
            if *next_request > now {
                continue;
            }
            *next_request = now + REQUEST_INTERVAL;
            for member in self.view.others.difference(answered) {
                requests.entry(member).or_default().push(upstream);
            }
        }
        let request = |(member, mut upstreams): (&InstanceName, Vec<UpstreamId>)| {
            upstreams.sort_unstable();
            HandoverRequest {
                member: member.clone(),
                upstreams,
            }
        };
        requests.into_iter().map(request).collect()
    }

    /// Returns when the next request is due.
    pub fn next_wake(&self) -> Option<Time> {
        let requesting = self.hold_states.values().filter_map(|state| match state {
            HoldState::Requesting { next_request, .. } => Some(*next_request),
            HoldState::Held | HoldState::Releasing { .. } => None,
        });
        requesting.min()
    }

    /// Takes another instance's request for a handover.
    ///
    /// An instance that holds the upstream and is still its owner gives no answer, nor does one
    /// that asks for it as well: the two views differ. A holder that is no longer the owner sends
    /// nothing more, and [`Owners::release`] tells when to answer.
    pub fn on_request(&mut self, upstream: UpstreamId, from: &InstanceName) -> HandoverReply {
        let is_owner = self.assigned.get(&upstream) == Some(&self.own_name);
        match self.hold_states.get_mut(&upstream) {
            None => HandoverReply::Free,
            Some(state @ (HoldState::Held | HoldState::Releasing { .. })) if !is_owner => {
                *state = HoldState::Releasing { to: from.clone() };
                HandoverReply::Pending
            }
            Some(_) => HandoverReply::Pending,
        }
    }

    /// Returns the instance to tell that the upstream is free, once nothing is in flight to it.
    pub fn release(&mut self, upstream: UpstreamId) -> Option<InstanceName> {
        let Some(HoldState::Releasing { to }) = self.hold_states.get(&upstream) else {
            return None;
        };
        let to = to.clone();
        self.hold_states.remove(&upstream);
        Some(to)
    }

    /// Takes a member's answer, given from a view with this digest; returns whether this instance
    /// holds the upstream now.
    pub fn record_release(
        &mut self,
        now: Time,
        upstream: UpstreamId,
        by: &InstanceName,
        digest: u64,
    ) -> bool {
        let Some(HoldState::Requesting {
            since, answered, ..
        }) = self.hold_states.get_mut(&upstream)
        else {
            return false;
        };
        if digest != self.digest && now.since(*since) < VIEW_MISMATCH_TIMEOUT {
            return false;
        }
        answered.insert(by.clone());
        self.acquire_if_answered(upstream)
    }

    /// Gives up every hold: this instance was paused so long that others may have taken over.
    pub fn release_all(&mut self) {
        self.hold_states.clear();
        self.assigned.clear();
    }

    /// Returns how many upstreams this instance may send to.
    pub fn held_count(&self) -> usize {
        self.hold_states
            .values()
            .filter(|state| **state == HoldState::Held)
            .count()
    }
}

/// Assigns the upstreams of one service by rendezvous hashing with bounded load.
///
/// The bound keeps the replicas of a small service at different members, and moves few upstreams
/// of a large one when a member comes or goes.
fn assign_service(
    upstreams: &[LocalUpstream<'_>],
    members: &[InstanceName],
) -> HashMap<UpstreamId, InstanceName> {
    let max_per_member = (upstreams.len() * 5).div_ceil(members.len().max(1) * 4);
    let mut owned = vec![0; members.len()];
    let mut assigned = HashMap::with_capacity(upstreams.len());
    for upstream in upstreams {
        let seed = xxh3_64_with_seed(upstream.name.as_str().as_bytes(), 0);
        let below_limit = (0..members.len()).filter(|&m| owned[m] < max_per_member);
        let rank = |&m: &usize| weight(seed, &members[m]);
        let Some(owner) = below_limit.max_by_key(rank) else {
            continue;
        };
        owned[owner] += 1;
        assigned.insert(upstream.id, members[owner].clone());
    }
    assigned
}

/// Returns the rendezvous weight of a member for an upstream, whose name is hashed to the seed.
fn weight(seed: u64, member: &InstanceName) -> u64 {
    xxh3_64_with_seed(member.as_str().as_bytes(), seed)
}
