//! Dispatches the messages of peers, and updates owners and routes when the view of the members
//! changes.

use std::{collections::HashMap, time::Duration};

use base::{DataCentre, Incarnation, InstanceName, ServiceName, Time};
use wire::{Body, Envelope, Heartbeat, LeavingUpstream, Quarantined};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    attempt::{AttemptKey, Stage},
    directory::UpstreamId,
    effect::{Effect, Note},
    members::Hints,
    node::Node,
    owners::{HandoverReply, LocalUpstream, Owners, View},
    search::AttemptFailure,
    store::Context,
};

/// Time for which a peer that did not answer is avoided.
const EJECTION_TIME: Duration = Duration::from_millis(500);

/// Minimum time without a message of a peer, after work was relayed to it, before it is ejected.
const MIN_SILENCE: Duration = Duration::from_millis(30);

/// When each peer last sent a message, and which peers are ejected.
///
/// Until its ejection ends or it sends any message, no claim changes are forwarded to an ejected
/// peer, and searches and runs of this instance go to replicas behind other peers if there are any.
/// Probes and attempts that are relayed further still go to it.
#[derive(Debug, Default)]
pub(crate) struct PeerEjections {
    last_received: HashMap<InstanceName, Time>,
    ejected_until: HashMap<InstanceName, Time>,
}

impl Node {
    /// Handles a message of a peer.
    pub(crate) fn on_peer(&mut self, now: Time, envelope: Envelope, effects: &mut Vec<Effect>) {
        let Ok(from) = envelope.from.parse::<InstanceName>() else {
            return effects.push(Effect::Note(Note::BadMessage("invalid sender name".into())));
        };
        if matches!(envelope.body, Some(Body::Heartbeat(_))) {
            let hints = self.hints(now);
            self.members.on_heartbeat(now, &envelope, &hints, effects);
        } else {
            let incarnation = Incarnation(envelope.incarnation);
            self.members.on_message(now, &from, incarnation, effects);
        }
        self.ejections.ejected_until.remove(&from);
        self.ejections.last_received.insert(from.clone(), now);
        self.follow_view(now, effects);
        match envelope.body {
            Some(Body::Heartbeat(heartbeat)) => self.on_hints(now, &heartbeat, effects),
            Some(Body::Pull(pull)) => {
                if let Some(address) = self.members.address(&from) {
                    self.sync.on_pull(now, address, pull);
                }
            }
            Some(Body::Objects(objects)) => {
                let mut cx = Context {
                    now,
                    ops: &mut self.ops,
                    effects,
                };
                let changes = self
                    .sync
                    .on_objects(&mut cx, &from, objects, &mut self.store);
                self.apply_changes(now, changes, effects);
            }
            Some(Body::Relay(relay)) => self.on_relay(now, &from, relay, effects),
            Some(Body::Relayed(relayed)) => self.on_relayed(now, &from, relayed, effects),
            Some(Body::Cancel(cancel)) => self.on_cancel(now, &from, cancel.attempts, effects),
            Some(Body::Handover(m)) => self.on_handover(&from, m.upstreams, effects),
            Some(Body::Released(m)) => self.on_released(now, &from, &m, effects),
            Some(Body::RelayRun(run)) => {
                self.on_relay_run(now, &from, envelope.incarnation, run, effects);
            }
            Some(Body::Claim(claim)) => self.on_claim(now, &from, &claim, effects),
            Some(Body::Claimed(claimed)) => self.on_claimed(now, &from, &claimed, effects),
            None => self.bad_message(&from, "message without a body", effects),
        }
    }

    /// Runs the membership if it is due, and asks members to release the upstreams that this
    /// instance has become the owner of.
    pub(crate) fn tick_members(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.members.next_wake() <= now {
            let hints = self.hints(now);
            self.members.on_tick(now, &hints, effects);
            self.follow_view(now, effects);
        }
        let view = self.owners.digest();
        for request in self.owners.due_requests(now) {
            let name = |id: &UpstreamId| self.directory.names().name(*id).to_string();
            let upstreams = request.upstreams.iter().map(name).collect();
            self.send_to_peer(
                &request.member,
                Body::Handover(wire::Handover { upstreams, view }),
                effects,
            );
        }
    }

    /// Returns the state that heartbeats carry besides the membership.
    pub(crate) fn hints(&self, now: Time) -> Hints {
        let names = self.directory.names();
        let leaving = self
            .upstreams
            .leaving(now)
            .map(|(id, age)| LeavingUpstream {
                upstream: names.name(id).to_string(),
                age_ms: millis(age),
            });
        let quarantine = self
            .quarantine
            .records(now)
            .map(|(fingerprint, broke, left)| Quarantined {
                fingerprint,
                broke: broke.iter().map(ToString::to_string).collect(),
                left_ms: millis(left),
            });
        Hints {
            seen: self.store.newest(),
            leaving_upstreams: leaving.collect(),
            quarantine: quarantine.collect(),
        }
    }

    fn on_hints(&mut self, now: Time, heartbeat: &Heartbeat, effects: &mut Vec<Effect>) {
        for hint in &heartbeat.leaving_upstreams {
            let name = hint.upstream.parse().ok();
            if let Some(id) = name.and_then(|name| self.directory.names().get(&name)) {
                self.upstream_leaving(now, id, Duration::from_millis(hint.age_ms), effects);
            }
        }
        for record in &heartbeat.quarantine {
            let broke: Vec<_> = record
                .broke
                .iter()
                .filter_map(|name| name.parse().ok())
                .collect();
            let left = Duration::from_millis(record.left_ms);
            if self.quarantine.merge(now, record.fingerprint, &broke, left) {
                effects.push(Effect::Note(Note::Quarantined(record.fingerprint)));
            }
        }
    }

    /// Updates owners and routes if the view of the members has changed or become fresh or stale.
    pub(crate) fn follow_view(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let fresh = self.members.view_is_fresh(now);
        let epoch = self.members.epoch();
        if self.view == (epoch, fresh) {
            return;
        }
        let resumed = self.view.1 && !fresh;
        self.view = (epoch, fresh);
        if resumed {
            // Others may have taken over its upstreams while this instance was paused.
            self.owners.release_all();
        }
        self.assign_owners(now, effects);
    }

    /// Assigns owners after a change of the members or of the catalogue.
    pub(crate) fn assign_owners(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.stats.peers_live = self.members.live_peers() as u64;
        if self.view.1 {
            let data_centre = self.identity.data_centre.clone();
            let view = self.local_view(&data_centre);
            let own = self.identity.instance.clone();
            let mut owners = std::mem::replace(&mut self.owners, Owners::new(own));
            owners.assign(now, &self.local_upstreams(&data_centre), view);
            self.owners = owners;
        }
        self.update_routes();
        self.end_lost_relays(now, effects);
        let ids: Vec<UpstreamId> = self.upstreams.iter().map(|u| u.declaration.id).collect();
        for id in ids {
            self.send_queued(now, id, effects);
        }
    }

    /// Returns the members of the local data centre, with this instance unless it is shutting down.
    fn local_view(&self, data_centre: &DataCentre) -> View {
        let mut active: Vec<InstanceName> = self.members.live_in(data_centre).cloned().collect();
        if !self.stats.draining {
            active.push(self.identity.instance.clone());
        }
        active.sort_unstable();
        View {
            active,
            others: self.members.present_in(data_centre).cloned().collect(),
        }
    }

    /// Returns the upstreams of the local data centre by service, sorted by name.
    fn local_upstreams(&self, data_centre: &DataCentre) -> Vec<Vec<LocalUpstream<'_>>> {
        let mut services: HashMap<&ServiceName, Vec<LocalUpstream<'_>>> = HashMap::new();
        for upstream in self
            .upstreams
            .iter()
            .filter(|u| u.declaration.data_centre == *data_centre)
        {
            let id = upstream.declaration.id;
            let local = LocalUpstream {
                id,
                name: self.directory.names().name(id),
            };
            services
                .entry(&upstream.declaration.service)
                .or_default()
                .push(local);
        }
        for upstreams in services.values_mut() {
            upstreams.sort_unstable_by_key(|local| local.name);
        }
        services.into_values().collect()
    }

    /// Updates which upstreams are reachable: those with an owner or an instance to relay to.
    fn update_routes(&mut self) {
        let own = &self.identity.data_centre;
        let mut others: HashMap<DataCentre, bool> = HashMap::new();
        for upstream in self.upstreams.iter_mut() {
            let declaration = &upstream.declaration;
            upstream.reachable = if declaration.data_centre == *own {
                // The owner is this instance, or an instance that it can relay to.
                self.owners.queues_here(declaration.id)
                    || self.owners.owner(declaration.id).is_some()
            } else if let Some(&known) = others.get(&declaration.data_centre) {
                known
            } else {
                let known = self
                    .members
                    .live_in(&declaration.data_centre)
                    .next()
                    .is_some();
                others.insert(declaration.data_centre.clone(), known);
                known
            };
        }
    }

    /// Ends the attempts that were relayed to members which are no longer in the view.
    fn end_lost_relays(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let is_lost = |stage: &Stage| match stage {
            Stage::Relayed(peer) => self.members.incarnation(peer).is_none(),
            Stage::Queued | Stage::Sent | Stage::Cancelled => false,
        };
        let lost: Vec<AttemptKey> = self
            .attempts
            .iter()
            .filter(|(_, a)| is_lost(&a.stage))
            .map(|(key, _)| key)
            .collect();
        for key in lost {
            self.fail_attempt(now, key, AttemptFailure::Invalid, effects);
        }
    }

    /// Returns the instance to which work for an upstream is relayed: the owner in the local data
    /// centre, or an instance of the upstream's data centre.
    pub(crate) fn next_hop(&self, id: UpstreamId) -> Option<InstanceName> {
        let upstream = self.upstreams.get(id)?;
        if upstream.declaration.data_centre == self.identity.data_centre {
            return self
                .owners
                .owner(id)
                .filter(|o| **o != self.identity.instance)
                .cloned();
        }
        let name = self.directory.names().name(id).as_str();
        let weight = |m: &&InstanceName| {
            xxh3_64_with_seed(name.as_bytes(), xxh3_64_with_seed(m.as_str().as_bytes(), 0))
        };
        self.members
            .live_in(&upstream.declaration.data_centre)
            .max_by_key(weight)
            .cloned()
    }

    /// Sends a message to a peer; drops it if the peer's address is not known.
    pub(crate) fn send_to_peer(
        &mut self,
        peer: &InstanceName,
        body: Body,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(address) = self.members.address(peer) {
            self.stats.peer_messages += 1;
            effects.push(Effect::Peer(address, body));
        }
    }

    /// Returns whether the view of the peers is recent enough to send to upstreams.
    pub(crate) fn is_view_fresh(&self, now: Time) -> bool {
        self.members.view_is_fresh(now)
    }

    /// Answers a peer that has become the owner of upstreams.
    ///
    /// Upstreams without requests in flight are released at once, the others when their last
    /// request ends.
    fn on_handover(&mut self, from: &InstanceName, names: Vec<String>, effects: &mut Vec<Effect>) {
        let mut free = Vec::new();
        for name in names {
            let reply = match self.find_upstream(&name) {
                Some(id) => self.owners.on_request(id, from),
                None => HandoverReply::Free,
            };
            match (reply, self.find_upstream(&name)) {
                (HandoverReply::Free, _) => free.push(name),
                (HandoverReply::Pending, Some(id)) => self.release_upstream(id, effects),
                (HandoverReply::Pending, None) => {}
            }
        }
        if !free.is_empty() {
            self.send_released(from, free, effects);
        }
    }

    fn on_released(
        &mut self,
        now: Time,
        from: &InstanceName,
        answer: &wire::Released,
        effects: &mut Vec<Effect>,
    ) {
        for name in &answer.upstreams {
            let Some(id) = self.find_upstream(name) else {
                continue;
            };
            if self.owners.record_release(now, id, from, answer.view) {
                self.send_queued(now, id, effects);
            }
        }
    }

    fn find_upstream(&self, name: &str) -> Option<UpstreamId> {
        let name = name.parse().ok()?;
        self.directory.names().get(&name)
    }

    /// Releases an upstream to its new owner, unless requests to it are still in flight.
    pub(crate) fn release_upstream(&mut self, id: UpstreamId, effects: &mut Vec<Effect>) {
        if self.upstreams.get(id).is_some_and(|u| u.slots_in_use > 0) {
            return;
        }
        if let Some(to) = self.owners.release(id) {
            let name = self.directory.names().name(id).to_string();
            self.send_released(&to, vec![name], effects);
        }
    }

    fn send_released(
        &mut self,
        to: &InstanceName,
        upstreams: Vec<String>,
        effects: &mut Vec<Effect>,
    ) {
        let view = self.owners.digest();
        self.send_to_peer(
            to,
            Body::Released(wire::Released { upstreams, view }),
            effects,
        );
    }

    /// Reports an invalid message; the sender's other messages are still handled.
    pub(crate) fn bad_message(
        &mut self,
        from: &InstanceName,
        problem: &str,
        effects: &mut Vec<Effect>,
    ) {
        effects.push(Effect::Note(Note::BadMessage(
            format!("{from}: {problem}").into(),
        )));
    }

    /// Ejects the peer that an attempt was relayed to, if nothing was received from it since then
    /// for at least [`MIN_SILENCE`].
    pub(crate) fn eject_silent_peer(&mut self, now: Time, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let Stage::Relayed(peer) = &attempt.stage else {
            return;
        };
        let received_since = self
            .ejections
            .last_received
            .get(peer)
            .is_some_and(|at| *at > attempt.sent);
        if !received_since && now.since(attempt.sent) >= MIN_SILENCE {
            self.ejections
                .ejected_until
                .insert(peer.clone(), now + EJECTION_TIME);
        }
    }

    /// Returns whether work for an upstream would be relayed to an ejected peer.
    pub(crate) fn is_next_hop_ejected(&self, now: Time, id: UpstreamId) -> bool {
        if self.ejections.ejected_until.is_empty() || self.owners.queues_here(id) {
            return false;
        }
        let peer = self.next_hop(id);
        peer.is_some_and(|peer| self.is_peer_ejected(now, &peer))
    }

    /// Returns whether a peer is ejected.
    pub(crate) fn is_peer_ejected(&self, now: Time, peer: &InstanceName) -> bool {
        self.ejections
            .ejected_until
            .get(peer)
            .is_some_and(|until| *until > now)
    }
}

fn millis(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX)
}
