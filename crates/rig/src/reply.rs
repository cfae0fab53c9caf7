//! Helpers to read complete request bodies and to build complete replies.

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use snafu::Snafu;

/// A reply whose body is in memory.
pub type Reply = Response<Full<Bytes>>;

/// Error that closes the connection without a reply.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the connection is closed without a reply"))]
pub struct Abort;

/// Builds a reply with `status` and `body`.
pub fn with_body(status: StatusCode, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    reply
}

/// Builds a reply without a body.
pub fn empty(status: StatusCode) -> Reply {
    with_body(status, Bytes::new())
}

/// Builds a reply with `value` as JSON.
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let Ok(body) = serde_json::to_vec(value) else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    json_text(status, body)
}

/// Builds a reply with a body that is JSON text, or passes for it.
pub fn json_text(status: StatusCode, text: Vec<u8>) -> Reply {
    let mut reply = with_body(status, text.into());
    let kind = header::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}

/// Reads a body of up to `limit` bytes; returns `None` if it is longer.
///
/// # Errors
///
/// [`Abort`] when the body cannot be read, for example because the client disconnected.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Option<Bytes>, Abort> {
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(Some(whole.to_bytes())),
        Err(e) if e.is::<LengthLimitError>() => Ok(None),
        Err(_) => Err(Abort),
    }
}

/// Parses the header `name` as a number.
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
