//! Connection of a caller.

use std::{
    convert::Infallible,
    future::{Future, poll_fn},
    pin::pin,
    rc::Rc,
    task::Poll,
    time::{Duration, Instant},
};

use compio::{net::TcpStream, time::timeout};
use cyper_core::{CompioTimer, HyperStream};
use http::{HeaderValue, Request, header, request::Parts};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use node::{Answer, Reason, Refusal};

use crate::{
    answer::{self, Reply},
    call::{self, EntryRequest},
    error::BadRequest,
    front::{ConnectionGuard, Front},
    io::WriteTimeout,
    ops,
};

/// Smallest buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Connections above the limit that are refused with a response; further ones are just closed.
const MAX_REFUSING_CONNECTIONS: usize = 256;

/// Longest time to send a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// `Retry-After` of the response when the reducer ended before it answered.
const LOST_ANSWER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves a connection in its own task.
pub(crate) fn spawn(front: &Rc<Front>, stream: TcpStream) {
    let (open, limit) = (front.open_connections(), front.settings.max_connections);
    if open >= limit {
        front.metrics().connection_refused();
    }
    if open >= limit + MAX_REFUSING_CONNECTIONS {
        return;
    }
    let guard = front.register_connection();
    let front = Rc::clone(front);
    compio::runtime::spawn(async move {
        // Failure only delays responses.
        let _ = stream.set_nodelay(true);
        if open < limit {
            serve(&front, stream, guard).await;
        } else {
            let _ = timeout(REFUSAL_TIMEOUT, refuse(&front, stream)).await;
        }
    })
    .detach();
}

/// Serves a connection until it closes, or until the endpoints stop and its request is answered.
async fn serve(front: &Rc<Front>, stream: TcpStream, guard: ConnectionGuard) {
    let service = service_fn(|request| respond(front, request));
    let io = WriteTimeout::new(HyperStream::new_plain(stream), front.settings.write_timeout);
    let mut conn = pin!(builder(front).serve_connection(io, service));
    let closed = poll_fn(|cx| {
        if front.is_stopping() {
            return Poll::Ready(false);
        }
        guard.set_waker(cx.waker());
        conn.as_mut().poll(cx).map(|_| true)
    });
    if closed.await {
        return;
    }
    // Reads a request that is still arriving; its response closes the connection.
    if timeout(front.settings.stop_linger, conn.as_mut())
        .await
        .is_err()
    {
        conn.as_mut().graceful_shutdown();
        let _ = conn.await;
    }
}

async fn refuse(front: &Rc<Front>, stream: TcpStream) {
    let service = service_fn(|_| async {
        let error = BadRequest::Connections;
        front.metrics().rejected(&error);
        Ok::<_, Infallible>(answer::bad_request(&error))
    });
    let io = HyperStream::new_plain(stream);
    // The caller may have closed the connection already.
    let _ = builder(front).serve_connection(io, service).await;
}

fn builder(front: &Front) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(CompioTimer)
        .header_read_timeout(front.settings.head_timeout)
        .max_buf_size(front.settings.max_head.max(MIN_BUFFER_BYTES));
    builder
}

/// Responds to one request.
async fn respond(front: &Rc<Front>, request: Request<Incoming>) -> Result<Reply, Infallible> {
    let (head, body) = request.into_parts();
    let result = match EntryRequest::from_head(&head) {
        Ok(Some(entry_request)) => run(front, entry_request, &head, body).await,
        Ok(None) => ops::respond(front, &head),
        Err(error) => Err(error),
    };
    let mut reply = result.unwrap_or_else(|error| {
        front.metrics().rejected(&error);
        answer::bad_request(&error)
    });
    if front.is_stopping() {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(reply)
}

/// Passes a request to the reducer and waits for the answer.
async fn run(
    front: &Rc<Front>,
    entry_request: EntryRequest,
    head: &Parts,
    body: Incoming,
) -> Result<Reply, BadRequest> {
    let start = Instant::now();
    let settings = &front.settings;
    let body = call::read_body(head, body, settings.max_body, settings.body_timeout).await?;
    let entry = entry_request.entry().clone();
    let call = entry_request.into_call(front.new_request_id(), body);
    let answer = match front.start_call(call) {
        Some(pending) => pending.answer().await.unwrap_or(Answer::Unknown {
            retry_after: LOST_ANSWER_RETRY_AFTER,
        }),
        None => Answer::Refused(Refusal {
            reason: Reason::Draining,
            retry_after: None,
        }),
    };
    front.metrics().answered(&entry, &answer, start.elapsed());
    Ok(answer::answer(&answer))
}
