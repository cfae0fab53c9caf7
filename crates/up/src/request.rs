//! Requests to upstreams as HTTP messages.

use std::{
    fmt::Write,
    time::{Duration, Instant},
};

use base::RequestId;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, header};
use http_body_util::Full;
use node::{Echo, SubRequest};

/// Header that names the request and the attempt.
pub(crate) static REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Header that names the snapshot.
pub(crate) static SNAPSHOT: HeaderName = HeaderName::from_static("snapshot");
/// Header that names the shard.
pub(crate) static SHARD: HeaderName = HeaderName::from_static("shard");
static DEADLINE: HeaderName = HeaderName::from_static("deadline-ms");
static LIMIT: HeaderName = HeaderName::from_static("limit");
static KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Room for all values that one request formats, in bytes; longer ones grow the buffer.
const VALUE_BYTES: usize = 192;

/// A request as hyper sends it.
pub(crate) type Message = Request<Full<Bytes>>;

/// Makes messages; holds the parts that all messages share.
pub(crate) struct Builder {
    search: Uri,
    run: Uri,
    cancel: Uri,
    json: HeaderValue,
}

impl Builder {
    /// Prepares the shared parts.
    pub(crate) fn new() -> Self {
        Self {
            search: Uri::from_static("/v1/search"),
            run: Uri::from_static("/v1/run"),
            cancel: Uri::from_static("/v1/cancel"),
            json: HeaderValue::from_static("application/json"),
        }
    }

    /// Makes the message of a sub-request; `None` when a name does not fit into a header.
    pub(crate) fn sub(
        &self,
        sub: &SubRequest,
        host: &HeaderValue,
        left: Duration,
    ) -> Option<Message> {
        let mut values = Values::new();
        let mut headers = self.headers(host);
        headers.insert(header::CONTENT_TYPE, self.json.clone());
        headers.insert(DEADLINE.clone(), values.put(millis_left(left))?);
        let (uri, body) = match sub {
            SubRequest::Search { echo, limit, body } => {
                headers.insert(REQUEST_ID.clone(), values.request_id(echo)?);
                headers.insert(SNAPSHOT.clone(), values.put(echo.snapshot)?);
                headers.insert(SHARD.clone(), values.put(&echo.shard)?);
                headers.insert(LIMIT.clone(), values.put(limit)?);
                (&self.search, body)
            }
            SubRequest::Run { request, key, body } => {
                headers.insert(REQUEST_ID.clone(), values.request(*request)?);
                headers.insert(KEY.clone(), values.put(key)?);
                (&self.run, body)
            }
        };
        Some(message(uri, headers, body.clone()))
    }

    /// Makes the message that cancels a search.
    pub(crate) fn cancel(&self, id: HeaderValue, host: &HeaderValue) -> Message {
        let mut headers = self.headers(host);
        headers.insert(REQUEST_ID.clone(), id);
        message(&self.cancel, headers, Bytes::new())
    }

    fn headers(&self, host: &HeaderValue) -> HeaderMap {
        let mut headers = HeaderMap::with_capacity(12);
        headers.insert(header::HOST, host.clone());
        headers
    }
}

/// Returns the time until `deadline`, or `None` when it has passed.
pub(crate) fn time_left(deadline: Instant) -> Option<Duration> {
    deadline
        .checked_duration_since(Instant::now())
        .filter(|left| !left.is_zero())
}

fn millis_left(left: Duration) -> u128 {
    left.as_millis().max(1)
}

fn message(uri: &Uri, headers: HeaderMap, body: Bytes) -> Message {
    let mut message = Request::new(Full::new(body));
    *message.method_mut() = Method::POST;
    *message.uri_mut() = uri.clone();
    *message.headers_mut() = headers;
    message
}

/// Formats the header values of one message into one buffer.
struct Values(BytesMut);

impl Values {
    fn new() -> Self {
        Self(BytesMut::with_capacity(VALUE_BYTES))
    }

    fn put(&mut self, value: impl std::fmt::Display) -> Option<HeaderValue> {
        write!(self.0, "{value}").ok()?;
        self.take()
    }

    fn request(&mut self, request: RequestId) -> Option<HeaderValue> {
        self.hex(request);
        self.take()
    }

    fn request_id(&mut self, echo: &Echo) -> Option<HeaderValue> {
        self.hex(echo.request);
        write!(self.0, "-{}", echo.attempt).ok()?;
        self.take()
    }

    fn hex(&mut self, request: RequestId) {
        const DIGITS: &[u8; 16] = b"0123456789abcdef";
        let mut text = [0; 32];
        for (i, digit) in text.iter_mut().enumerate() {
            *digit = DIGITS[(request.0 >> (124 - 4 * i)) as usize & 15];
        }
        self.0.extend_from_slice(&text);
    }

    fn take(&mut self) -> Option<HeaderValue> {
        HeaderValue::from_maybe_shared(self.0.split().freeze()).ok()
    }
}
