//! Which instance of a data centre sends to an upstream of that data centre.
//!
//! Slots and connections of an upstream are too few to be split among all instances, so one
//! instance owns each upstream and the others relay to it. Owners are assigned by rendezvous
//! hashing over the live members. Ownership moves by an explicit handover: the new owner asks the
//! previous one, which stops sending and answers once nothing of its own is in flight. An instance
//! whose previous owner is gone takes over at once: the removal of a member takes longer than any
//! attempt.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use base::{InstanceName, Time, UpstreamName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::directory::UpstreamId;

/// Pause between two requests for the same handover.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// An upstream of this instance's data centre.
#[derive(Clone, Copy, Debug)]
pub struct Local<'a> {
    /// Its number.
    pub id: UpstreamId,
    /// Its name.
    pub name: &'a UpstreamName,
}

/// How this instance stands to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Hold {
    /// It sends to the upstream.
    Holding,
    /// It is to send, and asks the previous owner for the handover.
    Asking {
        previous: InstanceName,
        next_ask: Time,
    },
    /// It has been asked for the handover and finishes what is in flight.
    Releasing { to: InstanceName },
}

/// A request to a previous owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The previous owner.
    pub previous: InstanceName,
    /// The upstreams to hand over.
    pub upstreams: Vec<UpstreamId>,
}

/// Assignments and holds of one instance.
#[derive(Debug)]
pub struct Owners {
    own: InstanceName,
    assigned: HashMap<UpstreamId, InstanceName>,
    holds: HashMap<UpstreamId, Hold>,
}

impl Owners {
    /// Makes an instance that holds nothing.
    pub fn new(own: InstanceName) -> Self {
        Self {
            own,
            assigned: HashMap::new(),
            holds: HashMap::new(),
        }
    }

    /// Assigns the upstreams of each service to the members of the data centre.
    ///
    /// `members` are the live members, sorted, with this instance among them unless it is leaving.
    /// `is_present` tells whether an instance can still be asked for a handover.
    pub fn assign(
        &mut self,
        now: Time,
        services: &[Vec<Local<'_>>],
        members: &[InstanceName],
        is_present: impl Fn(&InstanceName) -> bool,
    ) {
        let others: Vec<InstanceName> = members
            .iter()
            .filter(|m| **m != self.own)
            .cloned()
            .collect();
        let before = std::mem::take(&mut self.assigned);
        for upstreams in services {
            let owners = assign_service(upstreams, members);
            let without_self = assign_service(upstreams, &others);
            for (upstream, owner) in owners {
                let previous = match before.get(&upstream) {
                    Some(previous) if *previous != self.own => Some(previous),
                    _ => without_self.get(&upstream),
                };
                let previous = match self.holds.get(&upstream) {
                    // The one that was asked may still send, whoever is assigned in between.
                    Some(Hold::Asking { previous, .. }) if is_present(previous) => Some(previous),
                    _ => previous.filter(|p| is_present(p)),
                };
                let previous = previous.cloned();
                self.settle(now, upstream, &owner, previous);
                self.assigned.insert(upstream, owner);
            }
        }
        let declared: HashSet<UpstreamId> = self.assigned.keys().copied().collect();
        self.holds.retain(|id, _| declared.contains(id));
    }

    /// Starts to hold an upstream, or to ask for it, when it is newly assigned to this instance.
    fn settle(
        &mut self,
        now: Time,
        upstream: UpstreamId,
        owner: &InstanceName,
        previous: Option<InstanceName>,
    ) {
        if *owner != self.own {
            let asking = matches!(self.holds.get(&upstream), Some(Hold::Asking { .. }));
            if asking {
                self.holds.remove(&upstream);
            }
            return;
        }
        let gone = match self.holds.get(&upstream) {
            None => true,
            Some(Hold::Holding | Hold::Releasing { .. }) => false,
            Some(Hold::Asking {
                previous: asked, ..
            }) => previous.as_ref() != Some(asked),
        };
        if !gone {
            return;
        }
        let hold = match previous {
            Some(previous) => Hold::Asking {
                previous,
                next_ask: now,
            },
            None => Hold::Holding,
        };
        self.holds.insert(upstream, hold);
    }

    /// Returns the instance that an upstream is assigned to.
    pub fn owner(&self, upstream: UpstreamId) -> Option<&InstanceName> {
        self.assigned.get(&upstream)
    }

    /// Returns whether this instance may send to an upstream.
    pub fn holds(&self, upstream: UpstreamId) -> bool {
        self.holds.get(&upstream) == Some(&Hold::Holding)
    }

    /// Returns whether work for an upstream belongs in this instance's queue.
    pub fn queues(&self, upstream: UpstreamId) -> bool {
        self.holds(upstream) || self.owner(upstream) == Some(&self.own)
    }

    /// Returns the handovers to ask for now.
    pub fn asks(&mut self, now: Time) -> Vec<Ask> {
        let mut asks: Vec<Ask> = Vec::new();
        for (&upstream, hold) in &mut self.holds {
            let Hold::Asking { previous, next_ask } = hold else {
                continue;
            };
            if *next_ask > now {
                continue;
            }
            *next_ask = now + ASK_INTERVAL;
            match asks.iter_mut().find(|ask| ask.previous == *previous) {
                Some(ask) => ask.upstreams.push(upstream),
                None => {
                    asks.push(Ask {
                        previous: previous.clone(),
                        upstreams: vec![upstream],
                    });
                }
            }
        }
        asks.sort_by(|a, b| a.previous.cmp(&b.previous));
        for ask in &mut asks {
            ask.upstreams.sort_unstable();
        }
        asks
    }

    /// Returns when the next handover is to be asked for.
    pub fn next_wake(&self) -> Option<Time> {
        let asking = self.holds.values().filter_map(|hold| match hold {
            Hold::Asking { next_ask, .. } => Some(*next_ask),
            Hold::Holding | Hold::Releasing { .. } => None,
        });
        asking.min()
    }

    /// Takes another instance's request; this instance sends nothing more to the upstream.
    pub fn asked(&mut self, upstream: UpstreamId, to: &InstanceName) {
        match self.holds.get_mut(&upstream) {
            Some(hold @ (Hold::Holding | Hold::Releasing { .. })) => {
                *hold = Hold::Releasing { to: to.clone() };
            }
            Some(Hold::Asking { .. }) | None => {}
        }
    }

    /// Returns the instance to tell that the upstream is free, once nothing is in flight to it.
    pub fn release(&mut self, upstream: UpstreamId) -> Option<InstanceName> {
        match self.holds.get(&upstream)? {
            Hold::Releasing { to } => {
                let to = to.clone();
                self.holds.remove(&upstream);
                Some(to)
            }
            Hold::Holding | Hold::Asking { .. } => None,
        }
    }

    /// Takes the previous owner's answer; returns whether this instance holds the upstream now.
    pub fn released(&mut self, upstream: UpstreamId, by: &InstanceName) -> bool {
        match self.holds.get_mut(&upstream) {
            Some(hold @ Hold::Asking { .. }) => {
                let expected = matches!(hold, Hold::Asking { previous, .. } if previous == by);
                if expected {
                    *hold = Hold::Holding;
                }
                expected
            }
            Some(Hold::Holding | Hold::Releasing { .. }) | None => false,
        }
    }

    /// Gives up every hold: this instance was paused so long that others may have taken over.
    pub fn drop_all(&mut self) {
        self.holds.clear();
        self.assigned.clear();
    }

    /// Returns how many upstreams this instance may send to.
    pub fn held(&self) -> usize {
        self.holds
            .values()
            .filter(|hold| **hold == Hold::Holding)
            .count()
    }
}

/// Assigns the upstreams of one service by rendezvous hashing with bounded load.
///
/// The bound keeps the replicas of a small service at different members, and moves few upstreams
/// of a large one when a member comes or goes.
fn assign_service(
    upstreams: &[Local<'_>],
    members: &[InstanceName],
) -> HashMap<UpstreamId, InstanceName> {
    let most = (upstreams.len() * 5).div_ceil(members.len().max(1) * 4);
    let mut owned: HashMap<&InstanceName, usize> = HashMap::new();
    let mut assigned = HashMap::new();
    for upstream in upstreams {
        let has_room = |member: &&InstanceName| owned.get(member).is_none_or(|n| *n < most);
        let rank = |member: &&InstanceName| weight(upstream.name, member);
        let Some(owner) = members.iter().filter(has_room).max_by_key(rank) else {
            continue;
        };
        *owned.entry(owner).or_default() += 1;
        assigned.insert(upstream.id, owner.clone());
    }
    assigned
}

/// Returns the rendezvous weight of a member for an upstream.
fn weight(upstream: &UpstreamName, member: &InstanceName) -> u64 {
    let seed = xxh3_64_with_seed(upstream.as_str().as_bytes(), 0);
    xxh3_64_with_seed(member.as_str().as_bytes(), seed)
}
