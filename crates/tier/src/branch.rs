//! Branches: decides which shards of a search another instance queries.
//!
//! Load pattern: each data centre has replicas of only some of the shards, so every search would
//! fetch the replies of all others from other data centres, a kilobyte each, at any load. Instead,
//! an instance in the data centre of those replicas (the branch instance) queries them and returns
//! their greatest records as one reply. The reply also reports the admitted shares of these shards,
//! as the few instances close to a shard observe its load best.

use std::{collections::BTreeMap, time::Duration};

use base::{DataCentre, Time};
use rand::{Rng, seq::SliceRandom};

/// Minimum number of shards of a branch; its request and reply are about as large as those of two
/// shards.
const MIN_BRANCH_SHARDS: usize = 4;

/// Time in which a reported share moves half of its distance back to 1, so that a shard that every
/// search skips is queried again.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Shards that have replicas in a remote data centre and none in the local one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemoteShards {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Positions of the shards.
    pub shards: Vec<usize>,
}

/// Returns the data centres that a branch may be sent to, the one with the most shards first.
///
/// `replicas` yields the data centres of each shard's replicas.
pub fn plan<'a, I>(
    own: &str,
    replicas: impl Iterator<Item = I>,
    rng: &mut impl Rng,
) -> Vec<RemoteShards>
where
    I: Iterator<Item = &'a DataCentre>,
{
    let mut remote: BTreeMap<&DataCentre, Vec<usize>> = BTreeMap::new();
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
    // Data centres with equally many shards are chosen at random, so that each gets its share.
    all.shuffle(rng);
    all.sort_by_key(|remote| std::cmp::Reverse(remote.shards.len()));
    all
}

/// Admitted share of a shard, as reported by a branch instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedShare {
    share: f64,
    at: Time,
}

impl ReportedShare {
    /// Creates a report of the admitted share.
    pub fn new(now: Time, share: f64) -> Self {
        Self { share, at: now }
    }

    /// Returns the share, which returns to 1 with the age of the report.
    pub fn share(self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        1.0 - (1.0 - self.share) * 0.5_f64.powf(age)
    }
}
