//! The connections to one address.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    task::Waker,
    time::Instant,
};

use http::HeaderValue;
use node::{Failure, UpstreamEvent};

use crate::{
    conn,
    job::{Job, Stage, Work},
    pools::Shared,
};

/// Times that a search goes to another connection because one gave it back unsent.
const MAX_RESENDS: u32 = 2;

/// Connections to one address, and the jobs that wait for one.
pub(crate) struct Pool {
    /// What all pools share.
    pub(crate) shared: Rc<Shared>,
    /// Address of the upstream.
    pub(crate) address: SocketAddr,
    /// The address as a header value.
    pub(crate) host: HeaderValue,
    limit: Cell<usize>,
    open: Cell<usize>,
    connecting: Cell<usize>,
    /// Jobs in order of arrival; finished ones are skipped.
    queue: RefCell<VecDeque<Rc<Job>>>,
    /// Idle connections, the longest idle first.
    idle: RefCell<VecDeque<Rc<Slot>>>,
}

impl Pool {
    /// Makes a pool without connections.
    pub(crate) fn new(shared: Rc<Shared>, address: SocketAddr) -> Rc<Self> {
        let host = HeaderValue::from_str(&address.to_string())
            .unwrap_or_else(|_| HeaderValue::from_static("upstream"));
        Rc::new(Self {
            shared,
            address,
            host,
            limit: Cell::new(0),
            open: Cell::new(0),
            connecting: Cell::new(0),
            queue: RefCell::default(),
            idle: RefCell::default(),
        })
    }

    /// Returns the number of connections that are open or being opened.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns whether the pool holds neither connections nor jobs.
    pub(crate) fn is_unused(&self) -> bool {
        self.open.get() == 0 && self.queue.borrow().is_empty()
    }

    /// Returns whether more connections are open than the limit allows.
    pub(crate) fn is_over_limit(&self) -> bool {
        self.open.get() > self.limit.get()
    }

    /// Returns whether a job would get a connection without waiting for another job.
    pub(crate) fn has_free(&self) -> bool {
        !self.idle.borrow().is_empty() || self.open.get() < self.limit.get()
    }

    /// Sets the limit of connections and closes idle ones above it.
    pub(crate) fn set_limit(self: &Rc<Self>, limit: usize) {
        if self.limit.replace(limit) == limit {
            return;
        }
        let excess = self.open.get().saturating_sub(limit);
        for _ in 0..excess {
            match self.idle.borrow_mut().pop_front() {
                Some(slot) => slot.close(),
                None => break,
            }
        }
        self.open_wanted();
    }

    /// Hands a job to an idle connection, or lets it wait for one.
    pub(crate) fn submit(self: &Rc<Self>, job: Rc<Job>) {
        // The connection used last is the least likely to have been closed by the upstream.
        let slot = self.idle.borrow_mut().pop_back();
        match slot {
            Some(slot) => slot.assign(job),
            None => {
                self.queue.borrow_mut().push_back(job);
                self.open_wanted();
            }
        }
    }

    /// Takes the job that has waited longest.
    pub(crate) fn take_waiting(&self) -> Option<Rc<Job>> {
        let mut queue = self.queue.borrow_mut();
        while let Some(job) = queue.pop_front() {
            if !job.is_finished() {
                return Some(job);
            }
        }
        None
    }

    /// Fails the job that has waited longest, as no connection could be opened for it.
    pub(crate) fn connect_failed(&self) {
        self.shared.count(|s| s.connect_failures += 1);
        if let Some(job) = self.take_waiting() {
            let event = UpstreamEvent::Failed(Failure::Connect);
            self.shared.finish(&job, event);
        }
    }

    /// Takes back a job of which its connection handed no byte to the socket.
    ///
    /// A search goes to another connection; anything else ends here.
    pub(crate) fn take_back(self: &Rc<Self>, job: Rc<Job>, work: Work) {
        let times = job.unsent.get();
        let again = matches!(&work, Work::Sub(_, node::SubRequest::Search { .. }));
        let wanted = matches!(job.stage(), Stage::Waiting | Stage::Started);
        if !again || !wanted || times == MAX_RESENDS {
            let event = UpstreamEvent::Failed(Failure::Connect);
            return self.shared.finish(&job, event);
        }
        self.shared.count(|s| s.resent += 1);
        job.unsent.set(times + 1);
        job.work.set(Some(work));
        job.set_stage(Stage::Waiting);
        let slot = self.idle.borrow_mut().pop_back();
        match slot {
            Some(slot) => slot.assign(job),
            None => {
                self.queue.borrow_mut().push_front(job);
                self.open_wanted();
            }
        }
    }

    /// Parks an idle connection, unless enough are parked already.
    pub(crate) fn park(self: &Rc<Self>) -> Option<Parked> {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= self.shared.settings.idle_connections {
            return None;
        }
        let slot = Rc::new(Slot {
            since: Instant::now(),
            handed: RefCell::new(Handed::Nothing),
            waker: RefCell::new(None),
        });
        idle.push_back(Rc::clone(&slot));
        Some(Parked {
            pool: Rc::clone(self),
            slot,
        })
    }

    /// Closes connections that have been idle since before `time`.
    pub(crate) fn close_idle_since(&self, time: Instant) {
        let mut idle = self.idle.borrow_mut();
        while idle.front().is_some_and(|slot| slot.since < time) {
            if let Some(slot) = idle.pop_front() {
                slot.close();
            }
        }
    }

    /// Opens connections for jobs that wait, up to the limit.
    pub(crate) fn open_wanted(self: &Rc<Self>) {
        let waiting = self.count_waiting();
        while self.open.get() < self.limit.get() && self.connecting.get() < waiting {
            let permit = Permit::new(self);
            let connecting = Connecting::new(self);
            compio::runtime::spawn(conn::run(Rc::clone(self), permit, connecting)).detach();
        }
    }

    /// Counts the jobs that wait, after removing those at the front that are finished.
    fn count_waiting(&self) -> usize {
        let mut queue = self.queue.borrow_mut();
        while queue.front().is_some_and(|job| job.is_finished()) {
            queue.pop_front();
        }
        queue.len()
    }
}

/// The right to hold one connection open.
pub(crate) struct Permit(Rc<Pool>);

impl Permit {
    fn new(pool: &Rc<Pool>) -> Self {
        pool.open.set(pool.open.get() + 1);
        pool.shared.connection_opening();
        Self(Rc::clone(pool))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.shared.connection_closed();
    }
}

/// Counts a connection as being opened.
pub(crate) struct Connecting(Rc<Pool>);

impl Connecting {
    fn new(pool: &Rc<Pool>) -> Self {
        pool.connecting.set(pool.connecting.get() + 1);
        Self(Rc::clone(pool))
    }
}

impl Drop for Connecting {
    fn drop(&mut self) {
        self.0.connecting.set(self.0.connecting.get() - 1);
    }
}

/// What an idle connection is handed.
pub(crate) enum Handed {
    /// Nothing yet.
    Nothing,
    /// A job to send.
    Job(Rc<Job>),
    /// The order to close.
    Close,
}

/// The place of one idle connection in its pool.
struct Slot {
    since: Instant,
    handed: RefCell<Handed>,
    waker: RefCell<Option<Waker>>,
}

impl Slot {
    fn assign(&self, job: Rc<Job>) {
        self.hand(Handed::Job(job));
    }

    fn close(&self) {
        self.hand(Handed::Close);
    }

    fn hand(&self, handed: Handed) {
        *self.handed.borrow_mut() = handed;
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// An idle connection's hold on its place; dropping it gives the place up.
pub(crate) struct Parked {
    pool: Rc<Pool>,
    slot: Rc<Slot>,
}

impl Parked {
    /// Takes what the connection was handed, or remembers whom to wake.
    pub(crate) fn take(&self, waker: &Waker) -> Handed {
        let handed = self.slot.handed.replace(Handed::Nothing);
        if matches!(handed, Handed::Nothing) {
            let mut slot = self.slot.waker.borrow_mut();
            if !slot.as_ref().is_some_and(|w| w.will_wake(waker)) {
                *slot = Some(waker.clone());
            }
        }
        handed
    }
}

impl Drop for Parked {
    fn drop(&mut self) {
        let mut idle = self.pool.idle.borrow_mut();
        // A connection that was handed something is no longer listed.
        if let Some(at) = idle.iter().rposition(|slot| Rc::ptr_eq(slot, &self.slot)) {
            idle.remove(at);
        }
    }
}
