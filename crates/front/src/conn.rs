//! One connection of a caller.

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
    call::{self, Ask},
    error::BadRequest,
    front::{Front, Held},
    io::WriteTimeout,
    ops,
};

/// Smallest buffer that hyper accepts, in bytes.
const MIN_HEAD: usize = 8192;

/// Connections above the limit that are answered with a refusal at once; more are closed.
const MAX_REFUSING: usize = 256;

/// Longest time that a refusal may take.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a caller may ask again when the reducer has ended before its answer.
const LOST_ANSWER_RETRY: Duration = Duration::from_secs(1);

/// Serves a connection in a task of its own.
pub(crate) fn spawn(front: &Rc<Front>, stream: TcpStream) {
    let (open, limit) = (front.open_connections(), front.settings.max_connections);
    if open >= limit {
        front.metrics().connection_refused();
    }
    if open >= limit + MAX_REFUSING {
        return;
    }
    let held = front.hold_connection();
    let front = Rc::clone(front);
    compio::runtime::spawn(async move {
        // Without this option answers are only slower.
        let _ = stream.set_nodelay(true);
        if open < limit {
            serve(&front, stream, held).await;
        } else {
            let _ = timeout(REFUSAL_TIMEOUT, refuse(&front, stream)).await;
        }
    })
    .detach();
}

/// Serves a connection until it closes, or until the endpoints stop and its request is answered.
async fn serve(front: &Rc<Front>, stream: TcpStream, held: Held) {
    let service = service_fn(|request| respond(front, request));
    let io = WriteTimeout::new(HyperStream::new_plain(stream), front.settings.write_timeout);
    let mut conn = pin!(builder(front).serve_connection(io, service));
    let closed = poll_fn(|cx| {
        if front.is_stopping() {
            return Poll::Ready(false);
        }
        held.set_waker(cx.waker());
        conn.as_mut().poll(cx).map(|_| true)
    });
    if closed.await {
        return;
    }
    // A request that is on its way is still read; its reply ends the connection.
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
    // A caller that breaks off needs no refusal.
    let _ = builder(front).serve_connection(io, service).await;
}

fn builder(front: &Front) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(CompioTimer)
        .header_read_timeout(front.settings.head_timeout)
        .max_buf_size(front.settings.max_head.max(MIN_HEAD));
    builder
}

/// Answers one request.
async fn respond(front: &Rc<Front>, request: Request<Incoming>) -> Result<Reply, Infallible> {
    let (head, body) = request.into_parts();
    let result = match Ask::read(&head) {
        Ok(Some(ask)) => run(front, ask, &head, body).await,
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

/// Has the reducer answer a request.
async fn run(
    front: &Rc<Front>,
    ask: Ask,
    head: &Parts,
    body: Incoming,
) -> Result<Reply, BadRequest> {
    let start = Instant::now();
    let settings = &front.settings;
    let body = call::read_body(head, body, settings.max_body, settings.body_timeout).await?;
    let entry = ask.entry().clone();
    let call = ask.into_call(front.new_request_id(), body);
    let answer = match front.start_call(call) {
        Some(in_hand) => in_hand.answer().await.unwrap_or(Answer::Unknown {
            retry_after: LOST_ANSWER_RETRY,
        }),
        None => Answer::Refused(Refusal {
            reason: Reason::Draining,
            retry_after: None,
        }),
    };
    front.metrics().answered(&entry, &answer, start.elapsed());
    Ok(answer::answer(&answer))
}
