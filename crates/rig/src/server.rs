//! HTTP/1.1 servers on their own threads, with connection limits and injected crashes.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    convert::Infallible,
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    sync::mpsc as sync_mpsc,
    thread,
    time::Duration,
};

use compio::{
    net::{TcpListener, TcpStream},
    runtime::Runtime,
};
use futures_channel::{mpsc, oneshot};
use futures_util::{
    StreamExt,
    future::{Either, select},
};
use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use snafu::{ResultExt, Snafu};

use crate::{
    reply::{Abort, Reply},
    stream::Stream,
};

/// Pause between attempts to bind an address again after an injected crash.
const REBIND_PAUSE: Duration = Duration::from_millis(5);
/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Why a server did not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The thread or its runtime could not be created.
    #[snafu(display("failed to start the server's thread: {source}"))]
    Thread {
        /// Cause given by the system.
        source: io::Error,
    },
    /// An address could not be bound.
    #[snafu(display("cannot listen: {source}"))]
    Listen {
        /// Cause given by the system.
        source: io::Error,
    },
    /// The thread exited before the server was ready.
    #[snafu(display("the server's thread exited before the server was ready"))]
    Ended,
}

/// Request handler of a server.
pub trait Handler: 'static {
    /// Returns the connections of the server.
    fn connections(&self) -> &Connections;

    /// Handles one request; `first` is true for the first request on a connection.
    ///
    /// # Errors
    ///
    /// [`Abort`] closes the connection without a reply.
    fn handle(
        self: Rc<Self>,
        first: bool,
        req: Request<Incoming>,
    ) -> impl Future<Output = Result<Reply, Abort>>;
}

/// The open connections of one server, their limit, and the channel for injected crashes.
pub struct Connections {
    limit: Cell<usize>,
    open: RefCell<HashMap<u64, oneshot::Sender<Infallible>>>,
    next_id: Cell<u64>,
    max_open: Cell<usize>,
    refused: Cell<u64>,
    crash: mpsc::UnboundedSender<Duration>,
    crashes: RefCell<Option<mpsc::UnboundedReceiver<Duration>>>,
}

impl Connections {
    /// Creates an empty set that accepts up to `limit` connections at once.
    pub fn new(limit: usize) -> Self {
        let (crash, crashes) = mpsc::unbounded();
        Self {
            limit: Cell::new(limit),
            open: RefCell::default(),
            next_id: Cell::new(0),
            max_open: Cell::new(0),
            refused: Cell::new(0),
            crash,
            crashes: RefCell::new(Some(crashes)),
        }
    }

    /// Changes the limit; connections above it stay open.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Injects a crash: closes all connections and refuses new ones for `restart`.
    ///
    /// The server's task closes the listener before the connections, so that no client whose
    /// connection was closed can open another one before the restart.
    pub fn crash(&self, restart: Duration) {
        // An error means that the server has stopped.
        let _ = self.crash.unbounded_send(restart);
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns the maximum number of connections that were open at once.
    pub fn max_open(&self) -> usize {
        self.max_open.get()
    }

    /// Returns the number of connections that were closed on arrival because of the limit.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }

    fn admit(&self) -> Option<(u64, oneshot::Receiver<Infallible>)> {
        let mut open = self.open.borrow_mut();
        if open.len() >= self.limit.get() {
            self.refused.set(self.refused.get() + 1);
            return None;
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (tx, rx) = oneshot::channel();
        open.insert(id, tx);
        self.max_open.set(self.max_open.get().max(open.len()));
        Some((id, rx))
    }
}

/// Removes a connection from the set when its task ends.
struct OpenGuard<H: Handler> {
    handler: Rc<H>,
    id: u64,
}

impl<H: Handler> Drop for OpenGuard<H> {
    fn drop(&mut self) {
        let connections = self.handler.connections();
        connections.open.borrow_mut().remove(&self.id);
    }
}

/// Serves `handler` on `listener` until the runtime stops.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>) {
    let Some(mut crashes) = handler.connections().crashes.take() else {
        return;
    };
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut listener = listener;
    while let Some(restart) = accept_until_crash(&listener, &handler, &mut crashes).await {
        // An error does not matter, since `rebind` retries until the port is free.
        let _ = listener.close().await;
        handler.connections().open.borrow_mut().clear();
        compio::time::sleep(restart).await;
        listener = rebind(address).await;
    }
}

async fn accept_until_crash<H: Handler>(
    listener: &TcpListener,
    handler: &Rc<H>,
    crashes: &mut mpsc::UnboundedReceiver<Duration>,
) -> Option<Duration> {
    loop {
        match select(pin!(listener.accept()), crashes.next()).await {
            Either::Left((Ok((stream, _)), _)) => admit(stream, handler),
            Either::Left((Err(_), _)) => compio::time::sleep(ACCEPT_RETRY_DELAY).await,
            Either::Right((restart, _)) => return restart,
        }
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => compio::time::sleep(REBIND_PAUSE).await,
        }
    }
}

fn admit<H: Handler>(stream: TcpStream, handler: &Rc<H>) {
    let Some((id, closed)) = handler.connections().admit() else {
        return;
    };
    let guard = OpenGuard {
        handler: Rc::clone(handler),
        id,
    };
    compio::runtime::spawn(serve_connection(stream, guard, closed)).detach();
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    guard: OpenGuard<H>,
    closed: oneshot::Receiver<Infallible>,
) {
    // Without TCP_NODELAY replies are only slower.
    let _ = stream.set_nodelay(true);
    let Ok(stream) = stream.into_poll_fd() else {
        return;
    };
    let first = Cell::new(true);
    let service = service_fn(|req| Rc::clone(&guard.handler).handle(first.replace(false), req));
    let connection = http1::Builder::new()
        .auto_date_header(false)
        .serve_connection(Stream::new(stream), service);
    // Errors come from the client or from an injected fault. Both end the connection.
    let _ = select(pin!(connection), closed).await;
}

/// A server thread; dropping the handle stops it.
pub struct Server {
    addresses: Vec<SocketAddr>,
    stop: Option<oneshot::Sender<Infallible>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Starts a thread and runs `start` on it, which binds the listeners and spawns their tasks.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started or `start` fails.
    pub fn spawn<F>(start: impl FnOnce() -> F + Send + 'static) -> Result<Self, Error>
    where
        F: Future<Output = io::Result<Vec<SocketAddr>>>,
    {
        let (stop, stopped) = oneshot::channel();
        let (ready_tx, ready_rx) = sync_mpsc::channel();
        let thread = thread::Builder::new()
            .spawn(move || run(start, &ready_tx, stopped))
            .context(ThreadSnafu)?;
        let addresses = ready_rx.recv().map_err(|_| Error::Ended)??;
        Ok(Self {
            addresses,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the bound addresses in the order in which `start` returned them.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // The panic hook has already reported a panic of the thread.
            let _ = thread.join();
        }
    }
}

fn run<F>(
    start: impl FnOnce() -> F,
    ready: &sync_mpsc::Sender<Result<Vec<SocketAddr>, Error>>,
    stopped: oneshot::Receiver<Infallible>,
) where
    F: Future<Output = io::Result<Vec<SocketAddr>>>,
{
    let runtime = match Runtime::new().context(ThreadSnafu) {
        Ok(runtime) => runtime,
        Err(e) => return drop(ready.send(Err(e))),
    };
    runtime.block_on(async {
        let started = start().await.context(ListenSnafu);
        let failed = started.is_err();
        if ready.send(started).is_ok() && !failed {
            let _ = stopped.await;
        }
    });
}
