//! State of each upstream as this instance sees it, and the choice of a replica.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use base::{DataCentre, SnapshotId, Time};
use rand::{Rng, rngs::SmallRng};

use crate::{
    attempt::AttemptKey,
    directory::{UpstreamDeclaration, UpstreamId},
};

/// Duration of the first ejection of an upstream.
const EJECTION_MIN: Duration = Duration::from_millis(100);

/// Maximum duration of an ejection; each one in a row is twice as long as the one before.
const EJECTION_MAX: Duration = Duration::from_secs(5);

/// Time for which no request for a snapshot is sent to an upstream that reported not to serve it.
const MISSING_SNAPSHOT_TTL: Duration = Duration::from_secs(1);

/// Time for which an upstream counts as leaving after the last report of it.
const LEAVING_TTL: Duration = Duration::from_secs(60);

/// Weight of the newest sample in the moving average of the latency, as a divisor.
const LATENCY_WEIGHT: u64 = 8;

/// Latency that is assumed before the first reply of an upstream, in microseconds.
const INITIAL_LATENCY_US: u64 = 1_000;

/// State of one upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Declaration of the upstream in the current catalogue.
    pub declaration: UpstreamDeclaration,
    /// Unfinished attempts of requests from this instance's own callers.
    pub outstanding: u32,
    /// Slots of the upstream that attempts of this instance occupy.
    pub slots_in_use: u32,
    /// Attempts that wait for a slot, oldest first; ended ones are skipped when they are taken out.
    pub queue: VecDeque<AttemptKey>,
    /// Whether this instance owns the upstream or knows a peer to relay to.
    pub reachable: bool,
    latency_us: u64,
    failures: u32,
    ejected_until: Time,
    suspect_failed_at: Option<Time>,
    leaving_until: Option<Time>,
    leaving_since: Time,
    missing_snapshots: Vec<(SnapshotId, Time)>,
}

impl Upstream {
    /// Creates the state of an upstream that has not been used yet.
    pub fn new(declaration: UpstreamDeclaration) -> Self {
        Self {
            declaration,
            outstanding: 0,
            slots_in_use: 0,
            queue: VecDeque::new(),
            reachable: true,
            latency_us: INITIAL_LATENCY_US,
            failures: 0,
            ejected_until: Time::ZERO,
            suspect_failed_at: None,
            leaving_until: None,
            leaving_since: Time::ZERO,
            missing_snapshots: Vec::new(),
        }
    }

    /// Records a valid reply and its latency.
    pub fn record_success(&mut self, took: Duration) {
        self.failures = 0;
        self.ejected_until = Time::ZERO;
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let kept = self.latency_us - self.latency_us / LATENCY_WEIGHT;
        self.latency_us = kept + took_us / LATENCY_WEIGHT;
    }

    /// Records a failure to connect or a broken connection, and ejects the upstream.
    pub fn record_failure(&mut self, now: Time) {
        if self.ejected_until > now {
            return;
        }
        let doublings = self.failures.min(16);
        self.failures += 1;
        self.ejected_until = now
            + EJECTION_MIN
                .saturating_mul(1 << doublings)
                .min(EJECTION_MAX);
    }

    /// Records that the connection broke under a suspect attempt, which is the likely cause.
    pub fn record_suspect_failure(&mut self, now: Time) {
        self.suspect_failed_at = Some(now);
    }

    /// Returns whether a connection has broken under a suspect attempt since `time`.
    pub fn has_suspect_failed_since(&self, time: Time) -> bool {
        self.suspect_failed_at.is_some_and(|at| at >= time)
    }

    /// Records a report that the upstream is leaving; returns whether it is the first one.
    ///
    /// `age` is the time since the upstream was first reported as leaving, by any instance.
    fn mark_leaving(&mut self, now: Time, age: Duration) -> bool {
        let is_first = !self.is_leaving(now);
        if is_first {
            self.leaving_since = now - age;
        }
        self.leaving_until = Some(now + LEAVING_TTL);
        is_first
    }

    /// Returns whether the upstream is leaving and must get no new requests.
    pub fn is_leaving(&self, now: Time) -> bool {
        self.leaving_until.is_some_and(|until| until > now)
    }

    /// Returns the time since the upstream was first reported as leaving.
    pub fn leaving_age(&self, now: Time) -> Option<Duration> {
        self.is_leaving(now).then(|| now.since(self.leaving_since))
    }

    /// Returns whether the upstream is ejected after failed connections.
    pub fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until > now
    }

    /// Records that the upstream reported not to serve a snapshot.
    pub fn record_missing_snapshot(&mut self, now: Time, snapshot: SnapshotId) {
        self.missing_snapshots
            .retain(|&(id, until)| id != snapshot && until > now);
        self.missing_snapshots
            .push((snapshot, now + MISSING_SNAPSHOT_TTL));
    }

    /// Returns whether the upstream recently reported not to serve a snapshot.
    pub fn is_missing_snapshot(&self, now: Time, snapshot: SnapshotId) -> bool {
        self.missing_snapshots
            .iter()
            .any(|&(id, until)| id == snapshot && until > now)
    }

    /// Returns whether the upstream can serve a snapshot, apart from an ejection.
    fn is_eligible(&self, now: Time, snapshot: SnapshotId) -> bool {
        self.reachable && !self.is_leaving(now) && !self.is_missing_snapshot(now, snapshot)
    }

    /// Returns the expected latency of another attempt, in microseconds, to compare replicas by.
    fn load(&self) -> u64 {
        u64::from(self.outstanding + 1) * self.latency_us
    }

    /// Returns the expected wait of another attempt for a slot.
    pub fn expected_wait(&self) -> Duration {
        let ahead = u64::try_from(self.queue.len()).unwrap_or(u64::MAX);
        let slots = u64::from(self.declaration.slots.max(1));
        Duration::from_micros(ahead.saturating_mul(self.latency_us) / slots)
    }
}

/// All upstreams, by identifier.
#[derive(Debug, Default)]
pub struct Upstreams {
    list: Vec<Option<Upstream>>,
    /// Leaving upstreams; ones that are not leaving any more are removed when one is added.
    leaving: BTreeSet<UpstreamId>,
}

/// Requirements for the choice of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaCriteria<'a> {
    /// Upstreams that hold the shard.
    pub replicas: &'a [UpstreamId],
    /// Snapshot that the replica must serve.
    pub snapshot: SnapshotId,
    /// Preferred data centre, the one of this instance.
    pub data_centre: &'a DataCentre,
}

impl Upstreams {
    /// Returns an upstream, if the current catalogue declares it.
    pub fn get(&self, id: UpstreamId) -> Option<&Upstream> {
        self.list.get(id.index())?.as_ref()
    }

    /// Returns an upstream, if the current catalogue declares it.
    pub fn get_mut(&mut self, id: UpstreamId) -> Option<&mut Upstream> {
        self.list.get_mut(id.index())?.as_mut()
    }

    /// Returns all upstreams that the current catalogue declares.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.list.iter().flatten()
    }

    /// Returns all upstreams that the current catalogue declares.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.list.iter_mut().flatten()
    }

    /// Records a report that an upstream is leaving; returns whether it is the first one.
    ///
    /// `age` is the time since the upstream was first reported as leaving, by any instance.
    pub fn mark_leaving(&mut self, now: Time, id: UpstreamId, age: Duration) -> bool {
        let is_first = self.get_mut(id).is_some_and(|u| u.mark_leaving(now, age));
        if is_first {
            let mut leaving = std::mem::take(&mut self.leaving);
            leaving.retain(|id| self.get(*id).is_some_and(|u| u.is_leaving(now)));
            leaving.insert(id);
            self.leaving = leaving;
        }
        is_first
    }

    /// Returns the leaving upstreams, with the time since each was first reported as leaving.
    pub fn leaving(&self, now: Time) -> impl Iterator<Item = (UpstreamId, Duration)> {
        let leaving = self.leaving.iter().copied();
        leaving.filter_map(move |id| Some((id, self.get(id)?.leaving_age(now)?)))
    }

    /// Replaces the declarations; upstreams that are still declared keep their state.
    pub fn set_declarations(&mut self, declarations: Vec<UpstreamDeclaration>) {
        let mut old = std::mem::take(&mut self.list);
        for declaration in declarations {
            let index = declaration.id.index();
            if self.list.len() <= index {
                self.list.resize_with(index + 1, || None);
            }
            let known = old.get_mut(index).and_then(Option::take);
            self.list[index] = Some(match known {
                Some(known) => Upstream {
                    declaration,
                    ..known
                },
                None => Upstream::new(declaration),
            });
        }
    }

    /// Returns whether an upstream can serve a snapshot and is not ejected.
    pub fn can_serve(&self, now: Time, id: UpstreamId, snapshot: SnapshotId) -> bool {
        self.get(id)
            .is_some_and(|u| u.is_eligible(now, snapshot) && !u.is_ejected(now))
    }

    /// Returns whether an upstream can serve a snapshot, apart from an ejection.
    fn is_eligible(&self, now: Time, id: UpstreamId, snapshot: SnapshotId) -> bool {
        self.get(id).is_some_and(|u| u.is_eligible(now, snapshot))
    }

    /// Chooses the less loaded of two random candidates, in the local data centre if it has any.
    ///
    /// With no candidate left, `allow_ejected` permits an ejected upstream: the one whose ejection
    /// ends first.
    pub fn choose(
        &self,
        now: Time,
        criteria: ReplicaCriteria<'_>,
        allow_ejected: bool,
        skip: impl Fn(UpstreamId) -> bool,
        rng: &mut SmallRng,
    ) -> Option<UpstreamId> {
        let usable = |id: &UpstreamId| !skip(*id) && self.can_serve(now, *id, criteria.snapshot);
        let is_local = |id: &UpstreamId| {
            self.get(*id)
                .is_some_and(|u| u.declaration.data_centre == *criteria.data_centre)
        };
        let local = pick_two(
            criteria
                .replicas
                .iter()
                .copied()
                .filter(|id| is_local(id) && usable(id)),
            rng,
        );
        let candidates =
            local.or_else(|| pick_two(criteria.replicas.iter().copied().filter(usable), rng));
        match candidates {
            Some((a, b)) => Some(self.less_loaded(a, b)),
            None if allow_ejected => criteria
                .replicas
                .iter()
                .copied()
                .filter(|id| !skip(*id) && self.is_eligible(now, *id, criteria.snapshot))
                .min_by_key(|id| self.get(*id).map(|u| u.ejected_until)),
            None => None,
        }
    }

    fn less_loaded(&self, a: UpstreamId, b: UpstreamId) -> UpstreamId {
        let load = |id| self.get(id).map_or(u64::MAX, Upstream::load);
        if load(b) < load(a) { b } else { a }
    }
}

/// Picks two distinct candidates at random, or the same one twice if there is only one.
fn pick_two(
    candidates: impl Iterator<Item = UpstreamId>,
    rng: &mut SmallRng,
) -> Option<(UpstreamId, UpstreamId)> {
    let mut picked: [Option<UpstreamId>; 2] = [None, None];
    for (seen, id) in candidates.enumerate() {
        if seen < 2 {
            picked[seen] = Some(id);
            continue;
        }
        let place = rng.random_range(0..=seen);
        if place < 2 {
            picked[place] = Some(id);
        }
    }
    match picked {
        [Some(a), Some(b)] if rng.random() => Some((b, a)),
        [Some(a), Some(b)] => Some((a, b)),
        [Some(a), None] => Some((a, a)),
        _ => None,
    }
}
