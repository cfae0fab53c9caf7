//! Limits that upstreams name: their start, shares and end, and what is sent to those upstreams.

use base::{DataCentre, Time, UpstreamName};

use super::Tier;
use crate::{
    effect::{Effect, Note},
    event::Protocol,
    limit::{Limit, RequestRate},
    upstream::{Entry, UpstreamKey},
};

/// Change of a limit, relative to the one before, from which it is reported.
const REPORTED_CHANGE: f64 = 0.2;

/// Share of its requests that an instance is assumed to send to upstreams other than the preferred
/// ones.
const OTHERS_SHARE: f64 = 0.2;

impl<C: Protocol> Tier<C> {
    /// Returns this instance's share of the limit of an upstream: that of the requests which it is
    /// expected to send there, if every instance has as many callers.
    ///
    /// Instances prefer replicas in their own data centre. Searches are run by the instances that
    /// have the CPU time for them, and those of data centres without a replica by a branch
    /// instance.
    fn limit_share(&self, of: &Entry) -> f64 {
        self.known_share(of).unwrap_or(self.assumed_share())
    }

    /// Returns that share; `None` if the instances are not known.
    pub(super) fn known_share(&self, of: &Entry) -> Option<f64> {
        let (mut replicas, mut local_replicas) = (0.0, 0.0);
        let mut data_centres: Vec<&DataCentre> = Vec::new();
        for (_, upstream) in self.directory.of(&of.service) {
            let data_centre = &upstream.entry.data_centre;
            replicas += 1.0;
            if *data_centre == of.data_centre {
                local_replicas += 1.0;
            }
            if !data_centres.contains(&data_centre) {
                data_centres.push(data_centre);
            }
        }
        let own = self.local_instance();
        let search = self.config.as_ref().and_then(|it| it.search(&of.service));
        let weight = |data_centre: &str, cpu_share| {
            let has_replica = || data_centres.iter().any(|it| it.as_str() == data_centre);
            let preferred = match data_centre == of.data_centre.as_str() {
                true => 1.0 / local_replicas,
                false if search.is_none() && !has_replica() => 1.0 / replicas,
                false => OTHERS_SHARE / replicas,
            };
            let runs = match search {
                None => 1.0,
                Some(search) if self.instances.hands_over(cpu_share, search) => {
                    cpu_share * OTHERS_SHARE
                }
                Some(_) => cpu_share,
            };
            preferred * runs
        };
        self.instances.weighted_share(own, weight)
    }

    /// Divides all limits anew after a change of the instances, and what cold upstreams bear.
    pub(super) fn divide_limits(&mut self, now: Time) {
        for key in self.directory.limited() {
            let share = self
                .directory
                .get(key)
                .map(|it| self.limit_share(&it.entry));
            let share = share.unwrap_or_default();
            let cold_share = self.cold_share(key);
            let Some(upstream) = self.directory.get_mut(key) else {
                continue;
            };
            if let Some(limit) = &mut upstream.limit {
                limit.set_share(now, share);
            }
            if let Some(cold) = &mut upstream.cold {
                cold.set_share(now, cold_share);
            }
        }
    }

    /// Applies the limit that an upstream incarnation names in a reply.
    pub(super) fn on_limit_named(
        &mut self,
        now: Time,
        name: UpstreamName,
        started_ms: u64,
        rate: RequestRate,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(key) = self.directory.incarnation(&name, started_ms) else {
            return;
        };
        let Some(upstream) = self.directory.get(key) else {
            return;
        };
        let share = self.limit_share(&upstream.entry);
        let Some(upstream) = self.directory.get_mut(key) else {
            return;
        };
        let before = upstream.limit.as_ref().map(Limit::rate);
        match &mut upstream.limit {
            Some(limit) => limit.rename(now, rate, share),
            None => upstream.limit = Some(Limit::new(now, rate, share, &mut self.rng)),
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

    /// Takes an attempt from the limit that its upstream names, and from what it bears while it is
    /// cold.
    pub(super) fn take_limited(
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
        if let Some(cold) = &mut upstream.cold {
            cold.take(now);
        }
        let Some(limit) = &mut upstream.limit else {
            return;
        };
        limit.take(now);
        if let Some((load, time)) = limit.count(now, is_first, is_for_other) {
            let name = upstream.entry.name.clone();
            effects.push(Effect::Note(Note::LimitedUpstreamLoad(name, load, time)));
        }
    }
}
