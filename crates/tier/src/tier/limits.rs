//! Limits that upstreams name: what was sent to them, and their end.

use base::{Time, UpstreamName};

use super::Tier;
use crate::{
    effect::{Effect, Note},
    event::Protocol,
    limit::{Limit, RequestRate},
    upstream::UpstreamKey,
};

/// Change of a limit, relative to the one before, from which it is reported.
const REPORTED_CHANGE: f64 = 0.2;

impl<C: Protocol> Tier<C> {
    /// Applies the limit that an upstream incarnation names in a reply.
    pub(super) fn on_limit_named(
        &mut self,
        now: Time,
        name: UpstreamName,
        started_ms: u64,
        rate: RequestRate,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(upstream) = self.directory.incarnation_mut(&name, started_ms) else {
            return;
        };
        let before = upstream.limit.as_ref().map(Limit::rate);
        match &mut upstream.limit {
            Some(limit) => limit.rename(now, rate),
            None => upstream.limit = Some(Limit::new(now, rate)),
        }
        let is_close = |before: RequestRate| {
            let change = (rate.per_second() - before.per_second()).abs();
            change <= before.per_second() * REPORTED_CHANGE
        };
        if !before.is_some_and(is_close) {
            effects.push(Effect::Note(Note::UpstreamLimited(name, rate)));
        }
    }

    /// Ends the limit of an upstream after a reply that names none, to a request sent at `sent`.
    pub(super) fn end_unnamed_limit(
        &mut self,
        key: UpstreamKey,
        sent: Time,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(upstream) = self.directory.get_mut(key) else {
            return;
        };
        let is_ended = |limit: &mut Limit| limit.is_ended_by(sent);
        if upstream.limit.take_if(is_ended).is_some() {
            let name = upstream.entry.name.clone();
            effects.push(Effect::Note(Note::LimitEnded(name)));
        }
    }

    /// Counts an attempt if its upstream names a limit.
    pub(super) fn count_limited(
        &mut self,
        now: Time,
        key: UpstreamKey,
        is_first: bool,
        is_for_other: bool,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(upstream) = self.directory.get_mut(key) else {
            return;
        };
        let limit = upstream.limit.as_mut();
        if let Some((load, time)) = limit.and_then(|it| it.count(now, is_first, is_for_other)) {
            let name = upstream.entry.name.clone();
            effects.push(Effect::Note(Note::LimitedUpstreamLoad(name, load, time)));
        }
    }
}
