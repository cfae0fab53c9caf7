//! Slots of upstreams stay within their limit while instances crash, restart and pause.

use std::time::Duration;

use bytes::Bytes;
use cat::Class;
use rig::sim::{Fault, Scene, UpstreamPlan, World};

/// Interval between two searches.
const GAP: Duration = Duration::from_millis(4);
/// Slots of each upstream.
const SLOTS: u32 = 3;

fn scene(seed: u64) -> Scene {
    let mut scene = Scene {
        instances: 17,
        upstreams: 6,
        shards: 6,
        slots: SLOTS,
        seed,
        ..Scene::default()
    };
    scene.upstream = UpstreamPlan {
        service_time: Duration::from_millis(10),
        ..UpstreamPlan::default()
    };
    scene
}

/// Sends searches to all instances in turn for `length`.
fn search_for(world: &mut World, length: Duration) {
    let rounds = length.as_micros() / GAP.as_micros();
    for n in 0..usize::try_from(rounds).unwrap() {
        let body = Bytes::from_static(b"harp");
        world.search(n % 17, &Scene::entry(Class::Latency), &body);
        world.advance(GAP);
    }
}

fn most_in_work(world: &World) -> usize {
    let upstreams = (0..6).map(Scene::address);
    upstreams.map(|u| world.most_in_work(u)).max().unwrap_or(0)
}

#[test]
fn quick_restarts_and_pauses_leave_one_owner() {
    for seed in 1..=2 {
        let mut world = scene(seed).world();
        for instance in 0..6 {
            let restart = Duration::from_millis(600);
            world.fault_in(Duration::ZERO, Fault::Crash { instance, restart });
            search_for(&mut world, restart);
            let pause = Fault::Pause {
                instance: instance + 6,
                length: Duration::from_millis(1_500),
            };
            world.fault_in(Duration::ZERO, pause);
            search_for(&mut world, Duration::from_millis(1_500));
        }
        search_for(&mut world, Duration::from_secs(1));
        let most = most_in_work(&world);
        assert!(most <= SLOTS as usize, "seed {seed}: {most} in work");
    }
}
