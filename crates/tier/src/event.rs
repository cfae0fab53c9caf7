//! Everything that happens to an instance.

use std::{rc::Rc, time::Duration};

use base::{CallId, InstanceName, UpstreamName};
use bytes::Bytes;

use crate::{
    config::Config,
    effect::OverloadedShard,
    handover::Instance,
    settings::Settings,
    upstream::{Entry, UpstreamKey},
};

slotmap::new_key_type! {
    /// Names one request to one upstream.
    pub struct AttemptKey;
}

/// What the reducer carries without looking into it.
pub trait Protocol {
    /// A caller's request; clones are cheap.
    type Request: Clone;
    /// A complete reply of an upstream that belongs to the request.
    type Reply: Reply;
}

/// What the reducer asks of a reply.
pub trait Reply {
    /// Whether the upstream succeeded.
    fn is_success(&self) -> bool;
    /// The signature of the upstream over its reply.
    fn signature(&self) -> Option<&str>;
    /// The signatures of the parts of a reply that another instance has gathered.
    fn signatures(&self) -> Vec<Box<str>>;
    /// The body.
    fn body(&self) -> &Bytes;
}

/// An event.
#[derive(Debug)]
pub enum Event<C: Protocol> {
    /// A caller asks.
    Call(CallId, Head, C::Request),
    /// The caller of an unanswered request has gone.
    CallerGone(CallId),
    /// An attempt has ended.
    AttemptEnded(AttemptKey, Outcome<C::Reply>),
    /// A configuration was read.
    Config(Rc<Config>),
    /// All entries of upstreams were read.
    EntriesListed(Vec<Entry>),
    /// An entry was written.
    EntryChanged(Entry),
    /// An entry was removed, or is no longer valid.
    EntryRemoved(UpstreamName),
    /// The instances that share the budgets, this one among them.
    Instances(Vec<Instance>),
    /// A search that was handed to another instance has ended there, or could not be run there.
    HandOverEnded(CallId, HandOverOutcome<C::Reply>),
    /// Another instance, which asks shards for a search, has told which of them are short of room.
    OverloadedShards(CallId, Vec<OverloadedShard>),
    /// The instance that handed this search over still waits for it.
    Confirmed(CallId),
    /// Another instance was heard from.
    InstanceAlive(InstanceName),
    /// Another instance found a request that breaks upstreams.
    Quarantine(u64),
    /// The platform does not answer.
    PlatformLost,
    /// The platform answers again.
    PlatformBack,
    /// An upstream was tried; whether it can be reached.
    Probed(UpstreamKey, bool),
    /// The settings have changed.
    Settings(Settings),
    /// The process is to end; what is in hand is served.
    Drain,
    /// The time to serve what is in hand is over.
    Stop,
    /// Time has passed.
    Tick,
}

/// The head of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Identity that the caller gave the request.
    pub id: Box<str>,
    /// Host that it is for.
    pub host: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// How long the caller waits, from its arrival on.
    pub time_left: Option<Duration>,
    /// Time between its arrival and the event.
    pub age: Duration,
    /// Digest of what makes two requests the same to an upstream.
    pub digest: u64,
    /// Who sent it here.
    pub origin: Origin,
    /// The shards that are to be asked, if another instance asks the others.
    pub branch: Option<BranchHead>,
}

/// Shards of a search that another instance has given to this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BranchHead {
    /// Positions of the shards in the index.
    pub shards: Box<[u32]>,
    /// Fewest of them that are worth an answer after the soft end.
    pub min_parts: usize,
    /// Time until the answer is due, from the arrival on.
    pub due: Duration,
    /// Whether second attempts may be sent before the other instance confirms that it waits.
    pub is_confirmed: bool,
}

/// Who sent a request to this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another instance, which took it from a caller.
    Instance {
        /// Version of the configuration by which it is to be run.
        version: u64,
        /// Whether the caller was refused before.
        was_refused: bool,
        /// Whether upstreams may have seen it before.
        may_have_run: bool,
    },
}

/// What became of a search that was handed to another instance.
#[derive(Debug)]
pub enum HandOverOutcome<R> {
    /// The other instance's answer.
    Answer(R),
    /// The other instance declined, or was not reached; nothing has run.
    Declined,
    /// The connection broke; it may have run.
    Broken,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum Outcome<R> {
    /// With a reply.
    Reply(R),
    /// Without one.
    Failed(Failure),
}

/// Why an attempt has no reply that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// No connection was free or opened in time; nothing was sent.
    NoConnection,
    /// The upstream says that it did not run the request.
    NotRun,
    /// The address now belongs to another upstream, which did not run the request.
    Misdirected,
    /// The connection broke; the request may have run.
    Broken,
    /// The reply was not valid or belongs to another request; the request may have run.
    Malformed,
}

impl Failure {
    /// Returns whether it is certain that the request has not run.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::Unreachable | Self::NoConnection | Self::NotRun | Self::Misdirected => true,
            Self::Broken | Self::Malformed => false,
        }
    }

    /// Returns whether the upstream was handed the request.
    pub fn was_sent(self) -> bool {
        !matches!(self, Self::Unreachable | Self::NoConnection)
    }

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::NoConnection => "no_connection",
            Self::NotRun => "not_run",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::Malformed => "malformed",
        }
    }
}
