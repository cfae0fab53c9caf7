//! Membership: which instances are live, found by probes and gossip (similar to SWIM).
//!
//! Every instance probes the members of its data centre in a shuffled rotation at a fixed rate, so
//! the cost does not grow with the size of the data centre. A member that leaves a probe unanswered
//! is suspected and probed again, and a few other members are notified so that they probe it too; a
//! member that stays silent is removed. Gossip only makes the receiver probe and never changes the
//! view by itself, so a false suspicion ends at the first answer. Membership only improves
//! efficiency: no guarantee to callers depends on it.

mod budget;
mod gossip;
mod member;
mod probe;
mod receive;
mod rendezvous;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use base::{ByteSize, DataCentre, Incarnation, InstanceName, Time, UpstreamName, Version};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    effect::{Effect, Note, PeerAddress},
    store::{PeerStatus, Peers},
};
use budget::Budget;
use gossip::GossipEntry;
pub use gossip::Hints;
pub use member::Liveness;
use member::{Member, MemberState};

/// Answers that make the view fresh after a start or a pause.
const FRESH_ANSWERS: usize = 2;

/// Probes after a start or a pause that request a sample of the members.
const SAMPLE_REQUESTS: u32 = 6;

/// Settings of the membership.
#[derive(Clone, Debug)]
pub struct MembersConfig {
    /// Interval between probes in the local data centre.
    pub heartbeat: Duration,
    /// Time after which an unanswered probe makes its member suspect.
    pub suspect_after: Duration,
    /// Time without an answer to any probe after which a member is removed; shorter when another
    /// member suspects it too.
    pub remove_after: Duration,
    /// Interval between probes of each other data centre.
    pub remote_heartbeat: Duration,
    /// Interval between probes of removed members and of seeds.
    pub removed_heartbeat: Duration,
    /// Time for which removed members are still probed, so that a partition heals.
    pub removed_retention: Duration,
    /// Bytes of heartbeats per second beyond which gossip and hints are held back.
    pub budget: ByteSize,
    /// Addresses of instances that are probed at the start.
    pub seeds: Vec<SocketAddr>,
    /// Instances of each data centre that watch the platform.
    pub watchers: usize,
    /// Instances of each data centre that probe each other data centre.
    pub bridges: usize,
}

impl Default for MembersConfig {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(200),
            suspect_after: Duration::from_millis(300),
            remove_after: Duration::from_millis(1_000),
            remote_heartbeat: Duration::from_secs(1),
            removed_heartbeat: Duration::from_secs(2),
            removed_retention: Duration::from_secs(600),
            budget: ByteSize(2 << 10),
            seeds: Vec::new(),
            watchers: 2,
            bridges: 2,
        }
    }
}

/// Who an instance is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the instance.
    pub name: InstanceName,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Address on which it accepts peers.
    pub address: SocketAddr,
    /// Start count.
    pub incarnation: Incarnation,
}

/// Version of the view: a count that grows whenever an owner may change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

/// The membership as one instance sees it.
#[derive(Debug)]
pub struct Members {
    cfg: MembersConfig,
    me: Identity,
    my_key: u64,
    leaving: bool,
    epoch: Epoch,
    members: BTreeMap<InstanceName, Member>,
    gossip_queue: Vec<GossipEntry>,
    /// Members that gossip reports as suspect or restarted; they are probed at the next tick.
    to_verify: BTreeSet<InstanceName>,
    rng: SmallRng,
    budget: Budget,
    /// Members still to be probed in this round.
    rotation: Vec<InstanceName>,
    /// Member of this data centre that was gossiped last.
    gossiped_local: Option<InstanceName>,
    /// Member of another data centre that was gossiped last.
    gossiped_remote: Option<InstanceName>,
    /// Position in the lists of hints at which the next heartbeat starts.
    hint_cursor: usize,
    sequence: u64,
    /// Sequence number of the first probe since the view became stale.
    stale_sequence: u64,
    /// Time since which the view is stale; `None` when it is fresh.
    stale_since: Option<Time>,
    /// Answers to probes that were sent since the view became stale.
    fresh_answers: usize,
    /// Probes that may still request a sample of the members.
    sample_requests_left: u32,
    last_tick: Time,
    next_probe: Time,
    next_remote: Time,
    next_removed: Time,
    wake: Time,
    sent_bytes: u64,
}

impl Members {
    /// Creates a view without members; the seeds are probed at the first tick.
    pub fn new(cfg: MembersConfig, me: Identity, now: Time) -> Self {
        let my_key = rendezvous::key(me.name.as_str());
        Self {
            my_key,
            leaving: false,
            epoch: Epoch::default(),
            members: BTreeMap::new(),
            gossip_queue: Vec::new(),
            to_verify: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(my_key ^ me.incarnation.0),
            budget: Budget::new(cfg.budget, now),
            rotation: Vec::new(),
            gossiped_local: None,
            gossiped_remote: None,
            hint_cursor: 0,
            sequence: 0,
            stale_sequence: 1,
            stale_since: Some(now),
            fresh_answers: 0,
            sample_requests_left: SAMPLE_REQUESTS,
            last_tick: now,
            next_probe: now,
            next_remote: now,
            next_removed: now,
            wake: now,
            sent_bytes: 0,
            cfg,
            me,
        }
    }

    /// Returns the identity of this instance.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Returns the version of the view.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the time at which [`Members::on_tick`] is due next.
    pub fn next_wake(&self) -> Time {
        self.wake
    }

    /// Returns the encoded size of all heartbeats that were sent, with their framing.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Returns whether the view is recent: enough probes were answered since the start or the last
    /// pause of this instance.
    pub fn view_is_fresh(&self, now: Time) -> bool {
        self.stale_since.is_none() && !self.was_paused(now)
    }

    /// Returns the members of a data centre that take new work, sorted by name and without this
    /// instance.
    ///
    /// Only a few members of other data centres are known.
    pub fn live_in(&self, data_centre: &DataCentre) -> impl Iterator<Item = &InstanceName> {
        self.active()
            .filter(move |(_, m)| m.data_centre == *data_centre)
            .map(|(name, _)| name)
    }

    /// Returns the members of a data centre that are in the view, including those that are leaving.
    pub fn present_in(&self, data_centre: &DataCentre) -> impl Iterator<Item = &InstanceName> {
        let present = self.members.iter().filter(|(_, m)| m.is_in_view());
        present
            .filter(move |(_, m)| m.data_centre == *data_centre)
            .map(|(name, _)| name)
    }

    /// Returns the count of members in the view, without this instance.
    pub fn live_peers(&self) -> usize {
        self.members.values().filter(|m| m.is_in_view()).count()
    }

    /// Returns the address of a known member, whatever its state.
    pub fn address(&self, name: &InstanceName) -> Option<PeerAddress> {
        let member = self.members.get(name)?;
        Some(address_of(name, member))
    }

    /// Returns the incarnation of a member that is in the view.
    pub fn incarnation(&self, name: &InstanceName) -> Option<Incarnation> {
        let member = self.members.get(name).filter(|m| m.is_in_view())?;
        Some(member.incarnation)
    }

    /// Returns whether a member is unknown or not live.
    pub fn is_suspect(&self, name: &InstanceName) -> bool {
        let member = self.members.get(name);
        member.is_none_or(|m| m.state != MemberState::Live)
    }

    /// Returns the instance that holds the connections to an upstream of this data centre; `None`
    /// when this instance is leaving and there is no other.
    pub fn owner(&self, upstream: &UpstreamName) -> Option<InstanceName> {
        let key = rendezvous::key(upstream.as_str());
        let best = self
            .local_group()
            .max_by_key(|(m, _)| rendezvous::score(*m, key));
        best.map(|(_, name)| name.clone())
    }

    /// Returns the instance of this data centre that is preferred for a key, by rendezvous hashing.
    pub fn preferred(&self, key: &str) -> Option<&InstanceName> {
        let key = rendezvous::key(key);
        let best = self
            .local_group()
            .max_by_key(|(m, _)| rendezvous::score(*m, key));
        best.map(|(_, name)| name)
    }

    /// Returns the `count` best instances of this data centre to own an upstream, best first.
    pub fn owners(&self, upstream: &UpstreamName, count: usize) -> Vec<InstanceName> {
        let key = rendezvous::key(upstream.as_str());
        rendezvous::best(self.local_group(), key, count)
            .cloned()
            .collect()
    }

    /// Returns the members in the view that take new work.
    fn active(&self) -> impl Iterator<Item = (&InstanceName, &Member)> {
        self.members
            .iter()
            .filter(|(_, m)| m.is_in_view() && !m.leaving)
    }

    /// Returns the instances of the local data centre that take new work, including this one, with
    /// their rendezvous keys.
    fn local_group(&self) -> impl Iterator<Item = (u64, &InstanceName)> {
        let me = (!self.leaving).then_some((self.my_key, &self.me.name));
        let local = self.active().filter(|(_, m)| self.is_local(m));
        local.map(|(name, m)| (m.key, name)).chain(me)
    }

    fn is_local(&self, member: &Member) -> bool {
        member.data_centre == self.me.data_centre
    }

    fn was_paused(&self, now: Time) -> bool {
        now.since(self.last_tick) > self.cfg.suspect_after + self.cfg.heartbeat
    }

    fn watchers(&self) -> impl Iterator<Item = &InstanceName> {
        let key = rendezvous::key("watch");
        rendezvous::best(self.local_group(), key, self.cfg.watchers)
    }

    /// Removes a member from the view; it is still probed now and then.
    fn remove(&mut self, now: Time, name: &InstanceName, effects: &mut Vec<Effect>) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        let was_in_view = member.is_in_view();
        member.state = MemberState::Removed(now);
        member.unanswered = None;
        member.knows_address = false;
        if was_in_view {
            self.epoch.0 += 1;
            effects.push(note(name, "removed"));
        }
    }
}

impl Peers for Members {
    fn statuses(&self) -> impl Iterator<Item = PeerStatus<'_>> {
        let watchers: Vec<_> = self.watchers().collect();
        let in_view = self.members.iter().filter(|(_, m)| m.is_in_view());
        in_view.map(move |(name, m)| PeerStatus {
            name,
            address: m.address,
            seen: m.seen,
            is_watcher: watchers.contains(&name),
        })
    }

    fn is_watcher(&self) -> bool {
        self.watchers().any(|name| *name == self.me.name)
    }
}

fn address_of(name: &InstanceName, member: &Member) -> PeerAddress {
    PeerAddress {
        name: Some(name.clone()),
        address: member.address,
    }
}

fn note(name: &InstanceName, state: &'static str) -> Effect {
    let name = name.clone();
    Effect::Note(Note::Peer { name, state })
}

/// Creates a member from which nothing was received yet.
fn candidate(
    name: &InstanceName,
    data_centre: DataCentre,
    address: SocketAddr,
    incarnation: Incarnation,
) -> Member {
    Member {
        key: rendezvous::key(name.as_str()),
        data_centre,
        address,
        incarnation,
        state: MemberState::Candidate,
        leaving: false,
        seen: Version::default(),
        last_received: None,
        last_verified: Time::ZERO,
        unanswered: None,
        confirmed: false,
        knows_address: false,
    }
}
