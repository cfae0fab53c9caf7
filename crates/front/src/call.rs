//! Validation of callers' requests, and their conversion to calls of the reducer.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::{EntryName, IdempotencyKey, RequestId};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, header, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use node::Call;
use snafu::ResultExt;

use crate::error::{BadRequest, EntrySnafu};

static DEADLINE: HeaderName = HeaderName::from_static("deadline-ms");
static KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Longest time by which a key's issue time may be ahead of the local clock.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(3_600);

/// Path prefix of all entries.
const ENTRY_PATH_PREFIX: &str = "/v1/entries/";

/// A caller's request to an entry, without its body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct EntryRequest {
    entry: EntryName,
    deadline: Option<Duration>,
    /// Idempotency key of a run; `None` for a search.
    key: Option<IdempotencyKey>,
}

impl EntryRequest {
    /// Parses path and headers; `None` when the path is not that of an entry.
    ///
    /// # Errors
    ///
    /// Fails when the path is that of an entry but the request is invalid.
    pub(crate) fn from_head(head: &Parts) -> Result<Option<Self>, BadRequest> {
        let Some(rest) = head.uri.path().strip_prefix(ENTRY_PATH_PREFIX) else {
            return Ok(None);
        };
        let (entry, run) = match rest.split_once('/') {
            Some((entry, "search")) => (entry, false),
            Some((entry, "run")) => (entry, true),
            _ => return Err(BadRequest::UnknownPath),
        };
        if head.method != Method::POST {
            let allowed = Method::POST;
            return Err(BadRequest::Method { allowed });
        }
        let entry = entry.parse().context(EntrySnafu)?;
        let deadline = single_header(&head.headers, &DEADLINE, "deadline-ms")?
            .map(parse_deadline)
            .transpose()?;
        let key = if run {
            Some(idempotency_key(&head.headers)?)
        } else {
            None
        };
        Ok(Some(Self {
            entry,
            deadline,
            key,
        }))
    }

    /// Returns the entry that the request is for.
    pub(crate) fn entry(&self) -> &EntryName {
        &self.entry
    }

    /// Converts the request to a call of the reducer.
    pub(crate) fn into_call(self, request: RequestId, body: Bytes) -> Call {
        let Self {
            entry,
            deadline,
            key,
        } = self;
        match key {
            Some(key) => Call::Run {
                request,
                entry,
                deadline,
                key,
                body,
            },
            None => Call::Search {
                request,
                entry,
                deadline,
                body,
            },
        }
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<IdempotencyKey, BadRequest> {
    const NAME: &str = "idempotency-key";
    let text = single_header(headers, &KEY, NAME)?.ok_or(BadRequest::KeyMissing)?;
    let key: IdempotencyKey = text
        .parse()
        .map_err(|error: base::id::IdError| bad_header(NAME, error.to_string()))?;
    // A key issued far in the future would make the records of all other keys look old.
    let latest = SystemTime::now() + MAX_CLOCK_SKEW;
    let latest = latest.duration_since(UNIX_EPOCH).unwrap_or_default();
    if key.issued() > latest.as_secs() {
        return Err(bad_header(NAME, "its issue time is in the future"));
    }
    Ok(key)
}

fn parse_deadline(text: &str) -> Result<Duration, BadRequest> {
    text.parse()
        .map(Duration::from_millis)
        .map_err(|_| bad_header("deadline-ms", "expected a number of milliseconds"))
}

/// Returns the text of a header that must not occur more than once.
fn single_header<'a>(
    headers: &'a HeaderMap,
    header: &HeaderName,
    name: &'static str,
) -> Result<Option<&'a str>, BadRequest> {
    let mut values = headers.get_all(header).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_header(name, "given more than once"));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(bad_header(name, "expected plain text")),
    }
}

fn bad_header(name: &'static str, problem: impl Into<Box<str>>) -> BadRequest {
    let problem = problem.into();
    BadRequest::Header { name, problem }
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Fails when the body is too large, does not arrive in time or is cut off.
pub(crate) async fn read_body(
    head: &Parts,
    body: Incoming,
    limit: usize,
    time_limit: Duration,
) -> Result<Bytes, BadRequest> {
    if body.size_hint().lower() > limit as u64 {
        return Err(BadRequest::BodySize { limit });
    }
    if body.is_end_stream() && !head.headers.contains_key(header::TRANSFER_ENCODING) {
        return Ok(Bytes::new());
    }
    let collect = Limited::new(body, limit).collect();
    match compio::time::timeout(time_limit, collect).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BadRequest::BodySize { limit }),
        Ok(Err(_)) => Err(BadRequest::BodyBroken),
        Err(_) => Err(BadRequest::BodyTimeout),
    }
}
