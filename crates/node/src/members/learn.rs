//! What is learned from heartbeats.

use base::{DataCentre, Incarnation, InstanceName, Time};
use wire::{Body, Envelope, Heartbeat};

use super::{
    Hints, Liveness, Member, Members, candidate,
    gossip::{News, Purpose},
    member::Standing,
    note,
};
use crate::effect::{Effect, Note};

/// Members known of each other data centre.
const CONTACTS: usize = 8;

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
        member.confirmed = false;
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
            let joining = heartbeat.joining;
            self.send_to(
                now,
                &from,
                Purpose::Answer { sequence, joining },
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
            self.spread(from, News::Change);
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
        let may_verify =
            known.unanswered.is_none() && now.since(known.verified) >= self.cfg.suspect_after;
        match (known.standing, liveness) {
            (Standing::Lost(_), Liveness::Live) if is_newer => *known = told,
            (Standing::Lost(at), Liveness::Live) if now.since(at) > self.cfg.lost_heartbeat => {
                known.standing = Standing::Candidate;
            }
            (Standing::Live, Liveness::Live) if is_newer && may_verify => {
                // The old incarnation is gone; its successor is probed at the new address.
                known.address = told.address;
                known.introduced = false;
                known.verified = now;
                self.doubted.insert(name);
            }
            (Standing::Live, Liveness::Suspect) if may_verify => {
                known.verified = now;
                known.confirmed = true;
                self.doubted.insert(name);
            }
            (Standing::Live | Standing::Suspect, Liveness::Suspect) => known.confirmed = true,
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

fn bad_message(problem: &str) -> Effect {
    Effect::Note(Note::BadMessage(problem.into()))
}
