//! Pending requests, open connections and the accept loop.

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

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// HTTP endpoints of one instance.
///
/// All methods must be called within one compio runtime.
pub struct Front {
    /// Limits and timeouts of the endpoints.
    pub(crate) settings: Settings,
    /// Channel to the reducer.
    pub(crate) events: UnboundedSender<Event>,
    /// State shown to operators.
    pub(crate) status: RefCell<Option<Status>>,
    metrics: Metrics,
    log: Logger,
    calls: RefCell<HashMap<CallId, oneshot::Sender<Answer>>>,
    next_call: Cell<CallId>,
    rng: RefCell<SmallRng>,
    stopping: Cell<bool>,
    /// Open connections, with the wakers to call when the endpoints stop.
    connections: RefCell<HashMap<u64, Option<Waker>>>,
    next_connection: Cell<u64>,
    /// Wakers to call when the endpoints stop or the last connection closes.
    waiters: RefCell<Vec<Waker>>,
}

impl Front {
    /// Creates endpoints that send their events to `events`.
    ///
    /// # Panics
    ///
    /// Panics when the operating system provides no random numbers.
    pub fn new(settings: Settings, events: UnboundedSender<Event>, log: Logger) -> Rc<Self> {
        let mut seed = <SmallRng as SeedableRng>::Seed::default();
        getrandom::fill(&mut seed).expect("the operating system provides random numbers");
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
    /// Connections already in the listener's queue at that time are still served.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Some(accepted) = self.accept(&listener).await {
            match accepted {
                Ok(stream) => conn::spawn(&self, stream),
                Err(error) => {
                    warn!(self.log, "failed to accept a connection from a caller"; "error" => %error);
                    compio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Sends the answer to a caller; does nothing when the caller has disconnected.
    pub fn answer(&self, call: CallId, answer: Answer) {
        if let Some(tx) = self.calls.borrow_mut().remove(&call) {
            // Fails only when the caller has just disconnected.
            let _ = tx.send(answer);
        }
    }

    /// Updates the state shown to operators and the metrics.
    pub fn publish(&self, status: Status) {
        self.metrics.publish(&status);
        *self.status.borrow_mut() = Some(status);
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the number of requests that wait for an answer.
    pub fn pending_requests(&self) -> usize {
        self.calls.borrow().len()
    }

    /// Stops accepting connections, and closes each open one after its current request.
    pub fn stop_accepting(&self) {
        self.stopping.set(true);
        for waker in self.connections.borrow_mut().values_mut() {
            waker.take().into_iter().for_each(Waker::wake);
        }
        self.wake_waiters();
    }

    /// Waits until all requests are answered and all responses written.
    ///
    /// That is the case when the endpoints are stopping and no connection is open.
    pub async fn drained(&self) {
        poll_fn(|cx| {
            if self.is_stopping() && self.connections.borrow().is_empty() {
                return Poll::Ready(());
            }
            self.register_waiter(cx.waker());
            Poll::Pending
        })
        .await;
    }

    /// Returns whether the endpoints are stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Returns a new request identifier.
    pub(crate) fn new_request_id(&self) -> RequestId {
        RequestId(self.rng.borrow_mut().random())
    }

    /// Sends a call to the reducer; `None` when the reducer has ended.
    pub(crate) fn start_call(self: &Rc<Self>, call: Call) -> Option<PendingCall> {
        let id = self.next_call.get();
        self.next_call.set(id.next());
        let (tx, rx) = oneshot::channel();
        self.events.unbounded_send(Event::Call(id, call)).ok()?;
        self.calls.borrow_mut().insert(id, tx);
        Some(PendingCall {
            front: Rc::clone(self),
            id,
            rx,
        })
    }

    /// Registers an open connection.
    pub(crate) fn register_connection(self: &Rc<Self>) -> ConnectionGuard {
        let id = self.next_connection.get();
        self.next_connection.set(id + 1);
        let mut connections = self.connections.borrow_mut();
        connections.insert(id, None);
        self.metrics.set_connections(connections.len());
        ConnectionGuard {
            front: Rc::clone(self),
            id,
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn open_connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Accepts the next connection; `None` once the endpoints stop.
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

    /// Waits for a future; `None` when the endpoints stop before it completes.
    async fn unless_stopped<F: Future>(&self, mut future: Pin<&mut F>) -> Option<F::Output> {
        poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(Some(output));
            }
            if self.is_stopping() {
                return Poll::Ready(None);
            }
            self.register_waiter(cx.waker());
            Poll::Pending
        })
        .await
    }

    fn register_waiter(&self, waker: &Waker) {
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

/// A call that waits for its answer; dropping it reports to the reducer that the caller is gone.
pub(crate) struct PendingCall {
    front: Rc<Front>,
    id: CallId,
    rx: oneshot::Receiver<Answer>,
}

impl PendingCall {
    /// Waits for the answer; `None` when the reducer has ended.
    pub(crate) async fn answer(mut self) -> Option<Answer> {
        (&mut self.rx).await.ok()
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        // An answered call is no longer in the map.
        if self.front.calls.borrow_mut().remove(&self.id).is_some() {
            self.front.metrics.caller_gone();
            let _ = self.front.events.unbounded_send(Event::CallerGone(self.id));
        }
    }
}

/// Registration of an open connection; dropping it removes the connection.
pub(crate) struct ConnectionGuard {
    front: Rc<Front>,
    id: u64,
}

impl ConnectionGuard {
    /// Registers the waker to call when the endpoints stop.
    pub(crate) fn set_waker(&self, waker: &Waker) {
        if let Some(slot) = self.front.connections.borrow_mut().get_mut(&self.id)
            && !slot.as_ref().is_some_and(|w| w.will_wake(waker))
        {
            *slot = Some(waker.clone());
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut connections = self.front.connections.borrow_mut();
        connections.remove(&self.id);
        self.front.metrics.set_connections(connections.len());
        if connections.is_empty() {
            self.front.wake_waiters();
        }
    }
}
