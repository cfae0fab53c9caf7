//! The world itself: one queue of things to happen, on one clock.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Duration,
};

use base::{
    AttemptId, CallId, DataCentre, EntryName, IdempotencyKey, Incarnation, InstanceName, OpId,
    RequestId, Time, UpstreamName,
};
use bytes::Bytes;
use node::{
    Answer, Call, Config, Effect, Event, Failure, Identity, Kind, Node, PlatformEvent, PlatformOp,
    Send, SubRequest, UpstreamEvent,
    effect::{Note, PeerAddress},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use wire::{Body, Envelope};

use super::{
    cost::Cost,
    network::Network,
    platform::{Outgoing, Platform},
    upstream::{self, Upstream, UpstreamPlan, Work},
};
use crate::history::{History, Seen};

/// One-way time between two processes, without its random part.
const HOP: Duration = Duration::from_micros(100);

/// Time of one platform call in each direction.
const PLATFORM_HOP: Duration = Duration::from_millis(1);

/// Port of every simulated instance's peer address.
const PEER_PORT: u16 = 7400;

/// A fault, or the end of one.
#[derive(Clone, Debug)]
pub enum Fault {
    /// An instance is killed and started again after a while.
    Crash {
        /// The instance.
        instance: usize,
        /// Time until it is started again.
        restart: Duration,
    },
    /// An instance stands still, unaware of it.
    Pause {
        /// The instance.
        instance: usize,
        /// How long.
        length: Duration,
    },
    /// Two instances do not hear each other.
    Cut {
        /// One of them.
        a: usize,
        /// The other.
        b: usize,
        /// How long.
        length: Duration,
    },
    /// The messages between two instances are late.
    Late {
        /// One of them.
        a: usize,
        /// The other.
        b: usize,
        /// How late.
        delay: Duration,
        /// How long this lasts.
        length: Duration,
    },
    /// The next relayed runs and their results are delivered a second time.
    RepeatRuns {
        /// How many messages.
        count: u32,
        /// How long after the first time.
        delay: Duration,
    },
    /// The platform answers nothing.
    PlatformDown {
        /// How long.
        length: Duration,
    },
    /// The next writes take effect and their replies are lost.
    LoseReplies {
        /// How many.
        count: u32,
    },
    /// The next writes reach the platform late, after their callers were told nothing.
    DelayWrites {
        /// How many.
        count: u32,
        /// How late.
        delay: Duration,
    },
    /// An upstream breaks and starts again.
    BreakUpstream {
        /// The upstream.
        upstream: usize,
    },
    /// An upstream says that it is leaving.
    Leave {
        /// The upstream.
        upstream: usize,
    },
    /// An instance is asked to shut down.
    Drain {
        /// The instance.
        instance: usize,
    },
}

/// What a world starts with.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Data centre of each instance.
    pub instances: Vec<DataCentre>,
    /// Upstreams with their addresses.
    pub upstreams: Vec<(UpstreamName, SocketAddr, UpstreamPlan)>,
    /// Objects that the platform holds at the start.
    pub objects: Vec<(Kind, Box<str>, Bytes)>,
    /// Service whose list of leaving upstreams the platform keeps.
    pub liveness: Box<str>,
    /// Settings of every instance.
    pub config: Config,
    /// Seed of everything random.
    pub seed: u64,
}

/// One instance, in its present life.
struct Instance {
    name: InstanceName,
    data_centre: DataCentre,
    node: Option<Node>,
    life: u64,
    paused_until: Time,
    /// Events that arrived during a pause.
    held: Vec<Event>,
    wake: Time,
    draining: bool,
    cost: Cost,
}

/// Something that is going to happen.
enum Happening {
    Event {
        instance: usize,
        life: u64,
        event: Event,
    },
    AtPlatform {
        instance: usize,
        life: u64,
        op: OpId,
        call: PlatformOp,
    },
    AtUpstream(SocketAddr, Work),
    Finished(SocketAddr, u64),
    Cancel {
        instance: usize,
        life: u64,
        attempt: AttemptId,
    },
    Stopped {
        instance: usize,
        life: u64,
    },
    WatchesEnd,
    Restart(usize),
    /// The pause of an instance ends, in one of its lives.
    Resume(usize, u64),
    Fault(Fault),
}

/// A world of reducers.
pub struct World {
    now: Time,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    sequence: u64,
    instances: Vec<Instance>,
    upstreams: BTreeMap<SocketAddr, Upstream>,
    platform: Platform,
    platform_down_until: Time,
    lose_replies: u32,
    delay_writes: (u32, Duration),
    repeat_runs: (u32, Duration),
    /// Name of the object that lists the leaving upstreams.
    liveness: Box<str>,
    network: Network,
    config: Config,
    calls: u64,
    requests: BTreeMap<(usize, CallId), RequestId>,
    peer_bytes: u64,
    /// Everything that was seen.
    pub history: History,
    /// Answers by request, with the time from call to answer.
    pub answers: BTreeMap<RequestId, (Answer, Duration)>,
    called_at: BTreeMap<RequestId, Time>,
}

impl World {
    /// Makes a world at time zero, with all instances started.
    pub fn new(plan: Plan) -> Self {
        let mut platform = Platform::default();
        for (kind, name, value) in plan.objects {
            platform.publish(kind, &name, value);
        }
        let upstreams = plan.upstreams.into_iter();
        let mut world = Self {
            now: Time::ZERO,
            rng: SmallRng::seed_from_u64(plan.seed),
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            sequence: 0,
            instances: Vec::new(),
            upstreams: upstreams
                .map(|(n, a, p)| (a, Upstream::new(n, p)))
                .collect(),
            platform,
            platform_down_until: Time::ZERO,
            lose_replies: 0,
            delay_writes: (0, Duration::ZERO),
            repeat_runs: (0, Duration::ZERO),
            liveness: plan.liveness,
            network: Network::default(),
            config: plan.config,
            calls: 0,
            requests: BTreeMap::new(),
            peer_bytes: 0,
            history: History::default(),
            answers: BTreeMap::new(),
            called_at: BTreeMap::new(),
        };
        for (index, data_centre) in plan.instances.into_iter().enumerate() {
            let name: InstanceName = format!("instance-{index}")
                .parse()
                .expect("a valid instance name");
            world.instances.push(Instance {
                name,
                data_centre,
                node: None,
                life: 0,
                paused_until: Time::ZERO,
                held: Vec::new(),
                wake: Time::NEVER,
                draining: false,
                cost: Cost::default(),
            });
            world.start(index);
        }
        world
    }

    /// Returns the present time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Returns a running instance's reducer.
    pub fn node(&self, instance: usize) -> Option<&Node> {
        self.instances[instance].node.as_ref()
    }

    /// Returns how many times an upstream broke.
    pub fn times_broken(&self, address: SocketAddr) -> u32 {
        self.upstreams[&address].broken
    }

    /// Returns the most requests that an upstream worked on at once.
    pub fn most_in_work(&self, address: SocketAddr) -> usize {
        self.upstreams[&address].most_in_work
    }

    /// Returns how many calls and writes the platform took.
    pub fn platform_load(&self) -> (u64, u64) {
        (self.platform.calls, self.platform.writes)
    }

    /// Returns the size of all objects that instances wrote to the platform.
    pub fn written_bytes(&self) -> u64 {
        self.platform.written_bytes
    }

    /// Returns what an instance has used in all its lives.
    pub fn cost(&self, instance: usize) -> Cost {
        self.instances[instance].cost
    }

    /// Returns the encoded size of all messages between instances.
    pub fn peer_bytes(&self) -> u64 {
        self.peer_bytes
    }

    /// Returns the peer address of an instance.
    pub fn peer_address(instance: usize) -> SocketAddr {
        let low = u8::try_from(instance + 1).unwrap_or(u8::MAX);
        SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, low), PEER_PORT))
    }

    /// Sends a search to an instance now and returns its request id.
    pub fn search(&mut self, instance: usize, entry: &EntryName, body: &Bytes) -> RequestId {
        let request = self.next_request();
        let call = Call::Search {
            request,
            entry: entry.clone(),
            deadline: None,
            body: body.clone(),
        };
        self.call(instance, request, None, call);
        request
    }

    /// Sends a request of the once class to an instance now and returns its request id.
    pub fn run_once(
        &mut self,
        instance: usize,
        entry: &EntryName,
        key: &IdempotencyKey,
        body: &Bytes,
    ) -> RequestId {
        let request = self.next_request();
        let call = Call::Run {
            request,
            entry: entry.clone(),
            deadline: None,
            key: key.clone(),
            body: body.clone(),
        };
        self.call(instance, request, Some(key.clone()), call);
        request
    }

    /// Closes a caller's connection before its answer.
    pub fn hang_up(&mut self, request: RequestId) {
        let mut calls = self.requests.iter().filter(|(_, r)| **r == request);
        let Some((&(instance, call), _)) = calls.next() else {
            return;
        };
        if self.answers.contains_key(&request) {
            return;
        }
        self.history.push(self.now, Seen::HungUp { request });
        let life = self.instances[instance].life;
        let event = Event::CallerGone(call);
        self.later(
            self.now,
            Happening::Event {
                instance,
                life,
                event,
            },
        );
    }

    fn next_request(&mut self) -> RequestId {
        self.calls += 1;
        RequestId(u128::from(self.calls))
    }

    fn call(
        &mut self,
        instance: usize,
        request: RequestId,
        key: Option<IdempotencyKey>,
        call: Call,
    ) {
        let at = &self.instances[instance];
        if at.node.is_none() || at.draining {
            return;
        }
        let (life, name) = (at.life, at.name.clone());
        let id = CallId(self.calls);
        self.requests.insert((instance, id), request);
        self.called_at.insert(request, self.now);
        self.history.push(
            self.now,
            Seen::Called {
                request,
                key,
                instance: name,
            },
        );
        self.later(
            self.now,
            Happening::Event {
                instance,
                life,
                event: Event::Call(id, call),
            },
        );
    }

    /// Lets a fault happen after a while.
    pub fn fault_in(&mut self, after: Duration, fault: Fault) {
        self.later(self.now + after, Happening::Fault(fault));
    }

    /// Replaces an object of the platform, as its owner outside the system does.
    pub fn publish(&mut self, kind: Kind, name: &str, value: Bytes) {
        self.platform.publish(kind, name, value);
        self.answer_watches();
    }

    /// Returns an object of the platform.
    pub fn object(&self, kind: Kind, name: &str) -> Option<Bytes> {
        self.platform.object(kind, name)
    }

    /// Changes what an upstream does.
    pub fn upstream_plan(&mut self, address: SocketAddr) -> Option<&mut UpstreamPlan> {
        self.upstreams.get_mut(&address).map(|u| &mut u.plan)
    }

    /// Lets everything happen that is due within a while.
    pub fn advance(&mut self, length: Duration) {
        let end = self.now + length;
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            let Some(happening) = self.happenings.remove(&sequence) else {
                continue;
            };
            self.now = at;
            self.happen(happening);
        }
        self.now = end;
    }

    fn later(&mut self, at: Time, happening: Happening) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.happenings.insert(self.sequence, happening);
    }

    fn jitter(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(0..50))
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Event {
                instance,
                life,
                event,
            } => self.deliver(instance, life, event),
            Happening::AtPlatform {
                instance,
                life,
                op,
                call,
            } => {
                self.at_platform(instance, life, op, call);
            }
            Happening::AtUpstream(address, work) => self.at_upstream(address, work),
            Happening::Finished(address, number) => self.finished(address, number),
            Happening::Cancel {
                instance,
                life,
                attempt,
            } => self.cancel(instance, life, attempt),
            Happening::Stopped { instance, life } => self.stopped(instance, life),
            Happening::WatchesEnd => self.answer_watches(),
            Happening::Restart(instance) => self.start(instance),
            Happening::Resume(instance, life) => self.resume(instance, life),
            Happening::Fault(fault) => self.break_something(fault),
        }
    }

    fn start(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.life += 1;
        instance.draining = false;
        instance.paused_until = Time::ZERO;
        instance.held.clear();
        instance.wake = self.now;
        let identity = Identity {
            instance: instance.name.clone(),
            data_centre: instance.data_centre.clone(),
            incarnation: Incarnation(instance.life),
            peers: Self::peer_address(index),
        };
        let seed = self.rng.random();
        instance.node = Some(Node::new(identity, self.config.clone(), self.now, seed));
        let life = instance.life;
        self.later(
            self.now,
            Happening::Event {
                instance: index,
                life,
                event: Event::Tick,
            },
        );
    }

    fn deliver(&mut self, index: usize, life: u64, event: Event) {
        let instance = &mut self.instances[index];
        if instance.life != life || instance.node.is_none() {
            return;
        }
        if instance.paused_until > self.now || !instance.held.is_empty() {
            let at = instance.paused_until;
            instance.held.push(event);
            if instance.held.len() == 1 {
                self.later(at, Happening::Resume(index, life));
            }
            return;
        }
        self.hand_over(index, life, event);
    }

    /// Delivers what was held during a pause, in the order of its arrival.
    fn resume(&mut self, index: usize, life: u64) {
        let instance = &mut self.instances[index];
        if instance.life != life {
            return;
        }
        if instance.paused_until > self.now {
            let at = instance.paused_until;
            return self.later(at, Happening::Resume(index, life));
        }
        for event in std::mem::take(&mut instance.held) {
            self.hand_over(index, life, event);
        }
    }

    fn hand_over(&mut self, index: usize, life: u64, event: Event) {
        let instance = &mut self.instances[index];
        if let Event::Tick = event {
            if instance.wake > self.now {
                // An earlier one took its place.
                return;
            }
            instance.wake = Time::NEVER;
        }
        let Some(node) = &mut instance.node else {
            return;
        };
        let mut effects = Vec::new();
        instance.cost.measure(|| {
            node.on(self.now, event, &mut effects);
            node.settle(&mut effects);
        });
        let wake = node.next_wake().unwrap_or(Time::NEVER);
        let wake = wake.max(self.now + Duration::from_micros(1));
        if wake < instance.wake {
            instance.wake = wake;
            self.later(
                wake,
                Happening::Event {
                    instance: index,
                    life,
                    event: Event::Tick,
                },
            );
        }
        for effect in effects {
            self.carry_out(index, life, effect);
        }
    }

    fn carry_out(&mut self, index: usize, life: u64, effect: Effect) {
        match effect {
            Effect::Answer(call, answer) => self.answered(index, call, answer),
            Effect::Send(send) => {
                let at = self.now + HOP + self.jitter();
                let Send {
                    attempt,
                    address,
                    sub,
                    ..
                } = send;
                let work = Work {
                    instance: index,
                    life,
                    attempt,
                    sub,
                };
                self.later(at, Happening::AtUpstream(address, work));
            }
            Effect::Cancel(attempt) => {
                // A cancellation reaches the upstream after the request that it names.
                let cancel = Happening::Cancel {
                    instance: index,
                    life,
                    attempt,
                };
                self.later(self.now + HOP * 2, cancel);
            }
            Effect::Platform(op, call) => {
                let at = self.now + PLATFORM_HOP + self.jitter();
                self.later(
                    at,
                    Happening::AtPlatform {
                        instance: index,
                        life,
                        op,
                        call,
                    },
                );
            }
            Effect::Peer(to, body) => self.send_to_peer(index, &to, body),
            Effect::Note(Note::InForce(revision)) => {
                let instance = self.instances[index].name.clone();
                self.history.push(
                    self.now,
                    Seen::InForce {
                        instance,
                        life,
                        revision,
                    },
                );
            }
            Effect::Note(_) => {}
            Effect::Stop => {
                // Requests that have arrived by now are still refused before the process ends.
                self.later(
                    self.now + HOP,
                    Happening::Stopped {
                        instance: index,
                        life,
                    },
                );
            }
        }
    }

    fn answered(&mut self, index: usize, call: CallId, answer: Answer) {
        let Some(&request) = self.requests.get(&(index, call)) else {
            return;
        };
        let took = self.now.since(self.called_at[&request]);
        self.history.push(
            self.now,
            Seen::Answered {
                request,
                answer: answer.clone(),
            },
        );
        self.answers.insert(request, (answer, took));
    }

    fn stopped(&mut self, index: usize, life: u64) {
        let instance = &mut self.instances[index];
        if instance.life != life || instance.node.take().is_none() {
            return;
        }
        let name = instance.name.clone();
        self.history
            .push(self.now, Seen::Drained { instance: name });
    }

    fn send_to_peer(&mut self, from: usize, to: &PeerAddress, body: Body) {
        let target = (0..self.instances.len()).find(|i| Self::peer_address(*i) == to.address);
        let Some(target) = target else {
            return;
        };
        let sender = &self.instances[from];
        let envelope = Envelope {
            from: sender.name.to_string(),
            incarnation: sender.life,
            body: Some(body),
        };
        self.peer_bytes += prost::Message::encoded_len(&envelope) as u64;
        self.instances[from].cost.sent(&envelope);
        if !self.network.passes(self.now, from, target) {
            return;
        }
        let life = self.instances[target].life;
        let lateness = self.network.lateness(self.now, from, target);
        let at = self.now + HOP + self.jitter() + lateness;
        let is_run = matches!(envelope.body, Some(Body::RelayRun(_) | Body::Relayed(_)));
        let event = Event::Peer(envelope);
        if is_run && self.repeat_runs.0 > 0 {
            self.repeat_runs.0 -= 1;
            let again = Happening::Event {
                instance: target,
                life,
                event: event.clone(),
            };
            self.later(at + self.repeat_runs.1, again);
        }
        self.later(
            at,
            Happening::Event {
                instance: target,
                life,
                event,
            },
        );
    }

    fn at_platform(&mut self, instance: usize, life: u64, op: OpId, call: PlatformOp) {
        if self.platform_down_until > self.now {
            let event = PlatformEvent::Unavailable;
            return self.platform_answers(
                Outgoing {
                    instance,
                    op,
                    event,
                },
                life,
            );
        }
        let is_write = matches!(call, PlatformOp::Write { .. });
        if is_write && self.delay_writes.0 > 0 {
            self.delay_writes.0 -= 1;
            let event = PlatformEvent::Unknown;
            self.platform_answers(
                Outgoing {
                    instance,
                    op,
                    event,
                },
                life,
            );
            let late = self.now + self.delay_writes.1;
            // Nobody listens to the late write's answer.
            let call = Happening::AtPlatform {
                instance,
                life: 0,
                op,
                call,
            };
            return self.later(late, call);
        }
        let wait = match &call {
            PlatformOp::Watch { wait, .. } => Some(*wait),
            PlatformOp::Read { .. } | PlatformOp::Write { .. } => None,
        };
        let answer = self.platform.call(self.now, instance, op, call);
        match answer {
            Some(mut answer) => {
                if is_write && self.lose_replies > 0 {
                    self.lose_replies -= 1;
                    answer.event = PlatformEvent::Unknown;
                }
                self.platform_answers(answer, life);
            }
            None => {
                let end = self.now + wait.unwrap_or_default();
                self.later(end, Happening::WatchesEnd);
            }
        }
        if is_write {
            self.answer_watches();
        }
    }

    fn platform_answers(&mut self, answer: Outgoing, life: u64) {
        let at = self.now + PLATFORM_HOP + self.jitter();
        let event = Event::Platform(answer.op, answer.event);
        self.later(
            at,
            Happening::Event {
                instance: answer.instance,
                life,
                event,
            },
        );
    }

    fn answer_watches(&mut self) {
        for answer in self.platform.answer_watches(self.now) {
            let life = self.instances[answer.instance].life;
            self.platform_answers(answer, life);
        }
    }

    fn at_upstream(&mut self, address: SocketAddr, work: Work) {
        let Some(upstream) = self.upstreams.get_mut(&address) else {
            return;
        };
        if upstream.is_down(self.now) {
            return self.report(&work, UpstreamEvent::Failed(Failure::Connect));
        }
        let name = upstream.name.clone();
        let refuses = upstream.plan.refuse_one_in;
        let is_run = matches!(work.sub, SubRequest::Run { .. });
        if is_run && refuses > 0 && self.rng.random_range(0..refuses) == 0 {
            let event = UpstreamEvent::Refused {
                retry_after: None,
                draining: upstream.leaving.is_some(),
            };
            return self.report(&work, event);
        }
        if let SubRequest::Run { request, key, .. } = &work.sub {
            // What an upstream has begun may have its effect, whatever becomes of the upstream.
            let seen = Seen::Ran {
                request: *request,
                key: key.clone(),
            };
            self.history.push(self.now, seen);
        }
        if upstream::breaks(&work.sub) {
            upstream.broken += 1;
            self.history
                .push(self.now, Seen::Started { upstream: name });
            self.report(&work, upstream::lost());
            return self.break_upstream(address);
        }
        let plan = &upstream.plan;
        let slow = plan.slow_one_in > 0 && self.rng.random_range(0..plan.slow_one_in) == 0;
        let length = plan.service_time * if slow { 10 } else { 1 };
        let number = upstream.begin(work);
        self.history
            .push(self.now, Seen::Started { upstream: name });
        let at = self.now + length + self.jitter();
        self.later(at, Happening::Finished(address, number));
    }

    fn finished(&mut self, address: SocketAddr, number: u64) {
        let Some(upstream) = self.upstreams.get_mut(&address) else {
            return;
        };
        let Some(work) = upstream.works.remove(&number) else {
            return;
        };
        let mixes = upstream.plan.mix_up_one_in;
        let mixed_up = mixes > 0 && self.rng.random_range(0..mixes) == 0;
        let event = upstream.outcome(&work.sub, mixed_up);
        match (&work.sub, &event) {
            (SubRequest::Search { echo, .. }, UpstreamEvent::Replied(_)) => {
                let seen = Seen::Searched {
                    request: echo.request,
                    shard: echo.shard.clone(),
                    snapshot: echo.snapshot,
                };
                self.history.push(self.now, seen);
            }
            (SubRequest::Search { .. } | SubRequest::Run { .. }, _) => {}
        }
        self.report(&work, event);
    }

    /// Takes an abandoned search from its upstream; a run is carried out all the same.
    fn cancel(&mut self, instance: usize, life: u64, attempt: AttemptId) {
        let named = |work: &Work| {
            let same = work.instance == instance && work.life == life && work.attempt == attempt;
            same && matches!(work.sub, SubRequest::Search { .. })
        };
        for upstream in self.upstreams.values_mut() {
            let number = upstream
                .works
                .iter()
                .find(|(_, work)| named(work))
                .map(|(n, _)| *n);
            let Some(work) = number.and_then(|number| upstream.works.remove(&number)) else {
                continue;
            };
            return self.report(&work, UpstreamEvent::Failed(Failure::Cancelled));
        }
    }

    fn break_upstream(&mut self, address: SocketAddr) {
        let lost = self
            .upstreams
            .get_mut(&address)
            .map(|u| u.break_down(self.now));
        for work in lost.unwrap_or_default() {
            self.report(&work, upstream::lost());
        }
    }

    fn report(&mut self, work: &Work, event: UpstreamEvent) {
        let at = self.now + HOP + self.jitter();
        let event = Event::Upstream(work.attempt, event);
        let (instance, life) = (work.instance, work.life);
        self.later(
            at,
            Happening::Event {
                instance,
                life,
                event,
            },
        );
    }

    fn break_something(&mut self, fault: Fault) {
        match fault {
            Fault::Crash { instance, restart } => self.crash(instance, restart),
            Fault::Pause { instance, length } => {
                let paused = &mut self.instances[instance];
                paused.paused_until = paused.paused_until.max(self.now + length);
            }
            Fault::Cut { a, b, length } => self.network.cut(a, b, self.now + length),
            Fault::Late {
                a,
                b,
                delay,
                length,
            } => self.network.delay(a, b, delay, self.now + length),
            Fault::RepeatRuns { count, delay } => self.repeat_runs = (count, delay),
            Fault::PlatformDown { length } => {
                self.platform_down_until = self.platform_down_until.max(self.now + length);
                for answer in self.platform.fail_watches() {
                    let life = self.instances[answer.instance].life;
                    self.platform_answers(answer, life);
                }
            }
            Fault::LoseReplies { count } => self.lose_replies += count,
            Fault::DelayWrites { count, delay } => self.delay_writes = (count, delay),
            Fault::BreakUpstream { upstream } => {
                if let Some(address) = self.upstreams.keys().nth(upstream).copied() {
                    self.break_upstream(address);
                }
            }
            Fault::Leave { upstream } => self.leave(upstream),
            Fault::Drain { instance } => self.drain(instance),
        }
    }

    fn crash(&mut self, index: usize, restart: Duration) {
        let instance = &mut self.instances[index];
        if instance.node.take().is_none() {
            return;
        }
        instance.wake = Time::NEVER;
        let name = instance.name.clone();
        self.history.push(self.now, Seen::Killed { instance: name });
        self.later(self.now + restart, Happening::Restart(index));
    }

    /// Lets an upstream leave; the platform lists it once it is up.
    fn leave(&mut self, index: usize) {
        let Some(upstream) = self.upstreams.values_mut().nth(index) else {
            return;
        };
        upstream.leaving.get_or_insert(self.now);
        let name = upstream.name.clone();
        if self.platform_down_until > self.now {
            let again = Happening::Fault(Fault::Leave { upstream: index });
            return self.later(self.platform_down_until, again);
        }
        self.history
            .push(self.now, Seen::Leaving { upstream: name });
        let leaving = self.upstreams.values().filter(|u| u.leaving.is_some());
        let list = serde_json::json!({
            "live": [],
            "leaving": leaving.map(|u| u.name.as_str()).collect::<Vec<_>>(),
        });
        let service = self.liveness.clone();
        self.publish(Kind::Liveness, &service, list.to_string().into());
    }

    fn drain(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.node.is_none() || std::mem::replace(&mut instance.draining, true) {
            return;
        }
        let (life, name) = (instance.life, instance.name.clone());
        self.history
            .push(self.now, Seen::Draining { instance: name });
        self.later(
            self.now,
            Happening::Event {
                instance: index,
                life,
                event: Event::Drain,
            },
        );
    }
}
