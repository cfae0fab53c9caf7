//! Messages of `briarcove edge`: requests handed over, and updates of the platform's objects.
//!
//! The instance that opens a connection sends [`Payload::HandOver`] and the other requests; the
//! instance that accepts it sends the replies and the updates.

use bytes::Bytes;
use prost::{Message, Oneof};

/// Largest body of a request or an answer that is handed over, in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// Largest frame, in bytes: the largest body, and its head.
pub const MAX_FRAME_BYTES: usize = MAX_BODY_BYTES + (1 << 20);

/// One message on a connection.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Content; `None` for a kind that this version does not know.
    #[prost(
        oneof = "Payload",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 20"
    )]
    pub payload: Option<Payload>,
}

/// Kinds of message.
///
/// A message without content is a `bool`, whose value is not read.
#[derive(Clone, PartialEq, Oneof)]
pub enum Payload {
    /// Asks the receiver to run a request: a search that it is better suited for, some shards of
    /// one, or any request that the sender cannot run because it is cut off.
    #[prost(message, tag = "1")]
    HandOver(HandOver),
    /// The sender runs the search with this number; not sent for a search with a [`Branch`].
    #[prost(uint64, tag = "2")]
    Accepted(u64),
    /// The answer to a search, or that it was declined.
    #[prost(message, tag = "3")]
    Done(Done),
    /// Cancels the search with this number.
    #[prost(uint64, tag = "4")]
    Withdrawn(u64),
    /// Asks for a [`Payload::Pong`].
    #[prost(bool, tag = "5")]
    Ping(bool),
    /// Replies to a [`Payload::Ping`].
    #[prost(bool, tag = "6")]
    Pong(bool),
    /// Subscribes to updates of the platform's objects.
    #[prost(message, tag = "7")]
    Follow(Follow),
    /// Ends the subscription.
    #[prost(bool, tag = "8")]
    Unfollow(bool),
    /// Objects of the platform that changed.
    #[prost(message, tag = "9")]
    Update(Update),
    /// All updates up to these revisions were sent, and the sender still gets answers from the
    /// platform; sent at an interval.
    #[prost(message, tag = "10")]
    Watermark(Watermark),
    /// The sender does not watch the platform or gets no answer from it, so its updates may be
    /// incomplete.
    #[prost(bool, tag = "11")]
    StoreLost(bool),
    /// Allows second attempts for the search with this number: the sender still waits for the
    /// answer and has not run the search elsewhere.
    #[prost(uint64, tag = "12")]
    Confirmed(u64),
    /// An upstream crashed while it ran a request.
    #[prost(message, tag = "13")]
    Crash(CrashReport),
    /// An upstream has replied to a request that a crash was reported of.
    #[prost(message, tag = "14")]
    Reply(ReplyReport),
    /// A request is quarantined, or no longer.
    #[prost(message, tag = "15")]
    Quarantine(Quarantined),
    /// Asks the owner of the limits for tokens, or another lender for its share of them.
    #[prost(message, tag = "16")]
    TokenRequest(TokenRequest),
    /// Replies to a [`Payload::TokenRequest`].
    #[prost(message, tag = "17")]
    TokenLoan(TokenLoan),
    /// The sender does not reach data centres; the receiver, in the same one, should check them.
    #[prost(message, tag = "18")]
    Separated(Separated),
    /// The same as [`Payload::HandOver`], under a configuration with organisations: the sender has
    /// authenticated the caller and left out its key. Builds that would send the request to
    /// upstreams without its organisation do not know this kind.
    #[prost(message, tag = "20")]
    IdentifiedHandOver(HandOver),
}

/// Data centres that an instance does not reach.
#[derive(Clone, PartialEq, Message)]
pub struct Separated {
    /// Their names.
    #[prost(string, repeated, tag = "1")]
    pub data_centres: Vec<String>,
}

/// A request for tokens of an organisation's limit, each of which allows one request of a caller,
/// or for the receiver's share of all limits.
#[derive(Clone, PartialEq, Message)]
pub struct TokenRequest {
    /// Name of the organisation; empty in a request for a share.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Number of tokens that the sender has use for.
    #[prost(uint32, tag = "2")]
    pub wanted: u32,
    /// Time by the sender's clock, in microseconds, which the reply repeats.
    #[prost(uint64, tag = "3")]
    pub sent_us: u64,
    /// The request for a share, if it is one.
    #[prost(message, optional, tag = "4")]
    pub share: Option<ShareRequest>,
}

/// A request for the receiver's share of all limits.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ShareRequest {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Number of lenders that the sender knows.
    #[prost(uint32, tag = "2")]
    pub lenders: u32,
    /// Whether the sender wants the share; otherwise it only makes itself known.
    #[prost(bool, tag = "3")]
    pub is_claim: bool,
}

/// Tokens or a share that the sender lends to the receiver.
#[derive(Clone, PartialEq, Message)]
pub struct TokenLoan {
    /// Name of the organisation; empty in a lease of a share.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Number of tokens; zero if none are left.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
    /// Time from the request until the unused tokens expire, in microseconds.
    #[prost(uint64, tag = "3")]
    pub lifetime_us: u64,
    /// Time until the sender has another token, in microseconds.
    #[prost(uint64, tag = "4")]
    pub next_us: u64,
    /// Whether the sender does not own the limits, or does not know that of the organisation.
    #[prost(bool, tag = "5")]
    pub is_declined: bool,
    /// The time that the request names.
    #[prost(uint64, tag = "6")]
    pub sent_us: u64,
    /// The lease of a share, if it was asked for.
    #[prost(message, optional, tag = "7")]
    pub share: Option<ShareLease>,
}

/// A lease of a share of all limits.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ShareLease {
    /// The share; zero if none is leased.
    #[prost(double, tag = "1")]
    pub share: f64,
    /// Number of lenders that the sender knows.
    #[prost(uint32, tag = "2")]
    pub lenders: u32,
    /// Whether the sender comes before the receiver in the order of owners.
    #[prost(bool, tag = "3")]
    pub is_senior: bool,
}

/// A crash of an upstream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CrashReport {
    /// Name of the instance that observed it.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Digest of the request.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Hash of the request's id.
    #[prost(fixed64, tag = "3")]
    pub call: u64,
    /// Service of the upstream.
    #[prost(string, tag = "4")]
    pub service: String,
    /// Name of the upstream.
    #[prost(string, tag = "5")]
    pub upstream: String,
    /// Time since the request ended without a reply, in microseconds.
    #[prost(uint64, tag = "6")]
    pub age_us: u64,
    /// Start of the upstream as Unix time, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub started_ms: u64,
    /// Time since the upstream was last known to be up, in microseconds, if it ever was.
    #[prost(uint64, optional, tag = "8")]
    pub up_age_us: Option<u64>,
}

/// A reply of an upstream to a request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ReplyReport {
    /// Digest of the request.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// Service of the upstream.
    #[prost(string, tag = "2")]
    pub service: String,
}

/// A quarantined request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Quarantined {
    /// Digest of the request.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// Time until its quarantine ends, in milliseconds; zero if it has ended.
    #[prost(uint64, tag = "2")]
    pub left_ms: u64,
}

/// A subscription to updates.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Follow {
    /// Revision up to which the sender has the configuration.
    #[prost(uint64, tag = "1")]
    pub config: u64,
    /// Revision up to which the sender has the upstreams.
    #[prost(uint64, tag = "2")]
    pub upstreams: u64,
    /// Era of the store in which the revision of the configuration was given out; zero from senders
    /// that know no eras.
    #[prost(uint64, tag = "3")]
    pub config_era: u64,
    /// The same for the upstreams.
    #[prost(uint64, tag = "4")]
    pub upstreams_era: u64,
    /// Revision up to which the sender has the evacuations; absent if it wants no updates of them.
    #[prost(uint64, optional, tag = "5")]
    pub evacuations: Option<u64>,
    /// Era in which that revision was given out.
    #[prost(uint64, tag = "6")]
    pub evacuations_era: u64,
}

/// Objects of one kind that were written or deleted.
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    /// 0 for the configuration, 1 for upstreams, 2 for evacuations.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Revision up to which the receiver has all changes of the kind once it has applied these.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Whether these are all objects of the kind, so that the receiver drops any other it has.
    #[prost(bool, tag = "3")]
    pub is_whole: bool,
    /// Changed objects, or all objects of the kind.
    #[prost(message, repeated, tag = "4")]
    pub objects: Vec<UpdatedObject>,
    /// Era of the store in which the revisions were given out.
    #[prost(uint64, tag = "5")]
    pub era: u64,
}

/// An object that was written or deleted.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct UpdatedObject {
    /// Name of the object within its kind.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Whether it was deleted.
    #[prost(bool, tag = "3")]
    pub is_gone: bool,
    /// Its content as JSON.
    #[prost(bytes = "bytes", tag = "4")]
    pub spec: Bytes,
}

/// Revisions up to which all updates were sent.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Watermark {
    /// Revision of the configuration.
    #[prost(uint64, tag = "1")]
    pub config: u64,
    /// Revision of the upstreams.
    #[prost(uint64, tag = "2")]
    pub upstreams: u64,
    /// Era of the store in which the revision of the configuration was given out.
    #[prost(uint64, tag = "3")]
    pub config_era: u64,
    /// The same for the upstreams.
    #[prost(uint64, tag = "4")]
    pub upstreams_era: u64,
    /// Revision of the evacuations; absent if the sender does not know them.
    #[prost(uint64, optional, tag = "5")]
    pub evacuations: Option<u64>,
    /// Era in which that revision was given out.
    #[prost(uint64, tag = "6")]
    pub evacuations_era: u64,
}

/// A request that the receiver runs for the sender.
#[derive(Clone, PartialEq, Message)]
pub struct HandOver {
    /// Number of the search, chosen by the sender and unique on the connection.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Time left until the deadline of the search, in microseconds.
    #[prost(uint64, tag = "2")]
    pub left_us: u64,
    /// Version of the configuration to run it with.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Whether the caller was refused before.
    #[prost(bool, tag = "4")]
    pub was_refused: bool,
    /// Whether another instance may already have used one attempt of each part.
    #[prost(bool, tag = "5")]
    pub may_have_run: bool,
    /// HTTP method.
    #[prost(string, tag = "6")]
    pub method: String,
    /// Path and query.
    #[prost(string, tag = "7")]
    pub target: String,
    /// Headers of the caller's request.
    #[prost(message, repeated, tag = "8")]
    pub headers: Vec<Header>,
    /// Body of the caller's request.
    #[prost(bytes = "bytes", tag = "9")]
    pub body: Bytes,
    /// Shards to search; all shards of the index when absent.
    #[prost(message, optional, tag = "10")]
    pub branch: Option<Branch>,
    /// Organisation of the caller, which the sender has authenticated; absent for callers without,
    /// and read in [`Payload::IdentifiedHandOver`] only.
    #[prost(string, optional, tag = "11")]
    pub organisation: Option<String>,
    /// Time until the answer has to be sent to reach the caller within its objective, in
    /// microseconds; absent from older builds.
    #[prost(uint64, optional, tag = "14")]
    pub due_us: Option<u64>,
}

/// The part of a search that the receiver runs.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Branch {
    /// Positions of the shards in the index.
    #[prost(uint32, repeated, tag = "1")]
    pub shards: Vec<u32>,
    /// Minimum number of their replies with which the receiver answers once the answer is due.
    #[prost(uint32, tag = "2")]
    pub min_parts: u32,
    /// Time until the answer is due, in microseconds.
    #[prost(uint64, tag = "3")]
    pub due_us: u64,
    /// Whether second attempts may be sent before [`Payload::Confirmed`].
    #[prost(bool, tag = "4")]
    pub is_confirmed: bool,
}

/// A shard that takes part in a share of the searches only, because it sheds load or has no usable
/// upstream.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LimitedShard {
    /// Position of the shard in the index.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Admitted share: share of searches that may query the shard, from 0 to 1.
    #[prost(float, tag = "2")]
    pub share: f32,
}

/// How a search that was run for another instance ended.
#[derive(Clone, PartialEq, Message)]
pub struct Done {
    /// Number from the [`HandOver`].
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// HTTP status of the answer; zero when the search was declined and has not run.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Headers of the answer.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
    /// Body of the answer.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
    /// Shards that take part in fewer than all searches; empty unless the search had a [`Branch`].
    #[prost(message, repeated, tag = "5")]
    pub limited_shards: Vec<LimitedShard>,
    /// Upstreams that have announced in their replies to the search that they leave.
    #[prost(message, repeated, tag = "6")]
    pub departures: Vec<Departure>,
    /// The limit that the upstream names whose reply this answer is.
    #[prost(message, optional, tag = "7")]
    pub limit: Option<NamedLimit>,
}

/// The limit that an upstream names.
#[derive(Clone, PartialEq, Message)]
pub struct NamedLimit {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Its start as Unix time, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Requests a second that it takes from all instances together.
    #[prost(double, tag = "3")]
    pub per_second: f64,
}

/// An upstream that leaves.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Departure {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Its start as Unix time, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
}

/// One HTTP header.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// Name, in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

impl From<Payload> for Frame {
    fn from(payload: Payload) -> Self {
        Self {
            payload: Some(payload),
        }
    }
}
