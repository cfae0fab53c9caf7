//! Applies changes of the catalogue, the indexes and the liveness lists to the reducer.

use std::time::Duration;

use base::{OpId, ServiceName, Time};

use crate::{
    effect::Effect,
    event::PlatformEvent,
    node::Node,
    store::{Change, Context},
};

impl Node {
    /// Handles the end of a platform call.
    pub(crate) fn on_platform(
        &mut self,
        now: Time,
        op: OpId,
        event: PlatformEvent,
        effects: &mut Vec<Effect>,
    ) {
        let mut cx = Context {
            now,
            ops: &mut self.ops,
            effects,
        };
        if let Some(claims) = self.claims.on_platform(&mut cx, op, &event) {
            return self.apply_decisions(now, claims, effects);
        }
        let changes = self.sync.on_platform(&mut cx, op, &event, &mut self.store);
        self.apply_changes(now, changes.unwrap_or_default(), effects);
    }

    /// Polls the synchronisation of watched objects and updates readiness.
    pub(crate) fn poll_sync(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let mut cx = Context {
            now,
            ops: &mut self.ops,
            effects,
        };
        self.sync.poll(&mut cx, &self.members, &self.store);
        self.initialised |= self.view.1 && self.store.head().is_some() && self.owners.is_settled();
        self.stats.ready = self.initialised && self.sync.is_ready(now, &self.store);
    }

    /// Applies changes of the store.
    pub(crate) fn apply_changes(
        &mut self,
        now: Time,
        changes: Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        if changes.is_empty() {
            return;
        }
        if changes.iter().any(|c| !matches!(c, Change::Liveness(_))) {
            self.apply_catalogue(now, effects);
        }
        let services: Vec<ServiceName> = self.directory.services().cloned().collect();
        for service in services {
            self.apply_liveness(now, &service, effects);
        }
    }

    fn apply_catalogue(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Some(head) = self.store.head().cloned() else {
            return;
        };
        let store = &self.store;
        let index = |service: &ServiceName| store.index(service).map(|index| &**index);
        let declarations = self.directory.rebuild(&head.catalogue, index);
        self.upstreams.set_declarations(declarations);
        let limits = head.catalogue.entries.iter().map(|e| (&e.name, &e.limits));
        self.admission.set_limits(now, limits);
        self.stats.revision = head.revision;
        self.assign_owners(now, effects);
    }

    /// Marks the upstreams that the liveness list of a service declares as leaving.
    fn apply_liveness(&mut self, now: Time, service: &ServiceName, effects: &mut Vec<Effect>) {
        let Some(liveness) = self.store.liveness(service) else {
            return;
        };
        let names = self.directory.names();
        let leaving: Vec<_> = liveness
            .leaving
            .iter()
            .filter_map(|name| names.get(name))
            .collect();
        for id in leaving {
            self.upstream_leaving(now, id, Duration::ZERO, effects);
        }
    }
}
