//! Updates the members from heartbeats and other messages that were received.

use base::{DataCentre, Incarnation, InstanceName, Time};
use wire::{Body, Envelope, Heartbeat};

use super::{
    Hints, Liveness, Member, Members, candidate,
    gossip::{EntryKind, Purpose},
    member::MemberState,
    note,
};
use crate::effect::{Effect, Note};

/// Members that are kept of each other data centre.
const REMOTE_CONTACTS: usize = 8;

impl Members {
    /// Marks the sender of a message other than a heartbeat as live if it is in the view.
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
        if member.state == MemberState::Suspect {
            effects.push(note(from, "live"));
        }
        member.state = MemberState::Live;
        member.last_received = Some(now);
        member.unanswered = None;
        member.confirmed = false;
    }

    /// Handles a heartbeat, and answers it if it is a probe; a message with another body only marks
    /// its sender as live.
    pub fn on_heartbeat(
        &mut self,
        now: Time,
        envelope: &Envelope,
        hints: &Hints,
        effects: &mut Vec<Effect>,
    ) {
        self.detect_pause(now);
        self.budget.refill(now);
        let Ok(from) = envelope.from.parse::<InstanceName>() else {
            effects.push(bad_message("invalid sender name"));
            return;
        };
        let incarnation = Incarnation(envelope.incarnation);
        let Some(Body::Heartbeat(heartbeat)) = &envelope.body else {
            return self.on_message(now, &from, incarnation, effects);
        };
        if from == self.me.name
            || !self.record_heartbeat(now, &from, incarnation, heartbeat, effects)
        {
            return;
        }
        self.merge_gossip(now, heartbeat, &from);
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
        self.update_freshness(now);
        self.wake = self.wake.min(now + self.cfg.heartbeat);
        if !self.to_verify.is_empty() || self.members.values().any(is_new) {
            self.wake = now;
        }
    }

    /// Records the sender; returns false if it is unknown or the heartbeat is of an older
    /// incarnation.
    fn record_heartbeat(
        &mut self,
        now: Time,
        from: &InstanceName,
        incarnation: Incarnation,
        heartbeat: &Heartbeat,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let reported = sender_identity(from, incarnation, heartbeat);
        if let (false, Some(new)) = (self.members.contains_key(from), &reported) {
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
        if let Some(reported) = reported {
            member.address = reported.address;
            member.data_centre = reported.data_centre;
        }
        member.record_heartbeat(now, heartbeat);
        let changed = changed_state(&before, member);
        self.fresh_answers += usize::from(heartbeat.answers >= self.stale_sequence);
        if let Some(state) = changed {
            effects.push(note(from, state));
        }
        if changed.is_some_and(|state| state != "live") {
            self.epoch.0 += 1;
            self.enqueue_gossip(from, EntryKind::Change);
        }
        true
    }

    /// Merges the gossip of a heartbeat.
    ///
    /// Gossip adds candidates, confirms suspicions and schedules probes; it does not change the view.
    fn merge_gossip(&mut self, now: Time, heartbeat: &Heartbeat, from: &InstanceName) {
        let Some(sender) = self.members.get(from) else {
            return;
        };
        let own = sender.data_centre.clone();
        for reported in &heartbeat.members {
            let Some((name, member)) = read_member(reported, &own) else {
                continue;
            };
            if name != self.me.name {
                let liveness = Liveness::from_number(reported.liveness);
                self.merge_member(now, name, member, liveness);
            }
        }
    }

    fn merge_member(
        &mut self,
        now: Time,
        name: InstanceName,
        reported: Member,
        liveness: Liveness,
    ) {
        let Some(known) = self.members.get_mut(&name) else {
            if self.should_track(&reported) && liveness == Liveness::Live {
                self.members.insert(name, reported);
            }
            return;
        };
        if reported.incarnation < known.incarnation {
            return;
        }
        let is_newer = reported.incarnation > known.incarnation;
        let may_verify =
            known.unanswered.is_none() && now.since(known.last_verified) >= self.cfg.suspect_after;
        match (known.state, liveness) {
            (MemberState::Removed(_), Liveness::Live) if is_newer => *known = reported,
            (MemberState::Removed(at), Liveness::Live)
                if now.since(at) > self.cfg.removed_heartbeat =>
            {
                known.state = MemberState::Candidate;
            }
            (MemberState::Live, Liveness::Live) if is_newer && may_verify => {
                // The member has restarted: its new incarnation is probed at the new address.
                known.address = reported.address;
                known.knows_address = false;
                known.last_verified = now;
                self.to_verify.insert(name);
            }
            (MemberState::Live, Liveness::Suspect) if may_verify => {
                known.last_verified = now;
                known.confirmed = true;
                self.to_verify.insert(name);
            }
            (MemberState::Live | MemberState::Suspect, Liveness::Suspect) => known.confirmed = true,
            _ => {}
        }
    }

    /// Returns whether an unknown member is kept: all of the local data centre are, and a few of
    /// each other one.
    fn should_track(&self, reported: &Member) -> bool {
        let same = |m: &&Member| {
            m.data_centre == reported.data_centre && !matches!(m.state, MemberState::Removed(_))
        };
        self.is_local(reported) || self.members.values().filter(same).count() < REMOTE_CONTACTS
    }
}

/// Returns the state that is logged if a heartbeat changed the state of its sender.
fn changed_state(before: &Member, after: &Member) -> Option<&'static str> {
    let is_other = before.incarnation != after.incarnation || before.address != after.address;
    match before.state {
        _ if after.leaving && !before.leaving => Some("leaving"),
        _ if !before.is_in_view() => Some("found"),
        _ if is_other => Some("restarted"),
        MemberState::Suspect => Some("live"),
        _ => None,
    }
}

/// Returns whether a member is only known from gossip and has not been probed yet.
fn is_new(member: &Member) -> bool {
    member.state == MemberState::Candidate && member.unanswered.is_none()
}

/// Reads the data centre and address of the sender, if the heartbeat carries them.
fn sender_identity(
    from: &InstanceName,
    incarnation: Incarnation,
    heartbeat: &Heartbeat,
) -> Option<Member> {
    let data_centre = heartbeat.data_centre.parse().ok()?;
    let address = heartbeat.address.parse().ok()?;
    Some(candidate(from, data_centre, address, incarnation))
}

/// Reads a gossiped member; `own` is the sender's data centre, which the message omits.
fn read_member(reported: &wire::Member, own: &DataCentre) -> Option<(InstanceName, Member)> {
    let name: InstanceName = reported.name.parse().ok()?;
    let data_centre = match reported.data_centre.as_str() {
        "" => own.clone(),
        text => text.parse().ok()?,
    };
    let address = reported.address.parse().ok()?;
    let member = candidate(
        &name,
        data_centre,
        address,
        Incarnation(reported.incarnation),
    );
    Some((name, member))
}

fn bad_message(problem: &str) -> Effect {
    Effect::Note(Note::BadMessage(problem.into()))
}
