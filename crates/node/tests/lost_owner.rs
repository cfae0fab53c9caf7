//! Tests of searches that are in flight when the instance that owns their upstreams is killed.

use std::time::Duration;

use bytes::Bytes;
use cat::Class;
use node::Answer;
use rig::sim::{Fault, Scenario};

/// Time within which the remaining instances detect the loss and take over the upstreams.
const TAKE_OVER: Duration = Duration::from_secs(4);

#[test]
fn searches_in_flight_are_whole_after_their_owner_was_killed() {
    for killed in 0..3 {
        let mut scenario = Scenario {
            instances: 3,
            ..Scenario::default()
        };
        scenario.limits.deadline = Duration::from_secs(10);
        let mut world = scenario.world();
        let body = Bytes::from_static(b"harp");
        let survivors = [(killed + 1) % 3, (killed + 2) % 3];
        for instance in survivors {
            world.search(instance, &Scenario::entry(Class::Coverage), &body);
        }
        world.advance(Duration::from_secs(1));
        let mut requests = Vec::new();
        for _ in 0..20 {
            for instance in survivors {
                requests.push(world.search(instance, &Scenario::entry(Class::Coverage), &body));
            }
            world.advance(Duration::from_millis(1));
        }
        let restart = Duration::from_secs(60);
        world.schedule_fault(
            Duration::ZERO,
            Fault::Crash {
                instance: killed,
                restart,
            },
        );
        world.advance(TAKE_OVER);
        for request in requests {
            match world.answers.get(&request) {
                Some((Answer::Results(found), _)) => {
                    assert!(found.coverage.missing.is_empty(), "{:?}", found.coverage);
                }
                other => panic!("killed {killed}: {other:?} after {TAKE_OVER:?}"),
            }
        }
    }
}
