//! Updates from the platform: configurations, upstream entries and the platform's availability;
//! also reachability checks and probes.

use std::{collections::HashSet, rc::Rc, time::Duration};

use base::{ServiceName, Time, UpstreamName};
use rand::Rng;

use super::{Tier, separations::most_missing};
use crate::{
    config::{Config, Target},
    crash::suspicion::ProbeResult,
    directory::Change,
    effect::{Effect, Note, ReplyCheck},
    event::Protocol,
    notice::{MAX_PAUSE, Notice},
    reachability::PROBE_INTERVAL,
    settings::Settings,
    timers::Due,
    upstream::{Entry, Upstream, UpstreamKey},
};

/// Failing upstreams that are checked at a time.
const PROBES_AT_ONCE: usize = 4;

/// Random addition to a pause that an upstream asks for: at most this fraction of it.
const PAUSE_SPREAD_DIVISOR: u32 = 4;

/// Maximum of that addition.
const MAX_PAUSE_SPREAD: Duration = Duration::from_secs(1);

impl<C: Protocol> Tier<C> {
    /// Applies a configuration unless it is older than the current one.
    pub(super) fn on_config(
        &mut self,
        now: Time,
        config: Rc<Config>,
        effects: &mut Vec<Effect<C>>,
    ) {
        if self
            .config
            .as_ref()
            .is_some_and(|known| known.version >= config.version)
        {
            return;
        }
        self.set_limits(now, &config);
        let names: HashSet<&str> = config.routes().iter().map(|route| &*route.name).collect();
        self.routes.retain(|name, _| names.contains(&**name));
        self.extra_attempts
            .retain(|name, _| config.service(name).is_some());
        self.shedding
            .retain(|name, _| config.service(name).is_some());
        self.reported_shares
            .retain(|name, _| config.service(name).is_some());
        effects.push(Effect::Note(Note::ConfigInForce {
            version: config.version,
            routes: config.routes().len(),
        }));
        match self.config.replace(config) {
            Some(old) => self.retain_config(old),
            // It may come from a list that is seconds old.
            None => self.config_doubt.restart(now, self.settings.config_delay),
        }
        self.review_cold(now, effects);
    }

    /// Applies a full list of entries; upstreams that are not listed are removed, unless removals
    /// are held.
    pub(super) fn on_entries_listed(
        &mut self,
        now: Time,
        entries: Vec<Entry>,
        effects: &mut Vec<Effect<C>>,
    ) {
        let absent = self.directory.absent(&entries);
        let mut seen = 0;
        for entry in entries {
            self.detect_restart(now, &entry, effects);
            let name = entry.name.clone();
            // New upstreams are only counted here; a log line for each would be hundreds at a
            // start.
            match self.directory.upsert(now, entry) {
                Change::None => {}
                Change::New(_) => seen += 1,
                Change::Draining(key) => {
                    if let Some(upstream) = self.directory.get_mut(key) {
                        let entry = &upstream.entry;
                        let (name, service) = (entry.name.clone(), entry.service.clone());
                        effects.push(Effect::Note(Note::UpstreamDraining(name, service)));
                    }
                }
            }
            self.apply_coldness(now, &name, effects);
        }
        let known = self.directory.len();
        effects.push(Effect::Note(Note::UpstreamsListed { seen, known }));
        for name in absent {
            self.on_entry_removed(now, &name, effects);
        }
    }

    /// Applies an entry that was written.
    pub(super) fn on_entry_changed(
        &mut self,
        now: Time,
        entry: Entry,
        effects: &mut Vec<Effect<C>>,
    ) {
        let (name, service, address) = (entry.name.clone(), entry.service.clone(), entry.address);
        self.detect_restart(now, &entry, effects);
        let change = self.directory.upsert(now, entry);
        self.apply_coldness(now, &name, effects);
        match change {
            Change::None => {}
            Change::New(_) => {
                effects.push(Effect::Note(Note::UpstreamSeen(name, service, address)));
            }
            Change::Draining(_) => {
                effects.push(Effect::Note(Note::UpstreamDraining(name, service)));
            }
        }
    }

    /// Applies what an upstream has announced in a reply.
    pub(super) fn on_upstream_notice(
        &mut self,
        now: Time,
        name: UpstreamName,
        started_ms: u64,
        notice: Notice,
        effects: &mut Vec<Effect<C>>,
    ) {
        let pause = notice.pause.map(|pause| {
            let pause = pause.min(MAX_PAUSE);
            // Instances that were asked for the same pause do not all return at its end.
            let spread = (pause / PAUSE_SPREAD_DIVISOR).min(MAX_PAUSE_SPREAD);
            pause + spread.mul_f64(self.rng.random())
        });
        let paused_until = pause.map(|pause| now + pause);
        let changed = self
            .directory
            .announce(&name, started_ms, notice.is_leaving, paused_until);
        if changed.pauses {
            let pause = pause.unwrap_or_default();
            effects.push(Effect::Note(Note::UpstreamPaused(name.clone(), pause)));
        }
        if changed.leaves {
            effects.push(Effect::Note(Note::UpstreamLeaving(name.clone())));
        }
        if let Some(left) = notice.cold_left {
            let until = now + left.min(MAX_PAUSE);
            self.on_cold_reply(now, &name, started_ms, until, effects);
        }
        if let Some(rate) = notice.limit {
            self.on_limit_named(now, name, started_ms, rate, effects);
        }
    }

    /// Applies the removal of an entry, or holds it.
    pub(super) fn on_entry_removed(
        &mut self,
        now: Time,
        name: &UpstreamName,
        effects: &mut Vec<Effect<C>>,
    ) {
        if self.directory.is_holding(now) {
            effects.push(Effect::Note(Note::RemovalHeld(name.clone())));
        }
        if let Some(removed) = self.directory.remove(now, name) {
            self.forget(removed, effects);
        }
    }

    /// Reports the removal of an upstream and closes its idle connections; attempts in flight may
    /// still complete.
    pub(super) fn forget(
        &mut self,
        removed: (UpstreamKey, Upstream),
        effects: &mut Vec<Effect<C>>,
    ) {
        let (key, upstream) = removed;
        let entry = upstream.entry;
        effects.push(Effect::Forget(key));
        effects.push(Effect::Note(Note::UpstreamGone(entry.name, entry.service)));
    }

    /// Holds removals while the platform is unavailable.
    pub(super) fn on_platform_lost(&mut self, effects: &mut Vec<Effect<C>>) {
        self.directory.platform_lost();
        self.config_doubt.platform_lost();
        effects.push(Effect::Note(Note::PlatformLost));
    }

    /// Continues to hold removals for a while after the platform is available again.
    pub(super) fn on_platform_back(&mut self, now: Time, effects: &mut Vec<Effect<C>>) {
        let until = self
            .directory
            .platform_back(now, self.settings.removal_hold);
        self.timers.set(until, Due::Removals);
        self.config_doubt
            .platform_back(now, self.settings.config_delay);
        effects.push(Effect::Note(Note::PlatformBack));
    }

    /// Keeps the configuration, the upstreams and the departures that were known before the
    /// platform came back from an older copy: its lists lack what was written since.
    pub(super) fn on_platform_reset(&mut self, now: Time, effects: &mut Vec<Effect<C>>) {
        self.config_doubt.restart(now, self.settings.config_delay);
        let Settings {
            reset_removal_hold,
            reset_doubt,
            ..
        } = self.settings;
        let times = self
            .directory
            .begin_era(now, reset_removal_hold, reset_doubt);
        for at in times {
            self.timers.set(at, Due::Removals);
        }
        effects.push(Effect::Note(Note::PlatformReset {
            version: self.config.as_ref().map_or(0, |config| config.version),
            upstreams: self.directory.len(),
        }));
    }

    /// Applies the held removals once they are no longer held, and believes the entries that are
    /// listed still.
    pub(super) fn on_removals(&mut self, now: Time, effects: &mut Vec<Effect<C>>) {
        for entry in self.directory.take_believed(now) {
            self.on_entry_changed(now, entry, effects);
        }
        for removed in self.directory.release(now) {
            self.forget(removed, effects);
        }
        let change = self.directory.release_evacuated(now);
        self.note_evacuations(change, effects);
    }

    /// Records that an upstream has replied, which ends a cut-off.
    pub(super) fn on_upstream_replied(&mut self, now: Time, effects: &mut Vec<Effect<C>>) {
        if self.reachability.record_reply(now) {
            effects.push(Effect::Note(Note::Rejoined));
        }
    }

    /// Records that an upstream did not reply; after enough of them in a row, a reachability check
    /// is scheduled.
    pub(super) fn on_upstream_silent(&mut self, now: Time, key: UpstreamKey) {
        let known = self.directory.in_use();
        if let Some(check_at) = self.reachability.record_failure(now, key, known) {
            self.timers.set(check_at, Due::Probe);
        }
    }

    /// Checks whether the instance is cut off, and probes upstreams while it is or lacks shards.
    pub(super) fn on_probe_due(&mut self, effects: &mut Vec<Effect<C>>, now: Time) {
        self.is_probe_scheduled = false;
        if self
            .reachability
            .detect_cut_off(now, self.directory.in_use())
        {
            effects.push(Effect::Note(Note::CutOff));
        }
        if self.reachability.is_cut_off() {
            let any = self.directory.random(&mut self.rng);
            let check = any.map(|(key, upstream)| self.reply_check(key, &upstream.entry));
            effects.extend(check.map(Effect::CheckReply));
        } else if self.reachability.lacks_shards() {
            let failing = self.directory.failing(&mut self.rng);
            let checked = failing.take(PROBES_AT_ONCE);
            let checked: Vec<_> = checked.map(|(key, up)| (key, up.entry.clone())).collect();
            let checks = checked
                .iter()
                .map(|(key, entry)| self.reply_check(*key, entry));
            effects.extend(checks.map(Effect::CheckReply));
            self.check_shard_reachability(now, effects);
        } else {
            return;
        }
        self.schedule_probe(now);
    }

    /// Returns a check whether an upstream replies. An accepted connection would not be enough:
    /// what is in front of an upstream may accept connections that lead nowhere.
    pub(super) fn reply_check(&self, upstream: UpstreamKey, entry: &Entry) -> ReplyCheck {
        let service = self
            .config
            .as_ref()
            .and_then(|it| it.service(&entry.service));
        ReplyCheck {
            upstream,
            name: entry.name.clone(),
            started_ms: entry.started_ms,
            address: entry.address,
            path: service.map_or_else(|| "/".into(), |it| it.health_path.clone()),
        }
    }

    /// Schedules the next probe unless one is scheduled already.
    fn schedule_probe(&mut self, now: Time) {
        if !std::mem::replace(&mut self.is_probe_scheduled, true) {
            self.timers.set(now + PROBE_INTERVAL, Due::Probe);
        }
    }

    /// Handles the result of a check for a reply.
    pub(super) fn on_reply_checked(
        &mut self,
        now: Time,
        key: UpstreamKey,
        result: ProbeResult,
        effects: &mut Vec<Effect<C>>,
    ) {
        let is_up = result == ProbeResult::Accepted;
        self.on_presumed_cold_checked(now, key, result, effects);
        match result {
            ProbeResult::Accepted => self.on_sign_of_upstream(now, key, effects),
            ProbeResult::Refused | ProbeResult::Unanswered => {
                self.on_separation_checked(now, key, effects);
            }
            ProbeResult::Unsent => {}
        }
        if !self.reachability.is_cut_off() && !self.reachability.lacks_shards() {
            return;
        }
        if result == ProbeResult::Unsent {
            return;
        }
        if is_up {
            self.on_upstream_replied(now, effects);
        }
        if let Some(upstream) = self.directory.get_mut(key) {
            if is_up {
                upstream.succeeded();
                upstream.ejected_until = now;
            } else {
                upstream.failed(now, true);
            }
        }
    }

    /// Checks whether too many shards of an index are unreachable, and reports a change.
    pub(super) fn check_shard_reachability(&mut self, now: Time, effects: &mut Vec<Effect<C>>) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let is_unreachable = |service: &&ServiceName| {
            let upstreams = self.directory.of(service);
            let mut upstreams = upstreams.filter(|(_, up)| !up.is_evacuated).peekable();
            upstreams.peek().is_some() && upstreams.all(|(_, up)| up.is_failing())
        };
        let indexes = config
            .routes()
            .iter()
            .filter_map(|route| match &route.target {
                Target::Gather(gather) => Some(&gather.shards),
                Target::One(_) | Target::Split(_) => None,
            });
        // Routes mostly share one index, so only the first is checked. Without an index, no shard
        // is missing.
        let shards = indexes.into_iter().next();
        let total = shards.map_or(0, |shards| shards.len());
        let unreachable = shards.map_or(0, |shards| shards.iter().filter(is_unreachable).count());
        let tolerated = match self.separations.any() {
            true => most_missing(&config),
            false => None,
        };
        if self
            .reachability
            .set_unreachable_shards(unreachable, total, tolerated)
        {
            let lacks_shards = self.reachability.lacks_shards();
            effects.push(Effect::Note(if lacks_shards {
                Note::CutOff
            } else {
                Note::Rejoined
            }));
        }
        if self.reachability.lacks_shards() {
            self.schedule_probe(now);
        }
    }
}
