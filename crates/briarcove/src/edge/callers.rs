//! Connections of callers.

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
use http::{HeaderValue, Request, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use pipe::{Drained, ExchangeError, Io, connection::read_body};
use platform::{
    CallerRequest,
    answer::{self, CallerAnswer},
};
use slog::warn;
use socket2::{SockRef, Socket};

use super::shell::Shell;

/// Wait after a failed accept, such as when no file descriptor is free.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Smallest buffer that hyper accepts, in bytes.
const MIN_HEAD: usize = 8_192;

/// Time for which a caller may leave sent bytes unacknowledged or unread.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a caller may ask again when the instance ends before its answer.
const LOST_ANSWER_RETRY: Duration = Duration::from_millis(500);

/// Descriptors that are kept free for upstreams, the store and files.
const RESERVED_DESCRIPTORS: u64 = 900;

/// Open connections, so that they can be told to end.
#[derive(Default)]
pub(super) struct Connections {
    wakers: RefCell<Vec<Option<Waker>>>,
    free: RefCell<Vec<usize>>,
    open: Cell<usize>,
    closing: Cell<bool>,
}

impl Connections {
    /// Has each connection close once it carries no request.
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

    fn hold(&self) -> usize {
        self.open.set(self.open.get() + 1);
        if let Some(slot) = self.free.borrow_mut().pop() {
            return slot;
        }
        self.wakers.borrow_mut().push(None);
        self.wakers.borrow().len() - 1
    }

    fn set_waker(&self, slot: usize, waker: &Waker) {
        let held = &mut self.wakers.borrow_mut()[slot];
        if !held.as_ref().is_some_and(|held| held.will_wake(waker)) {
            *held = Some(waker.clone());
        }
    }

    fn release(&self, slot: usize) {
        self.wakers.borrow_mut()[slot] = None;
        self.free.borrow_mut().push(slot);
        self.open.set(self.open.get() - 1);
    }
}

/// A counted connection; dropping it counts it as closed.
struct Held {
    shell: Rc<Shell>,
    slot: usize,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.shell.connections.release(self.slot);
    }
}

/// Accepts callers' connections.
pub(super) async fn accept(shell: Rc<Shell>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => admit(&shell, stream),
            Err(e) => {
                warn!(shell.log, "a connection can't be accepted"; "error" => %e);
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

fn admit(shell: &Rc<Shell>, stream: TcpStream) {
    let most = shell
        .cfg
        .borrow()
        .max_descriptors
        .saturating_sub(RESERVED_DESCRIPTORS);
    if shell.connections.open() as u64 >= most {
        shell.metrics.connection_refused();
        return;
    }
    let held = Held {
        shell: Rc::clone(shell),
        slot: shell.connections.hold(),
    };
    spawn(async move {
        if let Err(e) = serve(&held, stream).await {
            slog::debug!(held.shell.log, "a connection of a caller broke"; "error" => %e);
        }
    })
    .detach();
}

async fn serve(held: &Held, stream: TcpStream) -> io::Result<()> {
    let shell = &held.shell;
    stream.set_nodelay(true)?;
    let socket: PollFd<Socket> = stream.into_poll_fd()?;
    SockRef::from(&*socket).set_tcp_user_timeout(Some(UNREAD_TIMEOUT))?;
    let io = Io::new(socket, shell.buf.clone(), Drained::default());
    let limits = shell.limits();
    let service = service_fn(|request| respond(shell, request));
    let mut builder = http1::Builder::new();
    builder
        .timer(CompioTimer)
        // The same timer ends idle connections, so it is the longer of the two limits.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.max_head.max(MIN_HEAD));
    let mut conn = pin!(builder.serve_connection(io, service));
    let mut told = false;
    poll_fn(|cx| {
        if shell.connections.closing.get() && !told {
            told = true;
            conn.as_mut().graceful_shutdown();
        }
        shell.connections.set_waker(held.slot, cx.waker());
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
    let mut reply = match read(shell, body).await {
        Ok(body) => match CallerRequest::read(head, body, shell.now().since(read_at)) {
            Ok((head, request)) => match shell.start_call(head, request).answer().await {
                Some(answer) => answer::to_response(answer),
                None => answer::unavailable(LOST_ANSWER_RETRY),
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

async fn read(shell: &Rc<Shell>, body: Incoming) -> Result<bytes::Bytes, StatusCode> {
    if hyper::body::Body::is_end_stream(&body) {
        return Ok(bytes::Bytes::new());
    }
    match timeout(BODY_TIMEOUT, read_body(body, shell.limits().max_body)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ExchangeError::Malformed)) => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(ExchangeError::Broken | ExchangeError::Unsent)) => Err(StatusCode::BAD_REQUEST),
        // Nothing was passed on, so the caller may send it again.
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}
