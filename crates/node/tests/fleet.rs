//! Several reducers in one data centre: shared slots, crashing requests, leaving upstreams and
//! configuration, also while instances join, leave, crash and pause.

use std::time::Duration;

use bytes::Bytes;
use cat::Class;
use node::{Answer, Kind};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rig::{
    history::Observation,
    sim::{Fault, Scenario, World},
};

/// Most instances that a user runs today.
const INSTANCES: usize = 17;

/// Slots of each upstream of the small service.
const SLOTS: u32 = 2;

fn small_service() -> Scenario {
    Scenario {
        instances: INSTANCES,
        upstreams: 6,
        shards: 12,
        slots: SLOTS,
        ..Scenario::default()
    }
}

/// Sends searches to all instances in turn for `length`, with a pause after each.
fn load(world: &mut World, length: Duration, pause: Duration) {
    let end = world.now() + length;
    let mut instance = 0;
    while world.now() < end {
        world.search(
            instance,
            &Scenario::entry(Class::Latency),
            &Bytes::from_static(b"harp"),
        );
        instance = (instance + 1) % INSTANCES;
        world.advance(pause);
    }
}

fn max_active(world: &World) -> usize {
    (0..6)
        .map(|u| world.max_active(Scenario::address(u)))
        .max()
        .unwrap_or_default()
}

fn covered(world: &World) -> (usize, usize) {
    let whole = |answer: &Answer| match answer {
        Answer::Results(found) => found.coverage.missing.is_empty(),
        _ => false,
    };
    let answers = world.answers.values();
    (
        answers.clone().filter(|(a, _)| whole(a)).count(),
        answers.count(),
    )
}

#[test]
fn slots_hold_across_seventeen_instances() {
    let mut world = small_service().world();
    load(&mut world, Duration::from_secs(2), Duration::from_millis(8));
    world.advance(Duration::from_secs(1));
    assert!(
        max_active(&world) <= SLOTS as usize,
        "{} requests at once",
        max_active(&world)
    );
    let (whole, all) = covered(&world);
    assert!(
        whole * 100 >= all * 99,
        "{whole} of {all} answers are whole"
    );
    assert_eq!(
        world.history.check().len(),
        0,
        "{:?}",
        world.history.check()
    );
}

#[test]
fn slots_hold_while_instances_crash_and_join() {
    let mut world = small_service().world();
    for (after, instance) in [(200, 3), (700, 5), (1_500, 3), (2_500, 9)] {
        let restart = Duration::from_millis(1_500);
        world.schedule_fault(
            Duration::from_millis(after),
            Fault::Crash { instance, restart },
        );
    }
    load(&mut world, Duration::from_secs(8), Duration::from_millis(8));
    world.advance(Duration::from_secs(1));
    assert!(
        max_active(&world) <= SLOTS as usize,
        "{} requests at once",
        max_active(&world)
    );
    assert_eq!(
        world.history.check().len(),
        0,
        "{:?}",
        world.history.check()
    );
}

#[test]
fn slots_hold_while_instances_stand_still() {
    let mut world = small_service().world();
    for (after, instance, length) in [(100, 2, 700), (900, 4, 3_000), (1_000, 6, 10_000)] {
        let length = Duration::from_millis(length);
        world.schedule_fault(
            Duration::from_millis(after),
            Fault::Pause { instance, length },
        );
    }
    load(
        &mut world,
        Duration::from_secs(14),
        Duration::from_millis(10),
    );
    world.advance(Duration::from_secs(1));
    assert!(
        max_active(&world) <= SLOTS as usize,
        "{} requests at once",
        max_active(&world)
    );
    assert_eq!(
        world.history.check().len(),
        0,
        "{:?}",
        world.history.check()
    );
}

#[test]
fn slots_hold_while_instances_drain() {
    let mut world = small_service().world();
    for (after, instance) in [(300, 1), (600, 8), (900, 12)] {
        world.schedule_fault(Duration::from_millis(after), Fault::Drain { instance });
    }
    load(&mut world, Duration::from_secs(4), Duration::from_millis(8));
    world.advance(Duration::from_secs(3));
    assert!(
        max_active(&world) <= SLOTS as usize,
        "{} requests at once",
        max_active(&world)
    );
    assert_eq!(
        world.history.check().len(),
        0,
        "{:?}",
        world.history.check()
    );
    let drained = |seen: &Observation| matches!(seen, Observation::Drained { .. });
    assert_eq!(
        world
            .history
            .observations
            .iter()
            .filter(|(_, seen)| drained(seen))
            .count(),
        3
    );
}

#[test]
fn crashing_request_breaks_two_upstreams_through_all_instances() {
    let mut world = small_service().world();
    for _ in 0..10 {
        for instance in 0..INSTANCES {
            let body = Bytes::from_static(b"crash me");
            world.search(instance, &Scenario::entry(Class::Coverage), &body);
        }
        world.advance(Duration::from_millis(700));
    }
    let broken: u32 = (0..6)
        .map(|u| world.crash_count(Scenario::address(u)))
        .sum();
    assert!(broken <= 2, "{broken} upstreams broke");
}

#[test]
fn leaving_upstream_gets_no_work_after_the_bound() {
    let mut world = small_service().world();
    world.schedule_fault(Duration::from_millis(500), Fault::Leave { upstream: 0 });
    load(
        &mut world,
        Duration::from_secs(6),
        Duration::from_millis(10),
    );
    assert_eq!(
        world.history.check().len(),
        0,
        "{:?}",
        world.history.check()
    );
}

#[test]
fn revision_is_in_force_everywhere_within_two_seconds() {
    let scenario = small_service();
    let mut world = scenario.world();
    for revision in 2..12 {
        let mut catalogue = scenario.catalogue();
        catalogue.entries[0].limits.results = 100 + u32::try_from(revision).unwrap();
        for (kind, name, value) in Scenario::objects(&catalogue, revision) {
            world.publish(kind, &name, value);
        }
        world.advance(Duration::from_secs(2));
        for instance in 0..INSTANCES {
            let held = world.node(instance).unwrap().stats().revision;
            assert_eq!(held.0, revision, "at instance {instance}");
        }
    }
}

#[test]
fn new_instance_is_updated_by_peers_during_an_outage() {
    let mut world = small_service().world();
    world.schedule_fault(
        Duration::ZERO,
        Fault::PlatformDown {
            length: Duration::from_secs(60),
        },
    );
    let restart = Duration::from_secs(1);
    world.schedule_fault(
        Duration::from_millis(10),
        Fault::Crash {
            instance: 7,
            restart,
        },
    );
    world.advance(Duration::from_secs(6));
    assert!(world.node(7).unwrap().stats().ready, "instance 7 serves");
    world.search(
        7,
        &Scenario::entry(Class::Latency),
        &Bytes::from_static(b"harp"),
    );
    world.advance(Duration::from_secs(1));
    assert_eq!(covered(&world), (1, 1));
}

#[test]
fn queries_follow_a_new_snapshot_without_mixing() {
    let scenario = small_service();
    let mut world = scenario.world();
    let ids = [base::SnapshotId(1), base::SnapshotId(2)];
    let both = scenario.index(vec![
        scenario.snapshot(ids[0], 12),
        scenario.snapshot(ids[1], 9),
    ]);
    world.publish(Kind::Index, "service", both);
    for upstream in 0..6 {
        load(
            &mut world,
            Duration::from_millis(300),
            Duration::from_millis(10),
        );
        let plan = world
            .upstream_behaviour(Scenario::address(upstream))
            .unwrap();
        plan.snapshots.insert(ids[1]);
    }
    for upstream in 0..6 {
        load(
            &mut world,
            Duration::from_millis(300),
            Duration::from_millis(10),
        );
        let plan = world
            .upstream_behaviour(Scenario::address(upstream))
            .unwrap();
        plan.snapshots.remove(&ids[0]);
    }
    load(
        &mut world,
        Duration::from_secs(2),
        Duration::from_millis(10),
    );
    world.advance(Duration::from_secs(1));
    assert_eq!(
        world.history.check().len(),
        0,
        "{:?}",
        world.history.check()
    );
    let (whole, all) = covered(&world);
    assert!(
        whole * 100 >= all * 99,
        "{whole} of {all} answers are whole"
    );
}

/// Runs a small service under faults in close succession; returns the most requests that one
/// upstream handled concurrently.
fn close_faults(seed: u64) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = Scenario {
        seed,
        ..small_service()
    }
    .world();
    let mut after = Duration::from_millis(100);
    for _ in 0..12 {
        after += Duration::from_millis(rng.random_range(0..250));
        let instance = rng.random_range(0..INSTANCES);
        let length = Duration::from_millis(rng.random_range(300..3_000));
        let fault = match rng.random_range(0..3) {
            0 => Fault::Crash {
                instance,
                restart: length,
            },
            1 => Fault::Pause { instance, length },
            _ => Fault::Drain { instance },
        };
        world.schedule_fault(after, fault);
    }
    load(&mut world, Duration::from_secs(6), Duration::from_millis(4));
    world.advance(Duration::from_secs(1));
    assert_eq!(
        world.history.check().len(),
        0,
        "seed {seed}: {:?}",
        world.history.check()
    );
    max_active(&world)
}

#[test]
fn slots_hold_while_faults_follow_each_other() {
    for seed in 0..seeds() {
        let most = close_faults(seed);
        assert!(
            most <= SLOTS as usize,
            "seed {seed}: {most} requests at once"
        );
    }
}

/// Number of seeds that a generated test runs; `BRIARCOVE_SEEDS` overrides it.
fn seeds() -> u64 {
    let configured = std::env::var("BRIARCOVE_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    configured.unwrap_or(12)
}

/// As soon as all instances report that they are ready, the first search covers all shards,
/// although each shard has only one replica. This is how the demonstration starts.
#[test]
fn the_first_search_of_ready_instances_is_whole() {
    for seed in 0..40 {
        let scenario = Scenario {
            instances: 4,
            data_centres: 2,
            upstreams: 6,
            shards: 6,
            replicas: 1,
            seed,
            ..Scenario::default()
        };
        let mut world = World::new(scenario.plan());
        // The processes start one after the other.
        let mut rng = SmallRng::seed_from_u64(seed);
        for instance in 1..4 {
            let restart = Duration::from_millis(rng.random_range(5..400));
            world.schedule_fault(Duration::ZERO, Fault::Crash { instance, restart });
        }
        let is_ready = |world: &World, i| world.node(i).is_some_and(|n| n.stats().ready);
        let ready = |world: &World| (0..4).all(|i| is_ready(world, i));
        for _ in 0..2_000 {
            world.advance(Duration::from_millis(5));
            if ready(&world) {
                break;
            }
        }
        assert!(ready(&world), "seed {seed}");
        let body = Bytes::from_static(b"harp");
        world.search(0, &Scenario::entry(Class::Coverage), &body);
        world.advance(Duration::from_secs(3));
        assert_eq!(covered(&world), (1, 1), "seed {seed}");
    }
}
