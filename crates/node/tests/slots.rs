//! Slots of upstreams stay within their limit while instances crash, restart and pause.

use std::time::Duration;

use bytes::Bytes;
use cat::Class;
use rig::sim::{Fault, Scenario, UpstreamBehaviour, World};

/// Interval between two searches.
const GAP: Duration = Duration::from_millis(4);
/// Slots of each upstream.
const SLOTS: u32 = 3;

fn scenario(seed: u64) -> Scenario {
    let mut scenario = Scenario {
        instances: 17,
        upstreams: 6,
        shards: 6,
        slots: SLOTS,
        seed,
        ..Scenario::default()
    };
    scenario.upstream = UpstreamBehaviour {
        service_time: Duration::from_millis(10),
        ..UpstreamBehaviour::default()
    };
    scenario
}

/// Sends searches to all instances in turn for `length`.
fn search_for(world: &mut World, length: Duration) {
    let rounds = length.as_micros() / GAP.as_micros();
    for n in 0..usize::try_from(rounds).unwrap() {
        let body = Bytes::from_static(b"harp");
        world.search(n % 17, &Scenario::entry(Class::Latency), &body);
        world.advance(GAP);
    }
}

fn max_active(world: &World) -> usize {
    let upstreams = (0..6).map(Scenario::address);
    upstreams.map(|u| world.max_active(u)).max().unwrap_or(0)
}

#[test]
fn quick_restarts_and_pauses_leave_one_owner() {
    for seed in 1..=2 {
        let mut world = scenario(seed).world();
        for instance in 0..6 {
            let restart = Duration::from_millis(600);
            world.schedule_fault(Duration::ZERO, Fault::Crash { instance, restart });
            search_for(&mut world, restart);
            let pause = Fault::Pause {
                instance: instance + 6,
                length: Duration::from_millis(1_500),
            };
            world.schedule_fault(Duration::ZERO, pause);
            search_for(&mut world, Duration::from_millis(1_500));
        }
        search_for(&mut world, Duration::from_secs(1));
        let most = max_active(&world);
        assert!(
            most <= SLOTS as usize,
            "seed {seed}: {most} requests at once"
        );
    }
}
