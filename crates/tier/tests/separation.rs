//! A data centre that is cut off from the others, while its callers and upstreams reach it.

use std::{collections::HashMap, rc::Rc, time::Duration};

use base::{DataCentre, InstanceName, ServiceName};
use tier::{
    Answer, AttemptKey, Config, Effect, Entry, Event, Failure, HandOverOutcome, Instance, Note,
    Origin, Outcome, ProtocolLevel, Refusal, Route, Settings, Target, UpstreamKey,
    config::{Gather, Limits, Service},
    crash::suspicion::ProbeResult,
    mechanism::Disabled,
};

use crate::{
    instance::{TestInstance, handover, sent},
    notices::{self, refusal},
    simulation::{Sim, SimReply},
};

/// Time that callers wait.
const TIME_LEFT: Duration = Duration::from_millis(1_200);

const DATA_CENTRES: [&str; 4] = ["here", "there", "far", "afar"];

/// Each shard has its replicas in two data centres, so that each data centre has half of the
/// shards.
const SHARDS: usize = 20;

/// Time between the searches of one of four instances at 26 requests a second.
const SEARCH_INTERVAL: Duration = Duration::from_millis(150);

/// Time from the start of a cut within which an instance has to report that it is not ready: until
/// its next search, the time for its branch to be overdue, and the checks.
const DETECTION_TIME: Duration = Duration::from_millis(600);

/// Time for the checks alone.
const CHECK_TIME: Duration = Duration::from_millis(250);

fn config() -> Rc<Config> {
    let shards: Box<[ServiceName]> = (0..SHARDS)
        .map(|at| format!("shard-{at}").parse().unwrap())
        .collect();
    let desk: ServiceName = "desk".parse().unwrap();
    let names = shards.iter().chain([&desk]);
    let services: HashMap<_, _> = names.map(|it| (it.clone(), Service::default())).collect();
    let route = |prefix: &str, target| Route {
        name: prefix.into(),
        host: "search.example".into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout: TIME_LEFT,
        objective: Duration::from_millis(120),
        priority: 1,
        max_attempts: 2,
        is_public: false,
        regions: None,
        target,
    };
    let all = Target::Gather(Gather {
        min_parts: 15,
        shards,
        top: 5,
    });
    let routes = vec![route("/one/", Target::One(desk)), route("/all/", all)];
    Rc::new(Config::new(1, routes, services, Limits::default()))
}

/// Entries of all upstreams; those of a data centre have ports from 100 times its number on.
fn entries() -> Vec<Entry> {
    let entry = |service: &str, at: usize, data_centre: usize| Entry {
        name: format!("{service}-{data_centre}").parse().unwrap(),
        service: service.parse().unwrap(),
        data_centre: DATA_CENTRES[data_centre].parse().unwrap(),
        ..notices::entry((data_centre * 100 + at) as u16, 1, 1)
    };
    let mut all = Vec::new();
    for shard in 0..SHARDS {
        for replica in 0..2 {
            let data_centre = (shard + replica) % DATA_CENTRES.len();
            all.push(entry(&format!("shard-{shard}"), shard, data_centre));
        }
    }
    all.extend((0..DATA_CENTRES.len()).map(|at| entry("desk", 50, at)));
    all
}

/// An instance among others, and what it has sent that nothing has answered.
struct Replay {
    instance: TestInstance,
    next: u64,
    /// Attempts, with whether their upstreams are here.
    attempts: Vec<(AttemptKey, bool)>,
    checks: Vec<(UpstreamKey, bool)>,
    pings: Vec<InstanceName>,
    /// Whether the data centre is cut off.
    is_cut: bool,
    has_noted: Vec<bool>,
    /// What neighbours are told.
    shared: Vec<(Vec<DataCentre>, Vec<Instance>)>,
}

impl Replay {
    fn new() -> Self {
        Self::without(Disabled::default())
    }

    /// Creates an instance without some mechanisms.
    fn without(disabled: Disabled) -> Self {
        let settings = Settings {
            disabled,
            instance: "here-0".into(),
            data_centre: "here".into(),
            ..Settings::default()
        };
        let mut instance = TestInstance::new(settings, TIME_LEFT);
        instance.on(Event::Config(config()));
        instance.on(Event::EntriesListed(entries()));
        let other = |at: usize| Instance {
            name: format!("{}-{}", DATA_CENTRES[at / 3], at % 3)
                .parse()
                .unwrap(),
            address: ([127, 0, 1, 1], at as u16).into(),
            data_centre: DATA_CENTRES[at / 3].parse().unwrap(),
            cpu_share: 1.0,
            protocol: ProtocolLevel::CURRENT,
        };
        instance.on(Event::Instances((0..12).map(other).collect()));
        let mut replay = Self {
            instance,
            next: 0,
            attempts: Vec::new(),
            checks: Vec::new(),
            pings: Vec::new(),
            is_cut: false,
            has_noted: Vec::new(),
            shared: Vec::new(),
        };
        for _ in 0..20 {
            replay.search();
            replay.pass(SEARCH_INTERVAL);
        }
        replay
    }

    /// Carries out effects: what is in reach answers after the next millisecond.
    fn take(&mut self, effects: Vec<Effect<Sim>>) {
        for effect in effects {
            match effect {
                Effect::Send(send) => {
                    let is_here = send.address.port() < 100;
                    self.attempts.push((send.attempt, is_here));
                }
                Effect::CheckReply(check) => {
                    self.checks
                        .push((check.upstream, check.address.port() < 100));
                }
                Effect::Ping(name) => self.pings.push(name),
                Effect::HandOver(handover) if !self.is_cut => {
                    let shards = handover.branch.map_or(0, |it| it.shards.len());
                    let names = (0..shards).map(|at| format!("branch-{at}").into());
                    let reply = HandOverOutcome::Answer(SimReply::gathered(names.collect()));
                    let effects = self.instance.on(Event::InstanceAlive(handover.to));
                    self.take(effects);
                    let effects = self.instance.on(Event::HandOverEnded(handover.call, reply));
                    self.take(effects);
                }
                Effect::ShareSeparation(all, to) => self.shared.push((all, to)),
                Effect::Note(Note::Separated(_)) => self.has_noted.push(true),
                Effect::Note(Note::SeparationEnded(_)) => self.has_noted.push(false),
                _ => {}
            }
        }
    }

    fn call(&mut self, path: &str) -> Vec<Effect<Sim>> {
        self.next += 1;
        self.instance
            .call_path(self.next, path, Origin::Caller, None)
    }

    fn search(&mut self) {
        let effects = self.call("/all/x");
        self.take(effects);
    }

    /// Lets time pass, a millisecond after the other.
    fn pass(&mut self, time: Duration) {
        for _ in 0..time.as_millis() {
            let is_reached = |is_here: bool| is_here || !self.is_cut;
            let answered: Vec<_> = self
                .attempts
                .extract_if(.., |it| is_reached(it.1))
                .collect();
            let checked: Vec<_> = self.checks.extract_if(.., |it| is_reached(it.1)).collect();
            let pinged = if self.is_cut {
                Vec::new()
            } else {
                std::mem::take(&mut self.pings)
            };
            for (attempt, _) in answered {
                let reply = Outcome::Reply(SimReply::gathered(vec!["part".into()]));
                let effects = self.instance.on(Event::AttemptEnded(attempt, reply));
                self.take(effects);
            }
            for (upstream, _) in checked {
                let event = Event::ReplyChecked(upstream, ProbeResult::Accepted);
                let effects = self.instance.on(event);
                self.take(effects);
            }
            for name in pinged {
                let effects = self.instance.on(Event::InstanceAlive(name));
                self.take(effects);
            }
            let effects = self.instance.after(Duration::from_millis(1));
            self.take(effects);
        }
    }

    /// Sends searches until the instance is not ready; returns the time that it took, if it did.
    fn time_until_not_ready(&mut self, limit: Duration) -> Option<Duration> {
        let start = self.instance.now;
        while self.instance.now.since(start) < limit {
            let passed = self.instance.now.since(start).as_millis();
            if passed.is_multiple_of(SEARCH_INTERVAL.as_millis()) {
                self.search();
            }
            self.pass(Duration::from_millis(1));
            if !self.instance.is_ready() {
                return Some(self.instance.now.since(start));
            }
        }
        None
    }
}

#[test]
fn an_instance_of_a_cut_off_data_centre_says_so_within_half_a_second_of_silence() {
    let mut replay = Replay::new();
    assert!(replay.instance.is_ready() && replay.has_noted.is_empty());
    replay.is_cut = true;
    let took = replay.time_until_not_ready(DETECTION_TIME * 10);
    assert!(took.is_some_and(|it| it <= DETECTION_TIME), "{took:?}");
    assert_eq!(replay.has_noted, [true; 3]);
    // What can't be served is refused at once, with the longest wait that the caller accepts.
    // A neighbour might reach more, and declines.
    let mut effects = replay.call("/all/x");
    while let Some(next) = handover(&effects) {
        assert!(next.to.as_str().starts_with("here-"), "{}", next.to);
        let declined = Event::HandOverEnded(next.call, HandOverOutcome::Declined);
        effects = replay.instance.on(declined);
    }
    assert!(sent(&effects).is_empty());
    let (why, after) = refusal(&effects).unwrap();
    assert_eq!(why, Refusal::NoUpstream);
    assert!(after > Duration::from_millis(390), "{after:?}");
    // What can be served here is.
    for _ in 0..20 {
        let effects = replay.call("/one/x");
        assert_eq!(sent(&effects).len(), 1);
        replay.take(effects);
        assert_eq!(replay.attempts.last().map(|it| it.1), Some(true));
    }
    // The end of the cut shows within two checks, and everything is used at once.
    replay.attempts.clear();
    replay.is_cut = false;
    replay.pass(DETECTION_TIME);
    assert!(replay.instance.is_ready());
    assert_eq!(replay.has_noted, [true, true, true, false, false, false]);
    let effects = replay.call("/all/x");
    assert!(handover(&effects).is_some() && !sent(&effects).is_empty());
}

/// Without the checks, silence looks like slow upstreams.
#[test]
fn without_the_checks_a_cut_is_not_noticed_in_time() {
    let mut replay = Replay::without("separation".parse().unwrap());
    replay.is_cut = true;
    assert_eq!(replay.time_until_not_ready(DETECTION_TIME), None);
}

#[test]
fn connections_that_are_reset_show_a_cut_at_once() {
    let mut replay = Replay::new();
    replay.is_cut = true;
    let effects = replay.call("/all/x");
    let branch = handover(&effects).unwrap().call;
    replay.take(effects);
    let ended = Event::HandOverEnded(branch, HandOverOutcome::Broken);
    let effects = replay.instance.on(ended);
    replay.take(effects);
    assert!(!replay.checks.is_empty() && replay.instance.is_ready());
    for (upstream, _) in std::mem::take(&mut replay.checks) {
        let event = Event::ReplyChecked(upstream, ProbeResult::Refused);
        let effects = replay.instance.on(event);
        replay.take(effects);
    }
    assert!(!replay.instance.is_ready());
}

/// An instance that nobody hands a search knows of the cut what its neighbours tell it, and checks
/// for itself.
#[test]
fn neighbours_are_told_of_a_separation_once_and_check_it() {
    let mut first = Replay::new();
    first.is_cut = true;
    assert!(first.time_until_not_ready(DETECTION_TIME).is_some());
    let [(reported, to)] = &first.shared[..] else {
        panic!("{:?}", first.shared);
    };
    assert!(reported.len() >= 2);
    assert!(to.iter().all(|it| it.data_centre.as_str() == "here") && to.len() == 2);
    for is_cut in [true, false] {
        let mut idle = Replay::new();
        idle.pass(DETECTION_TIME);
        idle.is_cut = is_cut;
        let effects = idle
            .instance
            .on(Event::SeparationReported(reported.clone()));
        idle.take(effects);
        idle.pass(CHECK_TIME);
        assert_eq!(idle.instance.is_ready(), !is_cut);
        assert!(idle.shared.is_empty(), "told again: {:?}", idle.shared);
    }
}

/// Fails one attempt elsewhere after a search, and returns the checks that follow.
fn fail_one(replay: &mut Replay) -> usize {
    replay.pass(SEARCH_INTERVAL);
    replay.is_cut = true;
    let effects = replay.call("/one/x");
    replay.take(effects);
    for _ in 0..100 {
        if replay.attempts.iter().any(|it| !it.1) {
            break;
        }
        let effects = replay.call("/one/x");
        replay.take(effects);
    }
    let elsewhere = replay.attempts.iter().position(|it| !it.1);
    let (attempt, _) = replay.attempts.swap_remove(elsewhere.unwrap());
    let unreachable = Outcome::Failed(Failure::Unreachable);
    let effects = replay
        .instance
        .on(Event::AttemptEnded(attempt, unreachable));
    replay.take(effects);
    replay.checks.len()
}

#[test]
fn a_message_of_an_instance_during_the_checks_disproves_a_separation() {
    let mut replay = Replay::new();
    assert!(fail_one(&mut replay) >= 2);
    for name in std::mem::take(&mut replay.pings) {
        replay.instance.on(Event::InstanceAlive(name));
    }
    replay.pass(DETECTION_TIME);
    assert!(replay.has_noted.is_empty() && replay.instance.is_ready());
}

/// Upstreams that crash together are no cut as long as any of the others replies.
#[test]
fn a_reply_during_the_checks_disproves_a_separation() {
    let mut replay = Replay::new();
    assert!(fail_one(&mut replay) >= 2);
    replay.pings.clear();
    let checks = std::mem::take(&mut replay.checks);
    let replies: Vec<UpstreamKey> = checks.iter().map(|it| it.0).collect();
    for upstream in replies {
        replay
            .instance
            .on(Event::ReplyChecked(upstream, ProbeResult::Accepted));
    }
    replay.pass(DETECTION_TIME);
    assert!(replay.has_noted.is_empty() && replay.instance.is_ready());
}

/// Replies that are read too late prove nothing.
#[test]
fn an_instance_that_was_paused_sees_no_separation() {
    let mut replay = Replay::new();
    assert!(fail_one(&mut replay) >= 2);
    let effects = replay.instance.after(Duration::from_secs(3));
    replay.take(effects);
    assert!(replay.has_noted.is_empty() && replay.instance.is_ready());
}

/// A search that nobody waits for is no sign of anything.
#[test]
fn answers_of_one_data_centre_say_nothing_of_the_others() {
    let mut replay = Replay::new();
    assert!(fail_one(&mut replay) >= 2);
    replay
        .instance
        .on(Event::InstanceAlive("far-0".parse().unwrap()));
    replay.pass(DETECTION_TIME);
    // The instance reaches half of the remaining shards' replicas through the one that answers.
    assert!(replay.has_noted.iter().filter(|it| **it).count() <= 2);
    let answer = replay.call("/all/x");
    assert!(
        !answer
            .iter()
            .any(|it| matches!(it, Effect::Answer(_, Answer::Failed(_))))
    );
}
