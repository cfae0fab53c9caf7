//! The world itself: one queue of things to happen, on one clock.

mod callers;
mod edges;
mod fault;
mod instances;
mod look;

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
    upstream::{self, Upstream, UpstreamBehaviour, Work},
};
use crate::history::{History, Observation};

pub use fault::Fault;

/// One-way time between two processes, without its random part.
const HOP: Duration = Duration::from_micros(100);

/// Time of one platform call in each direction.
const PLATFORM_HOP: Duration = Duration::from_millis(1);

/// Port of every simulated instance's peer address.
const PEER_PORT: u16 = 7400;

/// What a world starts with.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Data centre of each instance.
    pub instances: Vec<DataCentre>,
    /// Upstreams with their addresses.
    pub upstreams: Vec<(UpstreamName, SocketAddr, UpstreamBehaviour)>,
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

    /// Lets a fault happen after a while.
    pub fn schedule_fault(&mut self, after: Duration, fault: Fault) {
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
    pub fn upstream_behaviour(&mut self, address: SocketAddr) -> Option<&mut UpstreamBehaviour> {
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
}
