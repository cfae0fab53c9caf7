//! Connections between instances, on which searches are handed over and news are told.
//!
//! Each instance opens at most one connection to another and asks on it; the other one answers. A
//! search whose frame was not written yet has not run; when a connection ends, that and no more is
//! known of the searches on it.

mod channel;
mod feed;
mod incoming;
mod outgoing;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use wire::handover::Header;

pub(super) use feed::{Feed, beat};
pub(super) use incoming::accept;
pub(super) use outgoing::Peers;

/// Returns headers as they are sent to another instance.
fn to_frame(headers: &HeaderMap) -> Vec<Header> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    headers.iter().map(header).collect()
}

/// Reads headers that another instance sent; `None` when one is not valid.
fn from_frame(headers: Vec<Header>) -> Option<HeaderMap> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        map.append(name, HeaderValue::from_maybe_shared(header.value).ok()?);
    }
    Some(map)
}
