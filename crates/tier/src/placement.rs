//! Placement: chooses the upstream that a part is sent to.
//!
//! Load pattern: a shard has two or three replicas, and one of them is paused, slow, cold, full or
//! dead, while each instance sends a replica only a few requests a second, or a few a minute with
//! many instances. Requests in flight reveal a pause at once, latency ratios reveal slow replicas,
//! and a small advantage for local replicas keeps traffic inside the data centre.

use std::time::Duration;

use base::Time;
use rand::Rng;

use crate::{
    mechanism::{Disabled, Mechanism},
    upstream::{Upstream, UpstreamKey},
};

/// Cost of an upstream that is unhealthy or in another data centre, as a multiple of the mean
/// latency.
const REMOTE_COST: f64 = 1.0;

/// Minimum latency ratio that is expected of a cold upstream, one that has just started.
const COLD_LATENCY_RATIO: f64 = 1.6;

/// Multiple of the expected latency after which the oldest attempt in flight indicates a paused
/// upstream.
const STALL_LATENCY_RATIO: f64 = 3.0;

/// Time since the last reply for which an idle connection is assumed to be kept open.
const CONNECTION_KEPT: Duration = Duration::from_secs(3);

/// Cost of a new connection: it occupies a slot and takes CPU time on both sides.
const CONNECT_COST: Duration = Duration::from_millis(8);

/// Cost of an upstream that loses every reply, as a multiple of the mean latency: each lost reply
/// takes up the only second attempt of a part.
const LOSS_COST: f64 = 8.0;

/// Maximum random cost, as a share of the mean latency, so that instances do not all choose the
/// same upstream.
const JITTER_SHARE: f64 = 0.15;

/// A candidate upstream and its expected latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub key: UpstreamKey,
    /// Expected time until its reply.
    pub expected: Duration,
}

/// From where upstreams are chosen, and by what.
#[derive(Clone, Copy, Debug)]
pub struct Chooser<'a> {
    /// The local data centre.
    pub data_centre: &'a str,
    /// Mechanisms that are switched off.
    pub disabled: Disabled,
}

/// Returns the expected time until an upstream replies to a request sent now.
fn expected(
    now: Time,
    upstream: &Upstream,
    mean_latency: Duration,
    disabled: Disabled,
) -> Duration {
    let ratio = match disabled.allows(Mechanism::LatencyPlacement) {
        true => upstream.latency_ratio.get(now),
        false => 1.0,
    };
    let mut time = mean_latency.mul_f64(ratio);
    if upstream.cold_until > now {
        time = time.max(mean_latency.mul_f64(COLD_LATENCY_RATIO));
    }
    // Requests beyond the slots are queued; without a report, only this instance's own are known.
    let own = upstream.in_flight.len();
    let slots = upstream.entry.slots.max(1);
    let queued = match upstream.load.and_then(|load| load.at(now)) {
        None => own as u32 / slots,
        Some(load) => {
            time = time.mul_f64(load.slowdown);
            ((own as f64 + load.others) / f64::from(slots)) as u32
        }
    };
    let wait = upstream.oldest_wait(now);
    let mut total = time * (queued + 1);
    if wait > time.mul_f64(STALL_LATENCY_RATIO) {
        // Without other information, a pause is expected to last as long again as it has so far.
        total += wait;
    }
    total
}

/// Chooses the upstream with the lowest cost; `None` if there are no upstreams.
pub fn choose<'a>(
    now: Time,
    upstreams: impl Iterator<Item = (UpstreamKey, &'a Upstream)>,
    chooser: Chooser<'_>,
    mean_latency: Duration,
    rng: &mut impl Rng,
) -> Option<Candidate> {
    let mut best: Option<(Candidate, Duration)> = None;
    for (key, upstream) in upstreams {
        let expected = expected(now, upstream, mean_latency, chooser.disabled);
        let mut cost = expected + mean_latency.mul_f64(JITTER_SHARE * rng.random::<f64>());
        let is_local = upstream.entry.data_centre.as_str() == chooser.data_centre
            || !chooser.disabled.allows(Mechanism::LocalPlacement);
        if !is_local || !upstream.is_healthy(now) {
            cost += mean_latency.mul_f64(REMOTE_COST);
        }
        if chooser.disabled.allows(Mechanism::LossPlacement) {
            cost += mean_latency.mul_f64(LOSS_COST * upstream.loss_rate.get(now));
        }
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
