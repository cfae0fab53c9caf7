//! Handover: searches that one instance runs on behalf of another.

use std::{collections::HashMap, rc::Rc, time::Duration};

use base::{CallId, InstanceName, ServiceName, Time};
use tier::{
    Answer, Config, Effect, Entry, Event, Failure, HandOverOutcome, Instance, Origin, Outcome,
    Route, Settings, Target,
    config::{Gather, Limits, Service},
    crash::suspicion::ProbeResult,
};

use crate::{
    instance::{TestInstance, handover, sent},
    simulation::{Sim, SimReply},
};

const SHARDS: usize = 40;

fn config(version: u64) -> Rc<Config> {
    let shards: Box<[ServiceName]> = (0..SHARDS)
        .map(|s| format!("shard-{s}").parse().unwrap())
        .collect();
    let service = |shard: &ServiceName| {
        (
            shard.clone(),
            Service {
                max_connections: 50,
                ..Service::default()
            },
        )
    };
    let services: HashMap<_, _> = shards.iter().map(service).collect();
    let route = Route {
        name: "search".into(),
        host: "search.example".into(),
        prefix: "/".into(),
        idempotent: true,
        timeout: Duration::from_millis(1_200),
        objective: Duration::from_millis(120),
        priority: 1,
        max_attempts: 2,
        is_public: false,
        regions: None,
        target: Target::Gather(Gather {
            min_parts: SHARDS,
            shards,
            top: 5,
        }),
    };
    Rc::new(Config::new(
        version,
        vec![route],
        services,
        Limits::default(),
    ))
}

fn entries() -> Vec<Entry> {
    let entry = |i: usize| Entry {
        name: format!("up-{i}").parse().unwrap(),
        service: format!("shard-{}", i / 2).parse().unwrap(),
        address: ([127, 0, 0, 1], i as u16).into(),
        data_centre: "here".parse().unwrap(),
        slots: 2,
        draining: false,
        cold_left: Duration::ZERO,
        started_ms: 1,
        seq: 1,
    };
    (0..SHARDS * 2).map(entry).collect()
}

fn instance_record(name: &str, cpu_share: f64) -> Instance {
    Instance {
        name: name.parse().unwrap(),
        address: "10.0.0.1:1".parse().unwrap(),
        data_centre: "here".parse().unwrap(),
        cpu_share,
        protocol: tier::ProtocolLevel::CURRENT,
    }
}

/// Creates one of three instances, a small and two large ones.
fn test_instance(name: &str, cpu_share: f64) -> TestInstance {
    let settings = Settings {
        instance: name.into(),
        data_centre: "here".into(),
        cpu_share,
        ..Settings::default()
    };
    let mut instance = TestInstance::new(settings, Duration::from_millis(1_200));
    instance.on(Event::Config(config(1)));
    instance.on(Event::EntriesListed(entries()));
    let all = [("small", 0.084), ("large-1", 0.5), ("large-2", 0.5)];
    let all = all
        .iter()
        .map(|(name, cpu_share)| instance_record(name, *cpu_share));
    instance.on(Event::Instances(all.collect()));
    instance
}

fn small_instance() -> TestInstance {
    test_instance("small", 0.084)
}

fn handed_to(effects: &[Effect<Sim>]) -> Option<InstanceName> {
    handover(effects).map(|handover| handover.to.clone())
}

fn answers(effects: &[Effect<Sim>]) -> Vec<&Answer<crate::simulation::SimReply>> {
    let answers = effects.iter().filter_map(|effect| match effect {
        Effect::Answer(_, answer) => Some(answer),
        _ => None,
    });
    answers.collect()
}

fn from_instance(version: u64, may_have_run: bool) -> Origin {
    Origin::Instance {
        version,
        was_refused: false,
        may_have_run,
    }
}

#[test]
fn a_large_instance_runs_its_searches_itself() {
    let mut instance = test_instance("large-1", 0.5);
    let effects = instance.call(1, Origin::Caller, None);
    assert_eq!(handed_to(&effects), None);
    assert_eq!(sent(&effects).len(), SHARDS);
}

#[test]
fn a_search_that_was_handed_over_is_not_handed_over_again() {
    let mut instance = small_instance();
    let effects = instance.call(1, from_instance(1, false), None);
    assert_eq!(handed_to(&effects), None);
    assert_eq!(sent(&effects).len(), SHARDS);
}

#[test]
fn a_search_runs_with_the_configuration_of_the_instance_that_sent_it() {
    let mut instance = test_instance("large-1", 0.5);
    instance.on(Event::Config(config(2)));
    assert_eq!(
        sent(&instance.call(1, from_instance(1, false), None)).len(),
        SHARDS
    );
    let effects = instance.call(2, from_instance(3, false), None);
    assert!(matches!(answers(&effects)[..], [Answer::Declined]));
}

#[test]
fn a_draining_instance_declines_handovers() {
    let mut instance = test_instance("large-1", 0.5);
    instance.on(Event::Drain(Time::NEVER));
    let effects = instance.call(1, from_instance(1, false), None);
    assert!(matches!(answers(&effects)[..], [Answer::Declined]));
}

#[test]
fn a_search_that_two_instances_declined_runs_locally() {
    let mut instance = small_instance();
    let first = handed_to(&instance.call(1, Origin::Caller, None)).unwrap();
    let effects = instance.on(Event::HandOverEnded(CallId(1), HandOverOutcome::Declined));
    let second = handed_to(&effects).unwrap();
    assert_ne!(first, second);
    let effects = instance.on(Event::HandOverEnded(CallId(1), HandOverOutcome::Declined));
    assert_eq!(sent(&effects).len(), SHARDS);
}

/// The first instance may have sent each part before it became silent, so that one of the two
/// attempts is left.
#[test]
fn a_part_of_a_repeated_search_has_one_attempt_fewer() {
    for (may_have_run, again) in [(false, 1), (true, 0)] {
        let mut instance = test_instance("large-1", 0.5);
        let first = sent(&instance.call(1, from_instance(1, may_have_run), None));
        instance.on(Event::Confirmed(CallId(1)));
        let broken = Outcome::Failed(Failure::Broken);
        let effects = instance.on(Event::AttemptEnded(first[0], broken));
        assert_eq!(sent(&effects).len(), again);
    }
}

/// Without a confirmation, the sender may have given up and had the search run elsewhere.
#[test]
fn a_search_that_is_not_confirmed_has_no_second_attempts() {
    let mut instance = test_instance("large-1", 0.5);
    let first = sent(&instance.call(1, from_instance(1, false), None));
    let effects = instance.after(Duration::from_millis(60));
    assert!(sent(&effects).is_empty());
    let broken = Outcome::Failed(Failure::Broken);
    let effects = instance.on(Event::AttemptEnded(first[0], broken));
    assert!(sent(&effects).is_empty());
}

/// An instance that accepted the search may have used up the attempts of its parts.
#[test]
fn an_accepted_search_is_not_run_again_after_its_connection_broke() {
    let mut instance = small_instance();
    let to = handed_to(&instance.call(1, Origin::Caller, None)).unwrap();
    instance.now = instance.now + Duration::from_millis(5);
    instance.on(Event::InstanceAlive(to));
    let effects = instance.on(Event::HandOverEnded(CallId(1), HandOverOutcome::Broken));
    assert!(sent(&effects).is_empty());
    assert!(matches!(answers(&effects)[..], [Answer::Failed(_)]));
}

#[test]
fn an_instance_that_does_not_accept_a_search_is_ejected() {
    let mut instance = small_instance();
    let to = handed_to(&instance.call(1, Origin::Caller, None)).unwrap();
    let effects = instance.after(Duration::from_millis(100));
    let is_disconnected = effects
        .iter()
        .any(|e| matches!(e, Effect::Disconnect(name) if *name == to));
    assert!(is_disconnected, "{effects:?}");
    let effects = instance.on(Event::HandOverEnded(CallId(1), HandOverOutcome::Broken));
    assert_ne!(handed_to(&effects).unwrap(), to);
    // The next search is not handed to it either.
    assert_ne!(
        handed_to(&instance.call(2, Origin::Caller, None)).unwrap(),
        to
    );
}

/// Two instances that did not accept the search in time may both have begun it, with an attempt of
/// each part; the route does not allow a third one.
#[test]
fn a_search_that_two_instances_did_not_accept_is_not_run_again() {
    let mut instance = small_instance();
    handed_to(&instance.call(1, Origin::Caller, None)).unwrap();
    instance.after(Duration::from_millis(100));
    let effects = instance.on(Event::HandOverEnded(CallId(1), HandOverOutcome::Broken));
    handed_to(&effects).unwrap();
    instance.after(Duration::from_millis(100));
    let effects = instance.on(Event::HandOverEnded(CallId(1), HandOverOutcome::Broken));
    assert!(
        handed_to(&effects).is_none() && sent(&effects).is_empty(),
        "{effects:?}"
    );
    assert!(matches!(answers(&effects)[..], [Answer::Failed(_)]));
}

#[test]
fn a_disconnected_caller_withdraws_the_search() {
    let mut instance = small_instance();
    let to = handed_to(&instance.call(1, Origin::Caller, None)).unwrap();
    let effects = instance.on(Event::CallerGone(CallId(1)));
    let is_withdrawn = effects
        .iter()
        .any(|e| matches!(e, Effect::Withdraw(CallId(1), name) if *name == to));
    assert!(is_withdrawn, "{effects:?}");
}

#[test]
fn a_search_without_an_answer_fails_at_its_deadline() {
    let mut instance = small_instance();
    let to = handed_to(&instance.call(1, Origin::Caller, None)).unwrap();
    instance.on(Event::InstanceAlive(to.clone()));
    instance.after(Duration::from_millis(500));
    instance.on(Event::InstanceAlive(to));
    let effects = instance.after(Duration::from_millis(695));
    assert!(
        matches!(answers(&effects)[..], [Answer::Failed(_)]),
        "{effects:?}"
    );
}

/// An instance in a data centre with replicas fetches fewer parts across data centres, which is
/// worth the single answer that crosses instead.
#[test]
fn searches_are_handed_to_a_data_centre_with_replicas() {
    let mut instance = small_instance();
    let mut remote = instance_record("large-far", 0.5);
    remote.data_centre = "far".parse().unwrap();
    instance.on(Event::Instances(vec![
        instance_record("small", 0.084),
        instance_record("large-1", 0.5),
        remote,
    ]));
    let moved: Vec<Entry> = entries()
        .into_iter()
        .map(|entry| Entry {
            data_centre: "far".parse().unwrap(),
            seq: 2,
            ..entry
        })
        .collect();
    for id in 0..10 {
        let to = handed_to(&instance.call(100 + id, Origin::Caller, None)).unwrap();
        assert_eq!(to.as_str(), "large-1");
        instance.on(Event::CallerGone(CallId(100 + id)));
    }
    instance.on(Event::EntriesListed(moved));
    for id in 0..10 {
        let to = handed_to(&instance.call(200 + id, Origin::Caller, None)).unwrap();
        assert_eq!(to.as_str(), "large-far");
        instance.on(Event::CallerGone(CallId(200 + id)));
    }
}

/// Guards against a quarantine by resets alone (soak, seed 829): they break requests in flight and
/// close kept connections, on which the next request then fails before it is sent.
#[test]
fn resets_and_closed_connections_quarantine_no_request() {
    let mut instance = test_instance("here-1", 1.0);
    let mut searches = Vec::new();
    for id in 1..=6 {
        instance.now = instance.now + Duration::from_millis(5);
        let effects = instance.call(id, Origin::Caller, None);
        searches.push(sent(&effects));
    }
    for (search, attempts) in searches.iter().enumerate() {
        instance.now = instance.now + Duration::from_millis(1);
        let failure = match search {
            0..4 => Failure::Broken,
            _ => Failure::Unsent,
        };
        for (shard, attempt) in attempts.iter().enumerate() {
            let outcome = match shard {
                0 => Outcome::Failed(failure),
                _ => Outcome::Reply(SimReply::gathered(Vec::new())),
            };
            let effects = instance.on(Event::AttemptEnded(*attempt, outcome));
            assert!(!effects.iter().any(quarantines), "{effects:?}");
        }
    }
    let effects = instance.after(Duration::from_millis(200));
    for effect in effects {
        if let Effect::Probe(upstream, _) = effect {
            let effects = instance.on(Event::Probed(upstream, ProbeResult::Accepted));
            assert!(!effects.iter().any(quarantines), "{effects:?}");
        }
    }
}

fn quarantines(effect: &Effect<Sim>) -> bool {
    matches!(effect, Effect::Quarantine(_))
}
