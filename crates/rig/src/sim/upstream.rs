//! Simulated upstreams.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{AttemptId, RequestId, SnapshotId, Time, UpstreamName};
use bytes::Bytes;
use node::{Echo, Failure, Hit, Reply, SubRequest, UpstreamEvent};

/// A request whose body contains this text crashes the upstream that processes it.
pub(super) const CRASH_MARKER: &[u8] = b"crash";

/// Time for which an upstream is down after a crash.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Speed and faults of a simulated upstream.
#[derive(Clone, Debug)]
pub struct UpstreamBehaviour {
    /// Processing time of a sub-request.
    pub service_time: Duration,
    /// One sub-request in this many takes ten times as long; 0 for none.
    pub slow_one_in: u64,
    /// One run in this many is refused because of overload; 0 for none.
    pub refuse_one_in: u64,
    /// One reply in this many carries the identity of another request; 0 for none.
    pub mix_up_one_in: u64,
    /// Snapshots that the upstream serves.
    pub snapshots: BTreeSet<SnapshotId>,
}

impl Default for UpstreamBehaviour {
    fn default() -> Self {
        Self {
            service_time: Duration::from_millis(5),
            slow_one_in: 0,
            refuse_one_in: 0,
            mix_up_one_in: 0,
            snapshots: BTreeSet::from([SnapshotId(1)]),
        }
    }
}

/// A sub-request that an upstream is processing.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) instance: usize,
    /// Incarnation of the instance that sent it.
    pub(super) incarnation: u64,
    pub(super) attempt: AttemptId,
    pub(super) sub_request: SubRequest,
}

/// One upstream.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) name: UpstreamName,
    pub(super) behaviour: UpstreamBehaviour,
    pub(super) leaving: Option<Time>,
    pub(super) pending: BTreeMap<u64, PendingRequest>,
    pub(super) max_active: usize,
    pub(super) crashes: u32,
    down_until: Time,
    last_number: u64,
}

impl Upstream {
    pub(super) fn new(name: UpstreamName, behaviour: UpstreamBehaviour) -> Self {
        Self {
            name,
            behaviour,
            leaving: None,
            pending: BTreeMap::new(),
            max_active: 0,
            crashes: 0,
            down_until: Time::ZERO,
            last_number: 0,
        }
    }

    /// Starts to process a request and returns its number.
    pub(super) fn start(&mut self, request: PendingRequest) -> u64 {
        self.last_number += 1;
        self.pending.insert(self.last_number, request);
        self.max_active = self.max_active.max(self.pending.len());
        self.last_number
    }

    pub(super) fn is_down(&self, now: Time) -> bool {
        self.down_until > now
    }

    /// Takes the upstream down and returns the requests that are lost.
    pub(super) fn crash(&mut self, now: Time) -> Vec<PendingRequest> {
        self.down_until = now + RESTART_DELAY;
        std::mem::take(&mut self.pending).into_values().collect()
    }

    /// Returns the event that completes a sub-request.
    pub(super) fn outcome(&self, sub_request: &SubRequest, is_mixed_up: bool) -> UpstreamEvent {
        let draining = self.leaving.is_some();
        match sub_request {
            SubRequest::Search { echo, .. }
                if !self.behaviour.snapshots.contains(&echo.snapshot) =>
            {
                let available = self.behaviour.snapshots.iter().copied().collect();
                UpstreamEvent::NoSnapshot {
                    available,
                    draining,
                }
            }
            SubRequest::Search { echo, .. } => {
                let mut echo = echo.clone();
                echo.request.0 += u128::from(is_mixed_up);
                let hits = vec![hit(&echo)];
                UpstreamEvent::Replied(Reply {
                    echo,
                    hits,
                    draining,
                })
            }
            SubRequest::Run { request, .. } => {
                let id = if is_mixed_up {
                    request.0 + 1
                } else {
                    request.0
                };
                let request = RequestId(id);
                UpstreamEvent::Ran {
                    request,
                    outcome: run_outcome(request),
                    draining,
                }
            }
        }
    }
}

/// Returns the outcome of a run, which names its request.
pub(super) fn run_outcome(request: RequestId) -> Bytes {
    Bytes::from(format!("{{\"ran\":\"{request}\"}}"))
}

/// Returns a hit that names its request, snapshot and shard, so that the history check detects
/// mixed answers.
fn hit(echo: &Echo) -> Hit {
    Hit {
        id: echo.shard.as_str().into(),
        score: 1,
        text: format!("{}/{}/{}", echo.request, echo.snapshot, echo.shard).into(),
    }
}

/// Returns whether the body of a sub-request contains [`CRASH_MARKER`].
pub(super) fn triggers_crash(sub_request: &SubRequest) -> bool {
    let (SubRequest::Search { body, .. } | SubRequest::Run { body, .. }) = sub_request;
    body.windows(CRASH_MARKER.len()).any(|w| w == CRASH_MARKER)
}

/// Returns the event of a request whose upstream crashed.
pub(super) fn connection_lost() -> UpstreamEvent {
    UpstreamEvent::Failed(Failure::Broken)
}
