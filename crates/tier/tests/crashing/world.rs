//! Instances, upstreams that crash, callers that return, and a store that shares quarantines.

mod upstreams;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base::{CallId, ServiceName, Time};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tier::{
    Answer, AttemptKey, Config, Effect, Entry, Event, Failure, Head, Instance, Origin, Outcome,
    Protocol, Refusal, Route, Settings, Target, Tier, UpstreamKey,
    config::{Gather, Limits, Service},
    crash::suspicion::ProbeResult,
    effect::ReplyCheck,
    organisation::Credential,
};

use super::SETTLE_WINDOW;
use crate::simulation::SimReply;

/// Duration of a run.
const LENGTH: Duration = Duration::from_secs(40);

/// Mean interval at which each crashing request is sent, by any of its callers.
const CRASHING_INTERVAL: Duration = Duration::from_millis(250);

/// One-way network delay.
const DELAY: Duration = Duration::from_millis(1);

/// Time that an upstream takes to run a request, or to crash on it.
const SERVICE_TIME: Duration = Duration::from_millis(6);

/// Interval at which instances read the quarantines from the store.
const STORE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time from a change of an entry until the instances know it.
const ENTRY_DELAY: Duration = Duration::from_millis(300);

/// Time after which the entry of an upstream that writes no more is removed.
const ENTRY_LAPSE: Duration = Duration::from_millis(3_600);

/// Time after which a connection to an upstream that is silent is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a restarting instance is down.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// Number of contents of which none is drawn twice.
pub(super) const UNIQUE: u64 = 1 << 40;

/// Time after a reset for which kept connections turn out to be closed.
const STALE_TIME: Duration = Duration::from_millis(80);

/// Duration of a starvation.
const STARVED_TIME: Duration = Duration::from_millis(2_500);

/// Share of probes and requests that end without an answer while the machine is starved.
const STARVED_LOSS: f64 = 0.9;

/// Interval at which a starved instance gets CPU time.
const STARVED_TURN: Duration = Duration::from_millis(400);

/// Digests from here on belong to harmless requests.
const FIRST_HARMLESS: u64 = 1_000;

/// How an upstream ends, and how it comes back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    /// Time until it is back; `None` if it is gone for good.
    pub(super) down: Option<Duration>,
    /// Whether it ends without resetting its connections, and refuses none.
    pub(super) is_silent: bool,
    /// Whether it comes back under a new name.
    pub(super) has_new_name: bool,
}

impl Default for Crash {
    fn default() -> Self {
        Self {
            down: Some(Duration::from_secs(3)),
            is_silent: false,
            has_new_name: false,
        }
    }
}

/// What happens in a run.
#[derive(Clone, Debug)]
pub(super) struct Scenario {
    pub(super) instances: usize,
    /// Number of records of instances that are gone.
    pub(super) stale_records: usize,
    /// Time until the instances know each other.
    pub(super) instances_known_after: Option<Duration>,
    /// Number of upstreams, over all services.
    pub(super) upstreams: usize,
    /// Number of shards; with more than one, all requests are searches.
    pub(super) shards: usize,
    pub(super) idempotent: bool,
    /// Number of different requests that crash upstreams.
    pub(super) crashing: u64,
    pub(super) crash: Crash,
    /// Harmless requests per second.
    pub(super) harmless_rate: f64,
    /// Number of different harmless requests.
    pub(super) harmless_contents: u64,
    /// When the store goes away, and for how long.
    pub(super) store_away: Option<(Duration, Duration)>,
    /// Interval at which an instance is restarted.
    pub(super) restarts_every: Option<Duration>,
    /// Interval at which the connections of one upstream are reset.
    pub(super) resets_every: Option<Duration>,
    /// Interval at which a tenth of the upstreams end for a reason of their own.
    pub(super) ends_every: Option<Duration>,
    /// Whether those end in silence.
    pub(super) ends_in_silence: bool,
    /// Interval at which upstreams are cut off from all instances.
    pub(super) cuts_every: Option<Duration>,
    /// Share of the upstreams that a cut affects, and its duration.
    pub(super) cut: (f64, Duration),
    /// Interval at which the machine of all instances and upstreams is starved for
    /// [`STARVED_TIME`].
    pub(super) starved_every: Option<Duration>,
    /// Minimum number of crashes without which a run proves nothing.
    pub(super) min_crashes: usize,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            instances: 12,
            stale_records: 0,
            instances_known_after: None,
            upstreams: 24,
            shards: 1,
            idempotent: true,
            crashing: 1,
            crash: Crash::default(),
            harmless_rate: 0.0,
            harmless_contents: UNIQUE,
            store_away: None,
            restarts_every: None,
            resets_every: None,
            ends_every: None,
            ends_in_silence: false,
            cuts_every: None,
            cut: (0.2, Duration::from_secs(1)),
            starved_every: None,
            min_crashes: 3,
        }
    }
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub(super) struct Report {
    /// Number of upstreams that crashing requests have ended.
    pub(super) crashes: usize,
    /// Attempts with a crashing request later than the settle window after its third crash, sent by
    /// instances that have run for a settle window; of the request with the most.
    pub(super) late_attempts: usize,
    /// Harmless requests that were refused as quarantined.
    pub(super) refused_harmless: usize,
    /// Harmless requests that were answered.
    pub(super) served_harmless: usize,
}

/// Request and reply types: a request is its digest.
#[derive(Debug)]
struct Content;

impl Protocol for Content {
    type Request = u64;
    type Reply = SimReply;
}

/// An attempt, and the instance and the start of it that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sent {
    instance: usize,
    start: u32,
    attempt: AttemptKey,
}

struct Upstream {
    entry: Entry,
    running: Vec<Sent>,
    /// Time until which it is down; `None` while it is up.
    down_until: Option<Time>,
    is_silent: bool,
    is_cut: bool,
    /// Time until which attempts find kept connections that a reset has closed.
    stale_until: Time,
}

#[derive(Debug)]
enum Step {
    /// A caller sends a request with this digest to any instance.
    Caller(u64),
    /// An attempt arrives at an upstream, with the digest of its request.
    Arrive(Sent, usize, u64),
    /// An upstream completes a request, or crashes on it: with the start of the upstream.
    Done(usize, u64, Sent, u64),
    Outcome(Sent, Option<Failure>),
    /// A probe by an instance, of this start, has ended.
    /// With whether a reply was checked for, or a connection.
    Probed(usize, u32, UpstreamKey, ProbeResult, bool),
    /// An upstream is back.
    Back(usize, bool),
    Mend(usize),
    Entry(Entry),
    Lapse(String, u64),
    ReadStore(usize, u32),
    /// A message of another instance arrives.
    Told(usize, Event<Content>),
    Restart,
    Started(usize),
    Reset,
    End,
    Cut,
    Starve,
    Turn,
    Wake,
}

struct World<'a> {
    scenario: &'a Scenario,
    now: Time,
    rng: SmallRng,
    tiers: Vec<Option<Tier<Content>>>,
    started: Vec<Time>,
    /// Number of starts of each instance.
    starts: Vec<u32>,
    upstreams: Vec<Upstream>,
    steps: BTreeMap<(Time, u64), Step>,
    next_step: u64,
    next_call: CallId,
    calls: HashMap<(usize, CallId), u64>,
    /// Digests that the store holds.
    stored: HashSet<u64>,
    /// Digests that each instance has still to write to the store.
    unwritten: Vec<Vec<u64>>,
    /// Attempts with crashing requests: the time, whether their instance had run for a settle
    /// window, and the digest.
    attempts: Vec<(Time, bool, u64)>,
    /// Crashes by crashing requests: the time and the digest.
    crashes: Vec<(Time, u64)>,
    config: Rc<Config>,
    /// Time until which the machine is starved.
    starved_until: Time,
    /// Time of the next turn of the instances while it is.
    turn_at: Time,
    /// Events that wait for that turn.
    held: Vec<(usize, Event<Content>)>,
    report: Report,
}

/// Runs a scenario.
pub(super) fn run(scenario: &Scenario, seed: u64) -> Report {
    let mut world = World::new(scenario, seed);
    world.plan();
    while let Some(next) = world.next_time().filter(|at| *at <= Time::ZERO + LENGTH) {
        world.now = next;
        for instance in 0..world.tiers.len() {
            let tier = world.tiers[instance].as_mut();
            let is_due = tier.and_then(Tier::next_wake).is_some_and(|at| at <= next);
            if is_due && world.turn_at <= next {
                world.deliver(instance, Event::Tick);
            }
        }
        while let Some(entry) = world.steps.first_entry().filter(|it| it.key().0 <= next) {
            let step = entry.remove();
            world.step(step);
        }
    }
    world.report()
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let mut world = Self {
            scenario,
            now: Time::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            tiers: Vec::new(),
            started: vec![Time::ZERO; scenario.instances],
            starts: vec![0; scenario.instances],
            upstreams: (0..scenario.upstreams)
                .map(|i| upstream(scenario, i))
                .collect(),
            steps: BTreeMap::new(),
            next_step: 0,
            next_call: CallId::default(),
            calls: HashMap::new(),
            stored: HashSet::new(),
            unwritten: vec![Vec::new(); scenario.instances],
            attempts: Vec::new(),
            crashes: Vec::new(),
            config: config(scenario),
            starved_until: Time::ZERO,
            turn_at: Time::ZERO,
            held: Vec::new(),
            report: Report::default(),
        };
        for instance in 0..scenario.instances {
            world.tiers.push(None);
            world.start(instance);
        }
        world
    }

    /// Schedules everything that does not follow from something else.
    fn plan(&mut self) {
        for digest in 0..self.scenario.crashing {
            let first = CRASHING_INTERVAL.mul_f64(self.rng.random());
            self.repeat(Some(CRASHING_INTERVAL), first, |_| Step::Caller(digest));
        }
        if self.scenario.harmless_rate > 0.0 {
            let gap = Duration::from_secs_f64(1.0 / self.scenario.harmless_rate);
            let contents = self.scenario.harmless_contents;
            self.repeat(Some(gap), gap, |rng| {
                Step::Caller(FIRST_HARMLESS + rng.random_range(0..contents))
            });
        }
        let scenario = self.scenario;
        let second = Duration::from_secs(1);
        self.repeat(scenario.restarts_every, second, |_| Step::Restart);
        self.repeat(scenario.resets_every, second, |_| Step::Reset);
        self.repeat(scenario.ends_every, second, |_| Step::End);
        self.repeat(scenario.cuts_every, second, |_| Step::Cut);
        self.repeat(scenario.starved_every, second, |_| Step::Starve);
        if let Some((at, lasts)) = scenario.store_away {
            for after in [at, at + lasts] {
                self.schedule(after, Step::Wake);
            }
        }
    }

    fn repeat(
        &mut self,
        every: Option<Duration>,
        first: Duration,
        step: impl Fn(&mut SmallRng) -> Step,
    ) {
        let Some(every) = every else { return };
        let mut at = first;
        while at < LENGTH {
            let step = step(&mut self.rng);
            self.schedule(at, step);
            at += every.mul_f64(0.6 + 0.8 * self.rng.random::<f64>());
        }
    }

    fn schedule(&mut self, after: Duration, step: Step) {
        self.next_step += 1;
        self.steps.insert((self.now + after, self.next_step), step);
    }

    fn next_time(&mut self) -> Option<Time> {
        let step = self.steps.first_key_value().map(|((at, _), _)| *at);
        let wakes = self.tiers.iter_mut().flatten().filter_map(Tier::next_wake);
        // Timers of a starved instance fire late.
        let turn_at = self.turn_at;
        wakes.map(|at| at.max(turn_at)).chain(step).min()
    }

    fn is_store_away(&self) -> bool {
        self.scenario.store_away.is_some_and(|(at, lasts)| {
            let start = Time::ZERO + at;
            self.now >= start && self.now < start + lasts
        })
    }

    /// Starts an instance, which reads everything from the store.
    fn start(&mut self, instance: usize) {
        let settings = Settings {
            instance: name(instance).into(),
            data_centre: "here".into(),
            ..Settings::default()
        };
        let seed = self.rng.random();
        self.tiers[instance] = Some(Tier::new(settings, seed));
        self.started[instance] = self.now;
        self.starts[instance] += 1;
        let entries = self.upstreams.iter().map(|it| it.entry.clone()).collect();
        let records = self.scenario.instances + self.scenario.stale_records;
        let all = (0..records).map(record).collect();
        self.deliver(instance, Event::Config(Rc::clone(&self.config)));
        self.deliver(instance, Event::EntriesListed(entries));
        match self.scenario.instances_known_after {
            Some(after) if self.now < Time::ZERO + after => {
                self.schedule(after, Step::Told(instance, Event::Instances(all)));
            }
            _ => self.deliver(instance, Event::Instances(all)),
        }
        self.read_store(instance, self.starts[instance]);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Caller(digest) => self.call(digest),
            Step::Arrive(sent, upstream, digest) => self.arrive(sent, upstream, digest),
            Step::Done(upstream, started, sent, digest) => {
                self.done(upstream, started, sent, digest);
            }
            Step::Outcome(sent, _) if sent.start != self.starts[sent.instance] => {}
            Step::Outcome(sent, failure) => {
                let reply = || Outcome::Reply(SimReply::gathered(Vec::new()));
                let outcome = failure.map_or_else(reply, Outcome::Failed);
                self.deliver(sent.instance, Event::AttemptEnded(sent.attempt, outcome));
            }
            Step::Probed(instance, start, key, result, is_reply_check)
                if start == self.starts[instance] =>
            {
                let event = match is_reply_check {
                    true => Event::ReplyChecked(key, result),
                    false => Event::Probed(key, result),
                };
                self.deliver(instance, event);
            }
            Step::Probed(..) => {}
            Step::Back(upstream, has_new_name) => self.back(upstream, has_new_name),
            Step::Mend(upstream) => self.upstreams[upstream].is_cut = false,
            Step::Entry(entry) => self.publish(|| Event::EntryChanged(entry.clone())),
            Step::Lapse(name, started) => self.lapse(&name, started),
            Step::ReadStore(instance, start) => self.read_store(instance, start),
            Step::Told(instance, event) => self.deliver(instance, event),
            Step::Restart => {
                let instance = self.rng.random_range(0..self.tiers.len());
                if self.tiers[instance].take().is_some() {
                    self.unwritten[instance].clear();
                    self.schedule(RESTART_TIME, Step::Started(instance));
                }
            }
            Step::Started(instance) if self.is_store_away() => {
                self.schedule(RESTART_TIME, Step::Started(instance));
            }
            Step::Started(instance) => self.start(instance),
            Step::Reset => {
                let upstream = self.rng.random_range(0..self.upstreams.len());
                self.break_connections(upstream);
                self.upstreams[upstream].stale_until = self.now + STALE_TIME;
            }
            Step::End => {
                for upstream in 0..self.upstreams.len() {
                    if self.rng.random_bool(0.1) {
                        let crash = Crash {
                            is_silent: self.scenario.ends_in_silence,
                            ..Crash::default()
                        };
                        self.end(upstream, crash);
                    }
                }
            }
            Step::Cut => {
                for upstream in 0..self.upstreams.len() {
                    let (share, time) = self.scenario.cut;
                    if self.rng.random_bool(share) {
                        self.upstreams[upstream].is_cut = true;
                        self.schedule(time, Step::Mend(upstream));
                    }
                }
            }
            Step::Starve => {
                self.starved_until = self.now + STARVED_TIME;
                self.turn();
            }
            Step::Turn => self.turn(),
            Step::Wake => {
                let away = self.is_store_away();
                for instance in 0..self.tiers.len() {
                    let event = if away {
                        Event::PlatformLost
                    } else {
                        Event::PlatformBack
                    };
                    self.deliver(instance, event);
                }
            }
        }
    }

    fn call(&mut self, digest: u64) {
        let up: Vec<usize> = (0..self.tiers.len())
            .filter(|instance| self.tiers[*instance].is_some())
            .collect();
        let Some(instance) = up.get(self.rng.random_range(0..up.len().max(1))).copied() else {
            return;
        };
        let id = self.next_call;
        self.next_call = id.next();
        self.calls.insert((instance, id), digest);
        let head = Head {
            id: format!("{instance}-{}", id.0).into(),
            host: "search.example".into(),
            path: "/x".into(),
            time_left: Some(Duration::from_millis(1_200)),
            age: Duration::ZERO,
            due: None,
            digest,
            origin: Origin::Caller,
            credential: Credential::default(),
            branch: None,
        };
        self.deliver(instance, Event::Call(id, head, digest));
    }

    /// Delivers what the instances have missed since their last turn.
    fn turn(&mut self) {
        self.turn_at = self.now;
        for (instance, event) in std::mem::take(&mut self.held) {
            self.deliver(instance, event);
        }
        if self.now < self.starved_until {
            self.turn_at = self.now + STARVED_TURN;
            self.schedule(STARVED_TURN, Step::Turn);
        }
    }

    fn deliver(&mut self, instance: usize, event: Event<Content>) {
        if self.turn_at > self.now {
            self.held.push((instance, event));
            return;
        }
        let Some(tier) = &mut self.tiers[instance] else {
            return;
        };
        let mut effects = Vec::new();
        tier.on(self.now, event, &mut effects);
        for effect in effects {
            self.execute(instance, effect);
        }
    }

    fn execute(&mut self, instance: usize, effect: Effect<Content>) {
        match effect {
            Effect::Answer(id, answer) => self.answer((instance, id), &answer),
            Effect::Send(send) => {
                let upstream = usize::from(send.address.port());
                if send.request < FIRST_HARMLESS {
                    let in_touch = self.now.since(self.started[instance]) >= SETTLE_WINDOW;
                    self.attempts.push((self.now, in_touch, send.request));
                }
                let sent = self.sent(instance, send.attempt);
                self.schedule(DELAY, Step::Arrive(sent, upstream, send.request));
            }
            Effect::Cancel(attempt) => {
                let cancelled = self.sent(instance, attempt);
                for upstream in &mut self.upstreams {
                    upstream.running.retain(|it| *it != cancelled);
                }
            }
            Effect::Probe(key, address)
            | Effect::CheckReply(ReplyCheck {
                upstream: key,
                address,
                ..
            }) => {
                let is_reply_check = matches!(effect, Effect::CheckReply(_));
                let upstream = &self.upstreams[usize::from(address.port())];
                let is_up = upstream.down_until.is_none();
                let is_starved =
                    self.starved_until > self.now && self.rng.random_bool(STARVED_LOSS);
                let is_silent = upstream.is_silent && !is_up || upstream.is_cut || is_starved;
                let (after, result) = match is_silent {
                    true => (CONNECT_TIMEOUT, ProbeResult::Unanswered),
                    false if is_up => (DELAY * 2, ProbeResult::Accepted),
                    false => (DELAY * 2, ProbeResult::Refused),
                };
                let start = self.starts[instance];
                self.schedule(
                    after,
                    Step::Probed(instance, start, key, result, is_reply_check),
                );
            }
            Effect::ReportCrash(crash, to) => {
                for other in to {
                    let report =
                        Event::CrashReported(name(instance).parse().unwrap(), crash.clone());
                    let lost = Event::ReportLost(other.name, crash.clone());
                    self.tell(instance, other.address, report, Some(lost));
                }
            }
            Effect::ReportReply(digest, service, to) => {
                for other in to {
                    let report = Event::ReplyReported(digest, service.clone());
                    self.tell(instance, other.address, report, None);
                }
            }
            Effect::ShareSeparation(all, to) => {
                for other in to {
                    let report = Event::SeparationReported(all.clone());
                    self.tell(instance, other.address, report, None);
                }
            }
            Effect::ShareQuarantine(digest, left, to) => {
                for other in to {
                    let shared = Event::QuarantineShared(digest, left);
                    self.tell(instance, other.address, shared, None);
                }
            }
            Effect::Unquarantine(digest) => {
                self.stored.remove(&digest);
            }
            Effect::Quarantine(digest) => self.unwritten[instance].push(digest),
            _ => {}
        }
    }

    /// Delivers an event to another instance, or `lost` to the sender if the other one is down.
    fn tell(
        &mut self,
        from: usize,
        to: SocketAddr,
        event: Event<Content>,
        lost: Option<Event<Content>>,
    ) {
        let to = usize::from(to.port());
        if self.tiers.get(to).is_some_and(Option::is_some) {
            self.schedule(DELAY, Step::Told(to, event));
        } else if let Some(lost) = lost {
            self.schedule(DELAY * 2, Step::Told(from, lost));
        }
    }

    fn answer(&mut self, call: (usize, CallId), answer: &Answer<SimReply>) {
        let digest = self
            .calls
            .remove(&call)
            .expect("each call is answered once");
        if digest < FIRST_HARMLESS {
            return;
        }
        match answer {
            Answer::Refused(Refusal::Quarantined, _) => self.report.refused_harmless += 1,
            Answer::Reply(_) | Answer::Gathered(_) => self.report.served_harmless += 1,
            _ => {}
        }
    }

    fn sent(&self, instance: usize, attempt: AttemptKey) -> Sent {
        Sent {
            instance,
            start: self.starts[instance],
            attempt,
        }
    }

    /// Has an instance read the quarantines from the store, and write the next one of its own.
    fn read_store(&mut self, instance: usize, start: u32) {
        if start != self.starts[instance] || self.tiers[instance].is_none() {
            return;
        }
        if !self.is_store_away() {
            let mut stored: Vec<u64> = self.stored.iter().copied().collect();
            stored.sort_unstable();
            for digest in stored {
                self.deliver(instance, Event::Quarantine(digest));
            }
            if !self.unwritten[instance].is_empty() {
                let digest = self.unwritten[instance].remove(0);
                self.stored.insert(digest);
            }
        }
        self.schedule(STORE_INTERVAL, Step::ReadStore(instance, start));
    }

    fn report(mut self) -> Report {
        self.report.crashes = self.crashes.len();
        for digest in 0..self.scenario.crashing {
            let crashes = self.crashes.iter().filter(|(_, it)| *it == digest);
            let Some((third, _)) = crashes.copied().nth(2) else {
                continue;
            };
            let is_late = |it: &&(Time, bool, u64)| {
                let (at, in_touch, attempted) = **it;
                attempted == digest && in_touch && at > third + SETTLE_WINDOW
            };
            let late = self.attempts.iter().filter(is_late).count();
            self.report.late_attempts = self.report.late_attempts.max(late);
        }
        self.report
    }
}

fn name(instance: usize) -> String {
    format!("instance-{instance}")
}

fn record(instance: usize) -> Instance {
    Instance {
        name: name(instance).parse().unwrap(),
        address: ([127, 0, 1, 1], instance as u16).into(),
        data_centre: "here".parse().unwrap(),
        cpu_share: 1.0,
        protocol: tier::ProtocolLevel::CURRENT,
    }
}

fn service(shard: usize) -> ServiceName {
    format!("shard-{shard}").parse().unwrap()
}

fn upstream(scenario: &Scenario, i: usize) -> Upstream {
    Upstream {
        entry: Entry {
            name: format!("up-{i}").parse().unwrap(),
            service: service(i % scenario.shards),
            address: ([127, 0, 0, 1], i as u16).into(),
            data_centre: "here".parse().unwrap(),
            slots: 4,
            draining: false,
            cold_left: Duration::ZERO,
            started_ms: 1,
            seq: 1,
        },
        running: Vec::new(),
        down_until: None,
        is_silent: false,
        is_cut: false,
        stale_until: Time::ZERO,
    }
}

fn config(scenario: &Scenario) -> Rc<Config> {
    let shards: Box<[ServiceName]> = (0..scenario.shards).map(service).collect();
    let limits = Service {
        max_connections: 500,
        ..Service::default()
    };
    let services = shards
        .iter()
        .map(|it| (it.clone(), limits.clone()))
        .collect();
    let target = match scenario.shards {
        1 => Target::One(service(0)),
        count => Target::Gather(Gather {
            min_parts: count / 2,
            shards,
            top: 5,
        }),
    };
    let route = Route {
        name: "search".into(),
        host: "search.example".into(),
        prefix: "/".into(),
        idempotent: scenario.idempotent,
        timeout: Duration::from_millis(1_200),
        objective: Duration::from_millis(120),
        priority: 1,
        max_attempts: 2,
        is_public: false,
        regions: None,
        target,
    };
    Rc::new(Config::new(1, vec![route], services, Limits::default()))
}
