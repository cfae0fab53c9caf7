//! Connections to one address.

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

/// Limit on how often an unsent search is moved to another connection.
const MAX_RESENDS: u32 = 2;

/// Connections to one address, and the queue of jobs.
pub(crate) struct Pool {
    /// State shared by all pools.
    pub(crate) shared: Rc<Shared>,
    /// Address of the upstream.
    pub(crate) address: SocketAddr,
    /// The address as a `host` header.
    pub(crate) host: HeaderValue,
    limit: Cell<usize>,
    open: Cell<usize>,
    connecting: Cell<usize>,
    /// Waiting jobs in order of arrival; finished ones are skipped.
    queue: RefCell<VecDeque<Rc<Job>>>,
    /// Idle connections, the longest idle first.
    idle: RefCell<VecDeque<Rc<IdleSlot>>>,
}

impl Pool {
    /// Creates a pool without connections.
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

    /// Returns whether more connections are open than the limit permits.
    pub(crate) fn is_over_limit(&self) -> bool {
        self.open.get() > self.limit.get()
    }

    /// Returns whether a job can get a connection without waiting for another job to end.
    pub(crate) fn has_free(&self) -> bool {
        !self.idle.borrow().is_empty() || self.open.get() < self.limit.get()
    }

    /// Sets the connection limit and closes idle connections above it.
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
        self.open_for_waiting_jobs();
    }

    /// Assigns a job to an idle connection, or queues it.
    pub(crate) fn submit(self: &Rc<Self>, job: Rc<Job>) {
        // The upstream is least likely to have closed the most recently used connection.
        let slot = self.idle.borrow_mut().pop_back();
        match slot {
            Some(slot) => slot.assign(job),
            None => {
                self.queue.borrow_mut().push_back(job);
                self.open_for_waiting_jobs();
            }
        }
    }

    /// Removes and returns the job that has waited longest.
    pub(crate) fn take_waiting(&self) -> Option<Rc<Job>> {
        let mut queue = self.queue.borrow_mut();
        while let Some(job) = queue.pop_front() {
            if !job.is_finished() {
                return Some(job);
            }
        }
        None
    }

    /// Fails the job that has waited longest because a connection could not be opened.
    pub(crate) fn connect_failed(&self) {
        self.shared.count(|s| s.connect_failures += 1);
        if let Some(job) = self.take_waiting() {
            let event = UpstreamEvent::Failed(Failure::Connect);
            self.shared.finish(&job, event);
        }
    }

    /// Handles a job that failed before any byte was written to the socket.
    ///
    /// A search is moved to another connection; any other job fails.
    pub(crate) fn handle_unsent(self: &Rc<Self>, job: Rc<Job>, work: Work) {
        let resends = job.resend_count.get();
        let is_search = matches!(&work, Work::Attempt(_, node::SubRequest::Search { .. }));
        let is_wanted = matches!(job.stage(), Stage::Waiting | Stage::Started);
        if !is_search || !is_wanted || resends == MAX_RESENDS {
            let event = UpstreamEvent::Failed(Failure::Connect);
            return self.shared.finish(&job, event);
        }
        self.shared.count(|s| s.resent += 1);
        job.resend_count.set(resends + 1);
        job.work.set(Some(work));
        job.set_stage(Stage::Waiting);
        let slot = self.idle.borrow_mut().pop_back();
        match slot {
            Some(slot) => slot.assign(job),
            None => {
                self.queue.borrow_mut().push_front(job);
                self.open_for_waiting_jobs();
            }
        }
    }

    /// Registers an idle connection; `None` when the pool already has enough of them.
    pub(crate) fn register_idle(self: &Rc<Self>) -> Option<IdleHandle> {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= self.shared.settings.idle_connections {
            return None;
        }
        let slot = Rc::new(IdleSlot {
            idle_since: Instant::now(),
            assignment: RefCell::new(Assignment::Nothing),
            waker: RefCell::new(None),
        });
        idle.push_back(Rc::clone(&slot));
        Some(IdleHandle {
            pool: Rc::clone(self),
            slot,
        })
    }

    /// Closes connections that became idle before `time`.
    pub(crate) fn close_idle_since(&self, time: Instant) {
        let mut idle = self.idle.borrow_mut();
        while idle.front().is_some_and(|slot| slot.idle_since < time) {
            if let Some(slot) = idle.pop_front() {
                slot.close();
            }
        }
    }

    /// Opens connections for waiting jobs, up to the limit.
    pub(crate) fn open_for_waiting_jobs(self: &Rc<Self>) {
        let waiting = self.count_waiting();
        while self.open.get() < self.limit.get() && self.connecting.get() < waiting {
            let permit = Permit::new(self);
            let connecting = Connecting::new(self);
            compio::runtime::spawn(conn::run(Rc::clone(self), permit, connecting)).detach();
        }
    }

    /// Counts the waiting jobs, after removing finished ones from the front of the queue.
    fn count_waiting(&self) -> usize {
        let mut queue = self.queue.borrow_mut();
        while queue.front().is_some_and(|job| job.is_finished()) {
            queue.pop_front();
        }
        queue.len()
    }
}

/// Permit to hold one connection open.
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

/// Counts a connection attempt in progress.
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

/// Instruction for an idle connection.
pub(crate) enum Assignment {
    /// Nothing yet.
    Nothing,
    /// Send a job.
    Job(Rc<Job>),
    /// Close the connection.
    Close,
}

/// Entry of an idle connection in its pool.
struct IdleSlot {
    idle_since: Instant,
    assignment: RefCell<Assignment>,
    waker: RefCell<Option<Waker>>,
}

impl IdleSlot {
    fn assign(&self, job: Rc<Job>) {
        self.deliver(Assignment::Job(job));
    }

    fn close(&self) {
        self.deliver(Assignment::Close);
    }

    fn deliver(&self, assignment: Assignment) {
        *self.assignment.borrow_mut() = assignment;
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// Registration of an idle connection; dropping it removes the entry from the pool.
pub(crate) struct IdleHandle {
    pool: Rc<Pool>,
    slot: Rc<IdleSlot>,
}

impl IdleHandle {
    /// Takes the assignment, or registers the waker if there is none yet.
    pub(crate) fn take(&self, waker: &Waker) -> Assignment {
        let assignment = self.slot.assignment.replace(Assignment::Nothing);
        if matches!(assignment, Assignment::Nothing) {
            let mut slot = self.slot.waker.borrow_mut();
            if !slot.as_ref().is_some_and(|w| w.will_wake(waker)) {
                *slot = Some(waker.clone());
            }
        }
        assignment
    }
}

impl Drop for IdleHandle {
    fn drop(&mut self) {
        let mut idle = self.pool.idle.borrow_mut();
        // A connection that received an assignment is no longer in the list.
        if let Some(index) = idle.iter().rposition(|slot| Rc::ptr_eq(slot, &self.slot)) {
            idle.remove(index);
        }
    }
}
