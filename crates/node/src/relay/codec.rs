//! Conversion between results of sub-requests and their wire messages.

use std::time::Duration;

use base::{RequestId, SnapshotId};
use bytes::Bytes;
use wire::{RelayResult, ResultCode};

use crate::{
    event::{Failure, Reply, UpstreamEvent},
    protocol::{Echo, Hit},
};

/// Decodes a request id, 16 bytes in big-endian order.
pub(crate) fn decode_request_id(bytes: &[u8]) -> Option<RequestId> {
    let bytes: [u8; 16] = bytes.try_into().ok()?;
    Some(RequestId(u128::from_be_bytes(bytes)))
}

/// Makes a result that consists of a code alone.
pub(crate) fn result_with_code(attempt: u64, code: ResultCode) -> RelayResult {
    RelayResult {
        attempt,
        code: code.into(),
        ..RelayResult::default()
    }
}

pub(super) fn encode_result(attempt: u64, event: UpstreamEvent) -> RelayResult {
    match event {
        UpstreamEvent::Replied(reply) => RelayResult {
            request: Bytes::copy_from_slice(&reply.echo.request.0.to_be_bytes()),
            snapshot: reply.echo.snapshot.0,
            shard: reply.echo.shard.to_string(),
            echo: reply.echo.attempt,
            hits: reply.hits.into_iter().map(encode_hit).collect(),
            draining: reply.draining,
            ..result_with_code(attempt, ResultCode::Replied)
        },
        UpstreamEvent::NoSnapshot {
            available,
            draining,
        } => RelayResult {
            available: available.into_iter().map(|id| id.0).collect(),
            draining,
            ..result_with_code(attempt, ResultCode::NoSnapshot)
        },
        UpstreamEvent::Refused { draining: true, .. } => {
            result_with_code(attempt, ResultCode::Leaving)
        }
        UpstreamEvent::Refused { .. } => result_with_code(attempt, ResultCode::Overloaded),
        UpstreamEvent::Failed(Failure::Connect) => result_with_code(attempt, ResultCode::NotSent),
        UpstreamEvent::Failed(Failure::Unrouted) => result_with_code(attempt, ResultCode::Unrouted),
        UpstreamEvent::Failed(Failure::Broken) => result_with_code(attempt, ResultCode::Broke),
        UpstreamEvent::Failed(_) => result_with_code(attempt, ResultCode::Invalid),
        UpstreamEvent::Ran {
            request,
            outcome,
            draining,
        } => RelayResult {
            request: Bytes::copy_from_slice(&request.0.to_be_bytes()),
            outcome,
            draining,
            ..result_with_code(attempt, ResultCode::Ran)
        },
    }
}

pub(super) fn encode_hit(hit: Hit) -> wire::Hit {
    wire::Hit {
        id: hit.id.into(),
        score: hit.score,
        text: hit.text.into(),
    }
}

pub(super) fn decode_hit(hit: wire::Hit) -> Hit {
    Hit {
        id: hit.id.into(),
        score: hit.score,
        text: hit.text.into(),
    }
}

/// Decodes a result and the time for which the sub-request waited for a slot at the owner.
pub(super) fn decode_result(result: RelayResult) -> Option<(UpstreamEvent, Duration)> {
    let queued = Duration::from_micros(result.queued_us);
    let draining = result.draining;
    let event = match ResultCode::try_from(result.code).ok()? {
        ResultCode::Unspecified => return None,
        ResultCode::Replied => UpstreamEvent::Replied(Reply {
            echo: Echo {
                request: decode_request_id(&result.request)?,
                attempt: result.echo,
                snapshot: SnapshotId(result.snapshot),
                shard: result.shard.parse().ok()?,
            },
            hits: result.hits.into_iter().map(decode_hit).collect(),
            draining,
        }),
        ResultCode::NoSnapshot => UpstreamEvent::NoSnapshot {
            available: result.available.into_iter().map(SnapshotId).collect(),
            draining,
        },
        ResultCode::Overloaded => UpstreamEvent::Refused {
            retry_after: None,
            draining: false,
        },
        ResultCode::Leaving => UpstreamEvent::Refused {
            retry_after: None,
            draining: true,
        },
        ResultCode::NotSent => UpstreamEvent::Failed(Failure::Connect),
        ResultCode::Unrouted => UpstreamEvent::Failed(Failure::Unrouted),
        ResultCode::Broke => UpstreamEvent::Failed(Failure::Broken),
        ResultCode::Invalid => UpstreamEvent::Failed(Failure::Malformed),
        ResultCode::Ran => UpstreamEvent::Ran {
            request: decode_request_id(&result.request)?,
            outcome: result.outcome,
            draining,
        },
    };
    Some((event, queued))
}
