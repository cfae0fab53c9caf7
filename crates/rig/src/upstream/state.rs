//! State of one upstream, and its health and control endpoints.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};

use base::UpstreamName;
use bytes::Bytes;
use futures_channel::oneshot;
use http::{HeaderValue, StatusCode};
use rand::{SeedableRng, rngs::SmallRng};
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    corpus::{Corpus, ShardIndex},
    log::{Log, Report},
    params::{Change, Params},
    slots::Slots,
};
use crate::{
    reply::{self, Reply},
    server::Connections,
};

/// Indexes of the shards that an upstream holds, by snapshot and shard name.
type HeldShards = HashMap<u64, HashMap<Box<str>, Rc<ShardIndex>>>;

/// Identity and body of a reply to a search.
#[derive(Clone)]
pub(super) struct SearchReply {
    pub(super) request: HeaderValue,
    pub(super) snapshot: HeaderValue,
    pub(super) shard: HeaderValue,
    pub(super) body: Bytes,
}

/// Phase of the cold start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WarmUp {
    /// All requests are answered 503.
    Refusing,
    /// All requests are slow.
    Slow,
    /// The cold start is over.
    Warm,
}

/// One upstream.
pub(super) struct Upstream {
    name: Box<str>,
    pub(super) params: RefCell<Params>,
    pub(super) held_shards: HeldShards,
    pub(super) snapshots: RefCell<BTreeSet<u64>>,
    pub(super) slots: Rc<Slots>,
    pub(super) connections: Connections,
    pub(super) log: RefCell<Log>,
    pub(super) rng: RefCell<SmallRng>,
    pub(super) cancels: RefCell<HashMap<HeaderValue, oneshot::Sender<()>>>,
    pub(super) last_reply: RefCell<Option<SearchReply>>,
    first_start: Instant,
    started: Cell<Instant>,
    drain: Cell<Option<Instant>>,
    drain_ended: Cell<Option<Instant>>,
}

impl Upstream {
    /// Creates an upstream that serves every snapshot of which it holds a shard.
    pub(super) fn new(
        name: &UpstreamName,
        params: Params,
        index: &cat::Index,
        corpus: &Corpus,
    ) -> Self {
        let held_shards = shards_held_by(name, index, corpus);
        let now = Instant::now();
        Self {
            name: name.as_str().into(),
            snapshots: RefCell::new(held_shards.keys().copied().collect()),
            held_shards,
            slots: Slots::new(params.slots),
            connections: Connections::new(params.connections),
            log: RefCell::default(),
            // The name is part of the seed, so that upstreams with equal parameters draw different
            // numbers.
            rng: RefCell::new(SmallRng::seed_from_u64(xxh3_64_with_seed(
                name.as_str().as_bytes(),
                params.seed,
            ))),
            params: RefCell::new(params),
            cancels: RefCell::default(),
            last_reply: RefCell::default(),
            first_start: now,
            started: Cell::new(now),
            drain: Cell::new(None),
            drain_ended: Cell::new(None),
        }
    }

    /// Returns the time since the first start.
    pub(super) fn age(&self) -> Duration {
        self.first_start.elapsed()
    }

    /// Returns the time since the drain began, if the upstream is draining.
    pub(super) fn draining_for(&self) -> Option<Duration> {
        self.drain.get().map(|began| began.elapsed())
    }

    /// Returns the phase of the cold start since the last start.
    pub(super) fn warm_up(&self) -> WarmUp {
        let cold = Duration::from_millis(self.params.borrow().cold_start_ms);
        if cold.is_zero() {
            return WarmUp::Warm;
        }
        // During a restart the start time is in the future, and the elapsed time is zero.
        match self.started.get().elapsed() {
            up if up < cold / 2 => WarmUp::Refusing,
            up if up < cold => WarmUp::Slow,
            _ => WarmUp::Warm,
        }
    }

    /// Closes all connections and refuses new ones until the restart.
    pub(super) fn crash(&self) {
        self.log.borrow_mut().counters.crashes += 1;
        let restart = Duration::from_millis(self.params.borrow().restart_ms);
        self.started.set(Instant::now() + restart);
        self.connections.crash(restart);
    }

    /// Handles `GET /health`. The reply reports the state of `health_lag_ms` ago.
    pub(super) fn health(&self) -> Reply {
        let lag = Duration::from_millis(self.params.borrow().health_lag_ms);
        let before = |at: Instant| at.elapsed() >= lag;
        let began = self.drain.get().is_some_and(before);
        // A drain that has ended is still reported until the lag has passed.
        let ended = self.drain_ended.get().is_some_and(|at| !before(at));
        let health = json!({"live": true, "draining": began || ended});
        reply::json(StatusCode::OK, &health)
    }

    /// Handles `POST /control`.
    pub(super) fn control(&self, body: &[u8]) -> Reply {
        let Ok(change) = serde_json::from_slice::<Change>(body) else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        let params = self.params.borrow().with(change.params);
        let params = match params {
            Ok(params) => params,
            Err(e) => return reply::with_body(StatusCode::BAD_REQUEST, e.to_string().into()),
        };
        self.slots.set_limit(params.slots);
        self.connections.set_limit(params.connections);
        *self.params.borrow_mut() = params;
        if let Some(snapshots) = change.snapshots {
            *self.snapshots.borrow_mut() = snapshots.iter().map(|id| id.0).collect();
        }
        if let Some(drain) = change.drain {
            self.set_drain(drain);
        }
        if change.crash {
            self.crash();
        }
        reply::empty(StatusCode::NO_CONTENT)
    }

    fn set_drain(&self, drain: bool) {
        let now = Instant::now();
        match (drain, self.drain.get()) {
            (true, None) => self.drain.set(Some(now)),
            (false, Some(_)) => {
                self.drain.set(None);
                self.drain_ended.set(Some(now));
            }
            _ => {}
        }
    }

    /// Handles `GET /control`.
    pub(super) fn report(&self) -> Reply {
        let log = self.log.borrow();
        let report = Report {
            name: self.name.clone(),
            counters: log.counters.clone(),
            max_in_work: self.slots.max_busy(),
            open_connections: self.connections.open(),
            max_connections: self.connections.max_open(),
            refused_connections: self.connections.refused(),
            late_starts_ms: log.late_starts_ms.clone(),
            late_refusals_ms: log.late_refusals_ms.clone(),
            executions: log.executions.clone(),
            served: log.served(),
        };
        reply::json(StatusCode::OK, &report)
    }
}

fn shards_held_by(name: &UpstreamName, index: &cat::Index, corpus: &Corpus) -> HeldShards {
    let mut held_shards = HeldShards::new();
    for snapshot in &index.snapshots {
        for shard in &snapshot.shards {
            if !shard.replicas.contains(name) {
                continue;
            }
            if let Some(built) = corpus.shard(snapshot.id.0, shard.name.as_str()) {
                let shards = held_shards.entry(snapshot.id.0).or_default();
                shards.insert(shard.name.as_str().into(), built);
            }
        }
    }
    held_shards
}
