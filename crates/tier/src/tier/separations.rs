//! Data centres that this instance no longer reaches: checks, and what is out of use meanwhile.

use base::{CallId, DataCentre, InstanceName, Time};
use rand::seq::IteratorRandom;

use super::Tier;
use crate::{
    config::{Config, Target},
    effect::{Effect, Note},
    event::Protocol,
    mechanism::Mechanism,
    separation::{
        CHECK_PERIOD, CHECKED_UPSTREAMS, Cause, MIN_SILENCE, PINGED_INSTANCES,
        RETURN_CHECK_INTERVAL,
    },
    timers::Due,
    upstream::UpstreamKey,
};

impl<C: Protocol> Tier<C> {
    /// Records a reply of an upstream in whatever data centre.
    pub(super) fn on_sign_of_upstream(
        &mut self,
        now: Time,
        key: UpstreamKey,
        effects: &mut Vec<Effect<C>>,
    ) {
        let upstream = self.directory.get(key);
        let data_centre = upstream.map(|upstream| &upstream.entry.data_centre);
        let remote = data_centre.filter(|it| it.as_str() != &*self.settings.data_centre);
        if let Some(data_centre) = remote
            && self.separations.record_sign(now, data_centre)
        {
            let data_centre = data_centre.clone();
            self.end_separation(now, data_centre, effects);
        }
    }

    /// Records a message of an instance in whatever data centre.
    pub(super) fn on_sign_of_instance(
        &mut self,
        now: Time,
        name: &InstanceName,
        effects: &mut Vec<Effect<C>>,
    ) {
        self.instances.mark_alive(now, name);
        let instance = self.instances.get(name);
        let data_centre = instance.map(|instance| &instance.data_centre);
        let remote = data_centre.filter(|it| it.as_str() != &*self.settings.data_centre);
        if let Some(data_centre) = remote
            && self.separations.record_sign(now, data_centre)
        {
            let data_centre = data_centre.clone();
            self.end_separation(now, data_centre, effects);
        }
    }

    /// Checks data centres after a request to an upstream has failed: that of the upstream, if
    /// nothing has come from it since a time, and others that are silent too.
    pub(super) fn suspect_upstream(
        &mut self,
        now: Time,
        key: UpstreamKey,
        silent_since: Time,
        effects: &mut Vec<Effect<C>>,
    ) {
        if let Some(upstream) = self.directory.get(key) {
            let data_centre = upstream.entry.data_centre.clone();
            self.suspect_data_centre(now, &data_centre, silent_since, effects);
        }
    }

    /// The same after an instance that has a call has failed or not answered.
    pub(super) fn suspect_instance(
        &mut self,
        now: Time,
        name: &InstanceName,
        id: CallId,
        effects: &mut Vec<Effect<C>>,
    ) {
        let call = self.calls.get(&id);
        if let (Some(instance), Some(call)) = (self.instances.get(name), call) {
            let (data_centre, silent_since) = (instance.data_centre.clone(), call.handed_at);
            self.suspect_data_centre(now, &data_centre, silent_since, effects);
        }
    }

    fn suspect_data_centre(
        &mut self,
        now: Time,
        suspected: &DataCentre,
        silent_since: Time,
        effects: &mut Vec<Effect<C>>,
    ) {
        let own = &*self.settings.data_centre;
        if suspected.as_str() == own
            || !self.is_on(Mechanism::Separation)
            || !self.separations.is_check_due(now, suspected, silent_since)
        {
            return;
        }
        let separations = &mut self.separations;
        let others = self.directory.data_centres();
        let due: Vec<DataCentre> = others
            .filter(|it| it.as_str() != own)
            .filter(|it| *it == suspected || separations.is_check_due(now, it, now - MIN_SILENCE))
            .cloned()
            .collect();
        self.start_rounds(now, due, Cause::Failure, effects);
    }

    /// Checks the data centres that a neighbour does not reach.
    pub(super) fn on_separation_reported(
        &mut self,
        now: Time,
        reported: &[DataCentre],
        effects: &mut Vec<Effect<C>>,
    ) {
        if !self.is_on(Mechanism::Separation) {
            return;
        }
        let own = &*self.settings.data_centre;
        let others = reported.iter().filter(|it| it.as_str() != own);
        let separations = &mut self.separations;
        let due: Vec<DataCentre> = others
            .filter(|it| separations.is_check_due(now, it, now))
            .cloned()
            .collect();
        self.start_rounds(now, due, Cause::Report, effects);
    }

    fn start_rounds(
        &mut self,
        now: Time,
        due: Vec<DataCentre>,
        cause: Cause,
        effects: &mut Vec<Effect<C>>,
    ) {
        for data_centre in due {
            let checked = self.check_upstreams(&data_centre, CHECKED_UPSTREAMS, effects);
            self.ping_instances(now, &data_centre, PINGED_INSTANCES, effects);
            self.separations
                .start_round(now, &data_centre, checked, cause);
            self.timers.set(now + CHECK_PERIOD, Due::Separation);
        }
    }

    /// Checks some upstreams of a data centre for a reply; returns them.
    fn check_upstreams(
        &mut self,
        data_centre: &DataCentre,
        count: usize,
        effects: &mut Vec<Effect<C>>,
    ) -> Vec<UpstreamKey> {
        let all = self.directory.in_data_centre(data_centre);
        let checked = all
            .map(|(key, _)| key)
            .choose_multiple(&mut self.rng, count);
        for key in &checked {
            if let Some(upstream) = self.directory.get(*key) {
                effects.push(Effect::CheckReply(self.reply_check(*key, &upstream.entry)));
            }
        }
        checked
    }

    /// Pings some instances of a data centre.
    fn ping_instances(
        &mut self,
        now: Time,
        data_centre: &DataCentre,
        count: usize,
        effects: &mut Vec<Effect<C>>,
    ) {
        let there = self.instances.in_data_centre(now, data_centre);
        let pinged = there.choose_multiple(&mut self.rng, count);
        effects.extend(pinged.into_iter().cloned().map(Effect::Ping));
    }

    /// Handles the result of the check of an upstream that may belong to a round.
    pub(super) fn on_separation_checked(
        &mut self,
        now: Time,
        key: UpstreamKey,
        effects: &mut Vec<Effect<C>>,
    ) {
        let Some(upstream) = self.directory.get(key) else {
            return;
        };
        let data_centre = upstream.entry.data_centre.clone();
        if self.separations.check_failed(now, &data_centre, key) {
            self.begin_separation(now, &data_centre, effects);
        }
    }

    /// Ends rounds of checks, and checks separated data centres for their return.
    pub(super) fn on_separation_due(&mut self, now: Time, effects: &mut Vec<Effect<C>>) {
        // Replies that this instance reads too late are no sign of a separation.
        let proves = !self.starvation.is_starved(now);
        for data_centre in self.separations.expire(now, proves) {
            self.begin_separation(now, &data_centre, effects);
        }
        if now < self.return_check_at {
            return;
        }
        let separated: Vec<DataCentre> = self.separations.separated().cloned().collect();
        for data_centre in &separated {
            self.check_upstreams(data_centre, 1, effects);
            self.ping_instances(now, data_centre, 1, effects);
        }
        if !separated.is_empty() {
            self.schedule_return_check(now);
        }
    }

    fn schedule_return_check(&mut self, now: Time) {
        self.return_check_at = now + RETURN_CHECK_INTERVAL;
        self.timers.set(self.return_check_at, Due::Separation);
    }

    fn begin_separation(
        &mut self,
        now: Time,
        data_centre: &DataCentre,
        effects: &mut Vec<Effect<C>>,
    ) {
        self.directory.set_separated(now, data_centre, true);
        self.instances.set_separated(now, data_centre, true);
        effects.push(Effect::Note(Note::Separated(data_centre.clone())));
        if self.return_check_at <= now {
            self.schedule_return_check(now);
        }
        let was_ready = !self.reachability.lacks_shards();
        self.check_shard_reachability(now, effects);
        if was_ready && self.reachability.lacks_shards() && self.separations.is_own(data_centre) {
            let separated: Vec<DataCentre> = self.separations.separated().cloned().collect();
            let neighbours = self.instances.neighbours(&self.settings.data_centre);
            effects.push(Effect::ShareSeparation(separated, neighbours));
        }
    }

    fn end_separation(&mut self, now: Time, data_centre: DataCentre, effects: &mut Vec<Effect<C>>) {
        self.directory.set_separated(now, &data_centre, false);
        self.instances.set_separated(now, &data_centre, false);
        effects.push(Effect::Note(Note::SeparationEnded(data_centre)));
        self.check_shard_reachability(now, effects);
    }
}

/// Returns the number of shards that the least demanding search of an index may miss.
pub(super) fn most_missing(config: &Config) -> Option<usize> {
    let missing = config
        .routes()
        .iter()
        .filter_map(|route| match &route.target {
            Target::Gather(gather) => Some(gather.shards.len().saturating_sub(gather.min_parts)),
            Target::One(_) | Target::Split(_) => None,
        });
    missing.max()
}
