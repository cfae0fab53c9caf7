//! Connections between instances, which carry searches that are handed over and updates from the
//! store.
//!
//! Each instance opens at most one connection to another. It sends requests on it, and the other
//! one answers. When a connection ends, a search whose frame was not written has certainly not run;
//! the outcome of all other searches on it is unknown.

mod channel;
mod feed;
mod incoming;
mod outgoing;
mod tokens;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use wire::handover::Header;

pub(super) use feed::{Feed, position, send_watermarks};
pub(super) use incoming::accept;
pub(super) use outgoing::Peers;

/// Encodes headers for another instance.
fn to_frame(headers: &HeaderMap) -> Vec<Header> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    headers.iter().map(header).collect()
}

/// Decodes headers from another instance; `None` when one is invalid.
fn from_frame(headers: Vec<Header>) -> Option<HeaderMap> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        map.append(name, HeaderValue::from_maybe_shared(header.value).ok()?);
    }
    Some(map)
}
