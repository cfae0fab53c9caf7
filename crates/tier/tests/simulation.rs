//! Simulation of instances, upstreams with slots and queues, and callers on one simulated clock.

mod build;
mod events;
mod handovers;
mod replies;
mod tally;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use base::{CallId, Time, UpstreamName};
use bytes::Bytes;
use rand::{Rng, rngs::SmallRng};
use tier::{
    Answer, AttemptKey, Effect, Entry, Event, Failure, HandOverOutcome, Head, LimitedShard, Note,
    Origin, Outcome, Tier, crash::suspicion::ProbeResult, effect::HandOver, limit::RequestRate,
    load_report::LoadReport, notice::Notice, organisation::Credential,
};

pub(crate) use build::{Kind, SimulationConfig};
use replies::SearchResult;
pub(crate) use replies::{Sim, SimReply};
use tally::Caller;
pub(crate) use tally::Tally;

/// A simulated upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    name: UpstreamName,
    /// Mean service time of a request.
    pub(crate) service_time: Duration,
    /// Number of requests that it runs concurrently.
    pub(crate) slots: usize,
    /// Maximum number of queued requests; further ones are rejected.
    pub(crate) queue: usize,
    /// Index of its data centre.
    data_centre: usize,
    /// Time until which it is paused.
    pub(crate) paused_until: Time,
    /// Share of its replies that are lost with their connection.
    pub(crate) break_rate: f64,
    /// Share of requests that it rejects despite free capacity.
    pub(crate) shed_rate: f64,
    /// Whether it refuses connections.
    pub(crate) is_down: bool,
    /// Whether requests to it are lost in the network.
    pub(crate) is_partitioned: bool,
    /// The limit that it names in its replies.
    pub(crate) limit: Option<RequestRate>,
    /// Arrivals since the limit was set, with the instances that sent them.
    pub(crate) limited_arrivals: Vec<(Time, usize)>,
    /// Time at which each instance first got a reply that named the limit.
    pub(crate) told: HashMap<usize, Time>,
    /// Time that its work takes, as a multiple of the usual time.
    slowdown: f64,
    /// Requests that have arrived.
    pub(crate) arrivals: usize,
    /// Requests that those met there, in sum.
    pub(crate) met: usize,
    /// Its latest load report, with its time.
    report: Option<(Time, LoadReport)>,
    /// Time until which it is cold, as its replies to health checks say.
    pub(crate) cold_until: Time,
    /// Arrivals while it was cold.
    pub(crate) cold_arrivals: Vec<Time>,
    entry: Entry,
    waiting: VecDeque<(usize, AttemptKey)>,
    running: Vec<(usize, AttemptKey)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Caller(usize),
    /// A refused caller returns; with the kind of its search and the time of its first request.
    Return(usize, usize, Time),
    /// A caller's request arrives.
    Ask(usize, CallId),
    Arrive(usize, AttemptKey, usize),
    /// An attempt of an instance that is cut off fails: unsent, or with its connection broken.
    Failed(usize, AttemptKey, bool),
    Done(usize, usize, AttemptKey),
    Pause(usize, Duration),
    Resume(usize),
    /// Other machines become slow.
    Noise,
    /// An instance reads the entry of an upstream.
    Entry(usize, usize),
    /// A search arrives at the instance that it was handed to: receiver, sender and the sender's
    /// call.
    HandOver(usize, usize, CallId),
    /// The outcome of a handover arrives at the instance that sent it.
    HandOverResult(usize, CallId),
}

/// Disturbances of the machines of upstreams, which others share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Noise {
    /// Share of the machines that are slow at a time.
    pub(crate) share: f64,
    /// Time that work takes on those, as a multiple of the usual time.
    pub(crate) slowdown: f64,
    /// Time after which others are slow.
    pub(crate) interval: Duration,
    /// Age that the upstreams' load reports reach; `None` if they report nothing.
    pub(crate) report_age: Option<Duration>,
}

/// How an instance is cut off from all upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cut {
    /// Connections get no answer.
    Hangs,
    /// Connections are refused.
    Refuses,
    /// Connections are accepted, and closed once a request was sent.
    Breaks,
}

/// Time after which an instance gives up opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time for which connections are kept open.
const CONNECTION_KEPT: Duration = Duration::from_secs(3);

/// Factor by which a new connection increases the CPU time of a part.
const NEW_CONNECTION_FACTOR: f64 = 2.0;

/// The simulation.
pub(crate) struct Simulation {
    /// Current time.
    pub(crate) now: Time,
    /// Upstreams by index.
    pub(crate) upstreams: Vec<Upstream>,
    tiers: Vec<Tier<Sim>>,
    steps: BinaryHeap<Reverse<(Time, u64, Step)>>,
    next_step: u64,
    calls: HashMap<(usize, CallId), Caller>,
    next_call: CallId,
    names: BTreeMap<String, usize>,
    kinds: Vec<Kind>,
    /// Results by kind of search.
    pub(crate) kind_tallies: Vec<Tally>,
    /// Kind of the search that each attempt is part of, by instance.
    attempt_kinds: HashMap<(usize, AttemptKey), usize>,
    /// One-way network delay between callers and instances.
    pub(crate) caller_way: Duration,
    /// Time to open a connection to an upstream.
    pub(crate) connect_time: Duration,
    callers_return: bool,
    data_centres: usize,
    shards: usize,
    rng: SmallRng,
    tally: Tally,
    /// Time until which each instance's CPU is busy.
    busy_until: Vec<Time>,
    part_cpu_time: Duration,
    cpu_shares: Vec<f64>,
    /// Time at which each instance last used each upstream, by instance and upstream.
    used: HashMap<(usize, usize), Time>,
    /// Whether each instance is paused.
    paused_instances: Vec<bool>,
    /// How each instance is cut off from the upstreams, if it is.
    pub(crate) cuts: Vec<Option<Cut>>,
    /// First requests of callers at each instance in the current run, and those that were answered.
    pub(crate) first_tries: Vec<(u32, u32)>,
    /// Sources of the searches that were handed over, by the running instance and its call.
    handover_sources: HashMap<(usize, CallId), HandOverSource>,
    /// Outcomes of handovers in transit, by the sending instance and its call.
    handover_outcomes: HashMap<(usize, CallId), (HandOverOutcome<SimReply>, Vec<LimitedShard>)>,
    /// The instance that each search was handed to, by the sending instance and its call.
    handed_to: HashMap<(usize, CallId), usize>,
    /// How the machines of upstreams are disturbed.
    noise: Option<Noise>,
    /// Handovers in transit, by the sending instance and its call.
    handovers: HashMap<(usize, CallId), HandOver<usize>>,
}

/// The instance that handed a search over, and its call.
type HandOverSource = (usize, CallId);

/// One-way network delay between instances and upstreams.
const NETWORK_DELAY: Duration = Duration::from_micros(500);

impl Simulation {
    /// Returns the attempts of all instances that were placed by a load report.
    pub(crate) fn placements_by_report(&self) -> u64 {
        let placements = self.tiers.iter().map(|it| it.report_usage().placements);
        placements.sum()
    }

    /// Sends `rate` searches per second for a time and returns their results.
    pub(crate) fn run(&mut self, rate: f64, time: Duration) -> Tally {
        self.tally = Tally::default();
        self.kind_tallies = vec![Tally::default(); self.kinds.len()];
        self.first_tries = vec![(0, 0); self.tiers.len()];
        let mut at = self.now;
        let end = self.now + time;
        while at < end {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
            at = at + Duration::from_secs_f64(gap);
            let instance = self.rng.random_range(0..self.tiers.len());
            self.schedule(at, Step::Caller(instance));
        }
        let objectives = self.kinds.iter().map(|kind| kind.objective);
        let settled = end + objectives.max().unwrap_or_default() * 2;
        while let Some(next) = self.next_time()
            && next <= settled
        {
            self.now = self.now.max(next);
            self.advance();
        }
        self.now = settled;
        self.tally
    }

    /// Turns upstreams cold for a time; their entries, which say so, reach the instances within
    /// `lag`.
    pub(crate) fn turn_cold(&mut self, upstreams: &[usize], time: Duration, lag: Duration) {
        for at in upstreams {
            let it = &mut self.upstreams[*at];
            it.cold_until = self.now + time;
            it.entry.seq += 1;
            for instance in 0..self.tiers.len() {
                let read_at = self.now + lag.mul_f64(self.rng.random());
                self.schedule(read_at, Step::Entry(instance, *at));
            }
        }
    }

    /// Returns the upstreams of a data centre.
    pub(crate) fn upstreams_in(&self, data_centre: usize) -> Vec<usize> {
        let is_there = |at: &usize| self.upstreams[*at].data_centre == data_centre;
        (0..self.upstreams.len()).filter(is_there).collect()
    }

    /// Adds callers at random times within a time from now on.
    pub(crate) fn add_callers(&mut self, callers: usize, within: Duration) {
        for _ in 0..callers {
            let at = self.now + within.mul_f64(self.rng.random());
            let instance = self.rng.random_range(0..self.tiers.len());
            self.schedule(at, Step::Caller(instance));
        }
    }

    fn next_time(&mut self) -> Option<Time> {
        let step = self.steps.peek().map(|Reverse((at, ..))| *at);
        let wakes = self.tiers.iter_mut().filter_map(Tier::next_wake);
        wakes.chain(step).min()
    }

    fn advance(&mut self) {
        for instance in 0..self.tiers.len() {
            if self.tiers[instance]
                .next_wake()
                .is_some_and(|at| at <= self.now)
            {
                self.deliver(instance, Event::Tick);
            }
        }
        while let Some(Reverse((at, _, step))) = self.steps.peek().copied()
            && at <= self.now
        {
            self.steps.pop();
            self.step(step);
        }
    }

    fn schedule(&mut self, at: Time, step: Step) {
        self.next_step += 1;
        self.steps.push(Reverse((at, self.next_step, step)));
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Caller(instance) => {
                let kind = self.draw_kind();
                self.tally.asked += 1;
                self.kind_tallies[kind].asked += 1;
                self.call(instance, kind, self.now);
            }
            Step::Return(instance, kind, first) => self.call(instance, kind, first),
            Step::Ask(instance, call) => self.ask(instance, call),
            Step::Arrive(instance, attempt, upstream) => {
                self.arrive(instance, attempt, upstream);
            }
            Step::Failed(instance, attempt, is_broken) => {
                let outcome = Outcome::Failed(match is_broken {
                    true => Failure::Broken,
                    false => Failure::Unreachable,
                });
                self.deliver(instance, Event::AttemptEnded(attempt, outcome));
            }
            Step::Done(upstream, instance, attempt) => self.done(upstream, instance, attempt),
            Step::Pause(upstream, time) => self.pause(upstream, time),
            Step::Resume(upstream) => self.start_queued(upstream),
            Step::Noise => self.draw_noise(),
            Step::Entry(instance, upstream) => {
                let it = &self.upstreams[upstream];
                let cold_left = it.cold_until.since(self.now);
                let entry = it.entry.clone();
                self.deliver(instance, Event::EntryChanged(Entry { cold_left, ..entry }));
            }
            Step::HandOver(to, from, call) => self.receive_handover(to, from, call),
            Step::HandOverResult(to, call) => {
                self.handed_to.remove(&(to, call));
                if let Some((end, limited_shards)) = self.handover_outcomes.remove(&(to, call)) {
                    self.deliver(to, Event::LimitedShards(call, limited_shards));
                    self.deliver(to, Event::HandOverEnded(call, end));
                }
            }
        }
    }

    /// Draws the kind of a new search.
    fn draw_kind(&mut self) -> usize {
        if self.kinds.len() == 1 {
            return 0;
        }
        let mut left: f64 = self.rng.random();
        let found = self.kinds.iter().position(|kind| {
            left -= kind.share;
            left < 0.0
        });
        found.unwrap_or(self.kinds.len() - 1)
    }

    fn call(&mut self, instance: usize, kind: usize, first: Time) {
        let id = self.next_call;
        self.next_call = id.next();
        let caller = Caller {
            kind,
            first,
            asked: self.now,
        };
        self.calls.insert((instance, id), caller);
        match self.caller_way.is_zero() {
            true => self.ask(instance, id),
            // Half of the callers open a connection first.
            false => {
                let round_trips = self.rng.random_range(0..2);
                let at = self.now + self.caller_way * (1 + 2 * round_trips);
                self.schedule(at, Step::Ask(instance, id));
            }
        }
    }

    fn ask(&mut self, instance: usize, id: CallId) {
        let Caller { kind, first, .. } = self.calls[&(instance, id)];
        let waited = self.now.since(first).saturating_sub(self.caller_way);
        let head = Head {
            id: id.to_string().into(),
            host: "search.example".into(),
            path: format!("/{kind}").into(),
            time_left: Some(self.kinds[kind].timeout() - waited),
            age: Duration::ZERO,
            due: None,
            digest: 1,
            origin: Origin::Caller,
            credential: Credential::default(),
            branch: None,
        };
        self.deliver(instance, Event::Call(id, head, kind));
    }

    fn deliver(&mut self, instance: usize, event: Event<Sim>) {
        let mut effects = Vec::new();
        self.tiers[instance].on(self.now, event, &mut effects);
        for effect in effects {
            self.execute(instance, effect);
        }
    }

    fn execute(&mut self, instance: usize, effect: Effect<Sim>) {
        match effect {
            Effect::Answer(id, answer) => self.answer(instance, id, answer),
            Effect::Send(send) => {
                let upstream = self.names[send.name.as_str()];
                let is_open = self.use_connection(instance, upstream);
                let mut sent = self.use_cpu(instance, is_open);
                if !is_open {
                    sent = sent + self.connect_time;
                }
                self.attempt_kinds
                    .insert((instance, send.attempt), send.request);
                self.schedule(
                    sent + NETWORK_DELAY,
                    Step::Arrive(instance, send.attempt, upstream),
                );
            }
            Effect::HandOver(_)
            | Effect::Withdraw(..)
            | Effect::Disconnect(_)
            | Effect::Confirm(..)
            | Effect::Ping(_) => self.on_peer_effect(instance, effect),
            Effect::Cancel(attempt) => {
                for upstream in 0..self.upstreams.len() {
                    let it = &mut self.upstreams[upstream];
                    it.waiting.retain(|key| *key != (instance, attempt));
                    it.running.retain(|key| *key != (instance, attempt));
                    self.start_queued(upstream);
                }
            }
            Effect::Probe(key, address) => {
                let result = match self.cuts[instance] {
                    Some(Cut::Breaks) => ProbeResult::Accepted,
                    _ => self.probe(instance, address),
                };
                self.deliver(instance, Event::Probed(key, result));
            }
            Effect::CheckReply(check) => {
                let result = self.probe(instance, check.address);
                if result == ProbeResult::Accepted {
                    let it = &self.upstreams[usize::from(check.address.port())];
                    let notice = Notice {
                        cold_left: Some(it.cold_until.since(self.now)),
                        ..Notice::default()
                    };
                    let notice = Event::UpstreamNotice(check.name, check.started_ms, notice);
                    self.deliver(instance, notice);
                }
                self.deliver(instance, Event::ReplyChecked(check.upstream, result));
            }
            Effect::Note(Note::CallEnded(summary)) => {
                let is_kind = |at: &usize| *summary.route == *build::route_name(*at);
                self.tally.extra += summary.extra as u32;
                if let Some(kind) = (0..self.kinds.len()).find(is_kind) {
                    self.kind_tallies[kind].extra += summary.extra as u32;
                }
            }
            Effect::Ask(..)
            | Effect::Forget(_)
            | Effect::CloseIdle(_)
            | Effect::Quarantine(_)
            | Effect::Unquarantine(_)
            | Effect::ReportCrash(..)
            | Effect::ReportReply(..)
            | Effect::ShareQuarantine(..)
            | Effect::ShareSeparation(..)
            | Effect::Note(_) => {}
        }
    }

    /// Returns the result of a probe of an upstream.
    fn probe(&self, instance: usize, address: SocketAddr) -> ProbeResult {
        let it = &self.upstreams[usize::from(address.port())];
        match (self.cuts[instance], it.is_partitioned, it.is_down) {
            (Some(Cut::Hangs | Cut::Breaks), ..) | (_, true, _) => ProbeResult::Unanswered,
            (Some(Cut::Refuses), ..) | (_, _, true) => ProbeResult::Refused,
            (None, false, false) => ProbeResult::Accepted,
        }
    }

    /// Uses a connection to an upstream; returns whether it is open already.
    fn use_connection(&mut self, instance: usize, upstream: usize) -> bool {
        let used = self.used.insert((instance, upstream), self.now);
        used.is_some_and(|at| self.now.since(at) < CONNECTION_KEPT)
    }

    /// Uses the CPU time for sending one part; returns the time at which it is sent.
    fn use_cpu(&mut self, instance: usize, is_open: bool) -> Time {
        let factor = if is_open { 1.0 } else { NEW_CONNECTION_FACTOR };
        let cost = self
            .part_cpu_time
            .mul_f64(factor / self.cpu_shares[instance]);
        let start = self.busy_until[instance].max(self.now);
        self.busy_until[instance] = start + cost;
        start + cost
    }

    fn answer(&mut self, instance: usize, id: CallId, answer: Answer<SimReply>) {
        let after = match &answer {
            Answer::Refused(_, after) => *after,
            _ => Duration::ZERO,
        };
        let (mut signatures, mut limited_shards) = (Vec::new(), Vec::new());
        let result = match answer {
            Answer::Gathered(gathered) => {
                (signatures, limited_shards) = (gathered.signatures, gathered.limited_shards);
                SearchResult::Covered(signatures.len() as f64 / self.shards as f64)
            }
            Answer::Refused(..) => SearchResult::Refused,
            Answer::Declined => {
                let (from, call) = self.handover_sources.remove(&(instance, id)).unwrap();
                let end = (HandOverOutcome::Declined, Vec::new());
                self.handover_outcomes.insert((from, call), end);
                return self.schedule(self.now + NETWORK_DELAY, Step::HandOverResult(from, call));
            }
            Answer::Reply(reply) => reply.result.unwrap_or(SearchResult::Failed),
            Answer::NotFound | Answer::Unauthorised | Answer::Failed(_) => SearchResult::Failed,
        };
        if let Some((from, call)) = self.handover_sources.remove(&(instance, id)) {
            let reply = SimReply {
                signature: String::new(),
                body: Bytes::new(),
                result: Some(result),
                part_signatures: signatures,
                load: None,
            };
            self.handover_outcomes.insert(
                (from, call),
                (HandOverOutcome::Answer(reply), limited_shards),
            );
            return self.schedule(self.now + NETWORK_DELAY, Step::HandOverResult(from, call));
        }
        let caller = self
            .calls
            .remove(&(instance, id))
            .expect("each call is answered once");
        if caller.first == caller.asked {
            let (asked, answered) = &mut self.first_tries[instance];
            *asked += 1;
            *answered += u32::from(matches!(result, SearchResult::Covered(_)));
        }
        let (now, kind) = (self.now + self.caller_way, caller.kind);
        let objective = self.kinds[kind].objective;
        self.tally.count(now, objective, caller, result);
        self.kind_tallies[kind].count(now, objective, caller, result);
        if self.callers_return
            && matches!(result, SearchResult::Refused)
            && caller.first == caller.asked
        {
            let other = self.rng.random_range(0..self.tiers.len());
            self.schedule(self.now + after, Step::Return(other, kind, caller.first));
        }
    }

    fn arrive(&mut self, instance: usize, attempt: AttemptKey, upstream: usize) {
        let failed = match self.cuts[instance] {
            None => None,
            Some(Cut::Hangs) => Some((CONNECT_TIMEOUT, false)),
            Some(Cut::Refuses) => Some((NETWORK_DELAY, false)),
            Some(Cut::Breaks) => Some((NETWORK_DELAY, true)),
        };
        if let Some((after, is_broken)) = failed {
            let step = Step::Failed(instance, attempt, is_broken);
            return self.schedule(self.now + after, step);
        }
        let it = &mut self.upstreams[upstream];
        if it.is_down {
            let outcome = Outcome::Failed(Failure::Unreachable);
            return self.deliver(instance, Event::AttemptEnded(attempt, outcome));
        }
        if it.is_partitioned {
            return;
        }
        self.tally.arrivals += 1;
        it.arrivals += 1;
        it.met += it.running.len() + it.waiting.len();
        if it.cold_until > self.now {
            it.cold_arrivals.push(self.now);
        }
        if it.limit.is_some() {
            it.limited_arrivals.push((self.now, instance));
        }
        self.tally.crossing += u32::from(it.data_centre != instance % self.data_centres);
        let is_shed = it.shed_rate > 0.0 && self.rng.random::<f64>() < it.shed_rate;
        if is_shed || it.waiting.len() >= it.queue {
            self.name_limit(instance, upstream);
            let outcome = Outcome::Failed(Failure::NotRun);
            return self.deliver(instance, Event::AttemptEnded(attempt, outcome));
        }
        it.waiting.push_back((instance, attempt));
        self.start_queued(upstream);
    }

    /// Delivers what a reply announces about the limit of its upstream.
    fn name_limit(&mut self, instance: usize, upstream: usize) {
        let it = &mut self.upstreams[upstream];
        let Some(limit) = it.limit else {
            return;
        };
        it.told.entry(instance).or_insert(self.now);
        let notice = Notice {
            limit: Some(limit),
            ..Notice::default()
        };
        let name = it.name.clone();
        self.deliver(instance, Event::UpstreamNotice(name, 1, notice));
    }

    /// Returns the load that an upstream reports, if it does.
    fn load_of(&mut self, upstream: usize) -> Option<LoadReport> {
        let age = self.noise?.report_age?;
        let it = &mut self.upstreams[upstream];
        let report = LoadReport {
            running: it.running.len() as u32,
            waiting: it.waiting.len() as u32,
            slots: it.slots as u32,
            slowdown: it.slowdown,
        };
        match it.report {
            Some((at, report)) if self.now.since(at) < age => Some(report),
            _ => Some(it.report.insert((self.now, report)).1),
        }
    }

    /// Draws anew which machines are slow.
    fn draw_noise(&mut self) {
        let Some(noise) = self.noise else {
            return;
        };
        for upstream in &mut self.upstreams {
            let is_slow = self.rng.random::<f64>() < noise.share;
            upstream.slowdown = if is_slow { noise.slowdown } else { 1.0 };
        }
        self.schedule(self.now + noise.interval, Step::Noise);
    }

    fn start_queued(&mut self, upstream: usize) {
        while self.upstreams[upstream].running.len() < self.upstreams[upstream].slots
            && self.upstreams[upstream].paused_until <= self.now
        {
            let it = &mut self.upstreams[upstream];
            let Some((instance, attempt)) = it.waiting.pop_front() else {
                return;
            };
            it.running.push((instance, attempt));
            let kind = self.attempt_kinds[&(instance, attempt)];
            let service_time = it
                .service_time
                .mul_f64(it.slowdown)
                .mul_f64(self.kinds[kind].work * (0.6 + 0.8 * self.rng.random::<f64>()));
            self.schedule(
                self.now + service_time,
                Step::Done(upstream, instance, attempt),
            );
        }
    }

    fn done(&mut self, upstream: usize, instance: usize, attempt: AttemptKey) {
        let it = &mut self.upstreams[upstream];
        if it.paused_until > self.now {
            let later = it.paused_until;
            return self.schedule(later, Step::Done(upstream, instance, attempt));
        }
        let before = it.running.len();
        it.running.retain(|key| *key != (instance, attempt));
        if it.running.len() == before {
            return;
        }
        self.start_queued(upstream);
        let break_rate = self.upstreams[upstream].break_rate;
        if break_rate > 0.0 && self.rng.random::<f64>() < break_rate {
            let outcome = Outcome::Failed(Failure::Broken);
            return self.deliver(instance, Event::AttemptEnded(attempt, outcome));
        }
        self.name_limit(instance, upstream);
        let reply = SimReply {
            signature: format!("{upstream}-{}", self.next_step),
            body: Bytes::from_static(&[7; 16]),
            result: None,
            part_signatures: Vec::new(),
            load: self.load_of(upstream),
        };
        self.deliver(
            instance,
            Event::AttemptEnded(attempt, Outcome::Reply(reply)),
        );
    }
}
