//! Probing, suspicion and removal of members.

use std::{net::SocketAddr, time::Duration};

use base::{DataCentre, InstanceName, Time};
use rand::seq::{IndexedRandom, SliceRandom};

use super::{
    FRESH_ANSWERS, Hints, Members, SAMPLE_REQUESTS, address_of,
    gossip::{EntryKind, Purpose},
    member::{Member, MemberState},
    note, rendezvous,
};
use crate::effect::{Effect, PeerAddress};

/// Members that are notified of a suspicion at once.
const SUSPICION_FANOUT: usize = 6;
/// Seeds and removed members that an instance probes at once while it has no live peers or its
/// view is stale.
const REMOVED_PROBES_WHEN_ALONE: usize = 8;
/// Other data centres that are probed at once.
const REMOTE_PROBES: usize = 4;
/// Time without a message after which a member of another data centre no longer counts as live.
const REMOTE_SILENCE: Duration = Duration::from_secs(60);
/// Candidates that are probed in one tick.
const CANDIDATES_PER_TICK: usize = 16;

impl Members {
    /// Sends the probes that are due, and suspects or removes members that left probes unanswered.
    pub fn on_tick(&mut self, now: Time, hints: &Hints, effects: &mut Vec<Effect>) {
        self.detect_pause(now);
        self.last_tick = now;
        self.budget.refill(now);
        self.evaluate_unanswered(now, hints, effects);
        self.verify_members(now, hints, effects);
        self.probe_next(now, hints, effects);
        self.probe_candidates(now, hints, effects);
        self.probe_remote(now, hints, effects);
        self.probe_removed(now, hints, effects);
        self.update_freshness(now);
        self.wake = self.next_due();
    }

    /// Notifies every member in the view that this instance is leaving.
    pub fn leave(&mut self, now: Time, hints: &Hints, effects: &mut Vec<Effect>) {
        self.leaving = true;
        self.epoch.0 += 1;
        for name in self.in_view(|_| true) {
            self.send_to(now, &name, Purpose::Notice, hints, effects);
        }
    }

    /// Marks the view as stale if the instance was paused.
    ///
    /// Unanswered probes are forgotten: the answers may have been missed during the pause.
    pub(super) fn detect_pause(&mut self, now: Time) {
        if !self.was_paused(now) {
            return;
        }
        self.last_tick = now;
        self.stale_since = Some(now);
        self.stale_sequence = self.sequence + 1;
        self.fresh_answers = 0;
        self.sample_requests_left = SAMPLE_REQUESTS;
        self.next_probe = now;
        for member in self.members.values_mut() {
            member.unanswered = None;
        }
    }

    /// Marks the view as fresh once enough probes were answered, or there is no peer to answer.
    pub(super) fn update_freshness(&mut self, now: Time) {
        let Some(since) = self.stale_since else {
            return;
        };
        let is_removal_time_over = now >= since + self.cfg.remove_after;
        let is_suspect_time_over = now >= since + self.cfg.suspect_after;
        let local = self.members.values().filter(|m| self.is_local(m));
        let (mut live, mut pending) = (0, 0);
        for member in local {
            live += usize::from(member.is_in_view());
            pending += usize::from(member.state == MemberState::Candidate);
        }
        let all_known = is_removal_time_over || (is_suspect_time_over && pending == 0 && live > 0);
        if all_known && self.fresh_answers >= live.min(FRESH_ANSWERS) {
            self.stale_since = None;
        }
    }

    /// Returns the names of the members in view that `choose` accepts.
    fn in_view(&self, choose: impl Fn(&Member) -> bool) -> Vec<InstanceName> {
        let in_view = self.members.iter().filter(|(_, m)| m.is_in_view());
        let chosen = in_view.filter(|(_, m)| choose(m));
        chosen.map(|(name, _)| name.clone()).collect()
    }

    /// Suspects and probes again the members that left a probe unanswered, and removes those that
    /// are overdue.
    fn evaluate_unanswered(&mut self, now: Time, hints: &Hints, effects: &mut Vec<Effect>) {
        let removed_retention = self.cfg.removed_retention;
        self.members.retain(|_, m| match m.state {
            MemberState::Removed(at) => now.since(at) < removed_retention,
            _ => true,
        });
        self.demote_silent_remote(now);
        let late = self
            .members
            .iter()
            .filter(|(_, m)| now >= self.evaluation_due(m));
        for name in late.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            if self
                .members
                .get(&name)
                .is_some_and(|m| now >= self.removal_due(m))
            {
                self.remove(now, &name, effects);
            } else {
                self.suspect(&name, effects);
                self.notify_suspicion(now, &name, hints, effects);
                self.send_to(now, &name, Purpose::Probe, hints, effects);
            }
        }
    }

    /// Turns members of other data centres that have been silent for [`REMOTE_SILENCE`] into
    /// candidates: this instance may no longer be the one that probes them.
    fn demote_silent_remote(&mut self, now: Time) {
        for member in self.members.values_mut() {
            let is_remote = member.data_centre != self.me.data_centre;
            if is_remote && member.is_in_view() && member.is_silent(now, REMOTE_SILENCE) {
                member.state = MemberState::Candidate;
            }
        }
    }

    fn suspect(&mut self, name: &InstanceName, effects: &mut Vec<Effect>) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.knows_address = false;
        if member.state == MemberState::Live {
            member.state = MemberState::Suspect;
            effects.push(note(name, "suspected"));
            self.enqueue_gossip(name, EntryKind::Suspicion);
        }
    }

    /// Notifies a few members of the local data centre at once, so that they probe the suspect too.
    fn notify_suspicion(
        &mut self,
        now: Time,
        name: &InstanceName,
        hints: &Hints,
        effects: &mut Vec<Effect>,
    ) {
        let suspect = self.members.get(name);
        if !suspect.is_some_and(|m| self.is_local(m) && m.state == MemberState::Suspect) {
            return;
        }
        let own = self.me.data_centre.clone();
        let others = self.in_view(|m| m.state == MemberState::Live && m.data_centre == own);
        let notified = others.choose_multiple(&mut self.rng, SUSPICION_FANOUT);
        for other in notified.cloned().collect::<Vec<_>>() {
            self.send_to(now, &other, Purpose::Notice, hints, effects);
        }
    }

    /// Probes the members that gossip reported as changed.
    fn verify_members(&mut self, now: Time, hints: &Hints, effects: &mut Vec<Effect>) {
        for name in std::mem::take(&mut self.to_verify) {
            let is_in_view = self.members.get(&name).is_some_and(Member::is_in_view);
            if !is_in_view {
                continue;
            }
            self.send_to(now, &name, Purpose::Probe, hints, effects);
        }
    }

    /// Probes the next member of the local data centre in a shuffled rotation.
    fn probe_next(&mut self, now: Time, hints: &Hints, effects: &mut Vec<Effect>) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + self.cfg.heartbeat;
        while let Some(name) = self.next_in_rotation() {
            let member = self.members.get(&name);
            if member.is_some_and(|m| m.is_in_view() && m.unanswered.is_none()) {
                self.send_to(now, &name, Purpose::Probe, hints, effects);
                return;
            }
        }
    }

    /// Returns the next member to probe, from a new shuffled round if the last one has ended; `None`
    /// if there is none.
    fn next_in_rotation(&mut self) -> Option<InstanceName> {
        if self.rotation.is_empty() {
            let own = self.me.data_centre.clone();
            self.rotation = self.in_view(|m| m.data_centre == own && m.unanswered.is_none());
            self.rotation.shuffle(&mut self.rng);
        }
        self.rotation.pop()
    }

    /// Probes members that are only known from gossip, as far as the byte budget allows.
    fn probe_candidates(&mut self, now: Time, hints: &Hints, effects: &mut Vec<Effect>) {
        let local = self.members.iter().filter(|(_, m)| self.is_local(m));
        let new =
            local.filter(|(_, m)| m.state == MemberState::Candidate && m.unanswered.is_none());
        let names: Vec<_> = new
            .map(|(name, _)| name.clone())
            .take(CANDIDATES_PER_TICK)
            .collect();
        for name in names {
            if !self.budget.allows() {
                return;
            }
            self.send_to(now, &name, Purpose::Probe, hints, effects);
        }
    }

    /// Probes one member of each of a few other data centres for which this instance is a bridge.
    fn probe_remote(&mut self, now: Time, hints: &Hints, effects: &mut Vec<Effect>) {
        if now < self.next_remote {
            return;
        }
        self.next_remote = now + self.cfg.remote_heartbeat;
        let bridged = self.bridged_data_centres();
        let due = bridged
            .choose_multiple(&mut self.rng, REMOTE_PROBES)
            .cloned();
        for data_centre in due.collect::<Vec<_>>() {
            let contacts = self.members.iter().filter(|(_, m)| {
                let is_known = !matches!(m.state, MemberState::Removed(_));
                is_known && m.data_centre == data_centre && m.unanswered.is_none()
            });
            let names: Vec<_> = contacts.map(|(name, _)| name.clone()).collect();
            if let Some(name) = names.choose(&mut self.rng) {
                self.send_to(now, name, Purpose::Probe, hints, effects);
            }
        }
    }

    /// Returns the other data centres for which this instance is a bridge.
    fn bridged_data_centres(&self) -> Vec<DataCentre> {
        let mut remote: Vec<_> = self.members.values().map(|m| &m.data_centre).collect();
        remote.sort_unstable();
        remote.dedup();
        remote.retain(|dc| **dc != self.me.data_centre && self.is_bridge(dc));
        remote.into_iter().cloned().collect()
    }

    /// Returns whether this instance is one of those that probe a data centre.
    fn is_bridge(&self, data_centre: &DataCentre) -> bool {
        let key = rendezvous::key(data_centre.as_str());
        let mut bridges = rendezvous::best(self.local_group(), key, self.cfg.bridges);
        bridges.any(|name| *name == self.me.name)
    }

    /// Probes removed members, and seeds that are not in the view, so that partitions heal.
    fn probe_removed(&mut self, now: Time, hints: &Hints, effects: &mut Vec<Effect>) {
        if now < self.next_removed {
            return;
        }
        let is_alone = !self.members.values().any(Member::is_in_view);
        let is_starting = self.stale_since.is_some();
        let count = if is_alone || is_starting {
            REMOVED_PROBES_WHEN_ALONE
        } else {
            1
        };
        let pause = if is_starting {
            self.cfg.suspect_after
        } else {
            self.cfg.removed_heartbeat
        };
        self.next_removed = now + pause;
        let removed = self.members.iter().filter(|(_, m)| {
            let is_removed = matches!(m.state, MemberState::Removed(_));
            is_removed && (self.is_local(m) || self.is_bridge(&m.data_centre))
        });
        let removed = removed.map(|(name, m)| address_of(name, m));
        let targets: Vec<_> = removed.chain(self.unknown_seeds()).collect();
        let chosen = targets.choose_multiple(&mut self.rng, count).cloned();
        for target in chosen.collect::<Vec<_>>() {
            self.send_to_unknown(target, hints, effects);
        }
    }

    fn unknown_seeds(&self) -> Vec<PeerAddress> {
        let is_known = |a: &SocketAddr| {
            *a == self.me.address
                || self
                    .members
                    .values()
                    .any(|m| m.address == *a && m.is_in_view())
        };
        let seeds = self.cfg.seeds.iter().filter(|a| !is_known(a));
        seeds
            .map(|&address| PeerAddress {
                name: None,
                address,
            })
            .collect()
    }

    /// Returns the time at which a member becomes suspect or is removed.
    fn evaluation_due(&self, member: &Member) -> Time {
        let last = member.unanswered.map(|u| u.last + self.cfg.suspect_after);
        last.map_or(Time::NEVER, |t| t.min(self.removal_due(member)))
    }

    fn removal_due(&self, member: &Member) -> Time {
        let removal_delay = member.removal_delay(self.cfg.remove_after);
        let first = member.unanswered.map(|u| u.first + removal_delay);
        first.unwrap_or(Time::NEVER)
    }

    fn next_due(&self) -> Time {
        let evaluations = self.members.values().map(|m| self.evaluation_due(m));
        let due = [self.next_probe, self.next_remote, self.next_removed];
        due.into_iter()
            .chain(evaluations)
            .min()
            .unwrap_or(Time::NEVER)
    }
}
