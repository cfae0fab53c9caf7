//! The state that tasks share, and the one place that hands events to the reducer.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{CallId, Time};
use compio::runtime::{JoinHandle, spawn};
use futures_channel::oneshot;
use pipe::ReadBuf;
use platform::{Http, UpstreamReply};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use slog::Logger;
use tier::{Answer, AttemptKey, Effect, Event, Settings, Tier};

use super::{
    callers::Connections,
    lines::Lines,
    metrics::Metrics,
    peers::{Feed, Peers},
    upstreams::Pools,
};

/// Part of a wait by which instances differ, so that they don't call the store together.
const SPREAD_SHARE: f64 = 0.25;

/// Everything that the tasks of an instance share.
pub(super) struct Shell {
    pub(super) cfg: RefCell<platform::Settings>,
    pub(super) settings_path: PathBuf,
    pub(super) log: Logger,
    pub(super) lines: Lines,
    pub(super) metrics: Metrics,
    pub(super) buf: ReadBuf,
    pub(super) pools: Pools,
    pub(super) connections: Connections,
    pub(super) peers: Peers,
    pub(super) feed: Feed,
    /// Requests that break upstreams, to be told to other instances.
    pub(super) to_quarantine: RefCell<VecDeque<u64>>,
    clock: Instant,
    tier: RefCell<Tier<Http>>,
    queue: RefCell<VecDeque<Event<Http>>>,
    running: Cell<bool>,
    calls: RefCell<HashMap<CallId, oneshot::Sender<Answer<UpstreamReply>>>>,
    next_call: Cell<CallId>,
    attempts: RefCell<HashMap<AttemptKey, JoinHandle<()>>>,
    rng: RefCell<SmallRng>,
}

impl Shell {
    pub(super) fn new(cfg: platform::Settings, settings_path: PathBuf, log: Logger) -> Rc<Self> {
        let seed = random_seed(&log);
        Rc::new(Self {
            tier: RefCell::new(Tier::new(decisions(&cfg), seed)),
            cfg: RefCell::new(cfg),
            settings_path,
            lines: Lines::new(log.clone()),
            log,
            metrics: Metrics::new(),
            buf: ReadBuf::default(),
            pools: Pools::default(),
            connections: Connections::default(),
            peers: Peers::default(),
            feed: Feed::default(),
            to_quarantine: RefCell::default(),
            clock: Instant::now(),
            queue: RefCell::default(),
            running: Cell::new(false),
            calls: RefCell::default(),
            next_call: Cell::default(),
            attempts: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        })
    }

    pub(super) fn now(&self) -> Time {
        Time::ZERO + self.clock.elapsed()
    }

    /// Returns a wait that differs from instance to instance by up to a quarter.
    pub(super) fn spread(&self, wait: Duration) -> Duration {
        wait.mul_f64(1.0 - SPREAD_SHARE * self.rng.borrow_mut().random::<f64>())
    }

    /// Returns some items that are chosen by chance.
    pub(super) fn some_of<T>(&self, items: impl Iterator<Item = T>, most: usize) -> Vec<T> {
        items.choose_multiple(&mut *self.rng.borrow_mut(), most)
    }

    pub(super) fn is_ready(&self) -> bool {
        self.tier.borrow().is_ready()
    }

    /// Returns whether callers are better served by other instances.
    pub(super) fn is_out_of_service(&self) -> bool {
        self.tier.borrow().is_out_of_service()
    }

    /// Returns whether the sender of a call is known to wait for it.
    pub(super) fn is_confirmed(&self, call: CallId) -> bool {
        self.tier.borrow().is_confirmed(call)
    }

    /// Returns the time that the ways between two instances take at the most.
    pub(super) fn hop_delay(&self) -> Duration {
        self.tier.borrow().settings().hop_delay
    }

    pub(super) fn set_draining(self: &Rc<Self>) {
        self.dispatch(Event::Drain);
    }

    pub(super) fn in_hand(&self) -> usize {
        self.calls.borrow().len()
    }

    pub(super) fn limits(&self) -> tier::config::Limits {
        self.tier
            .borrow()
            .config()
            .map(|config| config.limits)
            .unwrap_or_default()
    }

    /// Returns the state that operators compare between instances.
    pub(super) fn status(&self) -> serde_json::Value {
        let (cfg, tier) = (self.cfg.borrow(), self.tier.borrow());
        serde_json::json!({
            "instance": &*cfg.instance, "data_centre": &*cfg.data_centre,
            "version": env!("CARGO_PKG_VERSION"), "ready": tier.is_ready(),
            "config": tier.config().map(|config| config.version),
            "following": self.feed.is_following(),
            "upstreams": tier.upstreams(), "instances": tier.instances(),
            "requests_in_hand": tier.pending_requests(), "attempts_in_flight": tier.in_flight(),
            "connections": self.connections.open(),
        })
    }

    /// Publishes sizes of state in the metrics.
    pub(super) fn publish(&self) {
        let tier = self.tier.borrow();
        self.metrics
            .sizes(tier.pending_requests(), tier.in_flight(), tier.upstreams());
    }

    /// Hands an event to the reducer and carries out what follows.
    pub(super) fn dispatch(self: &Rc<Self>, event: Event<Http>) {
        self.queue.borrow_mut().push_back(event);
        if self.running.replace(true) {
            return;
        }
        let mut effects = Vec::new();
        loop {
            let Some(event) = self.queue.borrow_mut().pop_front() else {
                break;
            };
            self.tier.borrow_mut().on(self.now(), event, &mut effects);
            for effect in effects.drain(..) {
                self.carry_out(effect);
            }
        }
        self.running.set(false);
    }

    fn carry_out(self: &Rc<Self>, effect: Effect<Http>) {
        match effect {
            Effect::Answer(call, answer) => {
                if let Some(tx) = self.calls.borrow_mut().remove(&call) {
                    // A caller that is gone at this moment misses its answer.
                    let _ = tx.send(answer);
                }
            }
            Effect::Send(send) => {
                let attempt = send.attempt;
                let task = spawn(super::upstreams::run(Rc::clone(self), send));
                self.attempts.borrow_mut().insert(attempt, task);
            }
            Effect::Cancel(attempt) => {
                let task = self.attempts.borrow_mut().remove(&attempt);
                drop(task);
                self.metrics.cancelled();
            }
            Effect::HandOver(order) => self.peers.hand_over(self, order),
            Effect::Withdraw(call, from) => self.peers.withdraw(call, &from),
            Effect::Disconnect(name) => self.peers.disconnect(self, &name),
            Effect::Confirm(call, to) => self.peers.confirm(call, &to),
            Effect::Ping(name) => self.peers.ping(&name),
            Effect::Forget(upstream) => self.pools.forget(upstream),
            Effect::Probe(upstream, address) => {
                let shell = Rc::clone(self);
                spawn(super::upstreams::attempt_connect(shell, upstream, address)).detach();
            }
            Effect::Quarantine(digest) => self.to_quarantine.borrow_mut().push_back(digest),
            Effect::Note(note) => {
                self.metrics.note(&note);
                self.lines.note(self.now(), &note);
            }
        }
    }

    /// Reports the end of an attempt.
    pub(super) fn attempt_ended(
        self: &Rc<Self>,
        attempt: AttemptKey,
        outcome: tier::Outcome<UpstreamReply>,
    ) {
        if let Some(task) = self.attempts.borrow_mut().remove(&attempt) {
            task.detach();
        }
        self.metrics.attempt(&outcome);
        self.dispatch(Event::AttemptEnded(attempt, outcome));
    }

    /// Starts a call; the receiver gets its answer, and dropping it says that the caller is gone.
    pub(super) fn start_call(
        self: &Rc<Self>,
        head: tier::Head,
        request: platform::CallerRequest,
    ) -> InHand {
        let id = self.next_call.get();
        self.next_call.set(id.next());
        let (tx, rx) = oneshot::channel();
        self.calls.borrow_mut().insert(id, tx);
        let in_hand = InHand {
            shell: Rc::clone(self),
            id,
            rx,
        };
        self.dispatch(Event::Call(id, head, Rc::new(request)));
        in_hand
    }

    /// Returns the time until the reducer has to be woken.
    pub(super) fn time_to_wake(&self) -> Option<Duration> {
        let next = self.tier.borrow_mut().next_wake()?;
        Some(next.since(self.now()))
    }

    /// Wakes the reducer when its timers are due.
    pub(super) fn run_due(self: &Rc<Self>) {
        let next = self.tier.borrow_mut().next_wake();
        if next.is_some_and(|next| next <= self.now()) {
            self.dispatch(Event::Tick);
        }
    }
}

/// Returns the settings of the decisions that follow from the platform's.
pub(super) fn decisions(cfg: &platform::Settings) -> Settings {
    Settings {
        instance: cfg.instance.clone(),
        data_centre: cfg.data_centre.clone(),
        cpu_share: cfg.cpu_share,
        extra_share: cfg.extra_share,
        extra_slack: cfg.extra_slack,
        extra_window: cfg.extra_window,
        ..Settings::default()
    }
}

fn random_seed(log: &Logger) -> u64 {
    getrandom::u64().unwrap_or_else(|e| {
        slog::warn!(log, "no random numbers; using the clock"; "error" => %e);
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        since.map_or(0, |since| since.as_nanos() as u64)
    })
}

/// A call that waits for its answer; dropping it tells the reducer that the caller is gone.
pub(super) struct InHand {
    shell: Rc<Shell>,
    id: CallId,
    rx: oneshot::Receiver<Answer<UpstreamReply>>,
}

impl InHand {
    /// Returns the identity of the call.
    pub(super) fn id(&self) -> CallId {
        self.id
    }

    /// Waits for the answer; `None` when there will be none.
    pub(super) async fn answer(mut self) -> Option<Answer<UpstreamReply>> {
        (&mut self.rx).await.ok()
    }
}

impl Drop for InHand {
    fn drop(&mut self) {
        // An answered call is no longer listed.
        let unanswered = self.shell.calls.borrow_mut().remove(&self.id);
        if unanswered.is_some() {
            self.shell.dispatch(Event::CallerGone(self.id));
        }
    }
}
