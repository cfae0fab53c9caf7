//! Everything that an instance does.

use std::{net::SocketAddr, time::Duration};

use base::{CallId, InstanceName, ServiceName, Time, UpstreamName};
use bytes::Bytes;

use crate::{
    event::{AttemptKey, Failure, Protocol},
    upstream::UpstreamKey,
};

/// An effect.
#[derive(Debug)]
pub enum Effect<C: Protocol> {
    /// Answers a caller.
    Answer(CallId, Answer<C::Reply>),
    /// Sends a request to an upstream.
    Send(Send<C::Request>),
    /// Breaks off an attempt and closes its connection.
    Cancel(AttemptKey),
    /// Hands a search to another instance.
    HandOver(HandOver<C::Request>),
    /// Tells another instance that the answer to a search is no longer wanted.
    Withdraw(CallId, InstanceName),
    /// Closes the connection to another instance, which ends the searches that it has.
    Disconnect(InstanceName),
    /// Tells another instance that the answer to a search is still wanted.
    Confirm(CallId, InstanceName),
    /// Asks another instance for a sign of life.
    Ping(InstanceName),
    /// Closes the idle connections to an upstream that is no longer used.
    Forget(UpstreamKey),
    /// Tries whether an upstream can be reached.
    Probe(UpstreamKey, SocketAddr),
    /// Tells other instances of a request that breaks upstreams.
    Quarantine(u64),
    /// Writes to the log.
    Note(Note),
}

/// A request to an upstream.
#[derive(Debug)]
pub struct Send<Q> {
    /// Identity of the attempt.
    pub attempt: AttemptKey,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Its name, which it checks.
    pub name: UpstreamName,
    /// Its address.
    pub address: SocketAddr,
    /// What to send.
    pub request: Q,
    /// Time at which the caller's wait ends.
    pub deadline: Time,
    /// Longest time to get a connection.
    pub connect_within: Duration,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Connections that this instance may have to the upstream.
    pub connections: usize,
}

/// A search that another instance is to run.
#[derive(Debug)]
pub struct HandOver<Q> {
    /// Identity of the call.
    pub call: CallId,
    /// The other instance.
    pub to: InstanceName,
    /// Its address.
    pub address: SocketAddr,
    /// The caller's request.
    pub request: Q,
    /// Time by which the answer has to be on its way.
    pub deadline: Time,
    /// Version of the configuration by which it is to be run.
    pub version: u64,
    /// Whether the caller was refused before.
    pub was_refused: bool,
    /// Whether upstreams may have seen it before.
    pub may_have_run: bool,
    /// The shards that it is to ask; all when there is none.
    pub branch: Option<BranchOrder>,
}

/// Shards that another instance is to ask.
#[derive(Debug)]
pub struct BranchOrder {
    /// Positions of the shards in the index.
    pub shards: Box<[u32]>,
    /// Fewest of them that are worth an answer after the soft end.
    pub min_parts: usize,
    /// Time by which the answer is due here.
    pub soft_deadline: Time,
    /// Whether whoever sent the search is known to wait for it.
    pub is_confirmed: bool,
}

/// A shard that takes fewer than all searches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadedShard {
    /// Position in the index.
    pub shard: u32,
    /// Share of searches that it takes.
    pub share: f64,
}

/// The answer to a caller.
#[derive(Debug)]
pub enum Answer<R> {
    /// This instance can't run the search that another one handed over; nothing has run.
    Declined,
    /// The reply of one upstream.
    Reply(R),
    /// An answer made of parts.
    Gathered(Gathered),
    /// It has not run and will not.
    Refused(Refusal, Duration),
    /// No route leads anywhere.
    NotFound,
    /// It may have run; there is no reply.
    Failed(Fault),
}

/// An answer made of parts.
#[derive(Clone, Debug, PartialEq)]
pub struct Gathered {
    /// Signatures of the parts.
    pub signatures: Vec<Box<str>>,
    /// Shards that are left out.
    pub missing: usize,
    /// The greatest records, falling.
    pub body: Bytes,
    /// Shards that are short of room, for an instance that asked for a branch.
    pub overloaded: Vec<OverloadedShard>,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No configuration or no upstream is known yet.
    NotReady,
    /// Too many upstreams are too slow or full to answer in time.
    Overload,
    /// This instance reaches no upstream.
    CutOff,
    /// No upstream of a service can be used.
    NoUpstream,
    /// Upstreams turned it away and the attempts are used up.
    TurnedAway,
    /// The request broke upstreams.
    Quarantined,
    /// Less time is left than any attempt takes.
    NoTime,
}

impl Refusal {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::Overload => "overload",
            Self::CutOff => "cut_off",
            Self::NoUpstream => "no_upstream",
            Self::TurnedAway => "turned_away",
            Self::Quarantined => "quarantined",
            Self::NoTime => "no_time",
        }
    }
}

/// Why a request that may have run has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Upstreams failed.
    Upstream,
    /// The time was over.
    Timeout,
}

impl Fault {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Upstream => "upstream_failed",
            Self::Timeout => "timeout",
        }
    }
}

/// What a call came to, for logs and metrics.
#[derive(Clone, Debug)]
pub struct CallSummary {
    /// Identity that the caller gave the request.
    pub id: Box<str>,
    /// Name of the route; empty when none matched.
    pub route: Box<str>,
    /// Version of the configuration.
    pub version: u64,
    /// Outcome.
    pub outcome: &'static str,
    /// Time since the arrival.
    pub took: Duration,
    /// Time that the caller was ready to wait.
    pub allowed: Duration,
    /// Parts that are in.
    pub answered: usize,
    /// Parts that were asked for.
    pub asked: usize,
    /// Parts that were not sent because they would have been late.
    pub skipped: usize,
    /// Attempts beyond the first of each part.
    pub extra: usize,
    /// Whether the answer came after the objective of the route.
    pub late: bool,
    /// The instance that it was handed to, if any.
    pub via: Option<InstanceName>,
    /// Whether it was shards that another instance had asked for.
    pub is_branch: bool,
    /// The instance that asked shards far from here, if any.
    pub branch_instance: Option<InstanceName>,
    /// What was seen of the upstreams that failed, were late or did not reply.
    pub failed_attempts: Vec<FailedAttempt>,
}

/// One attempt that did not bring its part in.
#[derive(Clone, Debug)]
pub struct FailedAttempt {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its service.
    pub service: ServiceName,
    /// How long it was waited for.
    pub waited: Duration,
    /// How it failed; `None` when it was still in flight.
    pub failure: Option<Failure>,
}

/// A line for the log.
#[derive(Clone, Debug)]
pub enum Note {
    /// A call ended.
    CallEnded(Box<CallSummary>),
    /// A configuration came into force.
    ConfigInForce {
        /// Its version.
        version: u64,
        /// Its routes.
        routes: usize,
    },
    /// An upstream came, changed or started again.
    UpstreamSeen(UpstreamName, ServiceName, SocketAddr),
    /// All entries of upstreams were read.
    UpstreamsListed {
        /// Upstreams that are new or have started again.
        seen: usize,
        /// Upstreams that are known.
        known: usize,
    },
    /// An upstream takes no new work.
    UpstreamDraining(UpstreamName, ServiceName),
    /// An upstream is gone.
    UpstreamGone(UpstreamName, ServiceName),
    /// The removal of an upstream is not believed yet.
    RemovalHeld(UpstreamName),
    /// An upstream is passed over after failures.
    UpstreamEjected(UpstreamName, ServiceName, Failure, Duration),
    /// A request broke upstreams and is refused from now on.
    Quarantined(u64),
    /// Another instance is handed no searches for a while.
    InstanceEjected(InstanceName),
    /// No upstream replies any more; the instance is not ready.
    CutOff,
    /// Upstreams reply again.
    Rejoined,
    /// The platform does not answer.
    PlatformLost,
    /// The platform answers again.
    PlatformBack,
}
