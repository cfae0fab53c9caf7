//! Which upstream a part is sent to.
//!
//! Load pattern: two or three replicas of a shard of which one pauses, is slow, cold, full or dead,
//! while an instance sends each only a few requests a second, or a few a minute with many instances. What is in flight tells of a pause at
//! once; paces tell of slow ones; a small advantage keeps traffic inside the data centre.

use std::time::Duration;

use base::Time;
use rand::Rng;

use crate::upstream::{Upstream, UpstreamKey};

/// Extra time, as a share of the usual time, that an upstream has to make up for unless it is sound
/// and in the own data centre.
const REMOTE_COST: f64 = 1.0;

/// How much slower a cold upstream is; the usual ratio of a started process.
const COLD_LATENCY_RATIO: f64 = 1.6;

/// Ratio of the usual time after which an attempt in flight shows that the upstream stands still.
const STALL_LATENCY_RATIO: f64 = 3.0;

/// Time for which a connection is kept, as far as placement is concerned.
const CONNECTION_KEPT: Duration = Duration::from_secs(3);

/// Cost of a new connection: it holds a slot, and takes processor time on both sides.
const CONNECT_COST: Duration = Duration::from_millis(8);

/// Cost of an answer that is lost for certain, as a multiple of the usual time: it takes a second
/// attempt, of which a part has one.
const LOSS_COST: f64 = 8.0;

/// Spread of the random part of a choice, which keeps instances apart.
const JITTER_SHARE: f64 = 0.15;

/// A candidate with the time in which it is expected to reply.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub key: UpstreamKey,
    /// When it is expected to reply.
    pub expected: Duration,
}

/// Returns the time in which an upstream is expected to reply to a request sent now.
pub fn expected(now: Time, upstream: &Upstream, usual: Duration) -> Duration {
    let mut time = usual.mul_f64(upstream.latency_ratio.get(now));
    if upstream.cold_until > now {
        time = time.max(usual.mul_f64(COLD_LATENCY_RATIO));
    }
    // Own requests beyond the slots wait for one of them.
    let queued = upstream.in_flight.len() as u32 / upstream.entry.slots.max(1);
    let wait = upstream.oldest_wait(now);
    let mut total = time * (queued + 1);
    if wait > time.mul_f64(STALL_LATENCY_RATIO) {
        // A pause lasts about as long again as it has been noticed for, as far as anyone knows.
        total += wait;
    }
    total
}

/// Chooses the upstream that is expected to reply first; `None` when there is none.
pub fn choose<'a>(
    now: Time,
    upstreams: impl Iterator<Item = (UpstreamKey, &'a Upstream)>,
    data_centre: &str,
    usual: Duration,
    rng: &mut impl Rng,
) -> Option<Candidate> {
    let mut best: Option<(Candidate, Duration)> = None;
    for (key, upstream) in upstreams {
        let expected = expected(now, upstream, usual);
        let mut cost = expected + usual.mul_f64(JITTER_SHARE * rng.random::<f64>());
        let is_local = upstream.entry.data_centre.as_str() == data_centre;
        if !is_local || !upstream.is_healthy(now) {
            cost += usual.mul_f64(REMOTE_COST);
        }
        cost += usual.mul_f64(LOSS_COST * upstream.loss_rate.get(now));
        if upstream
            .replied_at
            .is_none_or(|at| now.since(at) >= CONNECTION_KEPT)
        {
            cost += CONNECT_COST;
        }
        if best.is_none_or(|(_, lowest)| cost < lowest) {
            best = Some((Candidate { key, expected }, cost));
        }
    }
    best.map(|(candidate, _)| candidate)
}
