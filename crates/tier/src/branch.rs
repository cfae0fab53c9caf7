//! Which shards of a search another instance asks.
//!
//! Load pattern: each data centre has replicas of a part of the shards only, so that every search
//! fetches the replies of all others from elsewhere, a kilobyte each, at any load. An instance that
//! stands beside those replicas asks them in its place and returns the greatest records of them as
//! one reply. What it knows of the queues of these shards comes back with that reply, and so each
//! shard is known best by the few instances beside it.

use std::{collections::HashMap, time::Duration};

use base::{DataCentre, Time};
use rand::{Rng, seq::SliceRandom};

/// Fewest shards for which another instance is asked; its request and reply are about as long as
/// those of two shards.
const MIN_BRANCH_SHARDS: usize = 4;

/// Time in which a told share loses half of its distance from 1, so that a shard that every search
/// leaves out is asked again.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Shards that a data centre has replicas of, and the own one has not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemoteShards {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Positions of the shards.
    pub shards: Vec<usize>,
}

/// Returns the data centres to which shards may be given, the one with most of them first.
///
/// `replicas` gives the data centres of each shard's replicas.
pub fn plan<'a, I>(
    own: &str,
    replicas: impl Iterator<Item = I>,
    rng: &mut impl Rng,
) -> Vec<RemoteShards>
where
    I: Iterator<Item = &'a DataCentre>,
{
    let mut remote: HashMap<&DataCentre, Vec<usize>> = HashMap::new();
    let mut data_centres: Vec<&DataCentre> = Vec::new();
    for (at, replicas) in replicas.enumerate() {
        data_centres.clear();
        data_centres.extend(replicas);
        if data_centres
            .iter()
            .any(|data_centre| data_centre.as_str() == own)
        {
            continue;
        }
        data_centres.sort_unstable();
        data_centres.dedup();
        for data_centre in &data_centres {
            remote.entry(data_centre).or_default().push(at);
        }
    }
    let mut all: Vec<RemoteShards> = remote
        .into_iter()
        .filter(|(_, shards)| shards.len() >= MIN_BRANCH_SHARDS)
        .map(|(data_centre, shards)| RemoteShards {
            data_centre: data_centre.clone(),
            shards,
        })
        .collect();
    // Among equals chance decides, so that each gets its part.
    all.shuffle(rng);
    all.sort_by_key(|remote| std::cmp::Reverse(remote.shards.len()));
    all
}

/// What an instance has told about a shard that it asks for others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedShare {
    share: f64,
    at: Time,
}

impl ReportedShare {
    /// Takes the share of searches that the shard takes.
    pub fn new(now: Time, share: f64) -> Self {
        Self { share, at: now }
    }

    /// Returns that share.
    pub fn share(self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        1.0 - (1.0 - self.share) * 0.5_f64.powf(age)
    }
}
