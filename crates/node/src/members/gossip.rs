//! Builds and sends heartbeats, and chooses the gossip and the hints that they carry.

use base::{InstanceName, Time, Version};
use wire::{Body, Envelope, Heartbeat, LeavingUpstream, Quarantined};

use rand::seq::IteratorRandom;

use super::{Liveness, Member, Members, member::MemberState};
use crate::effect::{Effect, PeerAddress};

/// Queued gossip entries in one heartbeat.
const ENTRIES_PER_HEARTBEAT: usize = 3;
/// Hints of each kind in one heartbeat.
const HINTS_PER_HEARTBEAT: usize = 4;
/// Members in the answer to an instance that requests a sample.
const SAMPLE_MEMBERS: usize = 16;
/// One in this many gossiped members is of another data centre.
const REMOTE_ONE_IN: u64 = 4;

/// State that heartbeats carry besides the membership.
#[derive(Clone, Debug, Default)]
pub struct Hints {
    /// Greatest version of an object in the store: [`Store::newest`](crate::store::Store::newest).
    pub seen: Version,
    /// Upstreams that are leaving; each heartbeat carries a few in turn.
    pub leaving_upstreams: Vec<LeavingUpstream>,
    /// Requests that crashed upstreams, quarantined or not; each heartbeat carries a few in turn.
    pub quarantine: Vec<Quarantined>,
}

/// Why a heartbeat is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Requests an answer.
    Probe,
    /// Answers a probe; `joining` if the probe requests a sample of the members.
    Answer { sequence: u64, joining: bool },
    /// Reports a change and requests no answer.
    Notice,
}

/// A member whose change is gossiped a limited number of times.
#[derive(Clone, Debug)]
pub(super) struct GossipEntry {
    name: InstanceName,
    /// Heartbeats that still carry it.
    remaining: u32,
    /// Whether it is sent even if the byte budget is used up.
    urgent: bool,
}

/// Kinds of gossip entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryKind {
    /// A member joined, restarted or is leaving; it is also gossiped in turn.
    Change,
    /// A member does not answer.
    Suspicion,
}

impl EntryKind {
    /// Returns the number of heartbeats that carry the entry, for each doubling of the members.
    fn repeats(self) -> u32 {
        match self {
            Self::Change => 1,
            Self::Suspicion => 3,
        }
    }
}

impl Members {
    /// Queues a change of a member of the local data centre for gossip, before the older ones.
    pub(super) fn enqueue_gossip(&mut self, name: &InstanceName, kind: EntryKind) {
        if !self.members.get(name).is_some_and(|m| self.is_local(m)) {
            return;
        }
        let remaining = kind.repeats() * (usize::BITS - self.members.len().leading_zeros());
        let urgent = kind == EntryKind::Suspicion;
        let name = name.clone();
        self.gossip_queue.retain(|r| r.name != name);
        self.gossip_queue.insert(
            0,
            GossipEntry {
                name,
                remaining,
                urgent,
            },
        );
    }

    /// Sends a heartbeat to a member.
    pub(super) fn send_to(
        &mut self,
        now: Time,
        name: &InstanceName,
        purpose: Purpose,
        hints: &Hints,
        effects: &mut Vec<Effect>,
    ) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        if purpose == Purpose::Probe {
            member.record_probe(now);
        }
        let knows_address = member.knows_address;
        let to = super::address_of(name, member);
        let heartbeat = self.build_heartbeat(purpose, knows_address, Some(name), hints);
        self.send(to, heartbeat, effects);
    }

    /// Sends a probe to an instance that is not in the view.
    pub(super) fn send_to_unknown(
        &mut self,
        to: PeerAddress,
        hints: &Hints,
        effects: &mut Vec<Effect>,
    ) {
        let heartbeat = self.build_heartbeat(Purpose::Probe, false, None, hints);
        self.send(to, heartbeat, effects);
    }

    fn send(&mut self, to: PeerAddress, heartbeat: Heartbeat, effects: &mut Vec<Effect>) {
        let envelope = Envelope {
            from: self.me.name.to_string(),
            incarnation: self.me.incarnation.0,
            body: Some(Body::Heartbeat(heartbeat)),
        };
        let bytes = envelope.frame_bytes();
        self.budget.spend(bytes);
        self.sent_bytes += bytes as u64;
        effects.extend(envelope.body.map(|body| Effect::Peer(to, body)));
    }

    fn build_heartbeat(
        &mut self,
        purpose: Purpose,
        knows_address: bool,
        to: Option<&InstanceName>,
        hints: &Hints,
    ) -> Heartbeat {
        self.sequence += 1;
        let mut heartbeat = Heartbeat {
            sequence: self.sequence,
            seen: hints.seen.0,
            leaving: self.leaving,
            probe: purpose == Purpose::Probe,
            ..Heartbeat::default()
        };
        if !knows_address {
            heartbeat.data_centre = self.me.data_centre.to_string();
            heartbeat.address = self.me.address.to_string();
        }
        match purpose {
            Purpose::Probe => heartbeat.joining = self.take_sample_request(),
            Purpose::Answer { sequence, .. } => heartbeat.answers = sequence,
            Purpose::Notice => {}
        }
        heartbeat.members = match purpose {
            Purpose::Answer { joining: true, .. } => self.sample(to),
            Purpose::Probe => self.probe_entries(to),
            _ => self.next_entries(to),
        };
        if self.budget.allows() {
            self.add_hints(&mut heartbeat, hints);
        }
        heartbeat
    }

    fn add_hints(&mut self, heartbeat: &mut Heartbeat, hints: &Hints) {
        let from = self.hint_cursor;
        self.hint_cursor = from.wrapping_add(HINTS_PER_HEARTBEAT);
        heartbeat.leaving_upstreams = in_turn(&hints.leaving_upstreams, from);
        heartbeat.quarantine = in_turn(&hints.quarantine, from);
    }

    /// Returns whether a probe requests a sample of the members, as the first few probes of a stale
    /// view do, and counts it.
    fn take_sample_request(&mut self) -> bool {
        let requests_sample = self.stale_since.is_some() && self.sample_requests_left > 0;
        self.sample_requests_left -= u32::from(requests_sample);
        requests_sample
    }

    /// Returns members in the view chosen at random, for an instance that requests a sample.
    fn sample(&mut self, to: Option<&InstanceName>) -> Vec<wire::Member> {
        let live = self
            .members
            .iter()
            .filter(|(name, m)| m.is_in_view() && Some(*name) != to);
        let chosen = live.choose_multiple(&mut self.rng, SAMPLE_MEMBERS);
        chosen
            .into_iter()
            .map(|(name, m)| self.wire_member(name, m))
            .collect()
    }

    /// Returns the gossip of a probe: queued entries and, if the budget allows, one member in turn.
    fn probe_entries(&mut self, to: Option<&InstanceName>) -> Vec<wire::Member> {
        let mut entries = self.next_entries(to);
        if self.budget.allows() {
            let next = self.next_gossiped().filter(|name| Some(name) != to);
            let member = next.and_then(|name| self.members.get_key_value(&name));
            entries.extend(member.map(|(name, m)| self.wire_member(name, m)));
        }
        entries
    }

    /// Takes the next entries from the queue; only urgent ones if the budget is used up.
    fn next_entries(&mut self, to: Option<&InstanceName>) -> Vec<wire::Member> {
        let mut names = Vec::new();
        let within = self.budget.allows();
        let due = self.gossip_queue.iter_mut().filter(|r| within || r.urgent);
        for entry in due.take(ENTRIES_PER_HEARTBEAT) {
            entry.remaining -= 1;
            names.push(entry.name.clone());
        }
        self.gossip_queue.retain(|r| r.remaining > 0);
        // The entries take turns when there are more than fit in one heartbeat.
        let turn = ENTRIES_PER_HEARTBEAT.min(self.gossip_queue.len());
        self.gossip_queue.rotate_left(turn);
        let others = names.iter().filter(|name| Some(*name) != to);
        let members = others.filter_map(|name| self.members.get_key_value(name));
        let known = members.filter(|(_, m)| m.state != MemberState::Candidate);
        known.map(|(name, m)| self.wire_member(name, m)).collect()
    }

    /// Returns the member that is gossiped next in turn: one in [`REMOTE_ONE_IN`] is of another
    /// data centre.
    fn next_gossiped(&mut self) -> Option<InstanceName> {
        let is_remote = self.sequence.is_multiple_of(REMOTE_ONE_IN);
        let after = match is_remote {
            true => &self.gossiped_remote,
            false => &self.gossiped_local,
        };
        let fits = |(_, m): &(&InstanceName, &Member)| {
            m.is_in_view() && !m.leaving && self.is_local(m) != is_remote
        };
        let follows = |(name, _): &(&InstanceName, &Member)| Some(*name) > after.as_ref();
        let next = self.members.iter().filter(fits).find(follows);
        let next = next.or_else(|| self.members.iter().find(fits));
        let name = next.map(|(name, _)| name.clone());
        match is_remote {
            true => self.gossiped_remote.clone_from(&name),
            false => self.gossiped_local.clone_from(&name),
        }
        name
    }

    fn wire_member(&self, name: &InstanceName, member: &Member) -> wire::Member {
        let liveness = match member.state {
            MemberState::Suspect | MemberState::Removed(_) => Liveness::Suspect,
            MemberState::Live | MemberState::Candidate => Liveness::Live,
        };
        let data_centre = match self.is_local(member) {
            true => String::new(),
            false => member.data_centre.to_string(),
        };
        wire::Member {
            name: name.to_string(),
            data_centre,
            address: member.address.to_string(),
            incarnation: member.incarnation.0,
            liveness: liveness as u32,
        }
    }
}

/// Returns up to [`HINTS_PER_HEARTBEAT`] items from the position `from`, which wraps around.
fn in_turn<T: Clone>(items: &[T], from: usize) -> Vec<T> {
    let start = from % items.len().max(1);
    let turn = items.iter().cycle().skip(start);
    turn.take(HINTS_PER_HEARTBEAT.min(items.len()))
        .cloned()
        .collect()
}
