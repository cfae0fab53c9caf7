//! One request on its way to an upstream.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    task::Waker,
    time::{Duration, Instant},
};

use base::AttemptId;
use http::HeaderValue;
use node::SubRequest;

use crate::pool::Pool;

/// What a connection is asked to send.
pub(crate) enum Work {
    /// A sub-request, whose end is reported.
    Sub(AttemptId, SubRequest),
    /// Word that the search of this `request-id` is no longer wanted.
    Cancel(HeaderValue),
}

/// How far a job has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No connection has been asked to send it.
    Waiting,
    /// A connection was asked to send it; bytes may have left.
    Started,
    /// As [`Started`](Self::Started), but nobody wants the reply.
    Cancelled,
    /// Its end has been reported, or need not be.
    Finished,
}

/// One request with its deadline and stage.
pub(crate) struct Job {
    /// Time after which the job is abandoned.
    pub(crate) deadline: Instant,
    /// Part of the time before `deadline` that the upstream is not told of.
    pub(crate) grace: Duration,
    /// Pool that the job belongs to.
    pub(crate) pool: Rc<Pool>,
    /// Attempt whose end is reported; a cancellation has none.
    pub(crate) attempt: Option<AttemptId>,
    /// What is sent; the connection that starts the job takes it out.
    pub(crate) work: Cell<Option<Work>>,
    /// How often a connection gave the job back unsent.
    pub(crate) unsent: Cell<u32>,
    stage: Cell<Stage>,
    /// Identity by which the upstream knows a search that was started.
    request_id: RefCell<Option<HeaderValue>>,
    waker: RefCell<Option<Waker>>,
}

impl Job {
    /// Makes a job that waits for a connection.
    pub(crate) fn new(pool: Rc<Pool>, work: Work, deadline: Instant, grace: Duration) -> Rc<Self> {
        let attempt = match &work {
            Work::Sub(attempt, _) => Some(*attempt),
            Work::Cancel(_) => None,
        };
        Rc::new(Self {
            deadline,
            grace,
            pool,
            attempt,
            work: Cell::new(Some(work)),
            unsent: Cell::new(0),
            stage: Cell::new(Stage::Waiting),
            request_id: RefCell::new(None),
            waker: RefCell::new(None),
        })
    }

    /// Returns how far the job has come.
    pub(crate) fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Returns whether nothing remains to be done or reported.
    pub(crate) fn is_finished(&self) -> bool {
        self.stage.get() == Stage::Finished
    }

    /// Records how far the job has come.
    pub(crate) fn set_stage(&self, stage: Stage) {
        self.stage.set(stage);
    }

    /// Records the identity that a cancellation would name.
    pub(crate) fn set_request_id(&self, id: HeaderValue) {
        *self.request_id.borrow_mut() = Some(id);
    }

    /// Takes the identity that a cancellation names; a search that was started has one.
    pub(crate) fn take_request_id(&self) -> Option<HeaderValue> {
        self.request_id.borrow_mut().take()
    }

    /// Records whom to wake when the job is finished from outside its connection.
    pub(crate) fn set_waker(&self, waker: &Waker) {
        *self.waker.borrow_mut() = Some(waker.clone());
    }

    /// Ends the job from outside its connection, which then closes.
    pub(crate) fn abandon(&self) {
        self.stage.set(Stage::Finished);
        drop(self.work.take());
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}
