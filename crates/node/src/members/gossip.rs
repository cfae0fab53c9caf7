//! Heartbeats: what they carry and what is learned from them.

use base::{DataCentre, Incarnation, InstanceName, Time, Version};
use wire::{Body, Envelope, Heartbeat, LeavingUpstream, Quarantined};

use super::{Liveness, Member, Members, candidate, member::Standing, note};
use crate::effect::{Effect, Note, PeerAddress};

/// Rumours in one heartbeat.
const RUMOURS: usize = 3;
/// Hints of each kind in one heartbeat.
const HINTS: usize = 4;
/// Members in the answer to an instance that asks for all.
const ALL_MEMBERS: usize = 256;
/// Members known of each other data centre.
const CONTACTS: usize = 8;
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
    /// Answers a probe; `all` asks for every member.
    Answer { sequence: u64, all: bool },
    /// Tells news and wants no answer.
    Notice,
}

/// A change that is told a few times.
#[derive(Clone, Debug)]
pub(super) struct Rumour {
    name: InstanceName,
    left: u32,
}

impl Members {
    /// Takes a sign of life other than a heartbeat.
    pub fn on_message(
        &mut self,
        now: Time,
        from: &InstanceName,
        incarnation: Incarnation,
        effects: &mut Vec<Effect>,
    ) {
        let known = self.members.get_mut(from);
        let Some(member) = known.filter(|m| m.incarnation == incarnation && m.is_in_view()) else {
            return;
        };
        if member.standing == Standing::Suspect {
            effects.push(note(from, "live"));
        }
        member.standing = Standing::Live;
        member.heard = Some(now);
        member.unanswered = None;
    }

    /// Takes a heartbeat and answers it when it is a probe; other bodies count as signs of life.
    pub fn on_heartbeat(
        &mut self,
        now: Time,
        envelope: &Envelope,
        hints: &Hints,
        effects: &mut Vec<Effect>,
    ) {
        self.detect_pause(now);
        self.budget.fill(now);
        let Ok(from) = envelope.from.parse::<InstanceName>() else {
            effects.push(bad_message("the sender's name is not valid"));
            return;
        };
        let incarnation = Incarnation(envelope.incarnation);
        let Some(Body::Heartbeat(heartbeat)) = &envelope.body else {
            return self.on_message(now, &from, incarnation, effects);
        };
        if from == self.me.name || !self.hear(now, &from, incarnation, heartbeat, effects) {
            return;
        }
        self.learn(now, heartbeat, &from);
        if heartbeat.probe {
            let sequence = heartbeat.sequence;
            let all = heartbeat.all;
            self.send_to(
                now,
                &from,
                Purpose::Answer { sequence, all },
                hints,
                effects,
            );
        }
        self.refresh(now);
        self.wake = self.wake.min(now + self.cfg.heartbeat);
        if !self.doubted.is_empty() || self.members.values().any(is_new) {
            self.wake = now;
        }
    }

    /// Records the sender; returns false when it is unknown or the heartbeat is stale.
    fn hear(
        &mut self,
        now: Time,
        from: &InstanceName,
        incarnation: Incarnation,
        heartbeat: &Heartbeat,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let told = introduction(from, incarnation, heartbeat);
        if let (false, Some(new)) = (self.members.contains_key(from), &told) {
            self.members.insert(from.clone(), new.clone());
        }
        let known = self.members.get_mut(from);
        let Some(member) = known.filter(|m| m.incarnation <= incarnation) else {
            return false;
        };
        let before = member.clone();
        if member.incarnation < incarnation {
            member.restart(incarnation);
        }
        if let Some(told) = told {
            member.address = told.address;
            member.data_centre = told.data_centre;
        }
        member.hear(now, heartbeat);
        let state = changed_state(&before, member);
        self.answers += usize::from(heartbeat.answers >= self.stale_sequence);
        if let Some(state) = state {
            effects.push(note(from, state));
        }
        if state.is_some_and(|state| state != "live") {
            self.epoch.0 += 1;
            self.spread(from);
        }
        true
    }

    /// Takes gossip: it makes the receiver probe and changes nothing else.
    fn learn(&mut self, now: Time, heartbeat: &Heartbeat, from: &InstanceName) {
        let Some(sender) = self.members.get(from) else {
            return;
        };
        let near = sender.data_centre.clone();
        for told in &heartbeat.members {
            let Some((name, member)) = read_member(told, &near) else {
                continue;
            };
            if name != self.me.name {
                let liveness = Liveness::from_number(told.liveness);
                self.learn_member(now, name, member, liveness);
            }
        }
    }

    fn learn_member(&mut self, now: Time, name: InstanceName, told: Member, liveness: Liveness) {
        let Some(known) = self.members.get_mut(&name) else {
            if self.wants(&told) && liveness == Liveness::Live {
                self.members.insert(name, told);
            }
            return;
        };
        if told.incarnation < known.incarnation {
            return;
        }
        let is_newer = told.incarnation > known.incarnation;
        match (known.standing, liveness) {
            (Standing::Lost(_), Liveness::Live) if is_newer => *known = told,
            (Standing::Lost(at), Liveness::Live) if now.since(at) > self.cfg.lost_heartbeat => {
                known.standing = Standing::Candidate
            }
            (Standing::Live, Liveness::Live) if is_newer => {
                // The old incarnation is gone; its successor is probed at the new address.
                known.address = told.address;
                self.doubted.insert(name);
            }
            (Standing::Live, Liveness::Suspect)
                if known.unanswered.is_none() && known.is_silent(now, self.cfg.suspect_after) =>
            {
                self.doubted.insert(name);
            }
            _ => {}
        }
    }

    /// Returns whether an unknown member is worth keeping.
    fn wants(&self, told: &Member) -> bool {
        let same = |m: &&Member| {
            m.data_centre == told.data_centre && !matches!(m.standing, Standing::Lost(_))
        };
        self.is_near(told) || self.members.values().filter(same).count() < CONTACTS
    }

    /// Tells a change of a member a few times, enough to reach the whole data centre.
    pub(super) fn spread(&mut self, name: &InstanceName) {
        let left = 2 * (usize::BITS - self.members.len().leading_zeros()).max(1);
        self.rumours.retain(|r| r.name != *name);
        self.rumours.push(Rumour {
            name: name.clone(),
            left,
        });
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
            Purpose::Probe => heartbeat.all = self.stale_since.is_some(),
            Purpose::Answer { sequence, .. } => heartbeat.answers = sequence,
            Purpose::Notice => {}
        }
        if matches!(purpose, Purpose::Answer { all: true, .. }) {
            heartbeat.members = self.all_members(to);
        } else if self.budget.allows() || purpose == Purpose::Notice {
            heartbeat.members = self.some_members(to);
        }
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

    fn all_members(&self, to: Option<&InstanceName>) -> Vec<wire::Member> {
        let others = self
            .members
            .iter()
            .filter(|(name, m)| m.is_in_view() && Some(*name) != to);
        let entries = others
            .take(ALL_MEMBERS)
            .map(|(name, m)| self.entry(name, m));
        entries.collect()
    }

    /// Returns the rumours that are still told, and the next member in turn.
    fn some_members(&mut self, to: Option<&InstanceName>) -> Vec<wire::Member> {
        let mut entries = Vec::new();
        for i in 0..self.rumours.len().min(RUMOURS) {
            let rumour = &mut self.rumours[i];
            rumour.left -= 1;
            let member = self.members.get(&rumour.name).filter(|m| m.is_in_view());
            let name = rumour.name.clone();
            if let Some(member) = member.filter(|_| Some(&name) != to) {
                entries.push(self.entry(&name, member));
            }
        }
        self.rumours.retain(|r| r.left > 0);
        // Rumours take turns when there are more than one heartbeat carries.
        let turn = RUMOURS.min(self.rumours.len());
        self.rumours.rotate_left(turn);
        if let Some(name) = self.next_gossiped().filter(|name| Some(name) != to) {
            entries.extend(self.members.get(&name).map(|m| self.entry(&name, m)));
        }
        entries
    }

    /// Returns the member that is gossiped next, in turn; now and then one of another data centre.
    fn next_gossiped(&mut self) -> Option<InstanceName> {
        let far = self.sequence.is_multiple_of(FAR_SHARE);
        let after = self.gossip_after.take();
        let fits = |(_, m): &(&InstanceName, &Member)| {
            m.is_in_view() && !m.leaving && self.is_near(m) != far
        };
        let in_turn =
            |(name, _): &(&InstanceName, &Member)| after.as_ref().is_none_or(|after| *name > after);
        let next = self.members.iter().filter(fits).find(in_turn);
        let name = next
            .or_else(|| self.members.iter().find(fits))
            .map(|(name, _)| name.clone());
        self.gossip_after = name.clone().or(after);
        name
    }

    fn entry(&self, name: &InstanceName, member: &Member) -> wire::Member {
        let liveness = match member.standing {
            Standing::Suspect => Liveness::Suspect,
            _ => Liveness::Live,
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

/// Names what a heartbeat changed of its sender, if anything.
fn changed_state(before: &Member, after: &Member) -> Option<&'static str> {
    let is_other = before.incarnation != after.incarnation || before.address != after.address;
    match before.standing {
        _ if after.leaving && !before.leaving => Some("leaving"),
        _ if !before.is_in_view() => Some("found"),
        _ if is_other => Some("restarted"),
        Standing::Suspect => Some("live"),
        _ => None,
    }
}

fn is_new(member: &Member) -> bool {
    member.standing == Standing::Candidate && member.unanswered.is_none()
}

/// Reads who the sender of a heartbeat is, when the heartbeat says so.
fn introduction(
    from: &InstanceName,
    incarnation: Incarnation,
    heartbeat: &Heartbeat,
) -> Option<Member> {
    let data_centre = heartbeat.data_centre.parse().ok()?;
    let address = heartbeat.address.parse().ok()?;
    Some(candidate(from, data_centre, address, incarnation))
}

/// Reads a gossiped member; `near` is the sender's data centre.
fn read_member(told: &wire::Member, near: &DataCentre) -> Option<(InstanceName, Member)> {
    let name: InstanceName = told.name.parse().ok()?;
    let data_centre = match told.data_centre.as_str() {
        "" => near.clone(),
        text => text.parse().ok()?,
    };
    let address = told.address.parse().ok()?;
    let member = candidate(&name, data_centre, address, Incarnation(told.incarnation));
    Some((name, member))
}

/// Returns up to [`HINTS`] items, starting at a position that moves on with each heartbeat.
fn in_turn<T: Clone>(items: &[T], from: usize) -> Vec<T> {
    let start = from % items.len().max(1);
    let turn = items.iter().cycle().skip(start);
    turn.take(HINTS.min(items.len())).cloned().collect()
}

fn bad_message(problem: &str) -> Effect {
    Effect::Note(Note::BadMessage(problem.into()))
}
