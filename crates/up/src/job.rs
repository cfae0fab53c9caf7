//! A request that is queued for or sent to an upstream.

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

/// Message that a connection sends for a job.
pub(crate) enum Work {
    /// A sub-request; its result is reported as an event of the attempt.
    Attempt(AttemptId, SubRequest),
    /// Cancellation of the search with this `request-id`.
    Cancel(HeaderValue),
}

/// Progress of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Not assigned to a connection.
    Waiting,
    /// Assigned to a connection; bytes may have been sent.
    Started,
    /// As [`Started`](Self::Started), but the attempt was cancelled and its reply is discarded.
    Cancelled,
    /// The result has been reported, or there is none to report.
    Finished,
}

/// A request with its deadline and stage.
pub(crate) struct Job {
    /// Time after which the job is abandoned.
    pub(crate) deadline: Instant,
    /// Part of the time before `deadline` that is left out of the upstream's deadline.
    pub(crate) grace: Duration,
    /// Pool that sends the job.
    pub(crate) pool: Rc<Pool>,
    /// Attempt whose result is reported; `None` for a cancellation.
    pub(crate) attempt: Option<AttemptId>,
    /// Message to send; taken by the connection that starts the job.
    pub(crate) work: Cell<Option<Work>>,
    /// Number of times that the job was moved to another connection because it was unsent.
    pub(crate) resend_count: Cell<u32>,
    stage: Cell<Stage>,
    /// `request-id` of a search that was started.
    request_id: RefCell<Option<HeaderValue>>,
    waker: RefCell<Option<Waker>>,
}

impl Job {
    /// Creates a job that waits for a connection.
    pub(crate) fn new(pool: Rc<Pool>, work: Work, deadline: Instant, grace: Duration) -> Rc<Self> {
        let attempt = match &work {
            Work::Attempt(attempt, _) => Some(*attempt),
            Work::Cancel(_) => None,
        };
        Rc::new(Self {
            deadline,
            grace,
            pool,
            attempt,
            work: Cell::new(Some(work)),
            resend_count: Cell::new(0),
            stage: Cell::new(Stage::Waiting),
            request_id: RefCell::new(None),
            waker: RefCell::new(None),
        })
    }

    /// Returns the progress of the job.
    pub(crate) fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Returns whether the job has ended and needs no report.
    pub(crate) fn is_finished(&self) -> bool {
        self.stage.get() == Stage::Finished
    }

    /// Records the progress of the job.
    pub(crate) fn set_stage(&self, stage: Stage) {
        self.stage.set(stage);
    }

    /// Records the `request-id` for a later cancellation.
    pub(crate) fn set_request_id(&self, id: HeaderValue) {
        *self.request_id.borrow_mut() = Some(id);
    }

    /// Takes the `request-id` for a cancellation; `None` unless a search was started.
    pub(crate) fn take_request_id(&self) -> Option<HeaderValue> {
        self.request_id.borrow_mut().take()
    }

    /// Records the waker of the connection's task, for [`abandon`](Self::abandon).
    pub(crate) fn set_waker(&self, waker: &Waker) {
        *self.waker.borrow_mut() = Some(waker.clone());
    }

    /// Ends the job from outside its connection, which closes as a result.
    pub(crate) fn abandon(&self) {
        self.stage.set(Stage::Finished);
        drop(self.work.take());
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}
