//! Searches through one reducer: coverage, deadlines, hedges and crashing upstreams.

use std::time::Duration;

use bytes::Bytes;
use cat::Class;
use node::Answer;
use rig::sim::{Fault, Scenario, UpstreamBehaviour, World};

fn found(world: &World, request: base::RequestId) -> (node::SearchResults, Duration) {
    match world.answers.get(&request) {
        Some((Answer::Results(found), took)) => (found.clone(), *took),
        other => panic!("no result of a search: {other:?}"),
    }
}

fn search(world: &mut World, class: Class, body: &'static str) -> (node::SearchResults, Duration) {
    let request = world.search(
        0,
        &Scenario::entry(class),
        &Bytes::from_static(body.as_bytes()),
    );
    world.advance(Duration::from_secs(1));
    found(world, request)
}

#[test]
fn answers_with_every_shard() {
    let mut world = Scenario::default().world();
    let (found, took) = search(&mut world, Class::Latency, "harp");
    assert_eq!(found.coverage.answered, 8);
    assert!(found.coverage.missing.is_empty());
    assert!(took < Duration::from_millis(30), "took {took:?}");
    assert!(
        world.history.check().is_empty(),
        "{:?}",
        world.history.check()
    );
}

#[test]
fn reports_shards_without_a_live_replica() {
    let scenario = Scenario {
        replicas: 1,
        ..Scenario::default()
    };
    let mut world = scenario.world();
    search(&mut world, Class::Latency, "harp");
    world.schedule_fault(Duration::ZERO, Fault::CrashUpstream { upstream: 0 });
    let (found, took) = search(&mut world, Class::Latency, "harp");
    assert_eq!(found.coverage.answered, 6);
    assert_eq!(found.coverage.missing.len(), 2);
    assert!(took <= Duration::from_millis(180), "took {took:?}");
}

#[test]
fn coverage_class_tries_every_replica() {
    let mut world = Scenario::default().world();
    search(&mut world, Class::Coverage, "harp");
    for upstream in [0, 2] {
        world.schedule_fault(Duration::ZERO, Fault::CrashUpstream { upstream });
    }
    let (found, _) = search(&mut world, Class::Coverage, "harp");
    assert_eq!(
        found.coverage.answered, 8,
        "missing {:?}",
        found.coverage.missing
    );
}

#[test]
fn crashing_request_breaks_at_most_two_upstreams() {
    let scenario = Scenario {
        upstreams: 8,
        shards: 32,
        ..Scenario::default()
    };
    let mut world = scenario.world();
    for _ in 0..20 {
        world.search(
            0,
            &Scenario::entry(Class::Latency),
            &Bytes::from_static(b"crash me"),
        );
        world.advance(Duration::from_millis(50));
    }
    let broken: u32 = (0..8)
        .map(|u| world.crash_count(Scenario::address(u)))
        .sum();
    assert!(broken <= 2, "{broken} upstreams broke");
    let (found, _) = search(&mut world, Class::Latency, "harp");
    assert_eq!(found.coverage.answered, 32, "others are unharmed");
}

#[test]
fn slots_are_never_exceeded() {
    let scenario = Scenario {
        slots: 2,
        ..Scenario::default()
    };
    let mut world = scenario.world();
    for _ in 0..200 {
        world.search(
            0,
            &Scenario::entry(Class::Latency),
            &Bytes::from_static(b"harp"),
        );
        world.advance(Duration::from_millis(2));
    }
    world.advance(Duration::from_secs(1));
    for upstream in 0..4 {
        assert!(world.max_active(Scenario::address(upstream)) <= 2);
    }
    assert!(world.history.check().is_empty());
}

#[test]
fn hedges_cut_the_tail_of_stragglers() {
    let slow = UpstreamBehaviour {
        slow_one_in: 100,
        ..UpstreamBehaviour::default()
    };
    let tail = |hedge| {
        let mut scenario = Scenario {
            shards: 100,
            upstreams: 20,
            slots: 64,
            ..Scenario::default()
        };
        scenario.upstream = slow.clone();
        scenario.limits.hedge = base::Percent(hedge);
        let mut world = scenario.world();
        let mut took: Vec<Duration> = Vec::new();
        for _ in 0..400 {
            let request = world.search(
                0,
                &Scenario::entry(Class::Latency),
                &Bytes::from_static(b"harp"),
            );
            world.advance(Duration::from_millis(100));
            took.push(found(&world, request).1);
        }
        took.sort_unstable();
        let stats = *world.node(0).expect("it runs").stats();
        (took[395], stats.hedges, stats.first_attempts)
    };
    let (plain, _, _) = tail(0);
    let (hedged, hedges, first) = tail(5);
    assert!(hedged < plain / 2, "p99 {hedged:?} against {plain:?}");
    assert!(
        hedges * 20 <= first + 20 * 20,
        "{hedges} hedges of {first} first attempts"
    );
}

#[test]
fn shutdown_ends_after_a_peer_with_queued_requests_crashed() {
    let mut scenario = Scenario {
        instances: 2,
        slots: 1,
        ..Scenario::default()
    };
    scenario.upstream.service_time = Duration::from_millis(30);
    let mut world = scenario.world();
    for _ in 0..3 {
        let body = Bytes::from_static(b"harp");
        world.search(1, &Scenario::entry(Class::Latency), &body);
    }
    let crash = Fault::Crash {
        instance: 1,
        restart: Duration::from_millis(100),
    };
    world.schedule_fault(Duration::from_millis(60), crash);
    world.schedule_fault(Duration::from_millis(40), Fault::Drain { instance: 0 });
    world.advance(Duration::from_secs(15));
    assert!(world.node(0).is_none(), "the shutdown has not ended");
}

#[test]
fn hedges_recover_from_a_slow_start() {
    let mut scenario = Scenario {
        shards: 100,
        upstreams: 20,
        slots: 64,
        ..Scenario::default()
    };
    scenario.upstream.slow_one_in = 5;
    let mut world = scenario.world();
    for _ in 0..16 {
        search(&mut world, Class::Latency, "harp");
    }
    for upstream in 0..20 {
        let plan = world
            .upstream_behaviour(Scenario::address(upstream))
            .unwrap();
        plan.slow_one_in = 100;
    }
    let mut took: Vec<Duration> = (0..100)
        .map(|_| search(&mut world, Class::Latency, "harp").1)
        .collect();
    took.drain(..30);
    took.sort_unstable();
    assert!(took[63] < Duration::from_millis(30), "p90 {:?}", took[63]);
}

#[test]
fn first_hedge_goes_to_another_upstream() {
    let scenario = Scenario {
        upstreams: 2,
        shards: 1,
        ..Scenario::default()
    };
    let mut world = scenario.world();
    for _ in 0..40 {
        search(&mut world, Class::Latency, "harp");
    }
    let stuck = world.upstream_behaviour(Scenario::address(0)).unwrap();
    stuck.service_time = Duration::from_secs(10);
    for _ in 0..20 {
        let (found, took) = search(&mut world, Class::Latency, "harp");
        assert_eq!(found.coverage.answered, 1);
        assert!(took < Duration::from_millis(15), "took {took:?}");
    }
}
