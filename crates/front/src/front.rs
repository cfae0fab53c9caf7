//! Requests in hand and the listeners that bring them.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    future::{Future, poll_fn},
    io,
    pin::{Pin, pin},
    rc::Rc,
    task::{Poll, Waker},
    time::{Duration, Instant},
};

use base::{CallId, RequestId};
use compio::{
    net::{TcpListener, TcpStream},
    time::timeout_at,
};
use futures_channel::{mpsc::UnboundedSender, oneshot};
use node::{Answer, Call, Event};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use slog::{Logger, warn};

use crate::{conn, metrics::Metrics, settings::Settings, status::Status};

/// Wait after a failed accept, such as when no file descriptor is free.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// The HTTP endpoints of one instance.
///
/// All methods must be called within one compio runtime.
pub struct Front {
    /// Limits of the endpoints.
    pub(crate) settings: Settings,
    /// Where the reducer takes its events.
    pub(crate) events: UnboundedSender<Event>,
    /// State that operators are shown.
    pub(crate) status: RefCell<Option<Status>>,
    metrics: Metrics,
    log: Logger,
    calls: RefCell<HashMap<CallId, oneshot::Sender<Answer>>>,
    next_call: Cell<CallId>,
    rng: RefCell<SmallRng>,
    stopping: Cell<bool>,
    /// Open connections and whom to wake when the endpoints stop.
    connections: RefCell<HashMap<u64, Option<Waker>>>,
    next_connection: Cell<u64>,
    /// Whom to wake when the endpoints stop, or when the last connection has closed.
    waiters: RefCell<Vec<Waker>>,
}

impl Front {
    /// Makes endpoints that send their events to `events`.
    ///
    /// # Panics
    ///
    /// Panics when the operating system gives no random numbers.
    pub fn new(settings: Settings, events: UnboundedSender<Event>, log: Logger) -> Rc<Self> {
        let mut seed = <SmallRng as SeedableRng>::Seed::default();
        getrandom::fill(&mut seed).expect("the operating system gives random numbers");
        Rc::new(Self {
            metrics: Metrics::new(settings.max_entry_labels),
            settings,
            events,
            log,
            status: RefCell::default(),
            calls: RefCell::default(),
            next_call: Cell::default(),
            rng: RefCell::new(SmallRng::from_seed(seed)),
            stopping: Cell::new(false),
            connections: RefCell::default(),
            next_connection: Cell::new(0),
            waiters: RefCell::default(),
        })
    }

    /// Accepts connections until [`stop_accepting`](Self::stop_accepting) is called.
    ///
    /// Connections that wait in the listener's queue at that time are still served.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Some(accepted) = self.accept(&listener).await {
            match accepted {
                Ok(stream) => conn::spawn(&self, stream),
                Err(error) => {
                    warn!(self.log, "accept failed; trying again"; "error" => %error);
                    compio::time::sleep(ACCEPT_RETRY).await;
                }
            }
        }
    }

    /// Gives a caller its answer; does nothing when the caller is gone.
    pub fn answer(&self, call: CallId, answer: Answer) {
        if let Some(tx) = self.calls.borrow_mut().remove(&call) {
            // A caller that is gone at this moment misses its answer.
            let _ = tx.send(answer);
        }
    }

    /// Shows a new state to operators and in the metrics.
    pub fn publish(&self, status: Status) {
        self.metrics.publish(&status);
        *self.status.borrow_mut() = Some(status);
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the number of requests that wait for their answers.
    pub fn pending_requests(&self) -> usize {
        self.calls.borrow().len()
    }

    /// Accepts no more connections, and closes each open one after the request that it carries.
    pub fn stop_accepting(&self) {
        self.stopping.set(true);
        for waker in self.connections.borrow_mut().values_mut() {
            waker.take().into_iter().for_each(Waker::wake);
        }
        self.wake_waiters();
    }

    /// Waits until no request is in flight and all replies have been written.
    ///
    /// This is so when the endpoints have stopped and no connection is open.
    pub async fn drained(&self) {
        poll_fn(|cx| {
            if self.is_stopping() && self.connections.borrow().is_empty() {
                return Poll::Ready(());
            }
            self.wait(cx.waker());
            Poll::Pending
        })
        .await;
    }

    /// Returns whether the endpoints have been told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Returns a new identity for a request.
    pub(crate) fn new_request_id(&self) -> RequestId {
        RequestId(self.rng.borrow_mut().random())
    }

    /// Hands a call to the reducer; `None` when the reducer has ended.
    pub(crate) fn start_call(self: &Rc<Self>, call: Call) -> Option<InHand> {
        let id = self.next_call.get();
        self.next_call.set(id.next());
        let (tx, rx) = oneshot::channel();
        self.events.unbounded_send(Event::Call(id, call)).ok()?;
        self.calls.borrow_mut().insert(id, tx);
        Some(InHand {
            front: Rc::clone(self),
            id,
            rx,
        })
    }

    /// Counts a connection as open.
    pub(crate) fn hold_connection(self: &Rc<Self>) -> Held {
        let id = self.next_connection.get();
        self.next_connection.set(id + 1);
        let mut connections = self.connections.borrow_mut();
        connections.insert(id, None);
        self.metrics.set_connections(connections.len());
        Held {
            front: Rc::clone(self),
            id,
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn open_connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Accepts the next connection; `None` when the endpoints stop.
    async fn accept(&self, listener: &TcpListener) -> Option<io::Result<TcpStream>> {
        let mut accept = pin!(listener.accept());
        let accepted = match self.unless_stopped(accept.as_mut()).await {
            Some(accepted) => accepted,
            None => {
                let latest = Instant::now() + self.settings.stop_linger;
                timeout_at(latest, accept).await.ok()?
            }
        };
        Some(accepted.map(|(stream, _)| stream))
    }

    /// Waits for a future; `None` when the endpoints stop before it ends.
    async fn unless_stopped<F: Future>(&self, mut future: Pin<&mut F>) -> Option<F::Output> {
        poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(Some(output));
            }
            if self.is_stopping() {
                return Poll::Ready(None);
            }
            self.wait(cx.waker());
            Poll::Pending
        })
        .await
    }

    fn wait(&self, waker: &Waker) {
        let mut waiters = self.waiters.borrow_mut();
        if !waiters.iter().any(|w| w.will_wake(waker)) {
            waiters.push(waker.clone());
        }
    }

    fn wake_waiters(&self) {
        for waker in self.waiters.borrow_mut().drain(..) {
            waker.wake();
        }
    }
}

/// A request that waits for its answer; dropping it tells the reducer that the caller is gone.
pub(crate) struct InHand {
    front: Rc<Front>,
    id: CallId,
    rx: oneshot::Receiver<Answer>,
}

impl InHand {
    /// Waits for the answer; `None` when there will be none.
    pub(crate) async fn answer(mut self) -> Option<Answer> {
        (&mut self.rx).await.ok()
    }
}

impl Drop for InHand {
    fn drop(&mut self) {
        // An answered call is no longer listed.
        if self.front.calls.borrow_mut().remove(&self.id).is_some() {
            self.front.metrics.caller_gone();
            let _ = self.front.events.unbounded_send(Event::CallerGone(self.id));
        }
    }
}

/// An open connection; dropping it counts the connection as closed.
pub(crate) struct Held {
    front: Rc<Front>,
    id: u64,
}

impl Held {
    /// Remembers whom to wake when the endpoints stop.
    pub(crate) fn set_waker(&self, waker: &Waker) {
        if let Some(slot) = self.front.connections.borrow_mut().get_mut(&self.id)
            && !slot.as_ref().is_some_and(|w| w.will_wake(waker))
        {
            *slot = Some(waker.clone());
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut connections = self.front.connections.borrow_mut();
        connections.remove(&self.id);
        self.front.metrics.set_connections(connections.len());
        if connections.is_empty() {
            self.front.wake_waiters();
        }
    }
}
