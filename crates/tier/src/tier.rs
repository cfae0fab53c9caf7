//! The reducer: handles events and emits effects.

mod answers;
mod attempts;
mod branches;
mod calls;
mod coldness;
mod crashes;
mod evacuations;
mod handovers;
mod identity;
mod limits;
mod outcomes;
mod quotas;
mod relays;
mod sending;
mod separations;
mod updates;

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base::{CallId, DataCentre, InstanceName, ServiceName, Time};
use quotas::Quotas;
use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use crate::{
    branch::ReportedShare,
    budget::{Bound, ExtraAttempts},
    call::Call,
    config::Config,
    crash::{
        frequency::Frequency, starvation::Starvation, suspicion::Suspicions, tracker::CrashTracker,
    },
    delay::{Acceptance, RoundTrip},
    directory::Directory,
    doubt::ConfigDoubt,
    effect::Effect,
    event::{AttemptKey, Event, Protocol},
    failure_rate::MissedParts,
    handover::{self, Instances, LocalInstance},
    latency::{RouteLatency, UndisturbedLatency},
    load_report::Usage,
    mechanism::Mechanism,
    reachability::Reachability,
    retry_after::RetrySchedule,
    send_order::SendOrder,
    separation::Separations,
    settings::Settings,
    shedding::{self, ShardShedding},
    split::Split,
    timers::{Due, Timers},
    upstream::UpstreamKey,
};

/// State of a route that outlives configuration versions.
#[derive(Debug, Default)]
struct RouteState {
    latency: RouteLatency,
    undisturbed: UndisturbedLatency,
    split: Split,
    retry_schedule: RetrySchedule,
    missed_parts: MissedParts,
}

/// A request to an upstream that is in flight.
#[derive(Clone, Debug)]
struct Attempt {
    call: CallId,
    /// Position of the part in the call.
    part: usize,
    upstream: UpstreamKey,
    sent: Time,
    route: Rc<str>,
    digest: u64,
    /// Hash of the request's id.
    id_hash: u64,
}

/// The reducer of one instance.
pub struct Tier<C: Protocol> {
    settings: Settings,
    config: Option<Rc<Config>>,
    directory: Directory,
    routes: HashMap<Rc<str>, RouteState>,
    extra_attempts: HashMap<ServiceName, ExtraAttempts>,
    shedding: HashMap<ServiceName, ShardShedding>,
    /// Admitted shares of remote shards, as reported by branch instances.
    reported_shares: HashMap<ServiceName, ReportedShare>,
    calls: HashMap<CallId, Call<C>>,
    attempts: SlotMap<AttemptKey, Attempt>,
    crashes: CrashTracker,
    suspicions: Suspicions,
    starvation: Starvation,
    frequency: Frequency,
    reachability: Reachability,
    separations: Separations,
    /// Time of the next checks of separated data centres.
    return_check_at: Time,
    /// Whether a timer for the next probe is set.
    is_probe_scheduled: bool,
    timers: Timers,
    rng: SmallRng,
    instances: Instances,
    quotas: Quotas,
    /// Parts that wait to be sent.
    send_order: SendOrder,
    /// Whether a timer for them is set.
    is_send_scheduled: bool,
    /// Round trip to callers.
    to_callers: RoundTrip,
    /// Round trip to the instances that searches are handed to.
    acceptance: Acceptance,
    /// Configurations that have been replaced, newest first.
    old_configs: VecDeque<Rc<Config>>,
    config_doubt: ConfigDoubt,
    /// Time at which the process stops, once it is shutting down.
    stops_at: Option<Time>,
    report_usage: Usage,
}

impl<C: Protocol> Tier<C> {
    /// Creates a reducer without configuration and upstreams; `seed` seeds its random choices.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            config: None,
            directory: Directory::default(),
            routes: HashMap::new(),
            extra_attempts: HashMap::new(),
            shedding: HashMap::new(),
            reported_shares: HashMap::new(),
            calls: HashMap::new(),
            attempts: SlotMap::with_key(),
            crashes: CrashTracker::default(),
            suspicions: Suspicions::default(),
            starvation: Starvation::default(),
            frequency: Frequency::default(),
            reachability: Reachability::default(),
            separations: Separations::default(),
            return_check_at: Time::ZERO,
            is_probe_scheduled: false,
            timers: Timers::default(),
            rng: SmallRng::seed_from_u64(seed),
            instances: Instances::default(),
            quotas: Quotas::default(),
            send_order: SendOrder::default(),
            is_send_scheduled: false,
            to_callers: RoundTrip::default(),
            acceptance: Acceptance::default(),
            old_configs: VecDeque::new(),
            config_doubt: ConfigDoubt::default(),
            stops_at: None,
            report_usage: Usage::default(),
        }
    }

    /// Handles one event, after all timers that are due, and appends the resulting effects.
    pub fn on(&mut self, now: Time, event: Event<C>, effects: &mut Vec<Effect<C>>) {
        self.fire_timers(now, effects);
        match event {
            Event::Call(id, head, request) => self.on_call(now, id, head, request, effects),
            Event::CallerGone(id) => self.on_caller_gone(now, id, effects),
            Event::AttemptEnded(attempt, outcome) => {
                self.on_attempt_ended(now, attempt, outcome, effects)
            }
            Event::Config(config) => self.on_config(now, config, effects),
            Event::EntriesListed(entries) => self.on_entries_listed(now, entries, effects),
            Event::EntryChanged(entry) => self.on_entry_changed(now, entry, effects),
            Event::UpstreamNotice(name, started_ms, notice) => {
                self.on_upstream_notice(now, name, started_ms, notice, effects)
            }
            Event::EntryRemoved(name) => self.on_entry_removed(now, &name, effects),
            Event::Evacuations(all) => self.on_evacuations(now, all, effects),
            Event::Instances(all) => self.on_instances(now, all, effects),
            Event::HandOverEnded(id, end) => self.on_handover_ended(now, id, end, effects),
            Event::LimitedShards(id, limited_shards) => {
                self.on_limited_shards(now, id, &limited_shards)
            }
            Event::Confirmed(id) => self.on_confirmed(id, effects),
            Event::InstanceAlive(name) => {
                self.acceptance.accepted(now, &name);
                self.on_sign_of_instance(now, &name, effects);
            }
            Event::SeparationReported(all) => self.on_separation_reported(now, &all, effects),
            Event::Quarantine(digest) => self.on_quarantine(now, digest, effects),
            Event::CrashReported(from, crash) => self.on_crash_reported(now, &from, crash, effects),
            Event::ReportLost(to, crash) => self.on_report_lost(now, to, crash, effects),
            Event::ReplyReported(digest, service) => {
                self.on_reply_reported(now, digest, &service, effects)
            }
            Event::Lent(from, sent, reply) => self.on_lent(now, &from, sent, reply, effects),
            Event::QuarantineShared(digest, left) => {
                self.on_quarantine_shared(now, digest, left, effects)
            }
            Event::PlatformReset => self.on_platform_reset(now, effects),
            Event::PlatformLost => self.on_platform_lost(effects),
            Event::PlatformBack => self.on_platform_back(now, effects),
            Event::Probed(key, result) => self.on_suspect_probed(now, key, result, effects),
            Event::ReplyChecked(key, result) => self.on_reply_checked(now, key, result, effects),
            Event::Settings(settings) => {
                // An instance that serves already does not stop to wait for evacuations.
                let awaits_evacuations = self.settings.awaits_evacuations;
                let disabled = self.settings.disabled;
                self.settings = Settings {
                    awaits_evacuations,
                    disabled,
                    ..settings
                };
            }
            Event::Drain(stops_at) => {
                self.stops_at = Some(stops_at);
                self.quotas.retire();
            }
            Event::Stop => self.on_stop(now, effects),
            Event::Tick => {}
        }
    }

    /// Returns the time at which the next [`Event::Tick`] is due.
    pub fn next_wake(&mut self) -> Option<Time> {
        let (attempts, calls, suspicions) = (&self.attempts, &self.calls, &self.suspicions);
        let quotas = &self.quotas;
        let directory = &self.directory;
        let is_cold = |key| directory.get(key).is_some_and(|it| it.cold.is_some());
        self.timers.next_needed(|due| match due {
            Due::Hedge(attempt) => {
                let call = attempts.get(*attempt).map(|attempt| attempt.call);
                call.is_some_and(|id| calls.contains_key(&id))
            }
            Due::Close(attempt) => attempts.contains_key(*attempt),
            Due::SoftDeadline(id) | Due::Deadline(id) | Due::Token(id) => calls.contains_key(id),
            Due::Asks => quotas.is_asking(),
            Due::Overdue(id) | Due::Silent(id) => calls
                .get(id)
                .is_some_and(|call| call.remote_instance().is_some()),
            Due::CheckSuspect(key) => suspicions.has(*key),
            Due::CheckCold(key) | Due::Warm(key) => is_cold(*key),
            Due::Removals | Due::Probe | Due::Claims | Due::SendWaiting | Due::Separation => true,
        })
    }

    /// Returns whether this instance can serve new callers.
    pub fn is_ready(&self) -> bool {
        let is_initialized = self.config.is_some() && !self.directory.is_empty();
        is_initialized && self.knows_evacuations() && !self.is_out_of_service()
    }

    /// Returns whether callers should use other instances: this one is draining, cut off, or
    /// reaches too few shards.
    pub fn is_out_of_service(&self) -> bool {
        self.stops_at.is_some() || self.is_out_of_reach()
    }

    /// Returns whether this instance reaches too few upstreams.
    fn is_out_of_reach(&self) -> bool {
        let is_out = self.reachability.is_cut_off() || self.reachability.lacks_shards();
        is_out && self.is_on(Mechanism::Reachability)
    }

    /// Returns whether the evacuated data centres are known, or are not waited for.
    pub(crate) fn knows_evacuations(&self) -> bool {
        !self.settings.awaits_evacuations || self.directory.knows_evacuations()
    }

    /// Returns the current settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the current configuration.
    pub fn config(&self) -> Option<&Rc<Config>> {
        self.config.as_ref()
    }

    /// Returns the number of requests that have not been answered.
    pub fn pending_requests(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the address of another instance, if it is known.
    pub fn instance_address(&self, name: &InstanceName) -> Option<SocketAddr> {
        self.instances.get(name).map(|instance| instance.address)
    }

    /// Returns the number of instances, this one included, if it is known.
    pub fn instances(&self) -> Option<usize> {
        self.instances.count()
    }

    /// Returns whether an upstream still accepts requests; true for one that is no longer known.
    pub fn accepts(&self, now: Time, key: UpstreamKey) -> bool {
        let upstream = self.directory.get(key);
        upstream.is_none_or(|upstream| upstream.accepts(now))
    }

    /// Returns whether the request with a digest is quarantined.
    pub fn is_quarantined(&self, now: Time, digest: u64) -> bool {
        self.crashes.quarantine_left(now, digest).is_some()
    }

    /// Returns how often requests were placed with load reports.
    pub fn report_usage(&self) -> Usage {
        self.report_usage
    }

    /// Returns the number of known upstreams.
    pub fn upstreams(&self) -> usize {
        self.directory.len()
    }

    /// Returns the number of upstreams in evacuated data centres.
    pub fn evacuated_upstreams(&self) -> usize {
        self.directory.evacuated_count()
    }

    fn fire_timers(&mut self, now: Time, effects: &mut Vec<Effect<C>>) {
        while let Some((at, due)) = self.timers.pop(now) {
            self.starvation.record_timer(now, at);
            match due {
                Due::Hedge(attempt) => self.on_hedge_due(now, attempt, effects),
                Due::SoftDeadline(id) => self.on_soft_deadline(now, id, effects),
                Due::Overdue(id) => self.on_overdue(now, id, effects),
                Due::Silent(id) => self.on_silent(now, id, effects),
                Due::Deadline(id) => self.on_deadline(now, id, effects),
                Due::Close(attempt) => self.on_close(now, attempt, effects),
                Due::SendWaiting => self.on_send_due(now, effects),
                Due::Separation => self.on_separation_due(now, effects),
                Due::Probe => self.on_probe_due(effects, now),
                Due::Removals => self.on_removals(now, effects),
                Due::Token(id) => self.on_token_due(now, id, effects),
                Due::Asks => self.on_asks_due(now, effects),
                Due::Claims => self.on_claims_due(now, effects),
                Due::CheckSuspect(key) => self.on_suspect_due(now, key, effects),
                Due::CheckCold(key) => self.on_cold_check_due(now, key, effects),
                Due::Warm(key) => self.on_warm_due(now, key, effects),
            }
        }
    }

    fn is_on(&self, mechanism: Mechanism) -> bool {
        self.settings.disabled.allows(mechanism)
    }

    fn local_instance(&self) -> LocalInstance<'_> {
        LocalInstance {
            cpu_share: self.settings.cpu_share,
            data_centre: &self.settings.data_centre,
        }
    }

    /// Returns this instance's share of the limits that all instances have in common at a service.
    ///
    /// It is proportional to the CPU share, as larger instances run the searches of smaller ones,
    /// and higher in data centres with replicas of the service, where most of its requests come
    /// from.
    fn resource_share(&self, service: &ServiceName) -> f64 {
        let own = self.local_instance();
        let has_replica = |data_centre: &DataCentre| {
            let mut upstreams = self.directory.of(service);
            upstreams.any(|(_, upstream)| upstream.entry.data_centre == *data_centre)
        };
        let known = self.instances.resource_share(own, has_replica);
        known.unwrap_or(self.assumed_share())
    }

    /// Returns the assumed share of this instance in limits that all instances have in common.
    fn assumed_share(&self) -> f64 {
        1.0 / self.settings.assumed_instances.max(1) as f64
    }

    /// Returns this instance's bound on extra attempts to a service.
    fn bound(&self, service: &ServiceName) -> Bound {
        Bound {
            share: self.settings.extra_share,
            slack: self.settings.extra_slack * self.resource_share(service),
            window: self.settings.extra_window,
        }
    }

    /// Returns the maximum number of connections from this instance to one upstream of a service.
    fn connections(&self, config: &Config, service: &ServiceName) -> usize {
        let declared = config
            .service(service)
            .map_or(usize::MAX, |s| s.max_connections);
        ((declared as f64 * self.resource_share(service)) as usize).clamp(1, MAX_CONNECTIONS)
    }

    /// Returns the load shedding state of a shard.
    fn shard_shedding(&self, service: &ServiceName) -> ShardShedding {
        self.shedding.get(service).copied().unwrap_or_default()
    }

    /// Returns the wait from which a late part of a search counts as queued at its upstream.
    fn queueing_wait(&self, route: &str, parts: usize) -> Duration {
        let state = self.routes.get(route);
        let undisturbed = state.and_then(|state| state.undisturbed.get());
        let own_work = handover::own_work(self.settings.cpu_share, parts);
        shedding::queueing_wait(undisturbed, own_work)
    }

    fn route_state(&mut self, name: &Rc<str>) -> &mut RouteState {
        self.routes.entry(Rc::clone(name)).or_default()
    }
}

/// Maximum connections to one upstream; an instance never needs more.
const MAX_CONNECTIONS: usize = 16;
