//! Validation of replies, and their mapping to events.

use std::time::Duration;

use base::{RequestId, SnapshotId};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, StatusCode, header};
use node::{Failure, Reply, SubRequest, UpstreamEvent};
use serde::de::IgnoredAny;

use crate::{
    hits::{self, HitLimits},
    request::{REQUEST_ID, SHARD, SNAPSHOT},
};

/// Limit on the snapshots read from one reply; the rest is ignored.
const MAX_SNAPSHOTS: usize = 64;

/// Status of a search that was cancelled.
const STATUS_CANCELLED: u16 = 499;

static DRAINING: HeaderName = HeaderName::from_static("draining");
static SNAPSHOTS: HeaderName = HeaderName::from_static("snapshots");

/// The reply is invalid and its connection must be closed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct InvalidReply;

/// Maps a reply to the event of its attempt.
///
/// # Errors
///
/// Fails when the reply identifies another request, or its body violates the protocol.
pub(crate) fn to_event(
    sub_request: SubRequest,
    status: StatusCode,
    headers: &HeaderMap,
    body: Bytes,
    limits: HitLimits,
) -> Result<UpstreamEvent, InvalidReply> {
    check_identity(&sub_request, status, headers)?;
    let draining = headers.get(&DRAINING).is_some_and(|v| v == "1");
    match (sub_request, status.as_u16()) {
        (SubRequest::Search { echo, .. }, 200) => {
            let hits = hits::parse(&body, limits).map_err(|_| InvalidReply)?;
            Ok(UpstreamEvent::Replied(Reply {
                echo,
                hits,
                draining,
            }))
        }
        (SubRequest::Run { request, .. }, 200) => {
            // The outcome is embedded in a JSON answer, so it must be valid JSON.
            serde_json::from_slice::<IgnoredAny>(&body).map_err(|_| InvalidReply)?;
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

/// Checks the identity headers: required with status 200, and never those of another request.
pub(crate) fn check_identity(
    sub_request: &SubRequest,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<(), InvalidReply> {
    let required = status == StatusCode::OK;
    let same = match sub_request {
        SubRequest::Search { echo, .. } => {
            let id = header_text(headers, &REQUEST_ID)
                .map(|id| parse_request_id(id) == Some((echo.request, echo.attempt)));
            let snapshot = header_text(headers, &SNAPSHOT)
                .map(|snapshot| snapshot.parse() == Ok(echo.snapshot));
            let shard = header_text(headers, &SHARD).map(|shard| shard == echo.shard.as_str());
            [id, snapshot, shard]
        }
        SubRequest::Run { request, .. } => {
            let id = header_text(headers, &REQUEST_ID).map(|id| id.parse() == Ok(*request));
            [id, Some(true), Some(true)]
        }
    };
    if same.into_iter().all(|s| s.unwrap_or(!required)) {
        Ok(())
    } else {
        Err(InvalidReply)
    }
}

fn parse_request_id(text: &str) -> Option<(RequestId, u64)> {
    let (request, attempt) = text.split_once('-')?;
    Some((request.parse().ok()?, attempt.parse().ok()?))
}

/// Returns the text of a header; a value that is not text counts as empty, which matches no
/// request.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).map(|v| v.to_str().unwrap_or_default())
}

fn snapshots(headers: &HeaderMap) -> Vec<SnapshotId> {
    header_text(headers, &SNAPSHOTS)
        .unwrap_or_default()
        .split(',')
        .filter_map(|id| id.trim().parse().ok())
        .take(MAX_SNAPSHOTS)
        .collect()
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = header_text(headers, &header::RETRY_AFTER)?;
    text.trim().parse().ok().map(Duration::from_secs)
}
