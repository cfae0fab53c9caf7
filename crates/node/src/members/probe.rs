//! Probes, suspicion and removal.

use std::{net::SocketAddr, time::Duration};

use base::{DataCentre, InstanceName, Time};
use rand::seq::{IndexedRandom, SliceRandom};

use super::{
    ASKS, Hints, Members, ROUND, address_of,
    gossip::{News, Purpose},
    member::{Member, Standing},
    note, rendezvous,
};
use crate::effect::{Effect, PeerAddress};

/// Members that are told of a suspicion at once.
const SUSPICION_FANOUT: usize = 6;
/// Seeds and removed members that an instance without live peers probes at once.
const LOST_WHEN_ALONE: usize = 8;
/// Other data centres that are probed at once.
const FAR_PROBES: usize = 4;
/// Silence after which a member of another data centre is no longer taken as live.
const FAR_SILENCE: Duration = Duration::from_secs(60);
/// Candidates that are probed in one tick.
const CANDIDATES_PER_TICK: usize = 16;

impl Members {
    /// Sends the probes that are due and judges those that were not answered.
    pub fn on_tick(&mut self, now: Time, hints: &Hints, effects: &mut Vec<Effect>) {
        self.detect_pause(now);
        self.last_tick = now;
        self.budget.fill(now);
        self.judge(now, hints, effects);
        self.probe_doubted(now, hints, effects);
        self.probe_next(now, hints, effects);
        self.probe_candidates(now, hints, effects);
        self.probe_far(now, hints, effects);
        self.probe_lost(now, hints, effects);
        self.refresh(now);
        self.wake = self.next_due();
    }

    /// Tells every live peer that this instance is leaving.
    pub fn leave(&mut self, now: Time, hints: &Hints, effects: &mut Vec<Effect>) {
        self.leaving = true;
        self.epoch.0 += 1;
        for name in self.in_view(|_| true) {
            self.send_to(now, &name, Purpose::Notice, hints, effects);
        }
    }

    /// Makes the view stale when the instance was paused: what it missed is no evidence.
    pub(super) fn detect_pause(&mut self, now: Time) {
        if !self.was_paused(now) {
            return;
        }
        self.last_tick = now;
        self.stale_since = Some(now);
        self.stale_sequence = self.sequence + 1;
        self.answers = 0;
        self.asks_left = ASKS;
        self.next_probe = now;
        for member in self.members.values_mut() {
            member.unanswered = None;
        }
    }

    /// Ends staleness once a round of answers arrived or there is nobody to answer.
    pub(super) fn refresh(&mut self, now: Time) {
        let Some(since) = self.stale_since else {
            return;
        };
        let waited = now >= since + self.cfg.remove_after;
        let asked = now >= since + self.cfg.suspect_after;
        let near = self.members.values().filter(|m| self.is_near(m));
        let (mut live, mut pending) = (0, 0);
        for member in near {
            live += usize::from(member.is_in_view());
            pending += usize::from(member.standing == Standing::Candidate);
        }
        let all_known = waited || (asked && pending == 0 && live > 0);
        if all_known && self.answers >= live.min(ROUND) {
            self.stale_since = None;
        }
    }

    /// Returns the names of the members in view that `choose` accepts.
    fn in_view(&self, choose: impl Fn(&Member) -> bool) -> Vec<InstanceName> {
        let in_view = self.members.iter().filter(|(_, m)| m.is_in_view());
        let chosen = in_view.filter(|(_, m)| choose(m));
        chosen.map(|(name, _)| name.clone()).collect()
    }

    /// Suspects, probes again and removes members that leave probes unanswered.
    fn judge(&mut self, now: Time, hints: &Hints, effects: &mut Vec<Effect>) {
        let lost_for = self.cfg.lost_for;
        self.members.retain(|_, m| match m.standing {
            Standing::Lost(at) => now.since(at) < lost_for,
            _ => true,
        });
        self.forget_far(now);
        let late = self
            .members
            .iter()
            .filter(|(_, m)| now >= self.judged_at(m));
        for name in late.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            if self
                .members
                .get(&name)
                .is_some_and(|m| now >= self.removed_at(m))
            {
                self.remove(now, &name, effects);
            } else {
                self.suspect(&name, effects);
                self.tell_suspicion(now, &name, hints, effects);
                self.send_to(now, &name, Purpose::Probe, hints, effects);
            }
        }
    }

    /// Members of other data centres that this instance no longer probes become candidates.
    fn forget_far(&mut self, now: Time) {
        for member in self.members.values_mut() {
            let is_far = member.data_centre != self.me.data_centre;
            if is_far && member.is_in_view() && member.is_silent(now, FAR_SILENCE) {
                member.standing = Standing::Candidate;
            }
        }
    }

    fn suspect(&mut self, name: &InstanceName, effects: &mut Vec<Effect>) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.introduced = false;
        if member.standing == Standing::Live {
            member.standing = Standing::Suspect;
            effects.push(note(name, "suspected"));
            self.spread(name, News::Suspicion);
        }
    }

    /// Tells a few members of the own data centre at once, so that they probe the suspect too.
    fn tell_suspicion(
        &mut self,
        now: Time,
        name: &InstanceName,
        hints: &Hints,
        effects: &mut Vec<Effect>,
    ) {
        let suspect = self.members.get(name);
        if !suspect.is_some_and(|m| self.is_near(m) && m.standing == Standing::Suspect) {
            return;
        }
        let own = self.me.data_centre.clone();
        let others = self.in_view(|m| m.standing == Standing::Live && m.data_centre == own);
        let told = others.choose_multiple(&mut self.rng, SUSPICION_FANOUT);
        for other in told.cloned().collect::<Vec<_>>() {
            self.send_to(now, &other, Purpose::Notice, hints, effects);
        }
    }

    /// Probes members of which gossip told a change.
    fn probe_doubted(&mut self, now: Time, hints: &Hints, effects: &mut Vec<Effect>) {
        for name in std::mem::take(&mut self.doubted) {
            let is_in_view = self.members.get(&name).is_some_and(Member::is_in_view);
            if !is_in_view {
                continue;
            }
            self.send_to(now, &name, Purpose::Probe, hints, effects);
        }
    }

    /// Probes the next member of the own data centre in a shuffled rotation.
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

    /// Returns the next member to probe, or `None` at the end of a round.
    fn next_in_rotation(&mut self) -> Option<InstanceName> {
        if self.rotation.is_empty() {
            let own = self.me.data_centre.clone();
            self.rotation = self.in_view(|m| m.data_centre == own && m.unanswered.is_none());
            self.rotation.shuffle(&mut self.rng);
        }
        self.rotation.pop()
    }

    /// Probes members known from gossip only, as far as the byte budget allows.
    fn probe_candidates(&mut self, now: Time, hints: &Hints, effects: &mut Vec<Effect>) {
        let near = self.members.iter().filter(|(_, m)| self.is_near(m));
        let new = near.filter(|(_, m)| m.standing == Standing::Candidate && m.unanswered.is_none());
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

    /// Probes one contact of each other data centre for which this instance is a bridge.
    fn probe_far(&mut self, now: Time, hints: &Hints, effects: &mut Vec<Effect>) {
        if now < self.next_far {
            return;
        }
        self.next_far = now + self.cfg.far_heartbeat;
        let bridged = self.bridged();
        let due = bridged.choose_multiple(&mut self.rng, FAR_PROBES).cloned();
        for data_centre in due.collect::<Vec<_>>() {
            let contacts = self.members.iter().filter(|(_, m)| {
                let is_known = !matches!(m.standing, Standing::Lost(_));
                is_known && m.data_centre == data_centre && m.unanswered.is_none()
            });
            let names: Vec<_> = contacts.map(|(name, _)| name.clone()).collect();
            if let Some(name) = names.choose(&mut self.rng) {
                self.send_to(now, name, Purpose::Probe, hints, effects);
            }
        }
    }

    /// Returns the other data centres that this instance probes.
    fn bridged(&self) -> Vec<DataCentre> {
        let mut far: Vec<_> = self.members.values().map(|m| &m.data_centre).collect();
        far.sort_unstable();
        far.dedup();
        far.retain(|dc| **dc != self.me.data_centre && self.is_bridge(dc));
        far.into_iter().cloned().collect()
    }

    fn is_bridge(&self, data_centre: &DataCentre) -> bool {
        let key = rendezvous::key(data_centre.as_str());
        let mut bridges = rendezvous::best(self.own_group(), key, self.cfg.bridges);
        bridges.any(|name| *name == self.me.name)
    }

    /// Probes removed members and seeds that are not known, so that partitions heal.
    fn probe_lost(&mut self, now: Time, hints: &Hints, effects: &mut Vec<Effect>) {
        if now < self.next_lost {
            return;
        }
        let is_alone = !self.members.values().any(Member::is_in_view);
        let is_starting = self.stale_since.is_some();
        let count = if is_alone || is_starting {
            LOST_WHEN_ALONE
        } else {
            1
        };
        let pause = if is_starting {
            self.cfg.suspect_after
        } else {
            self.cfg.lost_heartbeat
        };
        self.next_lost = now + pause;
        let lost = self.members.iter().filter(|(_, m)| {
            let is_lost = matches!(m.standing, Standing::Lost(_));
            is_lost && (self.is_near(m) || self.is_bridge(&m.data_centre))
        });
        let lost = lost.map(|(name, m)| address_of(name, m));
        let targets: Vec<_> = lost.chain(self.unknown_seeds()).collect();
        let chosen = targets.choose_multiple(&mut self.rng, count).cloned();
        for target in chosen.collect::<Vec<_>>() {
            self.send_stranger(target, hints, effects);
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

    /// Returns the time at which unanswered probes make a member suspect or removed.
    fn judged_at(&self, member: &Member) -> Time {
        let last = member.unanswered.map(|u| u.last + self.cfg.suspect_after);
        last.map_or(Time::NEVER, |t| t.min(self.removed_at(member)))
    }

    fn removed_at(&self, member: &Member) -> Time {
        let patience = member.patience(self.cfg.remove_after);
        let first = member.unanswered.map(|u| u.first + patience);
        first.unwrap_or(Time::NEVER)
    }

    fn next_due(&self) -> Time {
        let judged = self.members.values().map(|m| self.judged_at(m));
        let due = [self.next_probe, self.next_far, self.next_lost];
        due.into_iter().chain(judged).min().unwrap_or(Time::NEVER)
    }
}
