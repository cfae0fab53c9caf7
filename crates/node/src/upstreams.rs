//! What an instance knows of each upstream, and the choice of a replica.

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

/// First pause after a failed connection.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause after failed connections.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// How long an upstream's word that it lacks a snapshot is believed.
const MISSING_SNAPSHOT_TTL: Duration = Duration::from_secs(1);

/// How long an upstream counts as leaving after the last sign of it.
const LEAVING_TTL: Duration = Duration::from_secs(60);

/// Weight of the newest latency in the moving average, as a divisor.
const LATENCY_WEIGHT: u64 = 8;

/// Latency assumed of an upstream that has not replied yet, in microseconds.
const INITIAL_LATENCY_US: u64 = 1_000;

/// One upstream as this instance sees it.
#[derive(Debug)]
pub struct Upstream {
    /// Its declaration in the catalogue in force.
    pub declaration: UpstreamDeclaration,
    /// Attempts of this instance's own queries that have not ended.
    pub outstanding: u32,
    /// Slots that this instance has in use.
    pub slots_in_use: u32,
    /// Attempts that wait for a slot, oldest first; ended ones are skipped.
    pub queue: VecDeque<AttemptKey>,
    /// Whether this instance owns it or knows an instance to relay to.
    pub reachable: bool,
    latency_us: u64,
    failures: u32,
    down_until: Time,
    suspect_failed_at: Option<Time>,
    leaving_until: Option<Time>,
    leaving_since: Time,
    missing_snapshots: Vec<(SnapshotId, Time)>,
}

impl Upstream {
    /// Makes an upstream of which nothing is known but its declaration.
    pub fn new(declaration: UpstreamDeclaration) -> Self {
        Self {
            declaration,
            outstanding: 0,
            slots_in_use: 0,
            queue: VecDeque::new(),
            reachable: true,
            latency_us: INITIAL_LATENCY_US,
            failures: 0,
            down_until: Time::ZERO,
            suspect_failed_at: None,
            leaving_until: None,
            leaving_since: Time::ZERO,
            missing_snapshots: Vec::new(),
        }
    }

    /// Records a valid reply and the time it took.
    pub fn record_success(&mut self, took: Duration) {
        self.failures = 0;
        self.down_until = Time::ZERO;
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let kept = self.latency_us - self.latency_us / LATENCY_WEIGHT;
        self.latency_us = kept + took_us / LATENCY_WEIGHT;
    }

    /// Records a failure to connect or a broken connection; the upstream is avoided for a while.
    pub fn record_failure(&mut self, now: Time) {
        if self.down_until > now {
            return;
        }
        let doublings = self.failures.min(16);
        self.failures += 1;
        self.down_until = now
            + INITIAL_BACKOFF
                .saturating_mul(1 << doublings)
                .min(MAX_BACKOFF);
    }

    /// Records that a connection with a probe or a run broke: others are not to blame for it.
    pub fn record_suspect_failure(&mut self, now: Time) {
        self.suspect_failed_at = Some(now);
    }

    /// Returns whether a connection with a probe or a run has broken since `time`.
    pub fn has_suspect_failed_since(&self, time: Time) -> bool {
        self.suspect_failed_at.is_some_and(|at| at >= time)
    }

    /// Records that the upstream takes no new work; returns whether that is news.
    ///
    /// `age` is the time since the first sign.
    fn mark_leaving(&mut self, now: Time, age: Duration) -> bool {
        let is_first = !self.is_leaving(now);
        if is_first {
            self.leaving_since = now - age;
        }
        self.leaving_until = Some(now + LEAVING_TTL);
        is_first
    }

    /// Returns whether the upstream takes no new work.
    pub fn is_leaving(&self, now: Time) -> bool {
        self.leaving_until.is_some_and(|until| until > now)
    }

    /// Returns the time since the first sign that the upstream is leaving.
    pub fn leaving_age(&self, now: Time) -> Option<Duration> {
        self.is_leaving(now).then(|| now.since(self.leaving_since))
    }

    /// Returns whether recent connections failed.
    pub fn is_down(&self, now: Time) -> bool {
        self.down_until > now
    }

    /// Records that the upstream does not serve a snapshot.
    pub fn record_missing_snapshot(&mut self, now: Time, snapshot: SnapshotId) {
        self.missing_snapshots
            .retain(|&(id, until)| id != snapshot && until > now);
        self.missing_snapshots
            .push((snapshot, now + MISSING_SNAPSHOT_TTL));
    }

    /// Returns whether the upstream is known to serve no such snapshot.
    pub fn is_missing_snapshot(&self, now: Time, snapshot: SnapshotId) -> bool {
        self.missing_snapshots
            .iter()
            .any(|&(id, until)| id == snapshot && until > now)
    }

    /// Returns whether the upstream may be asked for a snapshot, were its connections to work.
    fn is_eligible(&self, now: Time, snapshot: SnapshotId) -> bool {
        self.reachable && !self.is_leaving(now) && !self.is_missing_snapshot(now, snapshot)
    }

    /// Returns the expected wait of one more attempt, in microseconds, for comparison.
    fn load(&self) -> u64 {
        u64::from(self.outstanding + 1) * self.latency_us
    }

    /// Returns the expected wait for a slot at this instance.
    pub fn expected_wait(&self) -> Duration {
        let ahead = u64::try_from(self.queue.len()).unwrap_or(u64::MAX);
        let slots = u64::from(self.declaration.slots.max(1));
        Duration::from_micros(ahead.saturating_mul(self.latency_us) / slots)
    }
}

/// All upstreams by number.
#[derive(Debug, Default)]
pub struct Upstreams {
    list: Vec<Option<Upstream>>,
    /// Upstreams that were leaving when the last one was added, and that one.
    leaving: BTreeSet<UpstreamId>,
}

/// What a choice of a replica must take into account.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaCriteria<'a> {
    /// Upstreams that hold the shard.
    pub replicas: &'a [UpstreamId],
    /// Snapshot that must be served.
    pub snapshot: SnapshotId,
    /// Data centre that is preferred.
    pub home: &'a DataCentre,
}

impl Upstreams {
    /// Returns an upstream that the catalogue in force declares.
    pub fn get(&self, id: UpstreamId) -> Option<&Upstream> {
        self.list.get(id.index())?.as_ref()
    }

    /// Returns an upstream that the catalogue in force declares.
    pub fn get_mut(&mut self, id: UpstreamId) -> Option<&mut Upstream> {
        self.list.get_mut(id.index())?.as_mut()
    }

    /// Returns all declared upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.list.iter().flatten()
    }

    /// Returns all declared upstreams.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.list.iter_mut().flatten()
    }

    /// Records a sign that an upstream takes no new work; returns whether it is the first one.
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

    /// Returns the upstreams that take no new work, with the time since the first sign of it.
    pub fn leaving(&self, now: Time) -> impl Iterator<Item = (UpstreamId, Duration)> {
        let leaving = self.leaving.iter().copied();
        leaving.filter_map(move |id| Some((id, self.get(id)?.leaving_age(now)?)))
    }

    /// Takes the declarations in force; what is known of upstreams that stay is kept.
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

    /// Returns whether an upstream can be asked for a snapshot now.
    pub fn can_serve(&self, now: Time, id: UpstreamId, snapshot: SnapshotId) -> bool {
        self.get(id)
            .is_some_and(|u| u.is_eligible(now, snapshot) && !u.is_down(now))
    }

    /// Returns whether an upstream may be asked once everything better has been.
    fn is_eligible(&self, now: Time, id: UpstreamId, snapshot: SnapshotId) -> bool {
        self.get(id).is_some_and(|u| u.is_eligible(now, snapshot))
    }

    /// Chooses the less loaded of two random candidates, from the home data centre if it has one.
    ///
    /// An upstream whose connections fail is chosen only when `desperate`.
    pub fn choose(
        &self,
        now: Time,
        criteria: ReplicaCriteria<'_>,
        allow_down: bool,
        skip: impl Fn(UpstreamId) -> bool,
        rng: &mut SmallRng,
    ) -> Option<UpstreamId> {
        let usable = |id: &UpstreamId| !skip(*id) && self.can_serve(now, *id, criteria.snapshot);
        let is_local = |id: &UpstreamId| {
            self.get(*id)
                .is_some_and(|u| u.declaration.data_centre == *criteria.home)
        };
        let home = pick_two(
            criteria
                .replicas
                .iter()
                .copied()
                .filter(|id| is_local(id) && usable(id)),
            rng,
        );
        let candidates =
            home.or_else(|| pick_two(criteria.replicas.iter().copied().filter(usable), rng));
        match candidates {
            Some((a, b)) => Some(self.less_loaded(a, b)),
            None if allow_down => criteria
                .replicas
                .iter()
                .copied()
                .filter(|id| !skip(*id) && self.is_eligible(now, *id, criteria.snapshot))
                .min_by_key(|id| self.get(*id).map(|u| u.down_until)),
            None => None,
        }
    }

    fn less_loaded(&self, a: UpstreamId, b: UpstreamId) -> UpstreamId {
        let load = |id| self.get(id).map_or(u64::MAX, Upstream::load);
        if load(b) < load(a) { b } else { a }
    }
}

/// Picks two of the candidates at random; both are the same when there is only one.
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
