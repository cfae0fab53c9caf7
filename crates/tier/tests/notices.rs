//! Upstreams that announce in their replies that they leave or pause.

use std::{collections::HashMap, rc::Rc, time::Duration};

use base::ServiceName;
use tier::{
    Answer, Config, Effect, Entry, Event, Failure, Origin, Outcome, Refusal, Route, Settings,
    Target,
    config::{Limits, Service},
    limit::RequestRate,
    notice::Notice,
};

use crate::{
    instance::{TestInstance, sent},
    simulation::{Sim, SimReply},
};

/// Time that callers wait.
const TIME_LEFT: Duration = Duration::from_secs(9);

/// Number of upstreams of the service.
const UPSTREAMS: u16 = 2;

/// Number of requests that show where requests go.
const REQUESTS: u64 = 40;

/// Time that an upstream takes to reply.
pub(crate) const SERVICE_TIME: Duration = Duration::from_millis(20);

const LEAVING: Notice = Notice {
    is_leaving: true,
    pause: None,
    limit: None,
    load: None,
    cold_left: None,
};

fn pause(seconds: u64) -> Notice {
    Notice {
        is_leaving: false,
        pause: Some(Duration::from_secs(seconds)),
        ..Notice::default()
    }
}

pub(crate) fn entry(at: u16, started_ms: u64, seq: u64) -> Entry {
    Entry {
        name: format!("up-{at}").parse().unwrap(),
        service: "desk".parse().unwrap(),
        address: ([127, 0, 0, 1], at).into(),
        data_centre: "here".parse().unwrap(),
        slots: 2,
        draining: false,
        cold_left: Duration::ZERO,
        started_ms,
        seq,
    }
}

pub(crate) fn test_instance() -> TestInstance {
    test_instance_with(None)
}

/// Returns an instance whose upstreams bear a number of requests a second while they are cold.
pub(crate) fn test_instance_with(cold_rate: Option<RequestRate>) -> TestInstance {
    let service: ServiceName = "desk".parse().unwrap();
    let limits = Service {
        max_connections: 50,
        cold_rate,
        cold_time: Duration::from_secs(3),
        ..Service::default()
    };
    let route = |name: &str, prefix: &str, priority| Route {
        name: name.into(),
        host: "search.example".into(),
        prefix: prefix.into(),
        idempotent: name != "order",
        timeout: TIME_LEFT,
        objective: Duration::from_millis(500),
        priority,
        max_attempts: 2,
        is_public: false,
        regions: None,
        target: Target::One(service.clone()),
    };
    let routes = [
        ("status", "/", 2),
        ("urgent", "/urgent/", 1),
        ("order", "/order/", 2),
    ];
    let routes = routes.map(|(name, prefix, priority)| route(name, prefix, priority));
    let services = HashMap::from([(service.clone(), limits)]);
    let config = Config::new(1, routes.into(), services, Limits::default());
    let settings = Settings {
        instance: "only".into(),
        data_centre: "here".into(),
        ..Settings::default()
    };
    let mut instance = TestInstance::new(settings, TIME_LEFT);
    instance.on(Event::Config(Rc::new(config)));
    instance.on(Event::EntriesListed(entries(1)));
    instance
}

fn entries(seq: u64) -> Vec<Entry> {
    (0..UPSTREAMS).map(|at| entry(at, 1, seq)).collect()
}

fn announce(instance: &mut TestInstance, at: u16, notice: Notice) {
    let name = entry(at, 1, 1).name;
    instance.on(Event::UpstreamNotice(name, 1, notice));
}

/// Sends requests at one time, so that all usable upstreams get some, and returns how many an
/// upstream got.
fn requests_to(instance: &mut TestInstance, at: u16) -> usize {
    let effects = (0..REQUESTS).flat_map(|id| instance.call(id, Origin::Caller, None));
    let effects: Vec<Effect<Sim>> = effects.collect();
    instance.now = instance.now + SERVICE_TIME;
    let mut received = 0;
    for effect in effects {
        if let Effect::Send(send) = effect {
            received += usize::from(send.address.port() == at);
            let reply = SimReply::gathered(Vec::new());
            instance.on(Event::AttemptEnded(send.attempt, Outcome::Reply(reply)));
        }
    }
    received
}

pub(crate) fn refusal(effects: &[Effect<Sim>]) -> Option<(Refusal, Duration)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Answer(_, Answer::Refused(why, after)) => Some((*why, *after)),
        _ => None,
    })
}

#[test]
fn an_upstream_that_announces_its_departure_gets_no_more_requests() {
    let mut instance = test_instance();
    announce(&mut instance, 0, LEAVING);
    assert_eq!(requests_to(&mut instance, 0), 0);
    // Neither a newer entry nor one that is listed again after a removal says that it stays.
    instance.on(Event::EntryChanged(entry(0, 1, 5)));
    assert_eq!(requests_to(&mut instance, 0), 0);
    instance.on(Event::EntryRemoved(entry(0, 1, 5).name));
    instance.on(Event::EntriesListed(entries(6)));
    assert_eq!(requests_to(&mut instance, 0), 0);
    // It has moved, or its announcement arrives after its entry was removed.
    let mut moved = entry(0, 1, 7);
    moved.address.set_port(9);
    instance.on(Event::EntryChanged(moved));
    assert_eq!(requests_to(&mut instance, 9), 0);
    instance.on(Event::EntryRemoved(entry(1, 1, 6).name));
    announce(&mut instance, 1, LEAVING);
    instance.on(Event::EntryChanged(entry(1, 1, 8)));
    assert_eq!(requests_to(&mut instance, 1), 0);
    instance.on(Event::EntryChanged(entry(1, 2, 1)));
    assert!(requests_to(&mut instance, 1) > 0, "a new start clears it");
}

#[test]
fn a_paused_upstream_gets_no_requests_for_that_time() {
    let mut instance = test_instance();
    announce(&mut instance, 0, pause(4));
    announce(&mut instance, 0, pause(1));
    instance.after(Duration::from_millis(3_900));
    assert_eq!(requests_to(&mut instance, 0), 0, "the longer pause holds");
    instance.after(Duration::from_millis(1_300));
    assert!(requests_to(&mut instance, 0) > 0);
    announce(&mut instance, 0, pause(60));
    instance.on(Event::EntryChanged(entry(0, 2, 1)));
    assert!(requests_to(&mut instance, 0) > 0, "a new start ends it");
}

/// An attempt whose upstream pauses while it waits for a connection goes elsewhere, without taking
/// from the budget for second attempts.
#[test]
fn a_request_that_waits_for_a_paused_upstream_goes_elsewhere() {
    let mut instance = test_instance();
    let effects = instance.call(0, Origin::Caller, None);
    let Some(Effect::Send(first)) = effects.into_iter().next() else {
        panic!("nothing was sent");
    };
    announce(&mut instance, first.address.port(), pause(2));
    let unsent = Outcome::Failed(Failure::NoConnection);
    let effects = instance.on(Event::AttemptEnded(first.attempt, unsent));
    let second = effects.iter().find_map(|effect| match effect {
        Effect::Send(send) => Some(send.address.port()),
        _ => None,
    });
    assert_eq!(second, Some(1 - first.address.port()));
}

#[test]
fn callers_are_refused_at_once_until_an_upstream_accepts_requests_again() {
    let mut instance = test_instance();
    announce(&mut instance, 0, pause(2));
    announce(&mut instance, 1, pause(60));
    let (why, after) = refusal(&instance.call(0, Origin::Caller, None)).unwrap();
    assert_eq!(why, Refusal::NoUpstream);
    assert!(
        after >= Duration::from_secs(2) && after < TIME_LEFT / 3,
        "{after:?}"
    );
    // The caller waits no longer than a third of its time.
    announce(&mut instance, 0, pause(60));
    let (_, after) = refusal(&instance.call(1, Origin::Caller, None)).unwrap();
    assert!(after < TIME_LEFT / 3, "{after:?}");
    announce(&mut instance, 0, LEAVING);
    announce(&mut instance, 1, LEAVING);
    let (why, _) = refusal(&instance.call(2, Origin::Caller, None)).unwrap();
    assert_eq!(why, Refusal::NoUpstream);
}

/// An instance without searches, whose requests fail before any is sent.
#[test]
fn an_instance_is_not_ready_when_none_of_its_connections_opens() {
    assert_not_ready_after(Failure::Unreachable);
}

/// The same with connections that are accepted, and reset once a request was sent.
#[test]
fn an_instance_is_not_ready_when_all_its_connections_break() {
    assert_not_ready_after(Failure::Broken);
}

fn assert_not_ready_after(failure: Failure) {
    let mut instance = test_instance();
    instance.after(Duration::from_secs(1));
    assert!(instance.is_ready());
    let mut effects = instance.call(0, Origin::Caller, None);
    while let Some(attempt) = sent(&effects).first() {
        effects = instance.on(Event::AttemptEnded(*attempt, Outcome::Failed(failure)));
    }
    instance.after(Duration::from_millis(700));
    assert!(!instance.is_ready());
}
