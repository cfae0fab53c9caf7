//! A request that crashes upstreams does not harm requests that were in flight with it.

use std::time::Duration;

use base::Time;
use bytes::Bytes;
use cat::Class;
use node::{Answer, quarantine::Quarantine};
use rig::sim::{Scenario, World};

/// Instances in the data centre.
const INSTANCES: usize = 6;
/// Bodies of ordinary searches, each sent many times.
const BODIES: [&[u8]; 4] = [b"harp", b"choir", b"transcript", b"custody"];

fn search_all(world: &mut World, rounds: usize, breaking: bool) -> Vec<base::RequestId> {
    let mut ordinary = Vec::new();
    for round in 0..rounds {
        for instance in 0..INSTANCES {
            let body = Bytes::from_static(BODIES[(round + instance) % BODIES.len()]);
            ordinary.push(world.search(instance, &Scenario::entry(Class::Latency), &body));
            world.advance(Duration::from_millis(3));
        }
        if breaking {
            for instance in 0..INSTANCES {
                let body = Bytes::from_static(b"crash me");
                world.search(instance, &Scenario::entry(Class::Latency), &body);
            }
        }
    }
    ordinary
}

#[test]
fn ordinary_requests_are_not_blamed_for_another_ones_crash() {
    for seed in 1..=5 {
        let scenario = Scenario {
            instances: INSTANCES,
            upstreams: 12,
            shards: 24,
            slots: 16,
            seed,
            ..Scenario::default()
        };
        let mut world = scenario.world();
        search_all(&mut world, 100, false);
        let ordinary = search_all(&mut world, 300, true);
        world.advance(Duration::from_secs(1));
        let is_whole = |request: &base::RequestId| match world.answers.get(request) {
            Some((Answer::Results(found), _)) => found.coverage.missing.is_empty(),
            _ => false,
        };
        let harmed = ordinary.iter().filter(|request| !is_whole(request)).count();
        assert_eq!(harmed, 0, "seed {seed}: of {} requests", ordinary.len());
        let broken: u32 = (0..12)
            .map(|u| world.crash_count(Scenario::address(u)))
            .sum();
        assert!(broken <= 2, "seed {seed}: {broken} upstreams broke");
    }
}

/// Guards against a quarantine by resets alone: two connections broke within a minute, and replies
/// to the request in between counted for nothing.
#[test]
fn resets_of_an_answered_request_do_not_quarantine_it() {
    let mut quarantine = Quarantine::default();
    let digest = 7;
    for (second, upstream) in [(0, "u-1"), (20, "u-2"), (40, "u-3")] {
        let now = Time::ZERO + Duration::from_secs(second);
        quarantine.record_broken(now, digest, &upstream.parse().unwrap());
        quarantine.record_answered(now, digest, |_| true);
        assert!(quarantine.remaining(now, digest).is_none(), "{upstream}");
    }
}
