//! Watchers and followers: chooses the instances that watch the platform; the others receive its
//! updates from those.
//!
//! Load pattern: a hundred or more instances wait for the same changes. Every reply to a watch is a
//! call that the platform counts and serves, so the calls grow with the product of instances and
//! changes. Instead, a few instances of each data centre watch, and the others follow one of them.
//! An instance that cannot follow any other watches by itself.

use std::hash::Hasher;

use xxhash_rust::xxh3::Xxh3Default;

use crate::handover::Instance;

/// Number of instances up to which each watches by itself.
pub const FOLLOWING_THRESHOLD: usize = 24;

/// Number of watchers per data centre; with two, one may fail at any time.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Returns the watchers that an instance may follow, the preferred one first; empty if the instance
/// has to watch by itself.
pub fn candidates(all: &[Instance], own: &str) -> Vec<Instance> {
    let Some(this) = all.iter().find(|it| it.name.as_str() == own) else {
        return Vec::new();
    };
    if all.len() <= FOLLOWING_THRESHOLD {
        return Vec::new();
    }
    let mut by_cpu_share: Vec<&Instance> = all.iter().collect();
    by_cpu_share.sort_by(|a, b| {
        let cpu_share = b.cpu_share.total_cmp(&a.cpu_share);
        cpu_share.then_with(|| a.name.cmp(&b.name))
    });
    let mut watchers: Vec<&Instance> = Vec::new();
    for instance in by_cpu_share {
        let is_in_same_data_centre = |other: &&&Instance| other.data_centre == instance.data_centre;
        if watchers.iter().filter(is_in_same_data_centre).count() < WATCHERS_PER_DATA_CENTRE {
            watchers.push(instance);
        }
    }
    if watchers.iter().any(|it| it.name == this.name) {
        return Vec::new();
    }
    // Rendezvous hashing spreads followers over the watchers of their data centre, and over all
    // others when those fail.
    watchers.sort_by_key(|it| {
        let is_remote = it.data_centre != this.data_centre;
        (is_remote, rendezvous_hash(own, it.name.as_str()))
    });
    watchers.into_iter().cloned().collect()
}

fn rendezvous_hash(a: &str, b: &str) -> u64 {
    let mut hash = Xxh3Default::new();
    hash.write(a.as_bytes());
    hash.write(&[0]);
    hash.write(b.as_bytes());
    hash.finish()
}
