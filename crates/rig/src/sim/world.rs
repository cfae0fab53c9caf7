//! Event loop of the simulation: a queue of scheduled steps, ordered by simulated time.

mod callers;
mod endpoints;
mod fault;
mod inspect;
mod instances;

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
    platform::{Platform, PlatformResponse},
    upstream::{self, PendingRequest, Upstream, UpstreamBehaviour},
};
use crate::history::{History, Observation};

pub use fault::Fault;

/// One-way latency between two processes, without jitter.
const NETWORK_LATENCY: Duration = Duration::from_micros(100);

/// One-way latency of a platform call, without jitter.
const PLATFORM_LATENCY: Duration = Duration::from_millis(1);

/// Port of each simulated instance's peer address.
const PEER_PORT: u16 = 7400;

/// Initial state of a world.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Data centre of each instance.
    pub instances: Vec<DataCentre>,
    /// Name, address and behaviour of each upstream.
    pub upstreams: Vec<(UpstreamName, SocketAddr, UpstreamBehaviour)>,
    /// Objects that the platform stores at the start.
    pub objects: Vec<(Kind, Box<str>, Bytes)>,
    /// Service whose liveness object lists the leaving upstreams.
    pub liveness: Box<str>,
    /// Settings of each instance.
    pub config: Config,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// One instance in its current incarnation; without a node while it is down.
struct Instance {
    name: InstanceName,
    data_centre: DataCentre,
    node: Option<Node>,
    /// Number of starts so far.
    incarnation: u64,
    paused_until: Time,
    /// Events that arrived during a pause.
    deferred: Vec<Event>,
    /// Time of the next scheduled tick.
    wake: Time,
    draining: bool,
    cost: Cost,
}

/// A scheduled step of the simulation.
enum Step {
    Event {
        instance: usize,
        incarnation: u64,
        event: Event,
    },
    PlatformCall {
        instance: usize,
        incarnation: u64,
        op: OpId,
        call: PlatformOp,
    },
    /// A sub-request arrives at an upstream.
    UpstreamRequest(SocketAddr, PendingRequest),
    /// An upstream has processed the request with a number.
    UpstreamDone(SocketAddr, u64),
    Cancel {
        instance: usize,
        incarnation: u64,
        attempt: AttemptId,
    },
    /// The process of an instance exits.
    Exit {
        instance: usize,
        incarnation: u64,
    },
    /// The wait of a watch ends.
    WatchTimeout,
    Restart(usize),
    /// The pause of an instance ends, in the given incarnation.
    Resume(usize, u64),
    Fault(Fault),
}

/// A simulated deployment of reducers.
pub struct World {
    now: Time,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    steps: BTreeMap<u64, Step>,
    sequence: u64,
    instances: Vec<Instance>,
    upstreams: BTreeMap<SocketAddr, Upstream>,
    platform: Platform,
    platform_down_until: Time,
    /// Number of writes whose reply will be lost.
    lose_replies: u32,
    /// Number of writes that will be delayed, and the delay.
    delay_writes: (u32, Duration),
    /// Number of relayed runs and results that will be repeated, and the delay.
    repeat_runs: (u32, Duration),
    /// Name of the object that lists the leaving upstreams.
    liveness: Box<str>,
    network: Network,
    config: Config,
    calls: u64,
    requests: BTreeMap<(usize, CallId), RequestId>,
    peer_bytes: u64,
    /// Observations of the run so far.
    pub history: History,
    /// Answers by request, with the time from call to answer.
    pub answers: BTreeMap<RequestId, (Answer, Duration)>,
    called_at: BTreeMap<RequestId, Time>,
}

impl World {
    /// Creates a world at time zero, with all instances started.
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
            steps: BTreeMap::new(),
            sequence: 0,
            instances: Vec::new(),
            upstreams: upstreams
                .map(|(name, address, behaviour)| (address, Upstream::new(name, behaviour)))
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
                incarnation: 0,
                paused_until: Time::ZERO,
                deferred: Vec::new(),
                wake: Time::NEVER,
                draining: false,
                cost: Cost::default(),
            });
            world.start(index);
        }
        world
    }

    /// Schedules a fault after a delay.
    pub fn schedule_fault(&mut self, after: Duration, fault: Fault) {
        self.schedule(self.now + after, Step::Fault(fault));
    }

    /// Writes an object of the platform unconditionally, as a writer outside the system does.
    pub fn publish(&mut self, kind: Kind, name: &str, value: Bytes) {
        self.platform.publish(kind, name, value);
        self.answer_watches();
    }

    /// Returns an object of the platform.
    pub fn object(&self, kind: Kind, name: &str) -> Option<Bytes> {
        self.platform.object(kind, name)
    }

    /// Returns the behaviour of an upstream, to change it.
    pub fn upstream_behaviour(&mut self, address: SocketAddr) -> Option<&mut UpstreamBehaviour> {
        self.upstreams.get_mut(&address).map(|u| &mut u.behaviour)
    }

    /// Advances the clock by `length` and executes all steps that are due.
    pub fn advance(&mut self, length: Duration) {
        let end = self.now + length;
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            let Some(step) = self.steps.remove(&sequence) else {
                continue;
            };
            self.now = at;
            self.execute(step);
        }
        self.now = end;
    }

    fn schedule(&mut self, at: Time, step: Step) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.steps.insert(self.sequence, step);
    }

    fn jitter(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(0..50))
    }

    fn execute(&mut self, step: Step) {
        match step {
            Step::Event {
                instance,
                incarnation,
                event,
            } => self.deliver(instance, incarnation, event),
            Step::PlatformCall {
                instance,
                incarnation,
                op,
                call,
            } => {
                self.on_platform_call(instance, incarnation, op, call);
            }
            Step::UpstreamRequest(address, request) => self.on_upstream_request(address, request),
            Step::UpstreamDone(address, number) => self.on_upstream_done(address, number),
            Step::Cancel {
                instance,
                incarnation,
                attempt,
            } => self.cancel(instance, incarnation, attempt),
            Step::Exit {
                instance,
                incarnation,
            } => self.on_exit(instance, incarnation),
            Step::WatchTimeout => self.answer_watches(),
            Step::Restart(instance) => self.start(instance),
            Step::Resume(instance, incarnation) => self.resume(instance, incarnation),
            Step::Fault(fault) => self.apply_fault(fault),
        }
    }
}
