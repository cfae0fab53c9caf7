//! One request and its reply on one connection.

use std::rc::Rc;

use http::Response;
use hyper::body::Incoming;
use node::{Failure, SubRequest, UpstreamEvent};
use pipe::ExchangeError;

use crate::{
    conn::{Link, Stream},
    hits::Bounds,
    job::{Job, Stage, Work},
    pool::Pool,
    reply,
    request::{self, Message, REQUEST_ID},
};

/// What becomes of the connection after an exchange.
pub(crate) enum Next {
    /// It may take another request.
    Reuse,
    /// Its state is not known, or its upstream can't be trusted with another request on it.
    Close,
}

/// Sends a job and reports its end.
pub(crate) async fn run(pool: &Rc<Pool>, link: &mut Link<impl Stream>, job: Rc<Job>) -> Next {
    let Some(work) = job.work.take() else {
        return Next::Reuse;
    };
    let Some(message) = message(pool, &job, &work) else {
        fail(pool, &job, Failure::Connect);
        return Next::Reuse;
    };
    job.set_stage(Stage::Started);
    let reply = link.sender.try_send_request(message);
    match link.drive(&job, reply).await {
        None => Next::Close,
        Some(Ok(reply)) => finish(pool, link, &job, work, reply).await,
        Some(Err(mut error)) => {
            if error.take_message().is_some() {
                pool.take_back(job, work);
            } else if error.error().is_parse() {
                fail(pool, &job, Failure::Malformed);
            } else {
                fail(pool, &job, Failure::Broken);
            }
            Next::Close
        }
    }
}

/// Makes the message; `None` when the time has run out or a name fits into no header.
fn message(pool: &Pool, job: &Job, work: &Work) -> Option<Message> {
    let left = request::time_left(job.deadline - job.grace)?;
    let builder = &pool.shared.builder;
    match work {
        Work::Sub(_, sub) => {
            let message = builder.sub(sub, &pool.host, left)?;
            if let SubRequest::Search { .. } = sub
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

/// Reads the reply's body and reports what the reply says.
async fn finish(
    pool: &Pool,
    link: &mut Link<impl Stream>,
    job: &Job,
    work: Work,
    reply: Response<Incoming>,
) -> Next {
    let (head, body) = reply.into_parts();
    let limit = pool.shared.settings.max_reply_bytes;
    let body = match link
        .drive(job, pipe::connection::read_body(body, limit))
        .await
    {
        None => return Next::Close,
        Some(Ok(body)) => body,
        Some(Err(ExchangeError::Malformed)) => {
            fail(pool, job, Failure::Malformed);
            return Next::Close;
        }
        Some(Err(ExchangeError::Broken | ExchangeError::Unsent)) => {
            fail(pool, job, Failure::Broken);
            return Next::Close;
        }
    };
    let Work::Sub(_, sub) = work else {
        job.set_stage(Stage::Finished);
        return Next::Reuse;
    };
    let result = if job.stage() == Stage::Cancelled {
        reply::check_identity(&sub, head.status, &head.headers)
            .map(|()| UpstreamEvent::Failed(Failure::Cancelled))
    } else {
        let bounds = Bounds::from(&pool.shared.settings);
        reply::read(sub, head.status, &head.headers, body, bounds)
    };
    match result {
        Ok(event) => {
            pool.shared.finish(job, event);
            Next::Reuse
        }
        Err(reply::Invalid) => {
            fail(pool, job, Failure::Malformed);
            Next::Close
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
