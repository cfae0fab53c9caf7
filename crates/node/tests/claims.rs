//! Tests of requests of the once class: claims, dispatch and the answers to callers.

use std::time::Duration;

use base::{IdempotencyKey, RequestId};
use bytes::Bytes;
use cat::Class;
use node::{Answer, Kind, Reason};
use rig::sim::{Fault, Scenario, World};

const SECOND: Duration = Duration::from_secs(1);

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn key(text: &str) -> IdempotencyKey {
    text.parse().expect("a valid key")
}

fn run(world: &mut World, instance: usize, text: &str, body: &'static str) -> RequestId {
    let body = Bytes::from_static(body.as_bytes());
    world.run_once(instance, &Scenario::entry(Class::Once), &key(text), &body)
}

fn run_and_wait(world: &mut World, instance: usize, text: &str, body: &'static str) -> Answer {
    let request = run(world, instance, text, body);
    world.advance(SECOND);
    answer(world, request)
}

fn answer(world: &World, request: RequestId) -> Answer {
    match world.answers.get(&request) {
        Some((answer, _)) => answer.clone(),
        None => panic!("{request} has no answer"),
    }
}

fn reason(answer: &Answer) -> Option<Reason> {
    match answer {
        Answer::Refused(refusal) => Some(refusal.reason),
        _ => None,
    }
}

fn is_unknown(answer: &Answer) -> bool {
    matches!(answer, Answer::Unknown { .. })
}

fn assert_holds(world: &World) {
    let violations = world.history.check();
    assert!(violations.is_empty(), "{violations:?}");
}

fn is_done(answer: &Answer, again: bool) -> bool {
    matches!(answer, Answer::Done { repeated, .. } if *repeated == again)
}

fn two_instances() -> World {
    let scenario = Scenario {
        instances: 2,
        ..Scenario::default()
    };
    scenario.world()
}

#[test]
fn runs_and_gives_the_stored_outcome_again() {
    let mut world = two_instances();
    let first = run_and_wait(&mut world, 0, "1764800000-a", "book");
    assert!(is_done(&first, false), "{first:?}");
    for instance in [0, 1] {
        let again = run_and_wait(&mut world, instance, "1764800000-a", "book");
        assert!(is_done(&again, true), "{again:?}");
    }
    let other = run_and_wait(&mut world, 1, "1764800000-a", "another");
    assert_eq!(reason(&other), Some(Reason::KeyReused));
    assert_holds(&world);
}

#[test]
fn wrong_entry_class_is_refused() {
    let mut world = Scenario::default().world();
    let body = Bytes::from_static(b"book");
    let request = world.run_once(0, &Scenario::entry(Class::Latency), &key("1-a"), &body);
    world.advance(SECOND);
    assert_eq!(reason(&answer(&world, request)), Some(Reason::WrongClass));
}

#[test]
fn same_key_at_once_runs_once() {
    let mut world = two_instances();
    let requests: Vec<RequestId> = (0..6)
        .map(|n| run(&mut world, n % 2, "1764800000-a", "book"))
        .collect();
    world.advance(SECOND);
    let answers: Vec<Answer> = requests.iter().map(|r| answer(&world, *r)).collect();
    let firsts = answers.iter().filter(|a| is_done(a, false)).count();
    assert_eq!(firsts, 1, "{answers:?}");
    let repeats = answers.iter().filter(|a| is_done(a, true)).count();
    assert!(repeats >= 2, "{answers:?}");
    assert_holds(&world);
}

#[test]
fn lost_reply_is_resolved_before_dispatch() {
    let mut world = Scenario::default().world();
    world.schedule_fault(Duration::ZERO, Fault::LoseReplies { count: 2 });
    let answer = run_and_wait(&mut world, 0, "1764800000-a", "book");
    assert!(is_done(&answer, false), "{answer:?}");
    assert_holds(&world);
}

#[test]
fn late_write_is_fenced() {
    let mut world = two_instances();
    let delay = millis(300);
    world.schedule_fault(Duration::ZERO, Fault::DelayWrites { count: 1, delay });
    let first = run_and_wait(&mut world, 0, "1764800000-a", "book");
    assert!(is_done(&first, false), "{first:?}");
    let again = run_and_wait(&mut world, 1, "1764800000-a", "book");
    assert!(is_done(&again, true), "{again:?}");
    assert_holds(&world);
}

#[test]
fn platform_down_is_refused_and_leaves_no_claim() {
    let mut world = Scenario::default().world();
    world.schedule_fault(Duration::ZERO, Fault::PlatformDown { length: SECOND });
    let refused = run_and_wait(&mut world, 0, "1764800000-a", "book");
    assert_eq!(reason(&refused), Some(Reason::PlatformUnavailable));
    world.advance(SECOND * 3);
    let after = run_and_wait(&mut world, 0, "1764800000-a", "book");
    assert!(is_done(&after, false), "{after:?}");
    assert_holds(&world);
}

#[test]
fn withdrawn_claim_of_a_lost_reply_is_released() {
    let mut world = Scenario::default().world();
    run_and_wait(&mut world, 0, "1764800000-warm", "book");
    world.schedule_fault(Duration::ZERO, Fault::LoseReplies { count: 1 });
    // The write has taken effect when the platform goes down before it can be read back.
    world.schedule_fault(millis(2), Fault::PlatformDown { length: SECOND });
    let refused = run_and_wait(&mut world, 0, "1764800000-warm2", "book");
    assert_eq!(reason(&refused), Some(Reason::PlatformUnavailable));
    world.advance(SECOND * 3);
    let after = run_and_wait(&mut world, 0, "1764800000-warm2", "book");
    assert!(is_done(&after, false), "{after:?}");
    assert_holds(&world);
}

#[test]
fn paused_holder_sends_nothing_after_its_deadline() {
    let length = SECOND * 2;
    let mut reasons = Vec::new();
    // The bucket is read after 2 ms and written after 4 ms; then the request is sent.
    for micros in (1_000..4_000).step_by(100) {
        let mut world = Scenario::default().world();
        let request = run(&mut world, 0, "1764800000-a", "book");
        let start = Duration::from_micros(micros);
        world.schedule_fault(
            start,
            Fault::Pause {
                instance: 0,
                length,
            },
        );
        world.advance(SECOND * 4);
        reasons.extend(reason(&answer(&world, request)));
        let after = run_and_wait(&mut world, 0, "1764800000-a", "book");
        assert!(is_done(&after, false), "{after:?}");
        assert_holds(&world);
    }
    assert_eq!(reasons.len(), 30, "every run is refused as not run");
    assert!(reasons.contains(&Reason::DeadlinePassed), "{reasons:?}");
}

#[test]
fn broken_upstream_makes_the_outcome_unknown_for_ever() {
    let mut world = two_instances();
    let lost = run_and_wait(&mut world, 0, "1764800000-a", "crash");
    assert!(is_unknown(&lost), "{lost:?}");
    for instance in [0, 1] {
        let again = run_and_wait(&mut world, instance, "1764800000-a", "crash");
        assert!(is_unknown(&again), "{again:?}");
    }
    assert_holds(&world);
}

#[test]
fn crashed_holder_makes_the_outcome_unknown() {
    let mut world = two_instances();
    let restart = SECOND;
    run(&mut world, 0, "1764800000-a", "book");
    world.schedule_fault(
        millis(7),
        Fault::Crash {
            instance: 0,
            restart,
        },
    );
    world.advance(SECOND * 3);
    let again = run_and_wait(&mut world, 1, "1764800000-a", "book");
    assert!(is_unknown(&again), "{again:?}");
    assert_holds(&world);
}

#[test]
fn deadline_while_sent_is_unknown_and_the_outcome_is_found_later() {
    let mut scenario = Scenario::default();
    scenario.upstream.service_time = millis(400);
    let mut world = scenario.world();
    let first = run_and_wait(&mut world, 0, "1764800000-a", "book");
    assert!(is_unknown(&first), "{first:?}");
    let again = run_and_wait(&mut world, 0, "1764800000-a", "book");
    assert!(is_done(&again, true), "{again:?}");
    assert_holds(&world);
}

#[test]
fn other_upstreams_are_tried_after_a_refusal() {
    let mut world = Scenario::default().world();
    for upstream in 0..3 {
        if let Some(plan) = world.upstream_behaviour(Scenario::address(upstream)) {
            plan.refuse_one_in = 1;
        }
    }
    let ran = run_and_wait(&mut world, 0, "1764800000-a", "book");
    assert!(is_done(&ran, false), "{ran:?}");
    if let Some(plan) = world.upstream_behaviour(Scenario::address(3)) {
        plan.refuse_one_in = 1;
    }
    let refused = run_and_wait(&mut world, 0, "1764800000-b", "book");
    assert_eq!(reason(&refused), Some(Reason::Overload));
    for upstream in 0..4 {
        if let Some(plan) = world.upstream_behaviour(Scenario::address(upstream)) {
            plan.refuse_one_in = 0;
        }
    }
    let ran = run_and_wait(&mut world, 0, "1764800000-b", "book");
    assert!(is_done(&ran, false), "{ran:?}");
    assert_holds(&world);
}

#[test]
fn reply_of_another_request_is_not_its_outcome() {
    let mut scenario = Scenario::default();
    scenario.upstream.mix_up_one_in = 1;
    let mut world = scenario.world();
    let received = run_and_wait(&mut world, 0, "1764800000-a", "book");
    assert!(is_unknown(&received), "{received:?}");
    assert_holds(&world);
}

#[test]
fn shutdown_waits_for_runs_and_their_outcomes() {
    let mut world = two_instances();
    let request = run(&mut world, 0, "1764800000-a", "book");
    world.schedule_fault(millis(4), Fault::Drain { instance: 0 });
    world.advance(SECOND * 5);
    assert!(world.node(0).is_none(), "the instance has ended");
    assert!(is_done(&answer(&world, request), false));
    let again = run_and_wait(&mut world, 1, "1764800000-a", "book");
    assert!(is_done(&again, true), "{again:?}");
    assert_holds(&world);
}

#[test]
fn shutdown_ends_while_the_platform_is_down() {
    let mut world = Scenario::default().world();
    let request = run(&mut world, 0, "1764800000-a", "book");
    let length = SECOND * 60;
    world.schedule_fault(millis(7), Fault::PlatformDown { length });
    world.schedule_fault(millis(8), Fault::Drain { instance: 0 });
    world.advance(SECOND * 20);
    assert!(world.node(0).is_none(), "the instance has ended");
    assert!(is_done(&answer(&world, request), false));
    assert_holds(&world);
}

#[test]
fn full_bucket_drops_the_oldest_and_refuses_their_keys() {
    let mut scenario = Scenario::default();
    scenario.config.claims.buckets = 1;
    scenario.config.claims.bounds.bytes = 2_000;
    let mut world = scenario.world();
    for n in 0..40 {
        let text = format!("{}-a", 1_000_000 + n * 100);
        let ran = run_and_wait(&mut world, 0, &text, "book");
        assert!(is_done(&ran, false), "{n}: {ran:?}");
    }
    let old = run_and_wait(&mut world, 0, "1000000-a", "book");
    assert_eq!(old, Answer::Expired);
    let object = world.object(Kind::Claims, "0").expect("the bucket");
    assert!(object.len() <= 2_000, "{} bytes", object.len());
    // Records of the last ten minutes are retained, so there is no room for a burst of new keys.
    let mut full = 0;
    for n in 0..40 {
        let text = format!("1003900-b{n}");
        let received = run_and_wait(&mut world, 0, &text, "book");
        full += u32::from(reason(&received) == Some(Reason::ClaimsFull));
    }
    assert!(full > 0, "no claim was refused");
    assert_holds(&world);
}
