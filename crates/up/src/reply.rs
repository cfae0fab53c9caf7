//! Replies of upstreams, checked and mapped to events.

use std::time::Duration;

use base::{RequestId, SnapshotId};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, StatusCode, header};
use node::{Failure, Reply, SubRequest, UpstreamEvent};
use serde::de::IgnoredAny;

use crate::{
    hits::{self, Bounds},
    request::{REQUEST_ID, SHARD, SNAPSHOT},
};

/// Snapshots that are read from one reply; the rest is ignored.
const MAX_SNAPSHOTS: usize = 64;

/// Status of a search that was cancelled.
const STATUS_CANCELLED: u16 = 499;

static DRAINING: HeaderName = HeaderName::from_static("draining");
static SNAPSHOTS: HeaderName = HeaderName::from_static("snapshots");

/// A reply that is not valid; its connection must be closed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Invalid;

/// Maps a reply to the event that ends its attempt.
///
/// # Errors
///
/// Fails when the identity is another request's, or the body is not what the protocol says.
pub(crate) fn read(
    sub: SubRequest,
    status: StatusCode,
    headers: &HeaderMap,
    body: Bytes,
    bounds: Bounds,
) -> Result<UpstreamEvent, Invalid> {
    check_identity(&sub, status, headers)?;
    let draining = headers.get(&DRAINING).is_some_and(|v| v == "1");
    match (sub, status.as_u16()) {
        (SubRequest::Search { echo, .. }, 200) => {
            let hits = hits::parse(&body, bounds).map_err(|_| Invalid)?;
            Ok(UpstreamEvent::Replied(Reply {
                echo,
                hits,
                draining,
            }))
        }
        (SubRequest::Run { request, .. }, 200) => {
            // The outcome becomes part of a JSON answer.
            serde_json::from_slice::<IgnoredAny>(&body).map_err(|_| Invalid)?;
            Ok(UpstreamEvent::Ran {
                request,
                outcome: body,
                draining,
            })
        }
        (SubRequest::Search { .. }, 410) => Ok(UpstreamEvent::NoSnapshot {
            available: snapshots(headers),
            draining,
        }),
        (_, 503) => Ok(UpstreamEvent::Refused {
            retry_after: retry_after(headers),
            draining,
        }),
        (SubRequest::Search { .. }, STATUS_CANCELLED) => {
            Ok(UpstreamEvent::Failed(Failure::Cancelled))
        }
        _ => Ok(UpstreamEvent::Failed(Failure::Malformed)),
    }
}

/// Checks the repeated identity: required with status 200, and never another request's.
pub(crate) fn check_identity(
    sub: &SubRequest,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<(), Invalid> {
    let required = status == StatusCode::OK;
    let same = match sub {
        SubRequest::Search { echo, .. } => {
            let id = field(headers, &REQUEST_ID)
                .map(|id| parse_request_id(id) == Some((echo.request, echo.attempt)));
            let snapshot =
                field(headers, &SNAPSHOT).map(|snapshot| snapshot.parse() == Ok(echo.snapshot));
            let shard = field(headers, &SHARD).map(|shard| shard == echo.shard.as_str());
            [id, snapshot, shard]
        }
        SubRequest::Run { request, .. } => {
            let id = field(headers, &REQUEST_ID).map(|id| id.parse() == Ok(*request));
            [id, Some(true), Some(true)]
        }
    };
    if same.into_iter().all(|s| s.unwrap_or(!required)) {
        Ok(())
    } else {
        Err(Invalid)
    }
}

fn parse_request_id(text: &str) -> Option<(RequestId, u64)> {
    let (request, attempt) = text.split_once('-')?;
    Some((request.parse().ok()?, attempt.parse().ok()?))
}

/// Returns a header's text; one that is not text is taken as empty, which names no request.
fn field<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).map(|v| v.to_str().unwrap_or_default())
}

fn snapshots(headers: &HeaderMap) -> Vec<SnapshotId> {
    field(headers, &SNAPSHOTS)
        .unwrap_or_default()
        .split(',')
        .filter_map(|id| id.trim().parse().ok())
        .take(MAX_SNAPSHOTS)
        .collect()
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = field(headers, &header::RETRY_AFTER)?;
    text.trim().parse().ok().map(Duration::from_secs)
}
