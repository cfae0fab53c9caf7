//! Harness that runs one reducer with stand-ins for its peers and the platform.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use base::{Incarnation, InstanceName, Time, Version};
use bytes::Bytes;
use node::{
    Answer, Config, Effect, Event, Identity, Kind, Node, Object, PlatformEvent, PlatformOp, Send,
};
use wire::{Body, Envelope, Heartbeat, Objects, Released};

use super::{
    meter::cpu_timed,
    scale::{Scale, name},
};

/// Latency of a message to a peer or a call to the platform.
const CALL_LATENCY: Duration = Duration::from_millis(1);

/// Maximum number of peers.
const MAX_PEERS: usize = 128;

/// Interval at which peers probe the instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// A reducer with its clock, its CPU time and the messages that it has sent.
pub(super) struct NodeHarness {
    /// The reducer.
    pub(super) node: Node,
    /// Current time of the reducer.
    pub(super) now: Time,
    /// CPU time spent in the reducer.
    pub(super) cpu_time: Duration,
    /// Total size of messages sent to peers, in bytes.
    pub(super) sent_bytes: u64,
    /// Number of messages sent to peers.
    pub(super) messages: u64,
    /// Number of calls to the platform.
    pub(super) platform_calls: u64,
    /// Requests to upstreams that the bench has not answered yet.
    pub(super) sends: Vec<Send>,
    /// Relays and results of relays that the bench has not handled yet, with their receivers.
    pub(super) relays: Vec<(usize, Envelope)>,
    /// Number of searches answered with results.
    pub(super) answers: usize,
    peers: usize,
    /// Incarnation of the instance (index 0) and of each peer.
    incarnations: Vec<u64>,
    objects: Vec<Object>,
    version: Version,
    scheduled: BTreeMap<(Time, u64), Event>,
    sequence: u64,
}

impl NodeHarness {
    /// Starts an instance with this number of live peers and lets it load the objects from the
    /// platform.
    pub(super) fn start(peers: usize, objects: Vec<(Kind, Box<str>, Bytes)>) -> Self {
        let identity = Identity {
            instance: instance_name(0),
            data_centre: Scale::data_centre(0),
            incarnation: Incarnation(1),
            peers: address(0),
        };
        let mut harness = Self {
            node: Node::new(identity, Config::default(), Time::ZERO, 1),
            now: Time::ZERO,
            cpu_time: Duration::ZERO,
            sent_bytes: 0,
            messages: 0,
            platform_calls: 0,
            sends: Vec::new(),
            relays: Vec::new(),
            answers: 0,
            peers,
            incarnations: vec![1; MAX_PEERS + 1],
            objects: Vec::new(),
            version: Version(0),
            scheduled: BTreeMap::new(),
            sequence: 0,
        };
        harness.publish(objects);
        for other in 1..=peers {
            harness.receive_heartbeat(other, |_| {});
        }
        harness.run(Duration::from_secs(6));
        harness
    }

    /// Publishes objects on the platform, where the next watch returns them.
    pub(super) fn publish(&mut self, objects: Vec<(Kind, Box<str>, Bytes)>) -> Vec<Object> {
        let mut published = Vec::new();
        for (kind, name, value) in objects {
            self.version = self.version.next();
            let version = self.version;
            published.push(Object {
                kind,
                name,
                version,
                value,
            });
        }
        self.objects.extend(published.iter().cloned());
        published
    }

    /// Passes a heartbeat from a peer to the reducer.
    pub(super) fn receive_heartbeat(&mut self, from: usize, change: impl FnOnce(&mut Heartbeat)) {
        let mut heartbeat = Heartbeat {
            data_centre: Scale::data_centre(0).to_string(),
            address: address(from).to_string(),
            sequence: self.sequence,
            answers: u64::MAX,
            ..Heartbeat::default()
        };
        change(&mut heartbeat);
        let message = self.message(from, Body::Heartbeat(heartbeat));
        self.handle(message);
    }

    /// Restarts a peer with its next incarnation.
    pub(super) fn restart(&mut self, peer: usize) {
        self.incarnations[peer] += 1;
        self.receive_heartbeat(peer, |_| {});
    }

    /// Advances the clock by `length`, while peers probe the instance and scheduled replies arrive.
    pub(super) fn run(&mut self, length: Duration) {
        let end = self.now + length;
        let mut probe_at = if self.peers > 0 {
            self.now
        } else {
            Time::NEVER
        };
        let mut from = 0;
        while self.now < end {
            let wake = self.node.next_wake().unwrap_or(Time::NEVER);
            let due = self
                .scheduled
                .keys()
                .next()
                .map_or(Time::NEVER, |(at, _)| *at);
            let next = wake.min(due).min(probe_at).min(end);
            self.now = next.max(self.now + Duration::from_micros(1));
            if due <= self.now {
                if let Some((_, event)) = self.scheduled.pop_first() {
                    self.handle(event);
                }
            } else if probe_at <= self.now {
                probe_at = self.now + PROBE_INTERVAL;
                from = from % self.peers + 1;
                self.receive_heartbeat(from, |h| h.probe = true);
            } else {
                self.handle(Event::Tick);
            }
        }
    }

    /// Passes an event to the reducer, adds up its CPU time and carries out its effects.
    pub(super) fn handle(&mut self, event: Event) {
        let mut effects = Vec::new();
        let now = self.now;
        let ((), spent) = cpu_timed(|| {
            self.node.on(now, event, &mut effects);
            self.node.flush_peer_messages(&mut effects);
        });
        self.cpu_time += spent;
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    /// Passes events to the reducer one after the other and returns their CPU time.
    pub(super) fn cpu_time_of(&mut self, events: impl IntoIterator<Item = Event>) -> Duration {
        let before = self.cpu_time;
        events.into_iter().for_each(|event| self.handle(event));
        self.cpu_time - before
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Peer(to, body) => self.send_to_peer(to.name, body),
            Effect::Platform(op, call) => {
                self.platform_calls += 1;
                let (wait, event) = self.platform_reply(call);
                self.schedule(wait, Event::Platform(op, event));
            }
            Effect::Send(send) => self.sends.push(send),
            Effect::Answer(_, Answer::Results(_)) => self.answers += 1,
            Effect::Answer(..) | Effect::Cancel(_) | Effect::Note(_) | Effect::Stop => {}
        }
    }

    /// Returns the reply of the platform to a call, with its latency.
    fn platform_reply(&self, call: PlatformOp) -> (Duration, PlatformEvent) {
        match call {
            PlatformOp::Watch { after, wait } => {
                let newer = self.objects.iter().filter(|o| o.version > after);
                let objects: Vec<_> = newer.cloned().collect();
                let wait = if objects.is_empty() {
                    wait
                } else {
                    CALL_LATENCY
                };
                let seen = self.version;
                (wait, PlatformEvent::Changed { objects, seen })
            }
            PlatformOp::Read { kind, name } => {
                let found = self
                    .objects
                    .iter()
                    .find(|o| o.kind == kind && o.name == name);
                (CALL_LATENCY, PlatformEvent::Read(found.cloned()))
            }
            PlatformOp::Write { .. } => (CALL_LATENCY, PlatformEvent::Unavailable),
        }
    }

    /// Counts a message to a peer and schedules the answer of the peer.
    fn send_to_peer(&mut self, to: Option<InstanceName>, body: Body) {
        let envelope = self.envelope(0, body);
        self.messages += 1;
        self.sent_bytes += envelope.frame_bytes() as u64;
        let Some(to) = to.and_then(|to| instance_number(&to)) else {
            return;
        };
        match &envelope.body {
            Some(Body::Heartbeat(heartbeat)) if heartbeat.probe => {
                let heartbeat = Heartbeat {
                    answers: heartbeat.sequence,
                    ..Heartbeat::default()
                };
                let answer = self.message(to, Body::Heartbeat(heartbeat));
                self.schedule(CALL_LATENCY, answer);
            }
            Some(Body::Pull(pull)) => {
                let (after, seen) = (pull.after, pull.after);
                let objects = Vec::new();
                let answer = Objects {
                    objects,
                    after,
                    seen,
                };
                let wait = Duration::from_millis(pull.wait_ms).max(CALL_LATENCY);
                let answer = self.message(to, Body::Objects(answer));
                self.schedule(wait, answer);
            }
            Some(Body::Handover(handover)) => {
                let (upstreams, view) = (handover.upstreams.clone(), handover.view);
                let answer = self.message(to, Body::Released(Released { upstreams, view }));
                self.schedule(CALL_LATENCY, answer);
            }
            Some(Body::Relay(_) | Body::Relayed(_)) => self.relays.push((to, envelope)),
            _ => {}
        }
    }

    fn envelope(&self, from: usize, body: Body) -> Envelope {
        Envelope {
            from: instance_name(from).to_string(),
            incarnation: self.incarnations[from],
            body: Some(body),
        }
    }

    /// Returns the event of a message from a peer.
    pub(super) fn message(&self, from: usize, body: Body) -> Event {
        Event::Peer(self.envelope(from, body))
    }

    /// Schedules an event after a delay.
    fn schedule(&mut self, wait: Duration, event: Event) {
        self.sequence += 1;
        self.scheduled
            .insert((self.now + wait, self.sequence), event);
    }
}

/// Returns the name of an instance; number 0 is the one under test.
pub(super) fn instance_name(number: usize) -> InstanceName {
    name(format!("entry-{number:03}"))
}

fn instance_number(name: &InstanceName) -> Option<usize> {
    name.as_str().rsplit('-').next()?.parse().ok()
}

fn address(number: usize) -> SocketAddr {
    let low = u8::try_from(number + 1).unwrap_or(u8::MAX);
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, low), 7_400))
}
