//! The reducer itself: the state of an instance and the dispatch of its events.

use std::{collections::HashMap, net::SocketAddr};

use base::{DataCentre, Incarnation, InstanceName, OpId, RequestId, Time};
use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;
use wire::Body;

use crate::{
    admission::Admission,
    attempt::{AttemptKey, Attempts, SearchKey},
    claims::{Claims, ClaimsConfig, Forwards},
    directory::Directory,
    effect::Effect,
    event::{Call, Event},
    members::{self, Epoch, Members, MembersConfig},
    owners::Owners,
    peers::PeerEjections,
    probe::Probes,
    quarantine::Quarantine,
    relay::Outbox,
    relay_run::RelayedRuns,
    run::{NewRun, Runs},
    search::NewSearch,
    search_state::SearchState,
    stats::Stats,
    store::{Store, StoreSync, SyncConfig},
    timers::Timers,
    upstreams::Upstreams,
};

/// Identity of an instance.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Data centre that the instance is in.
    pub data_centre: DataCentre,
    /// Number of this start of the instance; grows with every restart.
    pub incarnation: Incarnation,
    /// Address on which the instance accepts connections from peers.
    pub peers: SocketAddr,
}

/// Settings of the reducer.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Synchronisation of the watched objects.
    pub sync: SyncConfig,
    /// Membership.
    pub members: MembersConfig,
    /// Claims of the once class.
    pub claims: ClaimsConfig,
}

/// Timers of the reducer, by purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Deadline of a search: it is answered with the replies that it has.
    SearchDeadline(SearchKey),
    /// Parts of a search may need a hedge or a retry.
    CheckParts(SearchKey),
    /// Deadline of a request of the once class.
    RunDeadline(RequestId),
    /// Deadline of an attempt made for a peer: it fails unless it was sent to the upstream.
    RelayDeadline(AttemptKey),
}

/// State of one instance.
#[derive(Debug)]
pub struct Node {
    pub(crate) identity: Identity,
    pub(crate) rng: SmallRng,
    /// Identifier of the last platform call.
    pub(crate) ops: OpId,
    pub(crate) store: Store,
    pub(crate) sync: StoreSync,
    pub(crate) directory: Directory,
    pub(crate) upstreams: Upstreams,
    pub(crate) admission: Admission,
    pub(crate) quarantine: Quarantine,
    pub(crate) searches: SlotMap<SearchKey, SearchState>,
    pub(crate) runs: Runs,
    pub(crate) claims: Claims,
    pub(crate) forwards: Forwards,
    pub(crate) relayed_runs: RelayedRuns,
    pub(crate) attempts: Attempts,
    pub(crate) probes: Probes,
    pub(crate) members: Members,
    /// Epoch of the membership view that owners and routes were computed from, and whether that
    /// view was fresh.
    pub(crate) view: (Epoch, bool),
    /// Whether the instance has once had a fresh membership view, a catalogue, and all upstreams
    /// that are assigned to it.
    pub(crate) initialised: bool,
    pub(crate) ejections: PeerEjections,
    pub(crate) owners: Owners,
    pub(crate) outbox: Outbox,
    /// Attempts made for peers, by the peer and the number that the peer gave the attempt.
    pub(crate) peer_attempts: HashMap<(InstanceName, u64), AttemptKey>,
    pub(crate) timers: Timers<Timer>,
    pub(crate) stats: Stats,
    pub(crate) draining_since: Time,
    /// Last time during the shutdown at which a request was pending.
    pub(crate) idle_since: Time,
    pub(crate) stopped: bool,
}

impl Node {
    /// Creates an instance without a catalogue or peers; `seed` determines its random choices.
    pub fn new(identity: Identity, cfg: Config, now: Time, seed: u64) -> Self {
        let name = identity.instance.clone();
        let owners = Owners::new(name.clone());
        let me = members::Identity {
            name: name.clone(),
            data_centre: identity.data_centre.clone(),
            address: identity.peers,
            incarnation: identity.incarnation,
        };
        Self {
            identity,
            ops: OpId::default(),
            store: Store::default(),
            sync: StoreSync::new(cfg.sync, name, now),
            rng: SmallRng::seed_from_u64(seed),
            directory: Directory::default(),
            upstreams: Upstreams::default(),
            admission: Admission::default(),
            quarantine: Quarantine::default(),
            searches: SlotMap::with_key(),
            runs: Runs::default(),
            claims: Claims::new(cfg.claims, seed),
            forwards: Forwards::default(),
            relayed_runs: RelayedRuns::default(),
            attempts: Attempts::with_key(),
            probes: Probes::default(),
            members: Members::new(cfg.members, me, now),
            view: (Epoch::default(), false),
            initialised: false,
            ejections: PeerEjections::default(),
            owners,
            outbox: Outbox::default(),
            peer_attempts: HashMap::new(),
            timers: Timers::default(),
            stats: Stats::default(),
            draining_since: Time::ZERO,
            idle_since: Time::ZERO,
            stopped: false,
        }
    }

    /// Handles one event that happened at `now` and appends the resulting effects.
    pub fn on(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        let per_request = belongs_to_request(&event);
        match event {
            Event::Tick => {}
            Event::Call(
                call,
                Call::Search {
                    request,
                    entry,
                    deadline,
                    body,
                },
            ) => {
                self.search(
                    now,
                    call,
                    NewSearch {
                        request,
                        entry,
                        deadline,
                        body,
                    },
                    effects,
                );
            }
            Event::Call(
                call,
                Call::Run {
                    request,
                    entry,
                    deadline,
                    key,
                    body,
                },
            ) => {
                self.run(
                    now,
                    call,
                    NewRun {
                        request,
                        entry,
                        deadline,
                        key,
                        body,
                    },
                    effects,
                );
            }
            Event::CallerGone(call) => {
                self.drop_search_caller(now, call, effects);
                self.drop_run_caller(now, call, effects);
            }
            Event::Upstream(attempt, event) => self.on_upstream(now, attempt, event, effects),
            Event::Platform(op, event) => self.on_platform(now, op, event, effects),
            Event::Peer(message) => self.on_peer(now, message, effects),
            Event::Drain => self.drain(now, effects),
        }
        self.fire_timers(now, effects);
        self.poll_claims(now, effects);
        if !per_request {
            self.tick_members(now, effects);
            self.poll_sync(now, effects);
        }
        self.update_claim_stats();
        if self.stats.draining {
            self.stop_when_idle(now, effects);
        }
    }

    fn update_claim_stats(&mut self) {
        let counts = self.claims.counts();
        self.stats.claims = counts.claims;
        self.stats.claim_writes = counts.writes;
        self.stats.platform_calls = self.ops.0;
    }

    fn fire_timers(&mut self, now: Time, effects: &mut Vec<Effect>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::SearchDeadline(search) => self.finish_search(now, search, effects),
                Timer::CheckParts(search) => self.check_search(now, search, effects),
                Timer::RunDeadline(request) => self.run_deadline(now, request, effects),
                Timer::RelayDeadline(attempt) => self.relay_deadline(now, attempt, effects),
            }
        }
    }

    /// Returns the time at which the next [`Event::Tick`] is due, if any.
    pub fn next_wake(&self) -> Option<Time> {
        let wakes = [
            self.timers.next(),
            Some(self.claims.next_wake()).filter(|wake| *wake < Time::NEVER),
            Some(self.sync.next_wake()),
            Some(self.members.next_wake()),
            self.owners.next_wake(),
            self.forwards.next_wake(),
        ];
        wakes.into_iter().flatten().min()
    }

    /// Returns whether any live peer in a data centre is known.
    pub fn has_live_peers_in(&self, data_centre: &DataCentre) -> bool {
        self.members.live_in(data_centre).next().is_some()
    }

    /// Returns the counters and gauges of the instance.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }
}

/// Returns whether an event is part of handling a request.
///
/// Such events are frequent, so membership and store synchronisation are not polled after them and
/// run at their own wake-up times.
fn belongs_to_request(event: &Event) -> bool {
    match event {
        Event::Upstream(..) | Event::Call(..) => true,
        Event::Peer(message) => matches!(
            message.body,
            Some(Body::Relay(_) | Body::Relayed(_) | Body::Cancel(_))
        ),
        Event::Tick | Event::CallerGone(_) | Event::Platform(..) | Event::Drain => false,
    }
}
