//! The event loop: the only place that reads the clock, calls the reducer and executes its effects.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{Incarnation, OpId, Time};
use compio::{net::TcpListener, runtime::spawn, time::timeout};
use front::{Front, Status};
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;
use node::{
    Config, Effect, Event, Identity, Node, PlatformOp, claims::ClaimsConfig,
    members::MembersConfig, store::SyncConfig,
};
use slog::{Logger, info, warn};
use snafu::ResultExt;

use super::{Error, PlatformSnafu, report};
use crate::signal_handlers;

/// Maximum number of events that are handled before their effects are executed.
const MAX_BATCH: usize = 256;

/// Interval at which the published status and metrics are updated.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit for sending the last messages to peers at shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// State of a running instance.
pub(super) struct Shell {
    cfg: cat::Settings,
    started_at: Instant,
    node: Node,
    events: UnboundedSender<Event>,
    inbox: UnboundedReceiver<Event>,
    front: Rc<Front>,
    pools: up::Pools,
    links: peer::Links,
    platform: plat::Client,
    published_at: Time,
    log: Logger,
}

/// Derives the reducer's settings from the instance's.
fn node_config(cfg: &cat::Settings) -> Config {
    let members = MembersConfig {
        heartbeat: cfg.peers.heartbeat,
        suspect_after: cfg.peers.suspect_after,
        remove_after: cfg.peers.remove_after,
        budget: cfg.peers.budget,
        seeds: cfg.peers.seeds.clone(),
        watchers: cfg.platform.watchers as usize,
        ..MembersConfig::default()
    };
    let sync = SyncConfig {
        watch_wait: cfg.platform.watch_wait,
        timeout: cfg.platform.timeout,
        ..SyncConfig::default()
    };
    Config {
        sync,
        members,
        claims: ClaimsConfig::default(),
    }
}

/// Whether the event loop continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Continue,
    Stop,
}

impl Shell {
    /// Creates an instance without starting it.
    ///
    /// # Errors
    ///
    /// Fails when the platform client cannot be created.
    pub(super) fn new(
        cfg: &cat::Settings,
        incarnation: Incarnation,
        seed: u64,
        log: Logger,
    ) -> Result<Self, Error> {
        let (events, inbox) = unbounded();
        let identity = Identity {
            instance: cfg.instance.clone(),
            data_centre: cfg.data_centre.clone(),
            incarnation,
            peers: cfg.peers.advertise.unwrap_or(cfg.peers.listen),
        };
        let platform_cfg = plat::Settings {
            timeout: cfg.platform.timeout,
            ..plat::Settings::new(cfg.platform.address)
        };
        let front_cfg = front::Settings {
            max_body: usize::try_from(cfg.callers.max_body.0).unwrap_or(usize::MAX),
            max_connections: cfg.callers.max_connections as usize,
            ..front::Settings::default()
        };
        let links = peer::Links::new(
            cfg.instance.clone(),
            incarnation,
            events.clone(),
            peer::Settings::default(),
            log.clone(),
        );
        Ok(Self {
            started_at: Instant::now(),
            node: Node::new(identity, node_config(cfg), Time::ZERO, seed),
            front: Front::new(front_cfg, events.clone(), log.clone()),
            pools: up::Pools::new(up::Settings::default(), events.clone()),
            links,
            platform: plat::Client::new(platform_cfg).context(PlatformSnafu)?,
            published_at: Time::ZERO,
            cfg: cfg.clone(),
            events,
            inbox,
            log,
        })
    }

    /// Serves until the instance has drained.
    pub(super) async fn run(mut self, callers: TcpListener, peers: TcpListener) {
        spawn(Rc::clone(&self.front).serve(callers)).detach();
        let links = self.links.clone();
        spawn(async move { links.listen(peers).await }).detach();
        let mut handlers = signal_handlers::install(&self.log, &[libc::SIGTERM]);
        self.await_signal(handlers.wait(libc::SIGTERM));
        let _ = self.events.unbounded_send(Event::Tick);
        let mut effects = Vec::new();
        while self.step(&mut effects).await == Flow::Continue {}
        self.finish_callers(&mut effects).await;
        self.links.flush(FLUSH_TIMEOUT).await;
    }

    /// Starts draining on the termination signal.
    fn await_signal(&self, stop: impl Future<Output = std::io::Result<()>> + 'static) {
        let (events, log) = (self.events.clone(), self.log.clone());
        spawn(async move {
            match stop.await {
                Ok(()) => info!(log, "received SIGTERM; draining"),
                Err(error) => return warn!(log, "failed to wait for SIGTERM"; "error" => %error),
            }
            let _ = events.unbounded_send(Event::Drain);
        })
        .detach();
    }

    /// Closes the callers' connections within the grace period; requests that still arrive on them
    /// are refused.
    async fn finish_callers(&mut self, effects: &mut Vec<Effect>) {
        self.front.stop_accepting();
        let end = self.now() + self.cfg.shutdown.grace;
        let drained = Rc::new(Cell::new(false));
        let (front, events, flag) = (
            Rc::clone(&self.front),
            self.events.clone(),
            Rc::clone(&drained),
        );
        spawn(async move {
            front.drained().await;
            flag.set(true);
            let _ = events.unbounded_send(Event::Tick);
        })
        .detach();
        while !drained.get() {
            if self.now() >= end {
                warn!(
                    self.log,
                    "shutdown grace period expired with callers' requests in flight"
                );
                return;
            }
            self.step(effects).await;
        }
    }

    /// Handles the next event and those already queued, then executes their effects.
    async fn step(&mut self, effects: &mut Vec<Effect>) -> Flow {
        let event = self.next_event().await;
        self.node.on(self.now(), event, effects);
        for _ in 1..MAX_BATCH {
            let Ok(event) = self.inbox.try_recv() else {
                break;
            };
            self.node.on(self.now(), event, effects);
        }
        self.node.flush_peer_messages(effects);
        let mut flow = Flow::Continue;
        for effect in effects.drain(..) {
            if self.execute(effect) == Flow::Stop {
                flow = Flow::Stop;
            }
        }
        self.publish();
        flow
    }

    async fn next_event(&mut self) -> Event {
        if let Ok(event) = self.inbox.try_recv() {
            return event;
        }
        let due = self.published_at + PUBLISH_INTERVAL;
        let wake = self.node.next_wake().unwrap_or(due).min(due);
        let wait = wake.since(self.now());
        match timeout(wait, self.inbox.next()).await {
            Ok(Some(event)) => event,
            Ok(None) | Err(_) => Event::Tick,
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + self.started_at.elapsed()
    }

    fn execute(&self, effect: Effect) -> Flow {
        match effect {
            Effect::Answer(call, answer) => self.front.answer(call, answer),
            Effect::Send(send) => self.pools.send(send),
            Effect::Cancel(attempt) => self.pools.cancel(attempt),
            Effect::Platform(op, call) => self.call_platform(op, call),
            Effect::Peer(to, body) => self.links.send(to, body),
            Effect::Note(note) => report::note(&self.log, &note),
            Effect::Stop => return Flow::Stop,
        }
        Flow::Continue
    }

    fn call_platform(&self, op: OpId, call: PlatformOp) {
        let (platform, events) = (self.platform.clone(), self.events.clone());
        spawn(async move {
            let event = platform.execute(call).await;
            let _ = events.unbounded_send(Event::Platform(op, event));
        })
        .detach();
    }

    /// Updates the published status and metrics when the interval has passed.
    fn publish(&mut self) {
        let now = self.now();
        if now.since(self.published_at) < PUBLISH_INTERVAL {
            return;
        }
        self.published_at = now;
        let (instance, data_centre) = (self.cfg.instance.clone(), self.cfg.data_centre.clone());
        let uptime = self.started_at.elapsed();
        let mut status = Status::new(instance, data_centre, uptime, self.node.stats());
        status.counts.peer_bytes = self.links.counters().bytes_out;
        self.front.publish(status);
    }
}
