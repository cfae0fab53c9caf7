//! Instances, upstreams with slots and queues, and callers on one simulated clock.

mod build;
mod events;
mod handovers;
mod replies;
mod tally;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, VecDeque},
    time::Duration,
};

use base::{CallId, Time};
use bytes::Bytes;
use rand::{Rng, rngs::SmallRng};
use tier::{
    Answer, AttemptKey, Effect, Event, Failure, HandOverOutcome, Head, Origin, Outcome,
    OverloadedShard, Tier, effect::HandOver,
};

pub(crate) use build::Plan;
use replies::End;
pub(crate) use replies::{Sim, SimReply};
use tally::Caller;
pub(crate) use tally::Tally;

/// One upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// Mean work of a request.
    pub(crate) work: Duration,
    /// Slots.
    pub(crate) slots: usize,
    /// Requests that wait at the most; further ones are turned away.
    pub(crate) queue: usize,
    /// Data centre.
    centre: usize,
    /// Time until which it stands still.
    pub(crate) paused_until: Time,
    /// Part of its replies that are lost with their connection.
    pub(crate) breaks: f64,
    /// Part of the requests that it turns away although it has room.
    pub(crate) sheds: f64,
    /// Whether it refuses connections.
    pub(crate) is_down: bool,
    /// Whether requests to it are lost on the way.
    pub(crate) is_cut: bool,
    waiting: VecDeque<(usize, AttemptKey)>,
    running: Vec<(usize, AttemptKey)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Caller(usize),
    /// A caller that was refused comes back, and when it first asked.
    Return(usize, Time),
    Arrive(usize, AttemptKey, usize),
    Done(usize, usize, AttemptKey),
    Pause(usize, Duration),
    Resume(usize),
    /// A search reaches the instance that it was handed to, from another one's call.
    Handed(usize, usize, CallId),
    /// Its end reaches the instance that handed it over.
    Back(usize, CallId),
}

/// Time for which connections are kept.
const KEPT: Duration = Duration::from_secs(3);

/// How much more processor time a part takes on a new connection.
const NEW_CONNECTION: f64 = 2.0;

/// The world.
pub(crate) struct World {
    /// The clock.
    pub(crate) now: Time,
    /// Upstreams by position.
    pub(crate) upstreams: Vec<Upstream>,
    tiers: Vec<Tier<Sim>>,
    steps: BinaryHeap<Reverse<(Time, u64, Step)>>,
    next_step: u64,
    calls: HashMap<(usize, CallId), Caller>,
    next_call: CallId,
    names: BTreeMap<String, usize>,
    objective: Duration,
    returns: bool,
    centres: usize,
    shards: usize,
    rng: SmallRng,
    tally: Tally,
    /// Time until which each instance's processor has work.
    busy_until: Vec<Time>,
    part_cost: Duration,
    powers: Vec<f64>,
    /// When each instance last used each upstream.
    used: HashMap<(usize, usize), Time>,
    /// Instances that stand still.
    frozen: Vec<bool>,
    /// Searches that were handed over: calls of the running instance, and where they came from.
    handed: HashMap<(usize, CallId), Origins>,
    /// Answers on their way back.
    ends: HashMap<(usize, CallId), (HandOverOutcome<SimReply>, Vec<OverloadedShard>)>,
    /// Which instance has each search that was handed over.
    sent: HashMap<(usize, CallId), usize>,
    /// Searches on their way.
    orders: HashMap<(usize, CallId), HandOver<()>>,
}

/// Where a search that was handed over came from.
type Origins = (usize, CallId);

/// Time on the way between an instance and an upstream.
const WAY: Duration = Duration::from_micros(500);

impl World {
    /// Sends `rate` searches a second for a time and returns what came of them.
    pub(crate) fn run(&mut self, rate: f64, time: Duration) -> Tally {
        self.tally = Tally::default();
        let mut at = self.now;
        let end = self.now + time;
        while at < end {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
            at = at + Duration::from_secs_f64(gap);
            let instance = self.rng.random_range(0..self.tiers.len());
            self.plan(at, Step::Caller(instance));
        }
        let settled = end + self.objective * 2;
        while let Some(next) = self.next_time()
            && next <= settled
        {
            self.now = self.now.max(next);
            self.turn();
        }
        self.now = settled;
        self.tally
    }

    /// Has callers come in addition, all within a time from now on.
    pub(crate) fn crowd(&mut self, callers: usize, within: Duration) {
        for _ in 0..callers {
            let at = self.now + within.mul_f64(self.rng.random());
            let instance = self.rng.random_range(0..self.tiers.len());
            self.plan(at, Step::Caller(instance));
        }
    }

    fn next_time(&mut self) -> Option<Time> {
        let step = self.steps.peek().map(|Reverse((at, ..))| *at);
        let wakes = self.tiers.iter_mut().filter_map(Tier::next_wake);
        wakes.chain(step).min()
    }

    fn turn(&mut self) {
        for instance in 0..self.tiers.len() {
            if self.tiers[instance]
                .next_wake()
                .is_some_and(|at| at <= self.now)
            {
                self.tell(instance, Event::Tick);
            }
        }
        while let Some(Reverse((at, _, step))) = self.steps.peek().copied()
            && at <= self.now
        {
            self.steps.pop();
            self.step(step);
        }
    }

    fn plan(&mut self, at: Time, step: Step) {
        self.next_step += 1;
        self.steps.push(Reverse((at, self.next_step, step)));
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Caller(instance) => {
                self.tally.asked += 1;
                self.call(instance, self.now);
            }
            Step::Return(instance, first) => self.call(instance, first),
            Step::Arrive(instance, attempt, upstream) => {
                self.arrive(instance, attempt, upstream);
            }
            Step::Done(upstream, instance, attempt) => self.done(upstream, instance, attempt),
            Step::Pause(upstream, time) => self.pause(upstream, time),
            Step::Resume(upstream) => self.start_waiting(upstream),
            Step::Handed(to, from, call) => self.take_handed(to, from, call),
            Step::Back(to, call) => {
                self.sent.remove(&(to, call));
                if let Some((end, short)) = self.ends.remove(&(to, call)) {
                    self.tell(to, Event::OverloadedShards(call, short));
                    self.tell(to, Event::HandOverEnded(call, end));
                }
            }
        }
    }

    fn call(&mut self, instance: usize, first: Time) {
        let id = self.next_call;
        self.next_call = id.next();
        let caller = Caller {
            first,
            asked: self.now,
        };
        self.calls.insert((instance, id), caller);
        let head = Head {
            id: id.to_string().into(),
            host: "search.example".into(),
            path: "/x".into(),
            time_left: Some(self.objective * 10 - self.now.since(first)),
            age: Duration::ZERO,
            digest: 1,
            origin: Origin::Caller,
            branch: None,
        };
        self.tell(instance, Event::Call(id, head, ()));
    }

    fn tell(&mut self, instance: usize, event: Event<Sim>) {
        let mut effects = Vec::new();
        self.tiers[instance].on(self.now, event, &mut effects);
        for effect in effects {
            self.carry_out(instance, effect);
        }
    }

    fn carry_out(&mut self, instance: usize, effect: Effect<Sim>) {
        match effect {
            Effect::Answer(id, answer) => self.answer(instance, id, answer),
            Effect::Send(send) => {
                let upstream = self.names[send.name.as_str()];
                let sent = self.work(instance, upstream);
                self.plan(sent + WAY, Step::Arrive(instance, send.attempt, upstream));
            }
            Effect::HandOver(_)
            | Effect::Withdraw(..)
            | Effect::Disconnect(_)
            | Effect::Confirm(..)
            | Effect::Ping(_) => self.between(instance, effect),
            Effect::Cancel(attempt) => {
                for upstream in 0..self.upstreams.len() {
                    let it = &mut self.upstreams[upstream];
                    it.waiting.retain(|key| *key != (instance, attempt));
                    it.running.retain(|key| *key != (instance, attempt));
                    self.start_waiting(upstream);
                }
            }
            Effect::Probe(key, address) => {
                let it = &self.upstreams[usize::from(address.port())];
                let ok = !it.is_down && !it.is_cut;
                self.tell(instance, Event::Probed(key, ok));
            }
            Effect::Forget(_) | Effect::Quarantine(_) | Effect::Note(_) => {}
        }
    }

    /// Takes processor time for one part; returns when that is done.
    fn work(&mut self, instance: usize, upstream: usize) -> Time {
        let used = self.used.insert((instance, upstream), self.now);
        let is_kept = used.is_some_and(|at| self.now.since(at) < KEPT);
        let factor = if is_kept { 1.0 } else { NEW_CONNECTION };
        let cost = self.part_cost.mul_f64(factor / self.powers[instance]);
        let start = self.busy_until[instance].max(self.now);
        self.busy_until[instance] = start + cost;
        start + cost
    }

    fn answer(&mut self, instance: usize, id: CallId, answer: Answer<SimReply>) {
        let after = match &answer {
            Answer::Refused(_, after) => *after,
            _ => Duration::ZERO,
        };
        let (mut batch, mut short) = (Vec::new(), Vec::new());
        let end = match answer {
            Answer::Gathered(gathered) => {
                (batch, short) = (gathered.signatures, gathered.overloaded);
                End::Covered(batch.len() as f64 / self.shards as f64)
            }
            Answer::Refused(..) => End::Refused,
            Answer::Declined => {
                let (from, call) = self.handed.remove(&(instance, id)).unwrap();
                let end = (HandOverOutcome::Declined, Vec::new());
                self.ends.insert((from, call), end);
                return self.plan(self.now + WAY, Step::Back(from, call));
            }
            Answer::Reply(reply) => reply.end.unwrap_or(End::Failed),
            Answer::NotFound | Answer::Failed(_) => End::Failed,
        };
        if let Some((from, call)) = self.handed.remove(&(instance, id)) {
            let reply = SimReply {
                signature: String::new(),
                body: Bytes::new(),
                end: Some(end),
                batch,
            };
            self.ends
                .insert((from, call), (HandOverOutcome::Answer(reply), short));
            return self.plan(self.now + WAY, Step::Back(from, call));
        }
        let caller = self
            .calls
            .remove(&(instance, id))
            .expect("each call is answered once");
        let (now, objective) = (self.now, self.objective);
        self.tally.count(now, objective, caller, end);
        if self.returns && matches!(end, End::Refused) && caller.first == caller.asked {
            let other = self.rng.random_range(0..self.tiers.len());
            self.plan(self.now + after, Step::Return(other, caller.first));
        }
    }

    fn arrive(&mut self, instance: usize, attempt: AttemptKey, upstream: usize) {
        let it = &mut self.upstreams[upstream];
        if it.is_down {
            let outcome = Outcome::Failed(Failure::Unreachable);
            return self.tell(instance, Event::AttemptEnded(attempt, outcome));
        }
        if it.is_cut {
            return;
        }
        self.tally.arrivals += 1;
        self.tally.crossing += u32::from(it.centre != instance % self.centres);
        let is_shed = it.sheds > 0.0 && self.rng.random::<f64>() < it.sheds;
        if is_shed || it.waiting.len() >= it.queue {
            let outcome = Outcome::Failed(Failure::NotRun);
            return self.tell(instance, Event::AttemptEnded(attempt, outcome));
        }
        it.waiting.push_back((instance, attempt));
        self.start_waiting(upstream);
    }

    fn start_waiting(&mut self, upstream: usize) {
        while self.upstreams[upstream].running.len() < self.upstreams[upstream].slots
            && self.upstreams[upstream].paused_until <= self.now
        {
            let it = &mut self.upstreams[upstream];
            let Some((instance, attempt)) = it.waiting.pop_front() else {
                return;
            };
            it.running.push((instance, attempt));
            let work = it.work.mul_f64(0.6 + 0.8 * self.rng.random::<f64>());
            self.plan(self.now + work, Step::Done(upstream, instance, attempt));
        }
    }

    fn done(&mut self, upstream: usize, instance: usize, attempt: AttemptKey) {
        let it = &mut self.upstreams[upstream];
        if it.paused_until > self.now {
            let later = it.paused_until;
            return self.plan(later, Step::Done(upstream, instance, attempt));
        }
        let before = it.running.len();
        it.running.retain(|key| *key != (instance, attempt));
        if it.running.len() == before {
            return;
        }
        self.start_waiting(upstream);
        let breaks = self.upstreams[upstream].breaks;
        if breaks > 0.0 && self.rng.random::<f64>() < breaks {
            let outcome = Outcome::Failed(Failure::Broken);
            return self.tell(instance, Event::AttemptEnded(attempt, outcome));
        }
        let reply = SimReply {
            signature: format!("{upstream}-{}", self.next_step),
            body: Bytes::from_static(&[7; 16]),
            end: None,
            batch: Vec::new(),
        };
        self.tell(
            instance,
            Event::AttemptEnded(attempt, Outcome::Reply(reply)),
        );
    }
}
