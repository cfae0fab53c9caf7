//! Conversion of answers to HTTP responses.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use node::{Answer, Reason, Refusal};

use crate::{
    error::BadRequest,
    json::{self, Problem},
};

/// A response in the form that hyper writes.
pub(crate) type Reply = Response<Full<Bytes>>;

/// Value of `result` for a refused request.
const NOT_RUN: &str = "not run";

/// Builds a response with a JSON body.
pub(crate) fn json(status: StatusCode, body: Vec<u8>) -> Reply {
    with_type(status, body, "application/json")
}

/// Builds a response whose body has the given media type.
pub(crate) fn with_type(status: StatusCode, body: Vec<u8>, media_type: &'static str) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    let media_type = HeaderValue::from_static(media_type);
    reply.headers_mut().insert(header::CONTENT_TYPE, media_type);
    reply
}

/// Builds the response for a caller.
pub(crate) fn answer(answer: &Answer) -> Reply {
    match answer {
        Answer::Results(results) => json(StatusCode::OK, json::search_results(results)),
        Answer::Done {
            request,
            outcome,
            repeated,
        } => json(
            StatusCode::OK,
            json::run_outcome(*request, outcome, *repeated),
        ),
        Answer::Refused(refusal) => refused(refusal),
        Answer::Expired => {
            let problem = Problem {
                result: "expired",
                reason: Some("key_expired"),
                detail: Some(
                    "not sent now; whether an earlier request with the key ran is not known",
                ),
                retry_after_ms: None,
            };
            json(StatusCode::GONE, problem.write())
        }
        Answer::Unknown { retry_after } => {
            let problem = Problem {
                result: "unknown",
                reason: None,
                detail: None,
                retry_after_ms: Some(json::millis(*retry_after)),
            };
            let reply = json(StatusCode::ACCEPTED, problem.write());
            with_retry_after(reply, *retry_after)
        }
    }
}

/// Builds the response to an invalid request.
pub(crate) fn bad_request(error: &BadRequest) -> Reply {
    let detail = error.to_string();
    let problem = Problem {
        result: NOT_RUN,
        reason: Some(error.reason()),
        detail: Some(&detail),
        retry_after_ms: None,
    };
    let mut reply = json(error.status(), problem.write());
    let headers = reply.headers_mut();
    if let BadRequest::Method { allowed } = error
        && let Ok(allowed) = HeaderValue::from_str(allowed.as_str())
    {
        headers.insert(header::ALLOW, allowed);
    }
    if error.ends_connection() {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

fn refused(refusal: &Refusal) -> Reply {
    let problem = Problem {
        result: NOT_RUN,
        reason: Some(refusal.reason.as_str()),
        detail: None,
        retry_after_ms: refusal.retry_after.map(json::millis),
    };
    let reply = json(status(refusal.reason), problem.write());
    match refusal.retry_after {
        Some(time) => with_retry_after(reply, time),
        None => reply,
    }
}

/// Adds `retry-after` in seconds, rounded up.
fn with_retry_after(mut reply: Reply, time: Duration) -> Reply {
    let seconds = time.as_secs() + u64::from(time.subsec_nanos() > 0);
    let headers = reply.headers_mut();
    headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    reply
}

/// Returns the HTTP status for a refusal reason.
fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::NoEntry => StatusCode::NOT_FOUND,
        Reason::WrongClass => StatusCode::BAD_REQUEST,
        Reason::BodySize => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::KeyReused => StatusCode::CONFLICT,
        Reason::RateLimit | Reason::ConcurrencyLimit | Reason::Quarantined => {
            StatusCode::TOO_MANY_REQUESTS
        }
        Reason::NotReady
        | Reason::Overload
        | Reason::NoSnapshot
        | Reason::NoUpstream
        | Reason::PlatformUnavailable
        | Reason::ClaimsFull
        | Reason::DeadlinePassed
        | Reason::Draining => StatusCode::SERVICE_UNAVAILABLE,
    }
}
