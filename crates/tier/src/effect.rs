//! Effects: everything that the reducer asks its shell to do.

use std::{net::SocketAddr, time::Duration};

use base::{CallId, DataCentre, InstanceName, OrganisationName, ServiceName, Time, UpstreamName};
use bytes::Bytes;

use crate::{
    admit::Overload,
    cold,
    crash::Crash,
    event::{AttemptKey, Failure, Protocol},
    handover::Instance,
    limit::{Load, RequestRate},
    organisation::OrganisationLimit,
    quota::{Asked, ledger::Use},
    upstream::UpstreamKey,
};

/// An effect that the shell carries out.
#[derive(Debug)]
pub enum Effect<C: Protocol> {
    /// Answers a caller.
    Answer(CallId, Answer<C::Reply>),
    /// Sends a request to an upstream.
    Send(Send<C::Request>),
    /// Cancels an attempt and closes its connection.
    Cancel(AttemptKey),
    /// Hands a request, or some shards of a search, over to another instance.
    HandOver(HandOver<C::Request>),
    /// Notifies another instance that the answer to a search is no longer needed.
    Withdraw(CallId, InstanceName),
    /// Closes the connection to another instance, which ends all searches handed over to it.
    Disconnect(InstanceName),
    /// Notifies another instance that the answer to a search is still needed.
    Confirm(CallId, InstanceName),
    /// Pings another instance.
    Ping(InstanceName),
    /// Asks another instance about limits.
    Ask(Instance, Asked),
    /// Closes the idle connections to a removed upstream.
    Forget(UpstreamKey),
    /// Closes the idle connections to an upstream that is down.
    CloseIdle(UpstreamKey),
    /// Probes whether an upstream accepts connections.
    Probe(UpstreamKey, SocketAddr),
    /// Checks whether an upstream replies; its health does not matter.
    CheckReply(ReplyCheck),
    /// Publishes a quarantined request, given by its digest, on the platform.
    Quarantine(u64),
    /// Removes what was published of a request that is no longer quarantined.
    Unquarantine(u64),
    /// Reports a crash to the instances that count those of its request.
    ReportCrash(Crash, Vec<Instance>),
    /// Reports to these instances that an upstream of a service has replied to a request.
    ReportReply(u64, ServiceName, Vec<Instance>),
    /// Notifies other instances of the time for which a request stays quarantined; zero when its
    /// quarantine has ended.
    ShareQuarantine(u64, Duration, Vec<Instance>),
    /// Tell instances in the own data centre which others are out of reach.
    ShareSeparation(Vec<DataCentre>, Vec<Instance>),
    /// Reports to logs and metrics.
    Note(Note),
}

/// A check whether an upstream replies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplyCheck {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Its name.
    pub name: UpstreamName,
    /// Unix time of its start, in milliseconds.
    pub started_ms: u64,
    /// Its address.
    pub address: SocketAddr,
    /// Path of its health check.
    pub path: Box<str>,
}

/// A request to an upstream.
#[derive(Debug)]
pub struct Send<Q> {
    /// Key of the attempt.
    pub attempt: AttemptKey,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Its name, which it compares with its own.
    pub name: UpstreamName,
    /// Unix time of its start, in milliseconds.
    pub started_ms: u64,
    /// Its address.
    pub address: SocketAddr,
    /// The caller's request.
    pub request: Q,
    /// The organisation of the caller, if it belongs to one.
    pub organisation: Option<OrganisationName>,
    /// Whether the caller's key and what it says of its organisation must not be passed on, as the
    /// configuration has organisations.
    pub hides_key: bool,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
    /// Maximum time until a connection is available.
    pub connect_within: Duration,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Maximum connections from this instance to the upstream.
    pub connections: usize,
}

/// A request, or some shards of a search, that another instance runs.
#[derive(Debug)]
pub struct HandOver<Q> {
    /// Identifier of the call.
    pub call: CallId,
    /// The other instance.
    pub to: InstanceName,
    /// Its address.
    pub address: SocketAddr,
    /// The caller's request.
    pub request: Q,
    /// Time by which the answer has to be sent.
    pub deadline: Time,
    /// Time by which the other instance should send it for it to be in time for the caller.
    pub due: Time,
    /// Version of the configuration that the request runs with.
    pub version: u64,
    /// Whether the caller was refused before.
    pub was_refused: bool,
    /// Whether another instance may already have used one attempt of each part.
    pub may_have_run: bool,
    /// The organisation of the caller, if it belongs to one.
    pub organisation: Option<OrganisationName>,
    /// Whether the caller's key must not be passed on, as the configuration has organisations.
    pub hides_key: bool,
    /// The shards that the instance queries; `None` for the whole request.
    pub branch: Option<BranchRequest>,
}

/// Shards of a search that another instance queries.
#[derive(Debug)]
pub struct BranchRequest {
    /// Positions of the shards in the index.
    pub shards: Box<[u32]>,
    /// Minimum number of their replies with which to answer after the soft deadline.
    pub min_parts: usize,
    /// Time by which this instance needs the answer.
    pub soft_deadline: Time,
    /// Whether the sender of the search has confirmed that it still waits.
    pub is_confirmed: bool,
}

/// A shard that admits fewer than all searches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitedShard {
    /// Position of the shard in the index.
    pub shard: u32,
    /// Admitted share: share of searches that may query the shard; 0 without a usable upstream.
    pub share: f64,
}

/// The answer to a caller.
#[derive(Debug)]
pub enum Answer<R> {
    /// This instance declines the search that another one handed over; nothing has run.
    Declined,
    /// The reply of one upstream.
    Reply(R),
    /// An answer gathered from parts.
    Gathered(Gathered),
    /// Refused without having run; the caller may retry after the time.
    Refused(Refusal, Duration),
    /// No route matches the request.
    NotFound,
    /// The caller shows no key of an organisation.
    Unauthorised,
    /// Failed without a reply; upstreams may have run the request.
    Failed(Fault),
}

/// An answer gathered from parts.
#[derive(Clone, Debug, PartialEq)]
pub struct Gathered {
    /// Signatures of the parts.
    pub signatures: Vec<Box<str>>,
    /// Number of shards whose parts are missing.
    pub missing: usize,
    /// The greatest records, in descending order.
    pub body: Bytes,
    /// Limited shards, reported to the instance that sent a branch.
    pub limited_shards: Vec<LimitedShard>,
    /// Upstreams of the parts that leave, with the Unix times of their starts in milliseconds;
    /// reported to the instance that sent the search.
    pub departures: Vec<(UpstreamName, u64)>,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No configuration is known yet.
    NotReady,
    /// Too many upstreams are too slow or overloaded to reply in time.
    Overload,
    /// This instance is cut off from the upstreams, and no other one has taken the request.
    CutOff,
    /// Too few services have a usable upstream.
    NoUpstream,
    /// All attempts were rejected or failed before upstreams ran the request.
    TurnedAway,
    /// The request is quarantined, as it crashed upstreams.
    Quarantined,
    /// Less time is left than an attempt takes.
    NoTime,
    /// The organisation of the caller is over its limit.
    OverLimit,
    /// The caller's key is unknown, and a newer configuration may hold it.
    UnknownKey,
    /// This instance stops before the request would end; others serve it.
    Stopping,
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
            Self::OverLimit => "over_limit",
            Self::UnknownKey => "unknown_key",
            Self::Stopping => "stopping",
        }
    }
}

/// Why this instance declined a request that another one handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DeclineReason {
    /// It is draining, cut off or reaches too few shards.
    OutOfService,
    /// It does not have the version of the configuration.
    UnknownConfig,
    /// The configuration has no such shard.
    UnknownShard,
    /// The request needs an organisation, and the sender names none that the configuration holds.
    Unverified,
}

impl DeclineReason {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::OutOfService => "out_of_service",
            Self::UnknownConfig => "unknown_config",
            Self::UnknownShard => "unknown_shard",
            Self::Unverified => "unverified",
        }
    }
}

/// Why a request that may have run failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Upstreams failed.
    Upstream,
    /// The deadline passed.
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

/// Summary of a completed call, for logs and metrics.
#[derive(Clone, Debug)]
pub struct CallSummary {
    /// Request id assigned by the caller.
    pub id: Box<str>,
    /// Digest of the content that makes two requests equal to an upstream.
    pub digest: u64,
    /// Name of the route; empty when none matched.
    pub route: Box<str>,
    /// Version of the configuration.
    pub version: u64,
    /// The organisation of the caller, if it belongs to one.
    pub organisation: Option<OrganisationName>,
    /// Outcome, as a label for logs and metrics.
    pub outcome: &'static str,
    /// Time since the arrival of the request.
    pub took: Duration,
    /// Time that the caller was willing to wait.
    pub allowed: Duration,
    /// Number of parts received.
    pub answered: usize,
    /// Number of all parts, including skipped ones.
    pub asked: usize,
    /// Number of parts that admission control skipped.
    pub skipped: usize,
    /// Attempts beyond the first of each part.
    pub extra: usize,
    /// Whether the call completed after its soft deadline.
    pub late: bool,
    /// The instance that the call was last handed to, if any.
    pub via: Option<InstanceName>,
    /// Whether the call was a branch that another instance sent.
    pub is_branch: bool,
    /// The instance that queried remote shards for this call, if any.
    pub branch_instance: Option<InstanceName>,
    /// Attempts that failed or were still in flight.
    pub failed_attempts: Vec<FailedAttempt>,
    /// Why the call was refused for overload, if it was.
    pub overload: Option<Overload>,
}

/// An attempt without a usable reply.
#[derive(Clone, Debug)]
pub struct FailedAttempt {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its service.
    pub service: ServiceName,
    /// Time since the request was sent.
    pub waited: Duration,
    /// The failure; `None` if the attempt was still in flight.
    pub failure: Option<Failure>,
}

/// A request that was refused because its organisation is over its limit.
#[derive(Clone, Debug)]
pub struct OverLimit {
    /// Request id assigned by the caller.
    pub id: Box<str>,
    /// The organisation.
    pub organisation: OrganisationName,
    /// Its limit.
    pub limit: OrganisationLimit,
    /// Its use at this instance, and the age of what the owner has said of that at others.
    pub usage: Use,
    /// Time until there is room.
    pub wait: Duration,
}

/// A report for logs and metrics.
#[derive(Clone, Debug)]
pub enum Note {
    /// A call completed.
    CallEnded(Box<CallSummary>),
    /// A configuration was applied.
    ConfigInForce {
        /// Its version.
        version: u64,
        /// Number of its routes.
        routes: usize,
    },
    /// An upstream is new, has restarted or has moved.
    UpstreamSeen(UpstreamName, ServiceName, SocketAddr),
    /// A full list of upstream entries was applied.
    UpstreamsListed {
        /// Number of upstreams that are new or have restarted.
        seen: usize,
        /// Number of known upstreams.
        known: usize,
    },
    /// An upstream drains and accepts no new requests.
    UpstreamDraining(UpstreamName, ServiceName),
    /// An upstream has announced in a reply that it leaves.
    UpstreamLeaving(UpstreamName),
    /// An upstream has announced in a reply that it accepts no requests for a time.
    UpstreamPaused(UpstreamName, Duration),
    /// A request of another instance was declined.
    Declined(DeclineReason),
    /// An upstream names a limit in its replies, or another one than before.
    UpstreamLimited(UpstreamName, RequestRate),
    /// What this instance has sent, within a time, to an upstream that names a limit.
    LimitedUpstreamLoad(UpstreamName, Load, Duration),
    /// An upstream names no limit any more.
    LimitEnded(UpstreamName),
    /// An upstream is cold: how that is known, for how long if it is known, and the requests a
    /// second that it gets from all instances meanwhile.
    UpstreamCold(UpstreamName, cold::Source, Option<Duration>, RequestRate),
    /// An upstream is no longer cold, with what it was sent meanwhile.
    UpstreamWarm(UpstreamName, cold::Summary),
    /// An upstream was removed.
    UpstreamGone(UpstreamName, ServiceName),
    /// The removal of an upstream is held.
    RemovalHeld(UpstreamName),
    /// An upstream is ejected for a time after failures.
    UpstreamEjected(UpstreamName, ServiceName, Failure, Duration),
    /// A request got no reply, which may be due to a crash of its upstream.
    CrashSuspected,
    /// Suspicions were dropped, as the upstream was not found down or there were too many.
    CrashUnconfirmed(usize),
    /// An upstream crashed while it ran a request.
    UpstreamCrashed {
        /// The upstream.
        upstream: UpstreamName,
        /// Digest of the request.
        digest: u64,
        /// Number of upstreams that the request has crashed, as far as is known here.
        crashes: usize,
    },
    /// A request crashed upstreams and is quarantined; given by its digest.
    Quarantined(u64),
    /// Another instance has quarantined the request with this digest.
    QuarantineLearned(u64),
    /// The quarantined request with this digest is tried at one upstream, as it arrives often.
    QuarantineTried(u64),
    /// The request with this digest is not quarantined, as it is common or too many others are.
    QuarantineWithheld(u64),
    /// An upstream did not answer a probe while this instance was starved, which proves nothing.
    ProbeInconclusive,
    /// The request with this digest is no longer quarantined, as an upstream has replied to it.
    QuarantineEnded(u64),
    /// Another instance is ejected and gets no searches for a while.
    InstanceEjected(InstanceName),
    /// A request was refused because its organisation is over its limit.
    OverLimit(Box<OverLimit>),
    /// This instance has become the owner of the limits, or is not any more; with the share of them
    /// that it may lend.
    LimitsOwned(bool, f64),
    /// A lender does not reply to questions for tokens; another one is asked.
    LenderSilent(InstanceName),
    /// Nothing in a data centre replies; its upstreams and instances are out of use.
    Separated(DataCentre),
    /// A data centre replies again.
    SeparationEnded(DataCentre),
    /// No upstream replies, or too few shards are reachable; this instance is not ready.
    CutOff,
    /// Enough upstreams reply again.
    Rejoined,
    /// A data centre is evacuated: its upstreams get nothing new.
    Evacuated {
        /// The data centre.
        data_centre: DataCentre,
        /// Number of its upstreams.
        upstreams: usize,
        /// Number of upstreams in data centres that are not evacuated.
        left: usize,
    },
    /// A data centre is no longer evacuated.
    EvacuationEnded {
        /// The data centre.
        data_centre: DataCentre,
        /// Number of its upstreams.
        upstreams: usize,
    },
    /// The platform has come back from an older copy of its data.
    PlatformReset {
        /// Version of the configuration that stays in force.
        version: u64,
        /// Number of upstreams that are kept until they are published again.
        upstreams: usize,
    },
    /// The platform is unavailable.
    PlatformLost,
    /// The platform is available again.
    PlatformBack,
}
