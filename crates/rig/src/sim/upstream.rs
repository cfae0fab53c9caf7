//! Upstreams as the simulation sees them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{AttemptId, RequestId, SnapshotId, Time, UpstreamName};
use bytes::Bytes;
use node::{Echo, Failure, Hit, Reply, SubRequest, UpstreamEvent};

/// Body text that breaks every upstream which works on it.
pub(super) const CRASH_MARKER: &[u8] = b"crash";

/// How long an upstream is gone after it broke.
const RESTART: Duration = Duration::from_secs(1);

/// How an upstream behaves.
#[derive(Clone, Debug)]
pub struct UpstreamBehaviour {
    /// Time for a sub-request.
    pub service_time: Duration,
    /// One sub-request in this many takes ten times as long; 0 for none.
    pub slow_one_in: u64,
    /// One run in this many is refused as overload; 0 for none.
    pub refuse_one_in: u64,
    /// One request in this many is answered as if it were another; 0 for none.
    pub mix_up_one_in: u64,
    /// Snapshots that are served.
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

/// Work that an upstream has in hand.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) instance: usize,
    /// Life of the instance that asked.
    pub(super) life: u64,
    pub(super) attempt: AttemptId,
    pub(super) sub: SubRequest,
}

/// One upstream.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) name: UpstreamName,
    pub(super) plan: UpstreamBehaviour,
    pub(super) leaving: Option<Time>,
    pub(super) works: BTreeMap<u64, Work>,
    pub(super) max_active: usize,
    pub(super) broken: u32,
    down_until: Time,
    begun: u64,
}

impl Upstream {
    pub(super) fn new(name: UpstreamName, plan: UpstreamBehaviour) -> Self {
        Self {
            name,
            plan,
            leaving: None,
            works: BTreeMap::new(),
            max_active: 0,
            broken: 0,
            down_until: Time::ZERO,
            begun: 0,
        }
    }

    /// Begins work and returns its number.
    pub(super) fn begin(&mut self, work: Work) -> u64 {
        self.begun += 1;
        self.works.insert(self.begun, work);
        self.max_active = self.max_active.max(self.works.len());
        self.begun
    }

    pub(super) fn is_down(&self, now: Time) -> bool {
        self.down_until > now
    }

    /// Breaks; returns the work that is lost.
    pub(super) fn break_down(&mut self, now: Time) -> Vec<Work> {
        self.down_until = now + RESTART;
        std::mem::take(&mut self.works).into_values().collect()
    }

    /// Returns the event of finished work.
    pub(super) fn outcome(&self, sub: &SubRequest, mixed_up: bool) -> UpstreamEvent {
        let draining = self.leaving.is_some();
        match sub {
            SubRequest::Search { echo, .. } if !self.plan.snapshots.contains(&echo.snapshot) => {
                let available = self.plan.snapshots.iter().copied().collect();
                UpstreamEvent::NoSnapshot {
                    available,
                    draining,
                }
            }
            SubRequest::Search { echo, .. } => {
                let mut echo = echo.clone();
                echo.request.0 += u128::from(mixed_up);
                let hits = vec![hit(&echo)];
                UpstreamEvent::Replied(Reply {
                    echo,
                    hits,
                    draining,
                })
            }
            SubRequest::Run { request, .. } => {
                let told = if mixed_up { request.0 + 1 } else { request.0 };
                let request = RequestId(told);
                UpstreamEvent::Ran {
                    request,
                    outcome: outcome_of(request),
                    draining,
                }
            }
        }
    }
}

/// Returns the outcome that upstreams give to a run.
pub(super) fn outcome_of(request: RequestId) -> Bytes {
    Bytes::from(format!("{{\"ran\":\"{request}\"}}"))
}

/// Returns a hit that tells its request, snapshot and shard, so that a mix shows.
fn hit(echo: &Echo) -> Hit {
    Hit {
        id: echo.shard.as_str().into(),
        score: 1,
        text: format!("{}/{}/{}", echo.request, echo.snapshot, echo.shard).into(),
    }
}

/// Returns whether work of this body breaks the upstream.
pub(super) fn breaks(sub: &SubRequest) -> bool {
    let (SubRequest::Search { body, .. } | SubRequest::Run { body, .. }) = sub;
    body.windows(CRASH_MARKER.len()).any(|w| w == CRASH_MARKER)
}

/// Returns the event of work that was lost with its upstream.
pub(super) fn lost() -> UpstreamEvent {
    UpstreamEvent::Failed(Failure::Broken)
}
