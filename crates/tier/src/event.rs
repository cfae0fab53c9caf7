//! Events: everything that the shell reports to the reducer.

use std::{rc::Rc, time::Duration};

use base::{CallId, DataCentre, InstanceName, ServiceName, Time, UpstreamName};
use bytes::Bytes;

use crate::{
    config::Config,
    crash::{Crash, suspicion::ProbeResult},
    effect::LimitedShard,
    handover::Instance,
    load_report::LoadReport,
    notice::Notice,
    organisation::Credential,
    quota,
    settings::Settings,
    upstream::{Entry, UpstreamKey},
};

slotmap::new_key_type! {
    /// Key of an attempt: one request to one upstream.
    pub struct AttemptKey;
}

/// Types of requests and replies, which are opaque to the reducer.
pub trait Protocol {
    /// A caller's request; cheap to clone.
    type Request: Clone;
    /// A complete reply of an upstream or another instance.
    type Reply: Reply;
}

/// The properties of a reply that the reducer uses.
pub trait Reply {
    /// Returns whether the reply is a success.
    fn is_success(&self) -> bool;
    /// Returns the upstream's signature of its reply.
    fn signature(&self) -> Option<&str>;
    /// Returns the signatures of all parts of a reply that another instance has gathered.
    fn signatures(&self) -> Vec<Box<str>>;
    /// Returns the load that the upstream reports, if it does.
    fn load(&self) -> Option<LoadReport> {
        None
    }
    /// Returns the body.
    fn body(&self) -> &Bytes;
}

/// An event that the reducer handles.
#[derive(Debug)]
pub enum Event<C: Protocol> {
    /// A request arrived, from a caller or from another instance.
    Call(CallId, Head, C::Request),
    /// The caller of a pending request has disconnected.
    CallerGone(CallId),
    /// An attempt has completed.
    AttemptEnded(AttemptKey, Outcome<C::Reply>),
    /// A configuration was read.
    Config(Rc<Config>),
    /// All upstream entries were read.
    EntriesListed(Vec<Entry>),
    /// An upstream entry was written.
    EntryChanged(Entry),
    /// An upstream incarnation, given by its name and its start as Unix time in milliseconds, has
    /// announced something in a reply.
    UpstreamNotice(UpstreamName, u64, Notice),
    /// An upstream entry was removed, or is no longer valid.
    EntryRemoved(UpstreamName),
    /// The data centres that are evacuated, all of them.
    Evacuations(Vec<DataCentre>),
    /// The instances that share the limits, this one included.
    Instances(Vec<Instance>),
    /// The handover of a search or branch has ended: with an answer, declined, or with a broken
    /// connection.
    HandOverEnded(CallId, HandOverOutcome<C::Reply>),
    /// The branch instance of a search has reported its limited shards.
    LimitedShards(CallId, Vec<LimitedShard>),
    /// The instance that handed a search over to this one has confirmed that it still waits.
    Confirmed(CallId),
    /// An instance in the same data centre does not reach these.
    SeparationReported(Vec<DataCentre>),
    /// Another instance has accepted a search or answered a ping.
    InstanceAlive(InstanceName),
    /// The platform lists a request that another instance has quarantined, given by its digest.
    Quarantine(u64),
    /// An instance reports a crash.
    CrashReported(InstanceName, Crash),
    /// The report of a crash could not be sent to an instance.
    ReportLost(InstanceName, Crash),
    /// An instance reports that an upstream of a service has replied to a request.
    ReplyReported(u64, ServiceName),
    /// An instance has replied to a question about limits that was sent at this time.
    Lent(InstanceName, Time, quota::Reply),
    /// An instance has quarantined a request for a time, or ended its quarantine if that is zero.
    QuarantineShared(u64, Duration),
    /// The platform has come back from an older copy of its data, which the next lists show.
    PlatformReset,
    /// The platform is unavailable.
    PlatformLost,
    /// The platform is available again.
    PlatformBack,
    /// An upstream was probed for a connection, as requests may have crashed it.
    Probed(UpstreamKey, ProbeResult),
    /// An upstream was checked for a reply; accepted if there was one.
    ReplyChecked(UpstreamKey, ProbeResult),
    /// The settings have changed.
    Settings(Settings),
    /// The process is shutting down and stops at a time; until then, requests are served that are
    /// likely to end before it.
    Drain(Time),
    /// The time for pending requests is over; all of them are completed now.
    Stop,
    /// A timer is due, see [`Tier::next_wake`](crate::Tier::next_wake).
    Tick,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Request id assigned by the caller.
    pub id: Box<str>,
    /// Host.
    pub host: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// Time that the caller waits, from the arrival on.
    pub time_left: Option<Duration>,
    /// Time between the arrival and the event.
    pub age: Duration,
    /// Time until the answer has to be sent to be in time, from the arrival on, if the instance
    /// that has handed the request over knows it.
    pub due: Option<Duration>,
    /// Digest of the content that makes two requests equal to an upstream.
    pub digest: u64,
    /// The sender.
    pub origin: Origin,
    /// What the request shows of the caller's organisation.
    pub credential: Credential,
    /// The shards to query, if the sender queries the others.
    pub branch: Option<BranchHead>,
}

/// Shards of a search that another instance has handed over to this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BranchHead {
    /// Positions of the shards in the index.
    pub shards: Box<[u32]>,
    /// Minimum number of their replies with which to answer after the soft deadline.
    pub min_parts: usize,
    /// Time until the soft deadline, from the arrival on.
    pub due: Duration,
    /// Whether the sender has already confirmed that it waits, so that second attempts are allowed.
    pub is_confirmed: bool,
}

/// Sender of a request to this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another instance, which received it from a caller.
    Instance {
        /// Version of the configuration that the search runs with.
        version: u64,
        /// Whether the caller was refused before.
        was_refused: bool,
        /// Whether another instance may already have used one attempt of each part.
        may_have_run: bool,
    },
}

/// Outcome of a search that was handed to another instance.
#[derive(Debug)]
pub enum HandOverOutcome<R> {
    /// The other instance's answer.
    Answer(R),
    /// The other instance declined or was unreachable; nothing has run.
    Declined,
    /// The connection broke; the search may have run.
    Broken,
}

/// Outcome of an attempt.
#[derive(Debug)]
pub enum Outcome<R> {
    /// The upstream replied.
    Reply(R),
    /// The attempt has no usable reply.
    Failed(Failure),
}

/// Why an attempt has no usable reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The connection closed before the request was sent.
    Unsent,
    /// No connection was available in time; nothing was sent.
    NoConnection,
    /// The upstream reported that it did not run the request.
    NotRun,
    /// The address now belongs to another upstream, which did not run the request.
    Misdirected,
    /// The connection broke; the request may have run.
    Broken,
    /// The reply was invalid or belongs to another request; the request may have run.
    Malformed,
}

impl Failure {
    /// Returns whether it is certain that the request has not run.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::Unreachable
            | Self::Unsent
            | Self::NoConnection
            | Self::NotRun
            | Self::Misdirected => true,
            Self::Broken | Self::Malformed => false,
        }
    }

    /// Returns whether the request was sent to the upstream.
    pub fn was_sent(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Unsent | Self::NoConnection)
    }

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Unsent => "unsent",
            Self::NoConnection => "no_connection",
            Self::NotRun => "not_run",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::Malformed => "malformed",
        }
    }
}
