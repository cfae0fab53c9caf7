//! The state shared by the tasks of an instance, and the only place that calls the reducer.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{CallId, InstanceName, Time};
use compio::runtime::{JoinHandle, spawn};
use futures_channel::oneshot;
use pipe::{ByteBudget, ReadBuf};
use platform::{Http, UpstreamReply};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use slog::Logger;
use tier::{
    Answer, AttemptKey, Effect, Event, Settings, Tier, UpstreamKey,
    mechanism::Disabled,
    quota::{Question, Reply},
};
use wire::handover::{Payload, Quarantined, ReplyReport, Separated};

use super::{
    callers::Connections,
    limits,
    metrics::Metrics,
    note_log::NoteLog,
    peers::{Feed, Peers},
    upstreams::Pools,
};

/// Largest share by which a wait is randomly shortened, so that instances do not call the store all
/// at the same time.
const JITTER_SHARE: f64 = 0.25;

/// Divisor of the memory limit that gives the most bytes of replies that are received at a time, so
/// that upstreams that send without end do not exhaust it.
const MEMORY_PER_REPLY_BYTES: usize = 4;

/// Number of missed heartbeats after which the platform removes an upstream's entry.
const HEARTBEATS_TO_LAPSE: u32 = 3;

/// Time from then until an instance knows of the removal, at most.
const REMOVAL_DELAY: Duration = Duration::from_millis(2_400);

/// State shared by the tasks of an instance.
pub(super) struct Shell {
    pub(super) cfg: RefCell<platform::Settings>,
    pub(super) settings_path: PathBuf,
    pub(super) log: Logger,
    pub(super) note_log: NoteLog,
    pub(super) metrics: Metrics,
    pub(super) buf: ReadBuf,
    pub(super) pools: Pools,
    pub(super) connections: Connections,
    pub(super) peers: Peers,
    pub(super) feed: Feed,
    /// Digests of quarantined requests that are not yet written to the store for other instances.
    pub(super) pending_quarantines: RefCell<VecDeque<u64>>,
    /// Digests of requests whose quarantine has ended and may still be in the store.
    pub(super) ended_quarantines: RefCell<HashSet<u64>>,
    started_at: Instant,
    tier: RefCell<Tier<Http>>,
    /// Events that wait for the reducer, as executing an effect may dispatch further events.
    queue: RefCell<VecDeque<Event<Http>>>,
    is_dispatching: Cell<bool>,
    calls: RefCell<HashMap<CallId, oneshot::Sender<Answer<UpstreamReply>>>>,
    next_call: Cell<CallId>,
    attempts: RefCell<HashMap<AttemptKey, JoinHandle<()>>>,
    rng: RefCell<SmallRng>,
}

impl Shell {
    pub(super) fn new(
        cfg: platform::Settings,
        settings_path: PathBuf,
        disabled: Disabled,
        log: Logger,
    ) -> Rc<Self> {
        let seed = random_seed(&log);
        let settings = Settings {
            disabled,
            ..tier_settings(&cfg)
        };
        let reply_bytes = cfg.max_memory / MEMORY_PER_REPLY_BYTES;
        Rc::new(Self {
            tier: RefCell::new(Tier::new(settings, seed)),
            cfg: RefCell::new(cfg),
            settings_path,
            note_log: NoteLog::new(log.clone()),
            log,
            metrics: Metrics::new(),
            buf: ReadBuf::with_budget(ByteBudget::new(reply_bytes)),
            pools: Pools::default(),
            connections: Connections::default(),
            peers: Peers::default(),
            feed: Feed::default(),
            pending_quarantines: RefCell::default(),
            ended_quarantines: RefCell::default(),
            started_at: Instant::now(),
            queue: RefCell::default(),
            is_dispatching: Cell::new(false),
            calls: RefCell::default(),
            next_call: Cell::default(),
            attempts: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        })
    }

    pub(super) fn now(&self) -> Time {
        Time::ZERO + self.started_at.elapsed()
    }

    /// Shortens a wait by a random share of up to a quarter.
    pub(super) fn jitter(&self, wait: Duration) -> Duration {
        wait.mul_f64(1.0 - JITTER_SHARE * self.rng.borrow_mut().random::<f64>())
    }

    /// Returns a random part of a time, to spread what all instances do after the same event.
    pub(super) fn spread(&self, time: Duration) -> Duration {
        time.mul_f64(self.rng.borrow_mut().random())
    }

    /// Returns whether the request with a digest is quarantined.
    pub(super) fn is_quarantined(&self, digest: u64) -> bool {
        self.tier.borrow().is_quarantined(self.now(), digest)
    }

    /// Returns up to `count` randomly chosen items.
    pub(super) fn sample<T>(&self, items: impl Iterator<Item = T>, count: usize) -> Vec<T> {
        items.choose_multiple(&mut *self.rng.borrow_mut(), count)
    }

    /// Returns the mechanisms that are switched off.
    pub(super) fn disabled(&self) -> Disabled {
        self.tier.borrow().settings().disabled
    }

    pub(super) fn is_ready(&self) -> bool {
        self.tier.borrow().is_ready()
    }

    /// Returns the address of another instance, if it is known.
    pub(super) fn instance_address(&self, name: &InstanceName) -> Option<SocketAddr> {
        self.tier.borrow().instance_address(name)
    }

    /// Returns whether answers should close the caller's connection, so that the caller reconnects
    /// to another instance.
    pub(super) fn is_out_of_service(&self) -> bool {
        self.tier.borrow().is_out_of_service()
    }

    /// Returns whether the sender of a call is known to still wait for its answer.
    pub(super) fn is_confirmed(&self, call: CallId) -> bool {
        self.tier.borrow().is_confirmed(call)
    }

    /// Returns whether a request is answered without its body, as it has no valid credential.
    pub(super) fn rejects(&self, preview: &platform::request::Preview) -> bool {
        let (host, path) = (&preview.host, &preview.path);
        let tier = self.tier.borrow();
        tier.rejects(self.now(), host, path, &preview.credential)
    }

    /// Returns whether an upstream still accepts requests.
    pub(super) fn accepts(&self, upstream: UpstreamKey) -> bool {
        self.tier.borrow().accepts(self.now(), upstream)
    }

    /// Returns the maximum network delay between two instances.
    pub(super) fn hop_delay(&self) -> Duration {
        self.tier.borrow().settings().hop_delay
    }

    /// Tells the reducer that the process stops at a time.
    pub(super) fn set_draining(self: &Rc<Self>, stops_at: Time) {
        self.dispatch(Event::Drain(stops_at));
    }

    pub(super) fn pending_requests(&self) -> usize {
        self.calls.borrow().len()
    }

    pub(super) fn limits(&self) -> tier::config::Limits {
        self.tier
            .borrow()
            .config()
            .map(|config| config.limits)
            .unwrap_or_default()
    }

    /// Returns the status that `briarcove status` shows.
    pub(super) fn status(&self) -> serde_json::Value {
        let (cfg, tier) = (self.cfg.borrow(), self.tier.borrow());
        let mut status = serde_json::json!({
            "instance": &*cfg.instance, "data_centre": &*cfg.data_centre,
            "version": env!("CARGO_PKG_VERSION"), "ready": tier.is_ready(),
            "config": tier.config().map(|config| config.version),
            "following": self.feed.is_following(),
            "upstreams": tier.upstreams(), "instances": tier.instances(),
            "requests_in_hand": tier.pending_requests(), "attempts_in_flight": tier.in_flight(),
            "connections": self.connections.open(),
        });
        if let Some(limits) = tier.limits(self.now()) {
            status["limits"] = limits::status(&limits);
        }
        status
    }

    /// Returns the reply to a question of another instance about limits.
    pub(super) fn lend(&self, question: Question) -> Reply {
        self.tier.borrow_mut().lend(self.now(), question)
    }

    /// Updates the gauges in the metrics.
    pub(super) fn update_gauges(&self) {
        let tier = self.tier.borrow();
        self.metrics
            .set_gauges(tier.pending_requests(), tier.in_flight(), tier.upstreams());
        self.metrics
            .set_evacuated_upstreams(tier.evacuated_upstreams());
        if let Some(limits) = tier.limits(self.now()) {
            self.metrics.set_limits(&limits);
        }
        self.metrics.set_report_usage(tier.report_usage());
    }

    /// Passes an event to the reducer and executes its effects.
    ///
    /// An event that is dispatched by the execution of an effect is queued and handled after it.
    pub(super) fn dispatch(self: &Rc<Self>, event: Event<Http>) {
        self.queue.borrow_mut().push_back(event);
        if self.is_dispatching.replace(true) {
            return;
        }
        let mut effects = Vec::new();
        loop {
            let Some(event) = self.queue.borrow_mut().pop_front() else {
                break;
            };
            self.tier.borrow_mut().on(self.now(), event, &mut effects);
            for effect in effects.drain(..) {
                self.execute(effect);
            }
        }
        self.is_dispatching.set(false);
    }

    fn execute(self: &Rc<Self>, effect: Effect<Http>) {
        match effect {
            Effect::Answer(call, answer) => {
                if let Some(tx) = self.calls.borrow_mut().remove(&call) {
                    // Sending fails only when the caller has just gone away.
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
                self.metrics.count_cancelled();
            }
            Effect::HandOver(search) => self.peers.hand_over(self, search),
            Effect::Withdraw(call, from) => self.peers.withdraw(call, &from),
            Effect::Disconnect(name) => self.peers.disconnect(self, &name),
            Effect::Confirm(call, to) => self.peers.confirm(call, &to),
            Effect::Ping(name) => self.peers.ping(self, &name),
            Effect::Ask(to, asked) => self.peers.ask(self, &to, asked),
            Effect::Forget(upstream) => self.pools.forget(upstream),
            Effect::CloseIdle(upstream) => self.pools.close_idle(upstream),
            Effect::CheckReply(check) => {
                spawn(super::upstreams::check_reply(Rc::clone(self), check)).detach();
            }
            Effect::Probe(upstream, address) => {
                let shell = Rc::clone(self);
                spawn(super::upstreams::probe_upstream(shell, upstream, address)).detach();
            }
            Effect::Quarantine(digest) => {
                self.ended_quarantines.borrow_mut().remove(&digest);
                self.pending_quarantines.borrow_mut().push_back(digest);
            }
            Effect::Unquarantine(digest) => {
                self.pending_quarantines
                    .borrow_mut()
                    .retain(|it| *it != digest);
                self.ended_quarantines.borrow_mut().insert(digest);
            }
            Effect::ReportCrash(crash, to) => {
                for instance in &to {
                    self.peers.report_crash(self, instance, crash.clone());
                }
            }
            Effect::ReportReply(digest, service, to) => {
                let service = service.to_string();
                let report = Payload::Reply(ReplyReport { digest, service });
                self.peers.notify(self, &to, &report);
            }
            Effect::ShareSeparation(data_centres, to) => {
                let data_centres = data_centres.iter().map(ToString::to_string).collect();
                let separated = Payload::Separated(Separated { data_centres });
                self.peers.notify(self, &to, &separated);
            }
            Effect::ShareQuarantine(digest, left, to) => {
                let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
                let quarantined = Payload::Quarantine(Quarantined { digest, left_ms });
                self.peers.notify(self, &to, &quarantined);
            }
            Effect::Note(note) => {
                self.metrics.count_note(&note);
                self.note_log.write(self.now(), &note);
            }
        }
    }

    /// Reports the outcome of an attempt to the reducer.
    pub(super) fn attempt_ended(
        self: &Rc<Self>,
        attempt: AttemptKey,
        outcome: tier::Outcome<UpstreamReply>,
    ) {
        if let Some(task) = self.attempts.borrow_mut().remove(&attempt) {
            task.detach();
        }
        self.metrics.count_attempt(&outcome);
        self.dispatch(Event::AttemptEnded(attempt, outcome));
    }

    /// Starts a call and returns a handle that waits for its answer.
    pub(super) fn start_call(
        self: &Rc<Self>,
        head: tier::Head,
        request: platform::CallerRequest,
    ) -> PendingCall {
        let id = self.next_call.get();
        self.next_call.set(id.next());
        let (tx, rx) = oneshot::channel();
        self.calls.borrow_mut().insert(id, tx);
        let pending = PendingCall {
            shell: Rc::clone(self),
            id,
            rx,
        };
        self.dispatch(Event::Call(id, head, Rc::new(request)));
        pending
    }

    /// Returns the time until the reducer's next timer is due; `None` without a timer.
    pub(super) fn time_until_wake(&self) -> Option<Duration> {
        let next = self.tier.borrow_mut().next_wake()?;
        Some(next.since(self.now()))
    }

    /// Runs the reducer's timers that are due.
    pub(super) fn run_due_timers(self: &Rc<Self>) {
        let next = self.tier.borrow_mut().next_wake();
        if next.is_some_and(|next| next <= self.now()) {
            self.dispatch(Event::Tick);
        }
    }
}

/// Derives the reducer's settings from the platform's.
pub(super) fn tier_settings(cfg: &platform::Settings) -> Settings {
    Settings {
        instance: cfg.instance.clone(),
        data_centre: cfg.data_centre.clone(),
        cpu_share: cfg.cpu_share,
        extra_share: cfg.extra_share,
        extra_slack: cfg.extra_slack,
        extra_window: cfg.extra_window,
        config_delay: cfg.max_config_delay,
        awaits_evacuations: cfg.max_evacuation_delay.is_some(),
        regions: cfg.regions.clone().into(),
        cold_overage: cfg.cold_overage,
        cold_slack: cfg.cold_slack,
        reset_doubt: cfg.heartbeat * HEARTBEATS_TO_LAPSE + REMOVAL_DELAY,
        ..Settings::default()
    }
}

fn random_seed(log: &Logger) -> u64 {
    getrandom::u64().unwrap_or_else(|e| {
        slog::warn!(log, "failed to get random numbers; seeding from the clock"; "error" => %e);
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        since.map_or(0, |since| since.as_nanos() as u64)
    })
}

/// A call that waits for its answer; dropping it reports to the reducer that the caller is gone.
pub(super) struct PendingCall {
    shell: Rc<Shell>,
    id: CallId,
    rx: oneshot::Receiver<Answer<UpstreamReply>>,
}

impl PendingCall {
    /// Returns the id of the call.
    pub(super) fn id(&self) -> CallId {
        self.id
    }

    /// Waits for the answer; `None` when the instance stops before there is one.
    pub(super) async fn answer(mut self) -> Option<Answer<UpstreamReply>> {
        (&mut self.rx).await.ok()
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        // The entry is removed when the call is answered.
        let unanswered = self.shell.calls.borrow_mut().remove(&self.id);
        if unanswered.is_some() {
            self.shell.dispatch(Event::CallerGone(self.id));
        }
    }
}
