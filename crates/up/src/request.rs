//! HTTP messages for requests to upstreams.

use std::{
    fmt::Write,
    time::{Duration, Instant},
};

use base::RequestId;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, header};
use http_body_util::Full;
use node::{Echo, SubRequest};

/// Header with the request and attempt identifiers.
pub(crate) static REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Header with the snapshot identifier.
pub(crate) static SNAPSHOT: HeaderName = HeaderName::from_static("snapshot");
/// Header with the shard name.
pub(crate) static SHARD: HeaderName = HeaderName::from_static("shard");
static DEADLINE: HeaderName = HeaderName::from_static("deadline-ms");
static LIMIT: HeaderName = HeaderName::from_static("limit");
static KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Initial capacity for the header values of one message, in bytes.
const VALUES_CAPACITY: usize = 192;

/// A request in the form that hyper sends.
pub(crate) type Message = Request<Full<Bytes>>;

/// Builds messages; holds the parts common to all of them.
pub(crate) struct Builder {
    search: Uri,
    run: Uri,
    cancel: Uri,
    json: HeaderValue,
}

impl Builder {
    /// Prepares the common parts.
    pub(crate) fn new() -> Self {
        Self {
            search: Uri::from_static("/v1/search"),
            run: Uri::from_static("/v1/run"),
            cancel: Uri::from_static("/v1/cancel"),
            json: HeaderValue::from_static("application/json"),
        }
    }

    /// Builds the message of a sub-request; `None` when a value is not a valid header value.
    pub(crate) fn sub_request(
        &self,
        sub_request: &SubRequest,
        host: &HeaderValue,
        left: Duration,
    ) -> Option<Message> {
        let mut values = HeaderValues::new();
        let mut headers = self.base_headers(host);
        headers.insert(header::CONTENT_TYPE, self.json.clone());
        headers.insert(DEADLINE.clone(), values.format(millis_left(left))?);
        let (uri, body) = match sub_request {
            SubRequest::Search { echo, limit, body } => {
                headers.insert(REQUEST_ID.clone(), values.request_id(echo)?);
                headers.insert(SNAPSHOT.clone(), values.format(echo.snapshot)?);
                headers.insert(SHARD.clone(), values.format(&echo.shard)?);
                headers.insert(LIMIT.clone(), values.format(limit)?);
                (&self.search, body)
            }
            SubRequest::Run { request, key, body } => {
                headers.insert(REQUEST_ID.clone(), values.request(*request)?);
                headers.insert(KEY.clone(), values.format(key)?);
                (&self.run, body)
            }
        };
        Some(message(uri, headers, body.clone()))
    }

    /// Builds the message that cancels a search.
    pub(crate) fn cancel(&self, id: HeaderValue, host: &HeaderValue) -> Message {
        let mut headers = self.base_headers(host);
        headers.insert(REQUEST_ID.clone(), id);
        message(&self.cancel, headers, Bytes::new())
    }

    fn base_headers(&self, host: &HeaderValue) -> HeaderMap {
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
struct HeaderValues(BytesMut);

impl HeaderValues {
    fn new() -> Self {
        Self(BytesMut::with_capacity(VALUES_CAPACITY))
    }

    fn format(&mut self, value: impl std::fmt::Display) -> Option<HeaderValue> {
        write!(self.0, "{value}").ok()?;
        self.take()
    }

    fn request(&mut self, request: RequestId) -> Option<HeaderValue> {
        self.write_hex(request);
        self.take()
    }

    fn request_id(&mut self, echo: &Echo) -> Option<HeaderValue> {
        self.write_hex(echo.request);
        write!(self.0, "-{}", echo.attempt).ok()?;
        self.take()
    }

    fn write_hex(&mut self, request: RequestId) {
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
