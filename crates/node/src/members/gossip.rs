//! What heartbeats carry.

use base::{InstanceName, Time, Version};
use wire::{Body, Envelope, Heartbeat, LeavingUpstream, Quarantined};

use rand::seq::IteratorRandom;

use super::{Liveness, Member, Members, member::Standing};
use crate::effect::{Effect, PeerAddress};

/// Rumours in one heartbeat.
const RUMOURS: usize = 3;
/// Hints of each kind in one heartbeat.
const HINTS: usize = 4;
/// Members in the answer to an instance that joins.
const SAMPLE: usize = 16;
/// One in so many gossiped members is of another data centre.
const FAR_SHARE: u64 = 4;

/// News that heartbeats carry besides membership.
#[derive(Clone, Debug, Default)]
pub struct Hints {
    /// Greatest version of a watched object on hand: [`Store::newest`](crate::store::Store::newest).
    pub seen: Version,
    /// Upstreams that are leaving; a few go with each heartbeat in turn.
    pub leaving_upstreams: Vec<LeavingUpstream>,
    /// Requests in quarantine; a few go with each heartbeat in turn.
    pub quarantine: Vec<Quarantined>,
}

/// Why a heartbeat is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Asks for an answer.
    Probe,
    /// Answers a probe, perhaps of an instance that joins.
    Answer { sequence: u64, joining: bool },
    /// Tells news and wants no answer.
    Notice,
}

/// A change that is told a few times.
#[derive(Clone, Debug)]
pub(super) struct Rumour {
    name: InstanceName,
    left: u32,
    /// Whether it is told beyond the byte budget.
    urgent: bool,
}

/// Kinds of rumour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum News {
    /// A member joined, restarted or is leaving; it is also gossiped in turn.
    Change,
    /// A member does not answer.
    Suspicion,
}

impl News {
    /// Times that the news is told, for each doubling of the members.
    fn rounds(self) -> u32 {
        match self {
            Self::Change => 1,
            Self::Suspicion => 3,
        }
    }
}

impl Members {
    /// Tells a change of a member of the own data centre a few times; the newest goes first.
    pub(super) fn spread(&mut self, name: &InstanceName, news: News) {
        if !self.members.get(name).is_some_and(|m| self.is_near(m)) {
            return;
        }
        let left = news.rounds() * (usize::BITS - self.members.len().leading_zeros());
        let urgent = news == News::Suspicion;
        let name = name.clone();
        self.rumours.retain(|r| r.name != name);
        self.rumours.insert(0, Rumour { name, left, urgent });
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
            member.probed(now);
        }
        let introduced = member.introduced;
        let to = super::address_of(name, member);
        let heartbeat = self.heartbeat(purpose, introduced, Some(name), hints);
        self.send(to, heartbeat, effects);
    }

    /// Sends a probe to an address whose instance is not in the view.
    pub(super) fn send_stranger(
        &mut self,
        to: PeerAddress,
        hints: &Hints,
        effects: &mut Vec<Effect>,
    ) {
        let heartbeat = self.heartbeat(Purpose::Probe, false, None, hints);
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

    fn heartbeat(
        &mut self,
        purpose: Purpose,
        introduced: bool,
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
        if !introduced {
            heartbeat.data_centre = self.me.data_centre.to_string();
            heartbeat.address = self.me.address.to_string();
        }
        match purpose {
            Purpose::Probe => heartbeat.joining = self.ask_for_sample(),
            Purpose::Answer { sequence, .. } => heartbeat.answers = sequence,
            Purpose::Notice => {}
        }
        heartbeat.members = match purpose {
            Purpose::Answer { joining: true, .. } => self.sample(to),
            Purpose::Probe => self.some_members(to),
            _ => self.some_rumours(to),
        };
        if self.budget.allows() {
            self.add_hints(&mut heartbeat, hints);
        }
        heartbeat
    }

    fn add_hints(&mut self, heartbeat: &mut Heartbeat, hints: &Hints) {
        let from = self.hint_cursor;
        self.hint_cursor = from.wrapping_add(HINTS);
        heartbeat.leaving_upstreams = in_turn(&hints.leaving_upstreams, from);
        heartbeat.quarantine = in_turn(&hints.quarantine, from);
    }

    /// Returns whether a probe asks for a sample of the members: the first few of a stale view do.
    fn ask_for_sample(&mut self) -> bool {
        let asks = self.stale_since.is_some() && self.asks_left > 0;
        self.asks_left -= u32::from(asks);
        asks
    }

    /// Returns members chosen at random, for an instance that joins.
    fn sample(&mut self, to: Option<&InstanceName>) -> Vec<wire::Member> {
        let live = self
            .members
            .iter()
            .filter(|(name, m)| m.is_in_view() && Some(*name) != to);
        let chosen = live.choose_multiple(&mut self.rng, SAMPLE);
        chosen
            .into_iter()
            .map(|(name, m)| self.entry(name, m))
            .collect()
    }

    /// Returns rumours that are still told and, as far as the budget allows, a member in turn.
    fn some_members(&mut self, to: Option<&InstanceName>) -> Vec<wire::Member> {
        let mut entries = self.some_rumours(to);
        if self.budget.allows() {
            let next = self.next_gossiped().filter(|name| Some(name) != to);
            let member = next.and_then(|name| self.members.get_key_value(&name));
            entries.extend(member.map(|(name, m)| self.entry(name, m)));
        }
        entries
    }

    fn some_rumours(&mut self, to: Option<&InstanceName>) -> Vec<wire::Member> {
        let mut told = Vec::new();
        let within = self.budget.allows();
        let due = self.rumours.iter_mut().filter(|r| within || r.urgent);
        for rumour in due.take(RUMOURS) {
            rumour.left -= 1;
            told.push(rumour.name.clone());
        }
        self.rumours.retain(|r| r.left > 0);
        // Rumours take turns when there are more than one heartbeat carries.
        let turn = RUMOURS.min(self.rumours.len());
        self.rumours.rotate_left(turn);
        let others = told.iter().filter(|name| Some(*name) != to);
        let members = others.filter_map(|name| self.members.get_key_value(name));
        let known = members.filter(|(_, m)| m.standing != Standing::Candidate);
        known.map(|(name, m)| self.entry(name, m)).collect()
    }

    /// Returns the member that is gossiped next, in turn; now and then one of another data centre.
    fn next_gossiped(&mut self) -> Option<InstanceName> {
        let is_far = self.sequence.is_multiple_of(FAR_SHARE);
        let after = match is_far {
            true => &self.gossiped_far,
            false => &self.gossiped_near,
        };
        let fits = |(_, m): &(&InstanceName, &Member)| {
            m.is_in_view() && !m.leaving && self.is_near(m) != is_far
        };
        let follows = |(name, _): &(&InstanceName, &Member)| Some(*name) > after.as_ref();
        let next = self.members.iter().filter(fits).find(follows);
        let next = next.or_else(|| self.members.iter().find(fits));
        let name = next.map(|(name, _)| name.clone());
        match is_far {
            true => self.gossiped_far.clone_from(&name),
            false => self.gossiped_near.clone_from(&name),
        }
        name
    }

    fn entry(&self, name: &InstanceName, member: &Member) -> wire::Member {
        let liveness = match member.standing {
            Standing::Suspect | Standing::Lost(_) => Liveness::Suspect,
            Standing::Live | Standing::Candidate => Liveness::Live,
        };
        let data_centre = match self.is_near(member) {
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

/// Returns up to [`HINTS`] items, starting at a position that moves on with each heartbeat.
fn in_turn<T: Clone>(items: &[T], from: usize) -> Vec<T> {
    let start = from % items.len().max(1);
    let turn = items.iter().cycle().skip(start);
    turn.take(HINTS.min(items.len())).cloned().collect()
}
