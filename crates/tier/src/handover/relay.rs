//! Relays: chooses the instance that serves requests of an instance that is cut off.
//!
//! Load pattern: some instances, or all of a data centre, reach no upstream, while callers still
//! reach them, and the others have to take the load of all of these at once. The neighbours of a
//! cut-off instance are probably cut off too, and records of instances that are gone may still be
//! listed.

use std::collections::HashSet;

use base::{DataCentre, Time};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{Instance, Instances, Peer, ProtocolLevel};
use crate::config::Search;

/// Number of instances among which one that is cut off divides its requests.
const RELAY_PARTNERS: usize = 6;

/// Factor on the load of an instance that may not serve, when requests are divided among the
/// partners.
const DOUBT_COST: f64 = 3.0;

/// What is known of another instance from what was handed to it last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// It was active and has not failed since.
    Active,
    /// Nothing is known of it.
    Unknown,
    /// It was unreachable, silent or declined.
    Failed,
}

impl Standing {
    fn of(peer: &Peer) -> Self {
        match (peer.ejections, peer.last_activity) {
            (1.., _) => Self::Failed,
            (0, Some(_)) => Self::Active,
            (0, None) => Self::Unknown,
        }
    }
}

/// Order in which instances are chosen as partners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// It lacks the CPU time for the search.
    is_too_small: bool,
    standing: Standing,
    /// Another instance of its data centre is ejected.
    is_doubtful: bool,
    /// Random, but always the same for two instances.
    order: u64,
}

impl Instances {
    /// Returns the instance that a request is handed to because the local instance, named
    /// `own_name`, does not reach the upstreams: the least loaded one of its partners that are not
    /// ejected.
    ///
    /// Each instance has its own partners, so that those that are cut off spread their requests
    /// over all others and keep few connections. Those that failed last come last, then those in a
    /// data centre of which instances are ejected, as the whole data centre may be cut off. Only
    /// those that `may_run` allows are chosen.
    pub fn relay_instance(
        &self,
        now: Time,
        own_name: &str,
        search: Option<Search>,
        needed: ProtocolLevel,
        may_run: impl Fn(&Instance) -> bool,
    ) -> Option<&Instance> {
        let seed = xxh3_64(own_name.as_bytes());
        let is_ejected = |peer: &Peer| !peer.is_usable(now);
        let ejected = self.peers.iter().filter(|peer| is_ejected(peer));
        let doubtful: HashSet<&DataCentre> =
            ejected.map(|peer| &peer.instance.data_centre).collect();
        // Searches need instances with the CPU time for them.
        let is_too_small = |cpu_share| match search {
            Some(search) => self.hands_over(cpu_share, search),
            None => false,
        };
        let is_usable = |peer: &&Peer| {
            let instance = &peer.instance;
            !is_ejected(peer) && instance.protocol >= needed && may_run(instance)
        };
        let usable = self.peers.iter().filter(is_usable);
        let mut partners: Vec<(Rank, &Peer)> = usable
            .map(|peer| {
                let instance = &peer.instance;
                let rank = Rank {
                    is_too_small: is_too_small(instance.cpu_share),
                    standing: Standing::of(peer),
                    is_doubtful: doubtful.contains(&instance.data_centre),
                    order: xxh3_64_with_seed(instance.name.as_str().as_bytes(), seed),
                };
                (rank, peer)
            })
            .collect();
        partners.sort_unstable_by_key(|(rank, _)| *rank);
        partners.truncate(RELAY_PARTNERS);
        let load = |(rank, peer): &(Rank, &Peer)| {
            let is_doubtful = rank.is_doubtful || rank.standing == Standing::Failed;
            let cost = if is_doubtful { DOUBT_COST } else { 1.0 };
            cost * f64::from(peer.pending + 1) / peer.instance.cpu_share
        };
        let least = partners
            .into_iter()
            .min_by(|a, b| load(a).total_cmp(&load(b)));
        least.map(|(_, peer)| &peer.instance)
    }
}
