//! HTTP/1.1 connections from callers.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    future::poll_fn,
    io,
    pin::pin,
    rc::Rc,
    task::{Poll, Waker},
    time::Duration,
};

use compio::{
    net::{TcpListener, TcpStream},
    runtime::{fd::PollFd, spawn},
    time::{sleep, timeout},
};
use cyper_core::CompioTimer;
use http::{HeaderValue, Request, StatusCode, header, request::Parts};
use http_body_util::{BodyExt, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use pipe::{ExchangeError, Inflow, Io, connection::read_body};
use platform::{
    CallerRequest,
    answer::{self, CallerAnswer},
};
use slog::warn;
use socket2::{SockRef, Socket};

use super::shell::Shell;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Smallest value that hyper accepts for `max_buf_size`, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// TCP user timeout: the connection is closed when sent data stays unacknowledged, or the caller
/// reads nothing, for this long.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// `Retry-After` of the response when the instance stops before the request has an answer.
const LOST_ANSWER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// File descriptors reserved for connections to upstreams and the store, and for files.
const RESERVED_DESCRIPTORS: u64 = 900;

/// Registry of open connections, used to count them and to shut them down gracefully.
#[derive(Default)]
pub(super) struct Connections {
    /// Wakers of the connection tasks by slot.
    wakers: RefCell<Vec<Option<Waker>>>,
    /// Slots that can be reused.
    free: RefCell<Vec<usize>>,
    open: Cell<usize>,
    closing: Cell<bool>,
}

impl Connections {
    /// Starts a graceful shutdown of all connections: each closes after its current request.
    pub(super) fn close(&self) {
        self.closing.set(true);
        for waker in self.wakers.borrow_mut().iter_mut() {
            waker.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Returns the number of open connections.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    fn add(&self) -> usize {
        self.open.set(self.open.get() + 1);
        if let Some(slot) = self.free.borrow_mut().pop() {
            return slot;
        }
        self.wakers.borrow_mut().push(None);
        self.wakers.borrow().len() - 1
    }

    fn set_waker(&self, slot: usize, waker: &Waker) {
        let current = &mut self.wakers.borrow_mut()[slot];
        if !current
            .as_ref()
            .is_some_and(|current| current.will_wake(waker))
        {
            *current = Some(waker.clone());
        }
    }

    fn remove(&self, slot: usize) {
        self.wakers.borrow_mut()[slot] = None;
        self.free.borrow_mut().push(slot);
        self.open.set(self.open.get() - 1);
    }
}

/// Registration of one open connection; dropping it removes the connection from the registry.
struct OpenConnection {
    shell: Rc<Shell>,
    slot: usize,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.shell.connections.remove(self.slot);
    }
}

/// Accepts connections from callers.
pub(super) async fn accept(shell: Rc<Shell>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => admit(&shell, stream),
            Err(e) => {
                warn!(shell.log, "failed to accept a connection from a caller"; "error" => %e);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn admit(shell: &Rc<Shell>, stream: TcpStream) {
    let limit = shell
        .cfg
        .borrow()
        .max_descriptors
        .saturating_sub(RESERVED_DESCRIPTORS);
    if shell.connections.open() as u64 >= limit {
        shell.metrics.count_refused_connection();
        return;
    }
    let guard = OpenConnection {
        shell: Rc::clone(shell),
        slot: shell.connections.add(),
    };
    spawn(async move {
        if let Err(e) = serve(&guard, stream).await {
            slog::debug!(guard.shell.log, "connection from a caller failed"; "error" => %e);
        }
    })
    .detach();
}

async fn serve(guard: &OpenConnection, stream: TcpStream) -> io::Result<()> {
    let shell = &guard.shell;
    stream.set_nodelay(true)?;
    let socket: PollFd<Socket> = stream.into_poll_fd()?;
    SockRef::from(&*socket).set_tcp_user_timeout(Some(SEND_TIMEOUT))?;
    let io = Io::new(socket, shell.buf.clone(), Inflow::default());
    let limits = shell.limits();
    let service = service_fn(|request| respond(shell, request));
    let mut builder = http1::Builder::new();
    builder
        .timer(CompioTimer)
        // hyper uses the same timer for idle connections, so this is the longer of the two limits.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.max_head.max(MIN_BUFFER_BYTES));
    let mut conn = pin!(builder.serve_connection(io, service));
    let mut shutdown_started = false;
    poll_fn(|cx| {
        if shell.connections.closing.get() && !shutdown_started {
            shutdown_started = true;
            conn.as_mut().graceful_shutdown();
        }
        shell.connections.set_waker(guard.slot, cx.waker());
        match conn.as_mut().poll(cx) {
            Poll::Ready(result) => Poll::Ready(result.map_err(io::Error::other)),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

/// Answers one request.
async fn respond(
    shell: &Rc<Shell>,
    request: Request<Incoming>,
) -> Result<CallerAnswer, Infallible> {
    let read_at = shell.now();
    let (head, body) = request.into_parts();
    // The reducer decides again; nothing happens in between.
    let body = match CallerRequest::preview(&head) {
        Some(preview) if shell.rejects(&preview) => {
            discard(shell, &head, body);
            Ok(bytes::Bytes::new())
        }
        Some(_) | None => receive_body(shell, body).await,
    };
    let mut reply = match body {
        Ok(body) => match CallerRequest::read(head, body, shell.now().since(read_at)) {
            Ok((head, request)) => match shell.start_call(head, request).answer().await {
                Some(answer) => answer::to_response(answer),
                None => answer::unavailable(LOST_ANSWER_RETRY_AFTER),
            },
            Err(why) => answer::bad_request(why),
        },
        Err(status) => answer::empty(status),
    };
    if shell.is_out_of_service() {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(reply)
}

/// Reads the body of a request that is answered without it, as the answer could be lost if the
/// connection were closed before. A caller that waits for leave to send its body is not given it.
fn discard(shell: &Rc<Shell>, head: &Parts, body: Incoming) {
    if hyper::body::Body::is_end_stream(&body) || head.headers.contains_key(header::EXPECT) {
        return;
    }
    let max_body = shell.limits().max_body;
    spawn(async move {
        let mut body = pin!(Limited::new(body, max_body));
        let read = async { while let Some(Ok(_)) = body.frame().await {} };
        // What is left unread after that ends the connection.
        let _ = timeout(BODY_TIMEOUT, read).await;
    })
    .detach();
}

async fn receive_body(shell: &Rc<Shell>, body: Incoming) -> Result<bytes::Bytes, StatusCode> {
    if hyper::body::Body::is_end_stream(&body) {
        return Ok(bytes::Bytes::new());
    }
    match timeout(BODY_TIMEOUT, read_body(body, shell.limits().max_body)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ExchangeError::Malformed)) => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(ExchangeError::Broken | ExchangeError::Unsent)) => Err(StatusCode::BAD_REQUEST),
        // Nothing was sent to an upstream, so the caller may safely send the request again.
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}
