//! Requests that arrive while an instance is about to stop.

use std::time::Duration;

use base::{CallId, Time};
use quickcheck::quickcheck;
use tier::{
    Answer, Effect, Event, Failure, Origin, Outcome, Refusal, effect::Fault, stopping::may_start,
};

use crate::{
    instance::{TestInstance, sent},
    notices::{refusal, test_instance},
    simulation::{Sim, SimReply},
};

/// Time from the signal until the process ends.
const GRACE: Duration = Duration::from_secs(5);

/// Objective of the routes.
const OBJECTIVE: Duration = Duration::from_millis(500);

/// Returns an instance that stops after [`GRACE`].
fn draining_instance() -> TestInstance {
    let mut instance = test_instance();
    let stops_at = instance.now + GRACE;
    instance.on(Event::Drain(stops_at));
    instance
}

fn order(instance: &mut TestInstance, id: u64) -> Vec<Effect<Sim>> {
    instance.call_path(id, "/order/1", Origin::Caller, None)
}

/// Completes the first of some attempts after the time that it takes.
fn reply(instance: &mut TestInstance, effects: &[Effect<Sim>], took: Duration) {
    instance.now = instance.now + took;
    let reply = Outcome::Reply(SimReply::gathered(Vec::new()));
    instance.on(Event::AttemptEnded(sent(effects)[0], reply));
}

#[test]
fn requests_are_served_while_they_end_before_the_stop() {
    let mut instance = draining_instance();
    instance.after(GRACE - OBJECTIVE);
    let effects = order(&mut instance, 1);
    assert_eq!(sent(&effects).len(), 1);
    assert_eq!(refusal(&effects), None);
}

/// Another instance can serve them, so their callers need not wait.
#[test]
fn requests_that_would_not_end_before_the_stop_are_refused_at_once() {
    let mut instance = draining_instance();
    instance.after(GRACE - OBJECTIVE + Duration::from_millis(1));
    for (id, path) in ["/order/1", "/status/1"].into_iter().enumerate() {
        let effects = instance.call_path(id as u64, path, Origin::Caller, None);
        assert!(sent(&effects).is_empty());
        assert_eq!(refusal(&effects), Some((Refusal::Stopping, Duration::ZERO)));
    }
    // A body may end after the stop.
    instance.on(Event::Stop);
    instance.after(GRACE);
    let effects = order(&mut instance, 9);
    assert!(sent(&effects).is_empty());
    assert_eq!(refusal(&effects), Some((Refusal::Stopping, Duration::ZERO)));
}

#[test]
fn a_kind_that_takes_long_is_refused_earlier() {
    let mut instance = test_instance();
    let usual = Duration::from_millis(900);
    for id in 0..8 {
        let effects = order(&mut instance, id);
        reply(&mut instance, &effects, usual);
    }
    let stops_at = instance.now + GRACE;
    instance.on(Event::Drain(stops_at));
    instance.after(GRACE - usual);
    let effects = order(&mut instance, 20);
    assert!(sent(&effects).is_empty());
    assert_eq!(refusal(&effects), Some((Refusal::Stopping, Duration::ZERO)));
    // Other kinds are faster.
    let effects = instance.call_path(21, "/status/1", Origin::Caller, None);
    assert_eq!(sent(&effects).len(), 1);
}

/// The first upstream has not run it; another one would be cut off.
#[test]
fn a_request_that_must_not_be_repeated_is_not_sent_again_shortly_before_the_stop() {
    let mut instance = draining_instance();
    instance.after(GRACE - OBJECTIVE);
    let first = sent(&order(&mut instance, 1));
    instance.after(Duration::from_millis(100));
    let not_run = Outcome::Failed(Failure::NotRun);
    let effects = instance.on(Event::AttemptEnded(first[0], not_run));
    assert!(sent(&effects).is_empty());
    assert_eq!(
        refusal(&effects).map(|(why, _)| why),
        Some(Refusal::TurnedAway)
    );
}

#[test]
fn what_is_at_an_upstream_at_the_stop_is_answered_as_failed() {
    let mut instance = draining_instance();
    instance.after(GRACE - OBJECTIVE);
    assert_eq!(sent(&order(&mut instance, 1)).len(), 1);
    instance.after(OBJECTIVE);
    let effects = instance.on(Event::Stop);
    let is_failed = |effect: &Effect<Sim>| {
        matches!(
            effect,
            Effect::Answer(CallId(1), Answer::Failed(Fault::Timeout))
        )
    };
    assert!(effects.iter().any(is_failed));
    assert_eq!(instance.pending_requests(), 0);
}

quickcheck! {
    fn what_may_start_ends_within_its_objective_and_twice_the_mean(
        now: u16, stops_in: u16, objective: u16, mean: u16
    ) -> bool {
        let millis = |ms: u16| Duration::from_millis(ms.into());
        let now = Time::from_millis(now.into());
        let stops_at = now + millis(stops_in);
        let ends_in_time = now + millis(objective) <= stops_at && now + millis(mean) * 2 <= stops_at;
        may_start(now, stops_at, millis(objective), millis(mean)) == ends_in_time
    }
}
