//! The plan of a world, and its making.

use std::{
    collections::{BTreeMap, BinaryHeap, HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use base::{CallId, ServiceName, Time};
use rand::{SeedableRng, rngs::SmallRng};
use tier::{
    Config, Entry, Event, Instance, Route, Settings, Target, Tier,
    config::{Gather, Limits, Service},
};

use super::{Tally, Upstream, World};

/// Processor time of a whole core for one part on a kept connection.
const PART_COST: Duration = Duration::from_micros(100);

/// The plan of a world.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    /// Entry instances.
    pub(crate) instances: usize,
    /// How many of them have a twelfth of a core; with any, the others have half of one, and what
    /// processors have to do takes time.
    pub(crate) small: usize,
    /// Shards.
    pub(crate) shards: usize,
    /// Replicas of a shard.
    pub(crate) replicas: usize,
    /// Mean work.
    pub(crate) work: Duration,
    /// Objective of the route.
    pub(crate) objective: Duration,
    /// Share of the shards that a success needs.
    pub(crate) least: f64,
    /// Whether callers that are refused come back once, when they are told to.
    pub(crate) returns: bool,
    /// Data centres, in which instances and replicas stand in turn.
    pub(crate) centres: usize,
    /// Seed of everything random.
    pub(crate) seed: u64,
}

impl Plan {
    fn power(&self, instance: usize) -> f64 {
        match self.small {
            0 => 1.0,
            small if instance < small => 0.084,
            _ => 0.5,
        }
    }

    fn centre(&self, position: usize) -> String {
        format!("dc-{}", position % self.centres)
    }

    fn all(&self) -> Vec<Instance> {
        let instance = |i: usize| Instance {
            name: format!("instance-{i}").parse().unwrap(),
            address: ([127, 0, 1, 1], i as u16).into(),
            data_centre: self.centre(i).parse().unwrap(),
            cpu_share: self.power(i),
        };
        (0..self.instances).map(instance).collect()
    }
}

impl World {
    /// Makes a world in which everything is sound.
    pub(crate) fn new(plan: Plan) -> Self {
        let shards: Box<[ServiceName]> = (0..plan.shards)
            .map(|s| format!("shard-{s}").parse().unwrap())
            .collect();
        let services = shards
            .iter()
            .map(|s| {
                (
                    s.clone(),
                    Service {
                        max_connections: 50,
                    },
                )
            })
            .collect();
        let route = Route {
            name: "search".into(),
            host: "search.example".into(),
            prefix: "/".into(),
            idempotent: true,
            timeout: plan.objective * 10,
            objective: plan.objective,
            priority: 1,
            max_attempts: 2,
            target: Target::Gather(Gather {
                min_parts: (plan.shards as f64 * plan.least).ceil() as usize,
                shards,
                top: 5,
            }),
        };
        let config = Rc::new(Config::new(1, vec![route], services, Limits::default()));
        let mut world = Self {
            now: Time::ZERO,
            upstreams: Vec::new(),
            tiers: Vec::new(),
            steps: BinaryHeap::new(),
            next_step: 0,
            calls: HashMap::new(),
            next_call: CallId::default(),
            names: BTreeMap::new(),
            objective: plan.objective,
            returns: plan.returns,
            centres: plan.centres,
            shards: plan.shards,
            rng: SmallRng::seed_from_u64(plan.seed),
            tally: Tally::default(),
            busy_until: vec![Time::ZERO; plan.instances],
            part_cost: match plan.small {
                0 => Duration::ZERO,
                _ => PART_COST,
            },
            powers: (0..plan.instances).map(|i| plan.power(i)).collect(),
            frozen: vec![false; plan.instances],
            used: HashMap::new(),
            handed: HashMap::new(),
            ends: HashMap::new(),
            sent: HashMap::new(),
            orders: HashMap::new(),
        };
        let entries = world.make_upstreams(plan);
        for instance in 0..plan.instances {
            let settings = Settings {
                instance: format!("instance-{instance}").into(),
                data_centre: plan.centre(instance).into(),
                cpu_share: plan.power(instance),
                ..Settings::default()
            };
            let mut tier = Tier::new(settings, plan.seed + instance as u64);
            let mut effects = Vec::new();
            tier.on(world.now, Event::Config(Rc::clone(&config)), &mut effects);
            tier.on(
                world.now,
                Event::EntriesListed(entries.clone()),
                &mut effects,
            );
            tier.on(world.now, Event::Instances(plan.all()), &mut effects);
            world.tiers.push(tier);
        }
        world
    }

    fn make_upstreams(&mut self, plan: Plan) -> Vec<Entry> {
        let mut entries = Vec::new();
        for shard in 0..plan.shards {
            for replica in 0..plan.replicas {
                let name = format!("up-{shard}-{replica}");
                self.names.insert(name.clone(), self.upstreams.len());
                self.upstreams.push(Upstream {
                    work: plan.work,
                    slots: 2,
                    queue: 12,
                    centre: (shard + replica) % plan.centres,
                    paused_until: Time::ZERO,
                    breaks: 0.0,
                    sheds: 0.0,
                    is_down: false,
                    is_cut: false,
                    waiting: VecDeque::new(),
                    running: Vec::new(),
                });
                entries.push(Entry {
                    name: name.parse().unwrap(),
                    service: format!("shard-{shard}").parse().unwrap(),
                    address: ([127, 0, 0, 1], entries.len() as u16).into(),
                    data_centre: plan.centre(shard + replica).parse().unwrap(),
                    slots: 2,
                    draining: false,
                    cold_left: Duration::ZERO,
                    started_ms: 1,
                    seq: 1,
                });
            }
        }
        entries
    }
}
