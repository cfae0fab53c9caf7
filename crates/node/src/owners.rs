//! Assignment of each upstream to the one instance of its data centre that sends to it.
//!
//! The slots and connections of an upstream are too few to be split among all instances, so one
//! instance owns each upstream and the others relay to it. Owners are assigned by rendezvous
//! hashing over the live members.
//!
//! A new owner holds the upstream, and may send to it, only after every member of its view has
//! confirmed that it does not hold it, from a view of the same members. The previous holder
//! confirms once it has nothing in flight to the upstream. The new owner does not wait for a member
//! that was removed from the view: the removal takes longer than any attempt, and an instance that
//! was paused releases everything that it held.
//!
//! A handover here is the transfer of an upstream to its new owner. Searches are handed over to
//! another instance only in the `tier` crate; this one relays their sub-requests.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use base::{InstanceName, Time, UpstreamName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::directory::UpstreamId;

/// Interval between two requests for the same handover.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which confirmations from a differing view are accepted as well, so that views that
/// never agree do not leave an upstream without an owner.
const VIEW_MISMATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// An upstream in the data centre of this instance.
#[derive(Clone, Copy, Debug)]
pub struct LocalUpstream<'a> {
    /// Identifier of the upstream.
    pub id: UpstreamId,
    /// Name of the upstream.
    pub name: &'a UpstreamName,
}

/// The members of a data centre, as this instance sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Live members that accept new requests, sorted; includes this instance unless it is leaving.
    pub active: Vec<InstanceName>,
    /// All other members in the view, including leaving ones.
    pub others: BTreeSet<InstanceName>,
}

impl View {
    /// Returns a digest of the active members.
    pub fn digest(&self) -> u64 {
        let add = |seed, name: &InstanceName| xxh3_64_with_seed(name.as_str().as_bytes(), seed);
        self.active.iter().fold(0, add)
    }
}

/// Progress of this instance in acquiring or releasing an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
enum HoldState {
    /// This instance may send to the upstream.
    Held,
    /// This instance is the owner and waits for the confirmations of the other members.
    Requesting {
        since: Time,
        next_request: Time,
        answered: BTreeSet<InstanceName>,
    },
    /// Another instance requested the upstream; attempts in flight are being finished.
    Releasing { to: InstanceName },
}

/// A request to one member to hand over upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverRequest {
    /// The member that the request is sent to.
    pub member: InstanceName,
    /// The upstreams to hand over.
    pub upstreams: Vec<UpstreamId>,
}

/// Answer to a handover request for one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverReply {
    /// This instance does not hold the upstream.
    Free,
    /// No confirmation can be given yet; the requester repeats its request.
    Pending,
}

/// Assigned owners of the local upstreams, and the upstreams that this instance holds.
#[derive(Debug)]
pub struct Owners {
    own_name: InstanceName,
    view: View,
    digest: u64,
    assigned: HashMap<UpstreamId, InstanceName>,
    hold_states: HashMap<UpstreamId, HoldState>,
}

impl Owners {
    /// Creates the state of an instance that holds nothing.
    pub fn new(own_name: InstanceName) -> Self {
        Self {
            own_name,
            view: View::default(),
            digest: 0,
            assigned: HashMap::new(),
            hold_states: HashMap::new(),
        }
    }

    /// Assigns the upstreams of each service to the active members of a new view.
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

    /// Starts to request an upstream that became assigned to this instance, or stops requesting one
    /// that is assigned to another.
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

    /// Takes hold of a requested upstream if every other member has confirmed; returns whether it
    /// did.
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

    /// Returns whether no handover request of this instance is pending.
    pub fn is_settled(&self) -> bool {
        let mut states = self.hold_states.values();
        states.all(|state| !matches!(state, HoldState::Requesting { .. }))
    }

    /// Returns the digest of the current view.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the owner of an upstream.
    pub fn owner(&self, upstream: UpstreamId) -> Option<&InstanceName> {
        self.assigned.get(&upstream)
    }

    /// Returns whether this instance may send to an upstream.
    pub fn holds(&self, upstream: UpstreamId) -> bool {
        self.hold_states.get(&upstream) == Some(&HoldState::Held)
    }

    /// Returns whether attempts at an upstream are queued at this instance rather than relayed.
    pub fn queues_here(&self, upstream: UpstreamId) -> bool {
        self.holds(upstream) || self.owner(upstream) == Some(&self.own_name)
    }

    /// Returns the handover requests that are due, one for each member with missing confirmations.
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

    /// Returns when the next handover request is due.
    pub fn next_wake(&self) -> Option<Time> {
        let requesting = self.hold_states.values().filter_map(|state| match state {
            HoldState::Requesting { next_request, .. } => Some(*next_request),
            HoldState::Held | HoldState::Releasing { .. } => None,
        });
        requesting.min()
    }

    /// Handles the handover request of another instance for one upstream.
    ///
    /// An owner that holds or requests the upstream does not confirm: the two views differ. A
    /// holder that is not the owner any more stops sending; [`Owners::release`] then returns whom
    /// to answer.
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

    /// Releases an upstream that another instance requested, and returns that instance.
    ///
    /// To be called once nothing is in flight to the upstream.
    pub fn release(&mut self, upstream: UpstreamId) -> Option<InstanceName> {
        let Some(HoldState::Releasing { to }) = self.hold_states.get(&upstream) else {
            return None;
        };
        let to = to.clone();
        self.hold_states.remove(&upstream);
        Some(to)
    }

    /// Handles the confirmation of a member whose view has this digest; returns whether this
    /// instance holds the upstream now.
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

    /// Releases everything: this instance was paused so long that others may have taken over.
    pub fn release_all(&mut self) {
        self.hold_states.clear();
        self.assigned.clear();
    }

    /// Returns the number of upstreams that this instance holds.
    pub fn held_count(&self) -> usize {
        self.hold_states
            .values()
            .filter(|state| **state == HoldState::Held)
            .count()
    }
}

/// Assigns the upstreams of one service to members by rendezvous hashing with bounded load.
///
/// A member owns at most 5/4 of the average, rounded up. The bound spreads the replicas of a small
/// service over different members, and moves few upstreams of a large one when a member comes or
/// goes.
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

/// Returns the rendezvous weight of a member for an upstream; `seed` is the hash of its name.
fn weight(seed: u64, member: &InstanceName) -> u64 {
    xxh3_64_with_seed(member.as_str().as_bytes(), seed)
}
