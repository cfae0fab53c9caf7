//! Cold upstreams: how an instance learns that one is cold, and when it is warm again.

use base::{Time, UpstreamName};

use super::Tier;
use crate::{
    cold::{self, Cold, Source, Tolerance},
    crash::suspicion::ProbeResult,
    effect::{Effect, Note},
    event::Protocol,
    limit::RequestRate,
    reachability::PROBE_INTERVAL,
    timers::Due,
    upstream::UpstreamKey,
};

impl<C: Protocol> Tier<C> {
    /// Returns the pace at which a service's cold upstreams get requests; `None` if they bear any
    /// rate.
    fn cold_pace(&self, key: UpstreamKey) -> Option<RequestRate> {
        let upstream = self.directory.get(key)?;
        let config = self.config.as_ref()?;
        let rate = config.service(&upstream.entry.service)?.cold_rate?;
        let tolerance = Tolerance {
            overage: self.settings.cold_overage,
            slack: self.settings.cold_slack,
        };
        Some(cold::pace(rate, tolerance))
    }

    /// Returns this instance's share of the pace of a cold upstream: none while the instances are
    /// not known, as too high a share would be taken by each of them.
    pub(super) fn cold_share(&self, key: UpstreamKey) -> f64 {
        let upstream = self.directory.get(key);
        let known = upstream.and_then(|it| self.known_share(&it.entry));
        known.unwrap_or(0.0)
    }

    /// Applies the coldness that an upstream's entry names, or names no more.
    pub(super) fn apply_coldness(
        &mut self,
        now: Time,
        name: &UpstreamName,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(key) = self.directory.named(name) else {
            return;
        };
        let Some(upstream) = self.directory.get(key) else {
            return;
        };
        let mut until = upstream.cold_until;
        match &upstream.cold {
            None if until <= now => return,
            // The entry may have been written before the upstream was out of reach.
            Some(cold) if cold.until().is_none() && until <= now => return,
            // It may also be older than the reply.
            Some(cold) if cold.source() == Source::Reply => {
                until = until.max(cold.until().unwrap_or(until));
            }
            _ => {}
        }
        self.set_cold(now, key, Source::Entry, Some(until), effects);
    }

    /// Applies the coldness that an upstream names in a reply.
    pub(super) fn on_cold_reply(
        &mut self,
        now: Time,
        name: &UpstreamName,
        started_ms: u64,
        until: Time,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(key) = self.directory.incarnation(name, started_ms) else {
            return;
        };
        if let Some(upstream) = self.directory.get_mut(key) {
            upstream.cold_until = until;
        }
        self.set_cold(now, key, Source::Reply, Some(until), effects);
    }

    /// Takes an upstream for cold until it says that it is not: it has been out of reach, and may
    /// have started anew since. The next check of it asks.
    pub(super) fn presume_cold(
        &mut self,
        now: Time,
        key: UpstreamKey,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(upstream) = self.directory.get(key) else {
            return;
        };
        let check_at = upstream.ejected_until.max(now);
        let is_presumed = upstream
            .cold
            .as_ref()
            .is_some_and(|it| it.until().is_none());
        self.set_cold(now, key, Source::Silence, None, effects);
        let is_cold = self.directory.get(key).is_some_and(|it| it.cold.is_some());
        if is_cold && !is_presumed {
            self.timers.set(check_at, Due::CheckCold(key));
        }
    }

    /// Asks an upstream that is presumed cold whether it is.
    pub(super) fn on_cold_check_due(
        &mut self,
        now: Time,
        key: UpstreamKey,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(upstream) = self.directory.get(key) else {
            return;
        };
        if upstream.cold.as_ref().is_none_or(|it| it.until().is_some()) {
            return;
        }
        if upstream.ejected_until > now {
            self.timers.set(upstream.ejected_until, Due::CheckCold(key));
            return;
        }
        let check = self.reply_check(key, &upstream.entry);
        effects.push(Effect::CheckReply(check));
    }

    /// Handles the result of a check of an upstream that is presumed cold. What its reply said of
    /// coldness was handled before.
    pub(super) fn on_presumed_cold_checked(
        &mut self,
        now: Time,
        key: UpstreamKey,
        result: ProbeResult,
        effects: &mut Vec<Effect<C>>,
    ) {
        let is_cut_off = self.reachability.is_cut_off() || self.reachability.lacks_shards();
        let Some(upstream) = self.directory.get_mut(key) else {
            return;
        };
        if upstream.cold.as_ref().is_none_or(|it| it.until().is_some()) {
            return;
        }
        if result == ProbeResult::Accepted {
            return self.on_presumed_cold_replied(now, key, effects);
        }
        // The checks take the place of requests, and become as rare as those would.
        if !is_cut_off && result != ProbeResult::Unsent {
            upstream.failed(now, true);
        }
        let next = upstream.ejected_until.max(now + PROBE_INTERVAL);
        self.timers.set(next, Due::CheckCold(key));
    }

    /// Ends the presumption that an upstream is cold with its first reply: it may have started a
    /// moment before.
    pub(super) fn on_presumed_cold_replied(
        &mut self,
        now: Time,
        key: UpstreamKey,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(upstream) = self.directory.get(key) else {
            return;
        };
        if upstream.cold.as_ref().is_none_or(|it| it.until().is_some()) {
            return;
        }
        let config = self.config.as_ref();
        let service = config.and_then(|it| it.service(&upstream.entry.service));
        let until = now + service.map(|it| it.cold_time).unwrap_or_default();
        self.set_cold(now, key, Source::Silence, Some(until), effects);
    }

    /// Sets until when an upstream is cold, `None` for a time that is not known.
    fn set_cold(
        &mut self,
        now: Time,
        key: UpstreamKey,
        source: Source,
        until: Option<Time>,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(pace) = self.cold_pace(key) else {
            return;
        };
        let share = self.cold_share(key);
        let Some(upstream) = self.directory.get_mut(key) else {
            return;
        };
        let name = upstream.entry.name.clone();
        match (&mut upstream.cold, until) {
            (None, Some(until)) if until <= now => return,
            (Some(cold), until) => cold.renew(source, until),
            (None, until) => {
                let cold = Cold::new(now, pace, share, source, until, &mut self.rng);
                upstream.cold = Some(cold);
                let left = until.map(|until| until.since(now));
                effects.push(Effect::Note(Note::UpstreamCold(name, source, left, pace)));
            }
        }
        if let Some(until) = until {
            self.timers.set(until.max(now), Due::Warm(key));
        }
    }

    /// Ends the coldness of an upstream when it is over.
    pub(super) fn on_warm_due(
        &mut self,
        now: Time,
        key: UpstreamKey,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(upstream) = self.directory.get_mut(key) else {
            return;
        };
        if let Some(cold) = upstream.cold.take_if(|it| it.is_over(now)) {
            let name = upstream.entry.name.clone();
            effects.push(Effect::Note(Note::UpstreamWarm(name, cold.summary(now))));
        }
    }

    /// Applies a changed configuration to the upstreams that are cold.
    pub(super) fn review_cold(&mut self, now: Time, effects: &mut Vec<Effect<C>>) {
        for key in self.directory.cold(now) {
            let pace = self.cold_pace(key);
            let Some(upstream) = self.directory.get_mut(key) else {
                continue;
            };
            if pace.is_none() {
                upstream.cold = None;
            }
            let name = upstream.entry.name.clone();
            self.apply_coldness(now, &name, effects);
        }
    }
}
