//! Which instance runs a search.
//!
//! Load pattern: a search over a hundred shards reaches an instance with a tenth of a core. Sending
//! and reading that many parts takes it longer than the caller waits, although the processor stands
//! still most of the time; and as each of many instances asks a shard once in seconds, nearly every
//! part opens a connection. Such an instance hands its searches to one of the few with more of a
//! processor, whose connections are warm. It runs them itself when none of those takes them.

use std::{net::SocketAddr, time::Duration};

use base::{DataCentre, InstanceName, Time};
use rand::Rng;

/// Processor time of a whole core for one part: `edge-load` measures 0.09 ms on a kept connection,
/// and a new one doubles it.
const PART_CPU_TIME: Duration = Duration::from_micros(200);

/// Part of a route's objective that sending and reading may take before the search is handed over.
const MAX_LOCAL_SHARE: f64 = 0.25;

/// How many times the own processor another instance needs, so that the way there pays.
const MIN_CPU_RATIO: f64 = 2.0;

/// Part of its load that is added for an instance in another data centre.
const REMOTE_COST: f64 = 0.3;

/// Part of its load that is added for an instance whose data centre has replicas of no shard; all
/// parts cross a data centre's border there, instead of one answer.
const NO_REPLICA_COST: f64 = 2.0;

/// Spread of the random part of a choice, which keeps instances apart.
const JITTER_SHARE: f64 = 0.5;

/// Weight of the processors in a data centre without replicas of a service, when what all instances
/// may do there is divided; they ask it themselves only when those beside it can't.
const REMOTE_WEIGHT: f64 = 0.25;

/// Time since which an instance must have been heard from to be tried when one beside it is silent.
const ALIVE_RECENTLY: Duration = Duration::from_secs(1);

/// Shortest time for which an instance that was not reached, or was silent, is handed nothing.
const EJECTION_MIN: Duration = Duration::from_secs(1);

/// Longest such time; each rest in a row is twice as long as the one before.
const EJECTION_MAX: Duration = Duration::from_secs(16);

/// What an instance has published about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Name.
    pub name: InstanceName,
    /// Where it takes connections of other instances.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// Processor, as a share of a core.
    pub cpu_share: f64,
}

/// Another instance as this one sees it.
#[derive(Clone, Debug)]
struct Peer {
    instance: Instance,
    /// Searches that it was handed and has not answered.
    pending: u32,
    /// When it was heard from last.
    last_alive: Option<Time>,
    /// Rests since it was heard from.
    ejections: u32,
    ejected_until: Time,
}

/// All instances.
#[derive(Clone, Debug, Default)]
pub struct Instances {
    peers: Vec<Peer>,
    /// What the instances of each data centre have of a processor.
    cpu_shares: Vec<(DataCentre, f64)>,
    /// How many there are, this one included; none when they are not known.
    count: Option<usize>,
}

impl Instances {
    /// Takes the instances that there are.
    pub fn set(&mut self, all: Vec<Instance>, own: &str) {
        self.count = Some(all.len().max(1));
        self.cpu_shares.clear();
        for instance in &all {
            let data_centre = &instance.data_centre;
            match self
                .cpu_shares
                .iter_mut()
                .find(|(known, _)| known == data_centre)
            {
                Some((_, cpu_share)) => *cpu_share += instance.cpu_share,
                None => self
                    .cpu_shares
                    .push((data_centre.clone(), instance.cpu_share)),
            }
        }
        let old = std::mem::take(&mut self.peers);
        let others = all.into_iter().filter(|it| it.name.as_str() != own);
        self.peers = others
            .map(|instance| {
                let known = old.iter().find(|peer| peer.instance == instance);
                known.cloned().unwrap_or(Peer {
                    instance,
                    pending: 0,
                    last_alive: None,
                    ejections: 0,
                    ejected_until: Time::ZERO,
                })
            })
            .collect();
    }

    /// Returns how many there are, if that is known.
    pub fn count(&self) -> Option<usize> {
        self.count
    }

    /// Returns the part of all processors that an instance has, if they are known; those in data
    /// centres that are not beside what is shared count for less.
    pub fn resource_share(
        &self,
        own: LocalInstance<'_>,
        has_replica: impl Fn(&DataCentre) -> bool,
    ) -> Option<f64> {
        let mut sum = 0.0;
        let mut own_weight = REMOTE_WEIGHT;
        for (data_centre, cpu_share) in &self.cpu_shares {
            let weight = match has_replica(data_centre) {
                true => 1.0,
                false => REMOTE_WEIGHT,
            };
            sum += weight * cpu_share;
            if data_centre.as_str() == own.data_centre {
                own_weight = weight;
            }
        }
        (sum > 0.0).then(|| (own_weight * own.cpu_share / sum).min(1.0))
    }

    /// Returns the instance that a search over `parts` shards is handed to, if any; `near` is the
    /// part of them that has a replica in a data centre.
    pub fn choose(
        &self,
        now: Time,
        parts: usize,
        objective: Duration,
        own: LocalInstance<'_>,
        replica_share: impl Fn(&DataCentre) -> f64,
        rng: &mut impl Rng,
    ) -> Option<&Instance> {
        let needed = PART_CPU_TIME.as_secs_f64() * parts as f64 / own.cpu_share.max(1e-3);
        if needed <= objective.as_secs_f64() * MAX_LOCAL_SHARE {
            return None;
        }
        let mut best: Option<(&Peer, f64)> = None;
        for peer in &self.peers {
            let cpu_share = peer.instance.cpu_share;
            if cpu_share < own.cpu_share * MIN_CPU_RATIO || peer.ejected_until > now {
                continue;
            }
            let mut load = f64::from(peer.pending + 1) / cpu_share;
            if peer.instance.data_centre.as_str() != own.data_centre {
                load *= 1.0 + REMOTE_COST;
            }
            load *= 1.0 + NO_REPLICA_COST * (1.0 - replica_share(&peer.instance.data_centre));
            load *= 1.0 + JITTER_SHARE * rng.random::<f64>();
            if best.is_none_or(|(_, lowest)| load < lowest) {
                best = Some((peer, load));
            }
        }
        best.map(|(peer, _)| &peer.instance)
    }

    /// Returns the instance of a data centre that shards are given to, if any has as much of a
    /// processor as this one.
    pub fn branch_instance(
        &self,
        now: Time,
        data_centre: &DataCentre,
        cpu_share: f64,
        rng: &mut impl Rng,
    ) -> Option<&Instance> {
        let is_eligible = |peer: &&Peer| {
            let instance = &peer.instance;
            instance.data_centre == *data_centre
                && instance.cpu_share >= cpu_share
                && peer.ejected_until <= now
        };
        let mut best: Option<(&Peer, f64)> = None;
        for peer in self.peers.iter().filter(is_eligible) {
            let load = f64::from(peer.pending + 1) / peer.instance.cpu_share;
            let load = load * (1.0 + JITTER_SHARE * rng.random::<f64>());
            if best.is_none_or(|(_, lowest)| load < lowest) {
                best = Some((peer, load));
            }
        }
        best.map(|(peer, _)| &peer.instance)
    }

    /// Returns the other instances in the data centre of one that is silent which have not been heard
    /// from lately either.
    pub fn silent_neighbours(&self, now: Time, silent: &InstanceName) -> Vec<InstanceName> {
        let is_silent_one = |peer: &&Peer| peer.instance.name == *silent;
        let Some(silent) = self.peers.iter().find(is_silent_one) else {
            return Vec::new();
        };
        let is_silent = |peer: &&Peer| {
            let is_alive = peer
                .last_alive
                .is_some_and(|at| now.since(at) < ALIVE_RECENTLY);
            peer.instance.data_centre == silent.instance.data_centre
                && peer.instance.name != silent.instance.name
                && !is_alive
        };
        let others = self.peers.iter().filter(is_silent);
        others.map(|peer| peer.instance.name.clone()).collect()
    }

    /// Counts a search that was handed over.
    pub fn add_pending(&mut self, name: &InstanceName) {
        if let Some(peer) = self.find(name) {
            peer.pending += 1;
        }
    }

    /// Counts the end of a search that was handed over.
    pub fn remove_pending(&mut self, name: &InstanceName) {
        if let Some(peer) = self.find(name) {
            peer.pending = peer.pending.saturating_sub(1);
        }
    }

    /// Notes that an instance is alive.
    pub fn mark_alive(&mut self, now: Time, name: &InstanceName) {
        if let Some(peer) = self.find(name) {
            peer.last_alive = Some(now);
            peer.ejections = 0;
        }
    }

    /// Returns whether an instance was heard from since a time.
    pub fn is_alive_since(&self, name: &InstanceName, since: Time) -> bool {
        let peer = self.peers.iter().find(|peer| peer.instance.name == *name);
        peer.and_then(|peer| peer.last_alive)
            .is_some_and(|at| at >= since)
    }

    /// Has an instance passed over for a while; returns whether that is news.
    pub fn eject(&mut self, now: Time, name: &InstanceName) -> bool {
        let Some(peer) = self.find(name).filter(|peer| peer.ejected_until <= now) else {
            return false;
        };
        peer.ejected_until =
            now + (EJECTION_MIN * 2_u32.pow(peer.ejections.min(8))).min(EJECTION_MAX);
        peer.ejections += 1;
        true
    }

    fn find(&mut self, name: &InstanceName) -> Option<&mut Peer> {
        self.peers
            .iter_mut()
            .find(|peer| peer.instance.name == *name)
    }
}

/// What the choosing instance knows of itself.
#[derive(Clone, Copy, Debug)]
pub struct LocalInstance<'a> {
    /// Processor, as a share of a core.
    pub cpu_share: f64,
    /// Data centre.
    pub data_centre: &'a str,
}
