//! Connection pools of all addresses.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use base::AttemptId;
use futures_channel::mpsc::UnboundedSender;
use node::{Event, Failure, Send, UpstreamEvent};

use pipe::ReadBuf;

use crate::{
    job::{Job, Stage, Work},
    pool::Pool,
    request::Builder,
    settings::Settings,
    stats::Stats,
    wheel::{TICK, Wheel},
};

/// Number of checks for idle connections per idle time.
const REAPS_PER_IDLE_TIME: u32 = 4;

/// Shortest interval between checks for idle connections.
const MIN_REAP_INTERVAL: Duration = Duration::from_millis(10);

/// Connection pools to upstreams, one per address.
///
/// Clones share the same pools. All methods must be called within one compio runtime.
#[derive(Clone)]
pub struct Pools(Rc<Shared>);

impl Pools {
    /// Creates pools that send the results of attempts to `events`.
    pub fn new(settings: Settings, events: UnboundedSender<Event>) -> Self {
        Self(Rc::new(Shared {
            settings,
            events,
            builder: Builder::new(),
            read_buf: ReadBuf::default(),
            pools: RefCell::default(),
            attempts: RefCell::default(),
            wheel: RefCell::new(Wheel::new(Instant::now())),
            sweeper_running: Cell::new(false),
            reaper_running: Cell::new(false),
            connections: Cell::new(0),
            stats: RefCell::default(),
        }))
    }

    /// Sends a request; exactly one event is reported for its attempt, even if it is cancelled.
    pub fn send(&self, send: Send) {
        let pool = self.0.pool(send.address);
        pool.set_limit(send.connections as usize);
        let deadline = Instant::now() + send.timeout + send.grace;
        let work = Work::Attempt(send.attempt, send.sub_request);
        let job = Job::new(Rc::clone(&pool), work, deadline, send.grace);
        self.0
            .attempts
            .borrow_mut()
            .insert(send.attempt, Rc::clone(&job));
        self.0.track_deadline(Rc::clone(&job));
        pool.submit(job);
    }

    /// Cancels an attempt, which is reported as `Cancelled` once its connection is free or closed.
    ///
    /// A cancellation message is sent to the upstream if a connection is free. The attempt's own
    /// connection is reused once the reply has arrived, or closed at the deadline.
    pub fn cancel(&self, attempt: AttemptId) {
        let job = self.0.attempts.borrow_mut().remove(&attempt);
        let Some(job) = job else {
            return;
        };
        match job.stage() {
            Stage::Waiting => {
                job.abandon();
                self.0
                    .report(attempt, UpstreamEvent::Failed(Failure::Cancelled));
            }
            Stage::Started => {
                job.set_stage(Stage::Cancelled);
                self.0.send_cancellation(&job);
            }
            Stage::Cancelled | Stage::Finished => {}
        }
    }

    /// Returns the number of connections that are open or being opened.
    pub fn connections(&self) -> usize {
        self.0.connections.get()
    }

    /// Returns the number of connections to one address that are open or being opened.
    pub fn connections_to(&self, address: SocketAddr) -> usize {
        let pools = self.0.pools.borrow();
        pools.get(&address).map_or(0, |pool| pool.open())
    }

    /// Returns counters since the start and the current gauges.
    pub fn stats(&self) -> Stats {
        Stats {
            connections: self.0.connections.get() as u64,
            attempts: self.0.attempts.borrow().len() as u64,
            ..*self.0.stats.borrow()
        }
    }
}

/// State shared by all pools.
pub(crate) struct Shared {
    /// Limits of all pools.
    pub(crate) settings: Settings,
    /// Builds the HTTP messages.
    pub(crate) builder: Builder,
    /// Read buffer of all connections.
    pub(crate) read_buf: ReadBuf,
    events: UnboundedSender<Event>,
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
    /// Attempts without a reported result.
    attempts: RefCell<HashMap<AttemptId, Rc<Job>>>,
    wheel: RefCell<Wheel>,
    sweeper_running: Cell<bool>,
    reaper_running: Cell<bool>,
    connections: Cell<usize>,
    stats: RefCell<Stats>,
}

impl Shared {
    /// Updates the statistics.
    pub(crate) fn count(&self, change: impl FnOnce(&mut Stats)) {
        change(&mut self.stats.borrow_mut());
    }

    /// Ends a job and reports its result; a cancelled one is reported as `Cancelled`.
    pub(crate) fn finish(&self, job: &Job, event: UpstreamEvent) {
        let stage = job.stage();
        job.set_stage(Stage::Finished);
        let Some(attempt) = job.attempt else {
            return;
        };
        match stage {
            Stage::Waiting | Stage::Started => {
                self.attempts.borrow_mut().remove(&attempt);
                self.report(attempt, event);
            }
            Stage::Cancelled => self.report(attempt, UpstreamEvent::Failed(Failure::Cancelled)),
            Stage::Finished => {}
        }
    }

    fn report(&self, attempt: AttemptId, event: UpstreamEvent) {
        // The receiver is dropped only when the instance ends.
        let _ = self.events.unbounded_send(Event::Upstream(attempt, event));
    }

    /// Counts a connection that is about to open, and starts the reaper if it is not running.
    pub(crate) fn connection_opening(self: &Rc<Self>) {
        self.connections.set(self.connections.get() + 1);
        if !self.reaper_running.replace(true) {
            compio::runtime::spawn(reap(Rc::clone(self))).detach();
        }
    }

    /// Counts a connection that has been closed.
    pub(crate) fn connection_closed(&self) {
        self.connections.set(self.connections.get() - 1);
    }

    fn pool(self: &Rc<Self>, address: SocketAddr) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools
            .entry(address)
            .or_insert_with(|| Pool::new(Rc::clone(self), address));
        Rc::clone(pool)
    }

    /// Adds the job to the timer wheel, which abandons it at its deadline.
    fn track_deadline(self: &Rc<Self>, job: Rc<Job>) {
        let mut wheel = self.wheel.borrow_mut();
        if !self.sweeper_running.replace(true) {
            wheel.restart(Instant::now());
            compio::runtime::spawn(sweep(Rc::clone(self))).detach();
        }
        wheel.add(job);
    }

    fn send_cancellation(self: &Rc<Self>, job: &Job) {
        let Some(id) = job.take_request_id() else {
            return;
        };
        if !job.pool.has_free() {
            return self.count(|s| s.cancels_skipped += 1);
        }
        let latest = Instant::now() + self.settings.cancel_timeout;
        let deadline = job.deadline.min(latest);
        let cancellation = Job::new(
            Rc::clone(&job.pool),
            Work::Cancel(id),
            deadline,
            Duration::ZERO,
        );
        self.track_deadline(Rc::clone(&cancellation));
        job.pool.submit(cancellation);
    }

    /// Abandons a job whose deadline has passed.
    fn expire(&self, job: &Job) {
        let failure = match job.stage() {
            Stage::Waiting => Failure::Connect,
            Stage::Started | Stage::Cancelled => Failure::TimedOut,
            Stage::Finished => return,
        };
        if job.attempt.is_some() && job.stage() != Stage::Cancelled {
            self.count(|s| s.timeouts += 1);
        }
        self.finish(job, UpstreamEvent::Failed(failure));
        job.abandon();
    }
}

/// Abandons jobs at their deadlines until the timer wheel is empty.
async fn sweep(shared: Rc<Shared>) {
    let mut due = Vec::new();
    loop {
        compio::time::sleep(TICK).await;
        let now = Instant::now();
        shared.wheel.borrow_mut().sweep(now, &mut due);
        for job in due.drain(..) {
            shared.expire(&job);
        }
        if shared.wheel.borrow().is_empty() {
            break;
        }
    }
    shared.sweeper_running.set(false);
}

/// Closes connections that exceed the idle time, until none is open.
async fn reap(shared: Rc<Shared>) {
    let idle_time = shared.settings.idle_time;
    let interval = (idle_time / REAPS_PER_IDLE_TIME).max(MIN_REAP_INTERVAL);
    while shared.connections.get() > 0 {
        compio::time::sleep(interval).await;
        let Some(cutoff) = Instant::now().checked_sub(idle_time) else {
            continue;
        };
        for pool in shared.pools.borrow().values() {
            pool.close_idle_since(cutoff);
        }
    }
    shared.reaper_running.set(false);
    shared
        .pools
        .borrow_mut()
        .retain(|_, pool| Rc::strong_count(pool) > 1 || !pool.is_unused());
}
