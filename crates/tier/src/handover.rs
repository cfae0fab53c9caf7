//! Handover: chooses the instance that runs a search, and tracks the other instances.
//!
//! Load pattern: a search over a hundred shards reaches an instance with a tenth of a core. Sending
//! and reading that many parts takes longer than the caller waits, although the CPU is idle most of
//! the time. Also, each of many instances queries a shard only once in several seconds, so that
//! nearly every part opens a new connection. Such an instance hands its searches over to one of the
//! few instances with a larger CPU share, whose connections are kept open. It runs them itself when
//! none of those accepts them.
//!
//! The handover of a search is unrelated to that of an upstream to a new owner (`node::owners`).

mod relay;

use std::{net::SocketAddr, time::Duration};

use base::{DataCentre, InstanceName, Time};
use rand::{Rng, seq::IteratorRandom};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::config::Search;

/// CPU time for one part on a whole core: `edge-load` shows 0.09 ms on a kept connection and twice
/// that on a new one.
const PART_CPU_TIME: Duration = Duration::from_micros(200);

/// Maximum share of a route's objective that the CPU time for a search may take for it to run
/// locally.
const MAX_LOCAL_SHARE: f64 = 0.25;

/// Minimum ratio of the other instance's CPU share to the local one; below it, a handover costs
/// more than it saves.
const MIN_CPU_RATIO: f64 = 2.0;

/// Load penalty of an instance in another data centre, as a share of its load.
const REMOTE_COST: f64 = 0.3;

/// Load penalty of an instance whose data centre has no replica of any shard, as a share of its
/// load: all of its parts would cross data centres, instead of a single answer.
const NO_REPLICA_COST: f64 = 2.0;

/// Maximum random addition to a load, as a share of it, so that instances do not all choose the
/// same one.
const JITTER_SHARE: f64 = 0.5;

/// Weight of the CPU shares in a data centre without replicas of a service when limits are divided
/// among all instances; those instances query the service only when no branch instance can.
const REMOTE_WEIGHT: f64 = 0.25;

/// Number of instances that count the upstreams that a request has crashed, so that some of them
/// are up and reachable at any time.
const COLLECTORS: usize = 3;

/// Maximum number of instances that one tells something at once: each takes a connection. The
/// others learn it from the platform.
const MAX_RECIPIENTS: usize = 256;

/// Maximum time since an instance's last activity for it to stay in use when another instance of
/// its data centre is silent.
const RECENT_ACTIVITY: Duration = Duration::from_secs(1);

/// Duration of the first ejection of an instance that was unreachable, silent or declined a search.
const EJECTION_MIN: Duration = Duration::from_secs(1);

/// Maximum duration of an ejection; each one in a row is twice as long as the one before.
const EJECTION_MAX: Duration = Duration::from_secs(16);

/// An instance's record of itself, as published on the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Name.
    pub name: InstanceName,
    /// Address where it accepts connections from other instances.
    pub address: SocketAddr,
    /// Data centre that it is in.
    pub data_centre: DataCentre,
    /// CPU share, as a fraction of a core.
    pub cpu_share: f64,
    /// Level of the protocol between instances that it speaks.
    pub protocol: ProtocolLevel,
}

/// Level of the protocol between instances, which rises with each change that older builds would
/// get wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProtocolLevel(pub u32);

impl ProtocolLevel {
    /// The level from which instances authenticate callers and name their organisations.
    pub const ORGANISATIONS: Self = Self(1);

    /// The level of this build.
    pub const CURRENT: Self = Self(1);
}

/// State of another instance, as observed by this one.
#[derive(Clone, Debug)]
struct Peer {
    instance: Instance,
    /// Searches that were handed over to it and are pending.
    pending: u32,
    /// Time of its last activity.
    last_activity: Option<Time>,
    /// Ejections in a row since its last activity.
    ejections: u32,
    ejected_until: Time,
    /// Whether this instance does not reach its data centre.
    is_separated: bool,
}

impl Peer {
    fn is_usable(&self, now: Time) -> bool {
        self.ejected_until <= now && !self.is_separated
    }
}

/// All instances.
#[derive(Clone, Debug, Default)]
pub struct Instances {
    peers: Vec<Peer>,
    /// Sum of the instances' CPU shares in each data centre.
    cpu_shares: Vec<(DataCentre, f64)>,
    /// The highest CPU share of an instance.
    most_cpu: f64,
    /// Number of instances, this one included; `None` until they are known.
    count: Option<usize>,
}

impl Instances {
    /// Replaces the list of instances; the state of those that are unchanged is kept. Returns the
    /// other instances that are new.
    pub fn set(&mut self, all: Vec<Instance>, own: &str) -> Vec<Instance> {
        self.count = Some(all.len().max(1));
        self.cpu_shares.clear();
        let cpu_shares = all.iter().map(|instance| instance.cpu_share);
        self.most_cpu = cpu_shares.fold(0.0, f64::max);
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
        let mut new = Vec::new();
        let others = all.into_iter().filter(|it| it.name.as_str() != own);
        self.peers = others
            .map(|instance| {
                let known = old.iter().find(|peer| peer.instance == instance);
                known.cloned().unwrap_or_else(|| {
                    new.push(instance.clone());
                    Peer {
                        instance,
                        pending: 0,
                        last_activity: None,
                        ejections: 0,
                        ejected_until: Time::ZERO,
                        is_separated: false,
                    }
                })
            })
            .collect();
        new
    }

    /// Returns the number of instances, if it is known.
    pub fn count(&self) -> Option<usize> {
        self.count
    }

    /// Returns the local instance's share of a resource that all instances share in proportion to
    /// their CPU shares, if those are known. Instances in data centres without a replica of the
    /// resource count for less.
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

    /// Returns the local instance's share of something that all instances have in common, by the
    /// weights that `weight` gives to instances of a data centre and CPU share; `None` if the
    /// instances are not known.
    pub fn weighted_share(
        &self,
        own: LocalInstance<'_>,
        weight: impl Fn(&str, f64) -> f64,
    ) -> Option<f64> {
        self.count?;
        let own_weight = weight(own.data_centre, own.cpu_share);
        let others = self.peers.iter().map(|peer| &peer.instance);
        let sum: f64 = others
            .map(|it| weight(it.data_centre.as_str(), it.cpu_share))
            .sum();
        (own_weight > 0.0).then(|| own_weight / (own_weight + sum))
    }

    /// Returns whether instances with a CPU share hand a search over to others.
    pub fn hands_over(&self, cpu_share: f64, search: Search) -> bool {
        exceeds_cpu_time(cpu_share, search.parts, search.objective)
            && self.most_cpu >= cpu_share * MIN_CPU_RATIO
    }

    /// Returns the instance that a search should be handed to, if any.
    /// `replica_share` returns the share of the shards that have a replica in the data centre of an
    /// instance, and `None` if that may not run the search.
    pub fn choose(
        &self,
        now: Time,
        search: Search,
        own: LocalInstance<'_>,
        replica_share: impl Fn(&Instance) -> Option<f64>,
        rng: &mut impl Rng,
    ) -> Option<&Instance> {
        if !exceeds_cpu_time(own.cpu_share, search.parts, search.objective) {
            return None;
        }
        let mut best: Option<(&Peer, f64)> = None;
        for peer in &self.peers {
            let cpu_share = peer.instance.cpu_share;
            if cpu_share < own.cpu_share * MIN_CPU_RATIO || !peer.is_usable(now) {
                continue;
            }
            let Some(replica_share) = replica_share(&peer.instance) else {
                continue;
            };
            let mut load = f64::from(peer.pending + 1) / cpu_share;
            if peer.instance.data_centre.as_str() != own.data_centre {
                load *= 1.0 + REMOTE_COST;
            }
            load *= 1.0 + NO_REPLICA_COST * (1.0 - replica_share);
            load *= 1.0 + JITTER_SHARE * rng.random::<f64>();
            if best.is_none_or(|(_, lowest)| load < lowest) {
                best = Some((peer, load));
            }
        }
        best.map(|(peer, _)| &peer.instance)
    }

    /// Returns the branch instance for shards of a data centre, if an instance there has at least
    /// this CPU share and speaks at least this level of the protocol.
    pub fn branch_instance(
        &self,
        now: Time,
        data_centre: &DataCentre,
        cpu_share: f64,
        needed: ProtocolLevel,
        rng: &mut impl Rng,
    ) -> Option<&Instance> {
        let is_eligible = |peer: &&Peer| {
            let instance = &peer.instance;
            instance.data_centre == *data_centre
                && instance.cpu_share >= cpu_share
                && instance.protocol >= needed
                && peer.is_usable(now)
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

    /// Returns the other instances in a silent instance's data centre that have shown no recent
    /// activity either.
    pub fn silent_neighbours(&self, now: Time, silent: &InstanceName) -> Vec<InstanceName> {
        let is_silent_one = |peer: &&Peer| peer.instance.name == *silent;
        let Some(silent) = self.peers.iter().find(is_silent_one) else {
            return Vec::new();
        };
        let is_silent = |peer: &&Peer| {
            let is_alive = peer
                .last_activity
                .is_some_and(|at| now.since(at) < RECENT_ACTIVITY);
            peer.instance.data_centre == silent.instance.data_centre
                && peer.instance.name != silent.instance.name
                && !is_alive
        };
        let others = self.peers.iter().filter(is_silent);
        others.map(|peer| peer.instance.name.clone()).collect()
    }

    /// Returns the collectors of a request, this instance left out: the instances that count the
    /// upstreams that it has crashed, the same on each instance that reaches the same ones.
    pub fn collectors(&self, now: Time, own: &str, digest: u64) -> Vec<&Instance> {
        let rank = |name: &str| xxh3_64_with_seed(name.as_bytes(), digest);
        let own_rank = rank(own);
        let usable = self.peers.iter().filter(|peer| peer.is_usable(now));
        let mut ranked: Vec<(u64, &Instance)> = usable
            .map(|peer| (rank(peer.instance.name.as_str()), &peer.instance))
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        let is_collector = ranked
            .get(COLLECTORS - 1)
            .is_none_or(|(last, _)| own_rank < *last);
        ranked.truncate(COLLECTORS - usize::from(is_collector));
        ranked.into_iter().map(|(_, instance)| instance).collect()
    }

    /// Returns whether this instance comes first among the collectors of a request.
    pub fn is_first_collector(&self, now: Time, own: &str, digest: u64) -> bool {
        let rank = |name: &str| xxh3_64_with_seed(name.as_bytes(), digest);
        let mut usable = self.peers.iter().filter(|peer| peer.is_usable(now));
        usable.all(|peer| rank(own) < rank(peer.instance.name.as_str()))
    }

    /// Returns the other instances, or a random choice of them if there are too many to tell each
    /// of them something at once.
    pub fn recipients(&self, rng: &mut impl Rng) -> Vec<Instance> {
        let all = self.peers.iter().map(|peer| peer.instance.clone());
        all.choose_multiple(rng, MAX_RECIPIENTS)
    }

    /// Returns another instance by its name.
    pub fn get(&self, name: &InstanceName) -> Option<&Instance> {
        let mut all = self.peers.iter().map(|peer| &peer.instance);
        all.find(|instance| instance.name == *name)
    }

    /// Counts a search that was handed over to an instance.
    pub fn add_pending(&mut self, name: &InstanceName) {
        if let Some(peer) = self.find(name) {
            peer.pending += 1;
        }
    }

    /// Counts the end of a search that was handed over to an instance.
    pub fn remove_pending(&mut self, name: &InstanceName) {
        if let Some(peer) = self.find(name) {
            peer.pending = peer.pending.saturating_sub(1);
        }
    }

    /// Records activity of an instance.
    pub fn mark_alive(&mut self, now: Time, name: &InstanceName) {
        if let Some(peer) = self.find(name) {
            peer.last_activity = Some(now);
            peer.ejections = 0;
        }
    }

    /// Returns whether an instance has shown activity since a time.
    pub fn is_alive_since(&self, name: &InstanceName, since: Time) -> bool {
        let peer = self.peers.iter().find(|peer| peer.instance.name == *name);
        peer.and_then(|peer| peer.last_activity)
            .is_some_and(|at| at >= since)
    }

    /// Ejects an instance; returns whether it was not ejected already.
    pub fn eject(&mut self, now: Time, name: &InstanceName) -> bool {
        let Some(peer) = self.find(name).filter(|peer| peer.ejected_until <= now) else {
            return false;
        };
        peer.ejected_until =
            now + (EJECTION_MIN * 2_u32.pow(peer.ejections.min(8))).min(EJECTION_MAX);
        peer.ejections += 1;
        true
    }

    /// Returns the names of the instances in a data centre that are not ejected.
    pub fn in_data_centre(
        &self,
        now: Time,
        data_centre: &DataCentre,
    ) -> impl Iterator<Item = &InstanceName> {
        let peers = self.peers.iter();
        let there = peers
            .filter(move |it| it.instance.data_centre == *data_centre && it.ejected_until <= now);
        there.map(|peer| &peer.instance.name)
    }

    /// Returns the other instances in the local data centre, up to the number that one tells
    /// something at once.
    pub fn neighbours(&self, own_data_centre: &str) -> Vec<Instance> {
        let all = self.peers.iter().map(|peer| &peer.instance);
        let near = all.filter(|it| it.data_centre.as_str() == own_data_centre);
        near.take(MAX_RECIPIENTS).cloned().collect()
    }

    /// Records whether this instance reaches a data centre. Instances that are in reach again are
    /// used at once.
    pub fn set_separated(&mut self, now: Time, data_centre: &DataCentre, is_separated: bool) {
        for peer in &mut self.peers {
            if peer.instance.data_centre == *data_centre {
                peer.is_separated = is_separated;
                if !is_separated {
                    peer.ejections = 0;
                    peer.ejected_until = now;
                }
            }
        }
    }

    fn find(&mut self, name: &InstanceName) -> Option<&mut Peer> {
        self.peers
            .iter_mut()
            .find(|peer| peer.instance.name == *name)
    }
}

/// Returns the CPU time that an instance with a CPU share needs for a search over `parts` shards.
pub fn own_work(cpu_share: f64, parts: usize) -> Duration {
    PART_CPU_TIME.mul_f64(parts as f64 / cpu_share.max(1e-3))
}

/// Returns whether a search over `parts` shards takes too much of its objective to run on an
/// instance with a CPU share.
fn exceeds_cpu_time(cpu_share: f64, parts: usize, objective: Duration) -> bool {
    own_work(cpu_share, parts) > objective.mul_f64(MAX_LOCAL_SHARE)
}

/// Properties of the local instance.
#[derive(Clone, Copy, Debug)]
pub struct LocalInstance<'a> {
    /// CPU share, as a fraction of a core.
    pub cpu_share: f64,
    /// Data centre.
    pub data_centre: &'a str,
}
