//! Admission of searches and the choice of their snapshot.

use std::{rc::Rc, time::Duration};

use base::{CallId, Time};
use cat::Class;

use super::NewSearch;
use crate::{
    directory::{ServicePlan, SnapshotPlan, UpstreamId},
    effect::{Answer, Effect, Reason, Refusal},
    node::Node,
    quarantine::fingerprint,
    search_state::{NewSearchState, SearchState},
};

/// Part of the deadline that is reserved for merging and writing the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(4);

/// Retry-after time while the instance is not ready.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Node {
    /// Admits and starts a search, or refuses it.
    pub(crate) fn search(
        &mut self,
        now: Time,
        call: CallId,
        new: NewSearch,
        effects: &mut Vec<Effect>,
    ) {
        match self.plan(now, call, new) {
            Ok(search) => self.start(now, search, effects),
            Err(refusal) => effects.push(Effect::Answer(call, Answer::Refused(refusal))),
        }
    }

    /// Checks and admits a search, and chooses its snapshot.
    pub(super) fn plan(
        &mut self,
        now: Time,
        call: CallId,
        new: NewSearch,
    ) -> Result<SearchState, Refusal> {
        let refuse = |reason, retry_after| {
            Err(Refusal {
                reason,
                retry_after,
            })
        };
        self.check_serving()?;
        let Some(entry) = self.directory.entry(&new.entry).cloned() else {
            return refuse(Reason::NoEntry, None);
        };
        let limits = &entry.declaration.limits;
        if entry.declaration.class == Class::Once {
            return refuse(Reason::WrongClass, None);
        }
        if new.body.len() as u64 > limits.body.0 {
            return refuse(Reason::BodySize, None);
        }
        let fingerprint = fingerprint(&entry.service.name, &new.body);
        if let Some(left) = self.quarantine.remaining(now, fingerprint) {
            return refuse(Reason::Quarantined, Some(left));
        }
        let Some(snapshot) = self.choose_snapshot(now, &entry.service) else {
            return refuse(Reason::NoSnapshot, Some(NOT_READY_RETRY_AFTER));
        };
        let allowed = new.deadline.unwrap_or(limits.deadline).min(limits.deadline);
        if allowed <= ANSWER_MARGIN {
            return refuse(Reason::DeadlinePassed, None);
        }
        self.admission
            .admit(now, &entry.declaration.name, &entry.service.name)?;
        Ok(SearchState::new(NewSearchState {
            call,
            request: new.request,
            entry,
            snapshot,
            arrived: now,
            deadline: now + (allowed - ANSWER_MARGIN),
            body: new.body,
            fingerprint,
        }))
    }

    /// Returns a refusal while the instance is not ready or is shutting down.
    pub(crate) fn check_serving(&self) -> Result<(), Refusal> {
        if self.stats.draining {
            return Err(Refusal {
                reason: Reason::Draining,
                retry_after: Some(NOT_READY_RETRY_AFTER),
            });
        }
        if !self.stats.ready {
            return Err(Refusal {
                reason: Reason::NotReady,
                retry_after: Some(NOT_READY_RETRY_AFTER),
            });
        }
        Ok(())
    }

    /// Returns the newest snapshot whose shards can all be served, or else the one with the fewest
    /// shards that cannot.
    pub(super) fn choose_snapshot(
        &self,
        now: Time,
        service: &ServicePlan,
    ) -> Option<Rc<SnapshotPlan>> {
        let mut best: Option<(usize, &Rc<SnapshotPlan>)> = None;
        for snapshot in &service.snapshots {
            let unserved = self.count_unserved_shards(now, snapshot);
            if unserved == 0 {
                return Some(Rc::clone(snapshot));
            }
            if best.is_none_or(|(fewest, _)| unserved < fewest) {
                best = Some((unserved, snapshot));
            }
        }
        best.map(|(_, snapshot)| Rc::clone(snapshot))
    }

    /// Counts the shards of a snapshot that no upstream can serve.
    pub(super) fn count_unserved_shards(&self, now: Time, snapshot: &SnapshotPlan) -> usize {
        let served = |id: &UpstreamId| self.upstreams.can_serve(now, *id, snapshot.id);
        snapshot
            .shards
            .iter()
            .filter(|shard| !shard.replicas.iter().any(served))
            .count()
    }
}
