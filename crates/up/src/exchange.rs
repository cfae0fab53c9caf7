//! Exchange of one request and its reply on a connection.

use std::rc::Rc;

use http::Response;
use hyper::body::Incoming;
use node::{Failure, SubRequest, UpstreamEvent};
use pipe::ExchangeError;

use crate::{
    conn::{HttpConnection, Stream},
    hits::HitLimits,
    job::{Job, Stage, Work},
    pool::Pool,
    reply,
    request::{self, Message, REQUEST_ID},
};

/// What to do with the connection after an exchange.
pub(crate) enum Disposition {
    /// Reuse it for another request.
    Reuse,
    /// Close it: its state is unknown, or its upstream sent an invalid reply.
    Close,
}

/// Sends a job, reads the reply and reports the result.
pub(crate) async fn run(
    pool: &Rc<Pool>,
    conn: &mut HttpConnection<impl Stream>,
    job: Rc<Job>,
) -> Disposition {
    let Some(work) = job.work.take() else {
        return Disposition::Reuse;
    };
    let Some(message) = message(pool, &job, &work) else {
        fail(pool, &job, Failure::Connect);
        return Disposition::Reuse;
    };
    job.set_stage(Stage::Started);
    let reply = conn.sender.try_send_request(message);
    match conn.drive(&job, reply).await {
        None => Disposition::Close,
        Some(Ok(reply)) => finish(pool, conn, &job, work, reply).await,
        Some(Err(mut error)) => {
            if error.take_message().is_some() {
                pool.handle_unsent(job, work);
            } else if error.error().is_parse() {
                fail(pool, &job, Failure::Malformed);
            } else {
                fail(pool, &job, Failure::Broken);
            }
            Disposition::Close
        }
    }
}

/// Builds the message; `None` when no time is left or a value is not a valid header value.
fn message(pool: &Pool, job: &Job, work: &Work) -> Option<Message> {
    let left = request::time_left(job.deadline - job.grace)?;
    let builder = &pool.shared.builder;
    match work {
        Work::Attempt(_, sub_request) => {
            let message = builder.sub_request(sub_request, &pool.host, left)?;
            if let SubRequest::Search { .. } = sub_request
                && let Some(id) = message.headers().get(&REQUEST_ID)
            {
                job.set_request_id(id.clone());
            }
            pool.shared.count(|s| s.sent += 1);
            Some(message)
        }
        Work::Cancel(id) => {
            pool.shared.count(|s| s.cancels_sent += 1);
            Some(builder.cancel(id.clone(), &pool.host))
        }
    }
}

/// Reads the body of the reply and reports the resulting event.
async fn finish(
    pool: &Pool,
    conn: &mut HttpConnection<impl Stream>,
    job: &Job,
    work: Work,
    reply: Response<Incoming>,
) -> Disposition {
    let (head, body) = reply.into_parts();
    let limit = pool.shared.settings.max_reply_bytes;
    let body = match conn
        .drive(job, pipe::connection::read_body(body, limit))
        .await
    {
        None => return Disposition::Close,
        Some(Ok(body)) => body,
        Some(Err(ExchangeError::Malformed)) => {
            fail(pool, job, Failure::Malformed);
            return Disposition::Close;
        }
        Some(Err(ExchangeError::Broken | ExchangeError::Unsent)) => {
            fail(pool, job, Failure::Broken);
            return Disposition::Close;
        }
    };
    let Work::Attempt(_, sub_request) = work else {
        job.set_stage(Stage::Finished);
        return Disposition::Reuse;
    };
    let result = if job.stage() == Stage::Cancelled {
        reply::check_identity(&sub_request, head.status, &head.headers)
            .map(|()| UpstreamEvent::Failed(Failure::Cancelled))
    } else {
        let limits = HitLimits::from(&pool.shared.settings);
        reply::to_event(sub_request, head.status, &head.headers, body, limits)
    };
    match result {
        Ok(event) => {
            pool.shared.finish(job, event);
            Disposition::Reuse
        }
        Err(reply::InvalidReply) => {
            fail(pool, job, Failure::Malformed);
            Disposition::Close
        }
    }
}

fn fail(pool: &Pool, job: &Job, failure: Failure) {
    match failure {
        Failure::Broken => pool.shared.count(|s| s.broken += 1),
        Failure::Malformed => pool.shared.count(|s| s.malformed += 1),
        Failure::Connect | Failure::Unrouted | Failure::TimedOut | Failure::Cancelled => {}
    }
    pool.shared.finish(job, UpstreamEvent::Failed(failure));
}
