//! Messages of `briarcove serve`: membership, platform objects, relayed sub-requests and claims.

use bytes::Bytes;
use prost::{Message, Oneof};

/// A message and the instance that sent it.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Name of the sending instance.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Start count of the sending instance.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Content; `None` for a kind that this version does not know.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub body: Option<Body>,
}

/// Kinds of message.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Liveness and gossip, sent at a fixed interval.
    #[prost(message, tag = "3")]
    Heartbeat(Heartbeat),
    /// Request for platform objects newer than a version.
    #[prost(message, tag = "4")]
    Pull(Pull),
    /// Platform objects in answer to a pull.
    #[prost(message, tag = "5")]
    Objects(Objects),
    /// Sub-requests for upstreams that the receiver owns.
    #[prost(message, tag = "6")]
    Relay(Relay),
    /// Results of relayed sub-requests.
    #[prost(message, tag = "7")]
    Relayed(Relayed),
    /// Cancellation of relayed sub-requests.
    #[prost(message, tag = "8")]
    Cancel(Cancel),
    /// A claim that the receiver is asked to write to the platform.
    #[prost(message, tag = "9")]
    Claim(Claim),
    /// Result of a claim.
    #[prost(message, tag = "10")]
    Claimed(Claimed),
    /// Request to hand over upstreams to the sender.
    #[prost(message, tag = "11")]
    Handover(Handover),
    /// Upstreams that the sender has released.
    #[prost(message, tag = "12")]
    Released(Released),
    /// A request of the once class for an upstream that the receiver owns.
    #[prost(message, tag = "13")]
    RelayRun(RelayRun),
}

/// Request to hand over upstreams that are now assigned to the sender.
#[derive(Clone, PartialEq, Message)]
pub struct Handover {
    /// Names of the upstreams.
    #[prost(string, repeated, tag = "1")]
    pub upstreams: Vec<String>,
    /// Digest of the members that the sender sees.
    #[prost(fixed64, tag = "2")]
    pub view: u64,
}

/// Answer to a [`Handover`].
#[derive(Clone, PartialEq, Message)]
pub struct Released {
    /// Upstreams to which the sender sends nothing more and has nothing in flight.
    #[prost(string, repeated, tag = "1")]
    pub upstreams: Vec<String>,
    /// Digest of the members that the sender sees.
    #[prost(fixed64, tag = "2")]
    pub view: u64,
}

/// Liveness of the sender, and gossip.
///
/// A probe asks for an answer, which is a heartbeat too. The sender's data centre and address are
/// left out once the receiver knows them.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Data centre of the sender, or empty.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// Address on which the sender accepts peers, or empty.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Count of the heartbeats that the sender has sent.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Version up to which the sender holds every watched object.
    #[prost(uint64, tag = "4")]
    pub seen: u64,
    /// Whether the sender is shutting down.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Some of the members that the sender knows, others in each heartbeat.
    #[prost(message, repeated, tag = "6")]
    pub members: Vec<Member>,
    /// Upstreams that are leaving, according to the sender.
    #[prost(message, repeated, tag = "7")]
    pub leaving_upstreams: Vec<LeavingUpstream>,
    /// Requests that crashed upstreams.
    #[prost(message, repeated, tag = "8")]
    pub quarantine: Vec<Quarantined>,
    /// Whether the sender asks for an answer.
    #[prost(bool, tag = "9")]
    pub probe: bool,
    /// Sequence of the probe that this heartbeat answers, or zero.
    #[prost(uint64, tag = "10")]
    pub answers: u64,
    /// Whether the sender asks for members, because it has just started or resumed from a pause.
    #[prost(bool, tag = "11")]
    pub joining: bool,
}

/// Gossip about another instance.
#[derive(Clone, PartialEq, Message)]
pub struct Member {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its data centre, or empty if it is that of the sender.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Address on which it accepts peers.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its start count.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Liveness as a number: see `node::members::Liveness`.
    #[prost(uint32, tag = "5")]
    pub liveness: u32,
}

/// Gossip about an upstream that takes no new work.
#[derive(Clone, PartialEq, Message)]
pub struct LeavingUpstream {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Time from the upstream's report to the sending of this message, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// Gossip about a request that crashes upstreams.
#[derive(Clone, PartialEq, Message)]
pub struct Quarantined {
    /// Digest of service and body.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Upstreams whose connection broke while they had the request.
    #[prost(string, repeated, tag = "2")]
    pub broke: Vec<String>,
    /// Time until the record expires, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub left_ms: u64,
}

/// Request for platform objects newer than a version.
#[derive(Clone, PartialEq, Message)]
pub struct Pull {
    /// Version up to which the sender holds every watched object.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// Time that the receiver may wait for newer objects before it answers, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub wait_ms: u64,
    /// Digests of documents to send whatever their version, because the sender lacks them.
    #[prost(string, repeated, tag = "3")]
    pub documents: Vec<String>,
}

/// Answer to a [`Pull`].
#[derive(Clone, PartialEq, Message)]
pub struct Objects {
    /// Objects in ascending order of their versions.
    #[prost(message, repeated, tag = "1")]
    pub objects: Vec<Object>,
    /// Version up to which the receiver holds every watched object once it has these.
    #[prost(uint64, tag = "2")]
    pub seen: u64,
    /// Version from the [`Pull`]; `seen` is valid only if the receiver holds every watched object
    /// up to it.
    #[prost(uint64, tag = "3")]
    pub after: u64,
}

/// One platform object.
#[derive(Clone, PartialEq, Message)]
pub struct Object {
    /// Kind of the object.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Name of the object within its kind.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Version of the object.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Content as JSON.
    #[prost(bytes = "bytes", tag = "4")]
    pub value: Bytes,
}

/// Sub-requests for upstreams that the receiver owns.
#[derive(Clone, PartialEq, Message)]
pub struct Relay {
    /// Identity of the caller's request, big-endian.
    #[prost(bytes = "bytes", tag = "1")]
    pub request: Bytes,
    /// Service of the upstreams.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Index snapshot to search.
    #[prost(uint64, tag = "3")]
    pub snapshot: u64,
    /// Time left until the request's deadline, in microseconds.
    #[prost(uint64, tag = "4")]
    pub left_us: u64,
    /// Hits wanted from each shard.
    #[prost(uint32, tag = "5")]
    pub limit: u32,
    /// Body of the request.
    #[prost(bytes = "bytes", tag = "6")]
    pub body: Bytes,
    /// One sub-request for each shard.
    #[prost(message, repeated, tag = "7")]
    pub parts: Vec<RelayPart>,
    /// Number of instances that have relayed the sub-requests, the sender included.
    #[prost(uint32, tag = "8")]
    pub hops: u32,
}

/// One relayed sub-request.
#[derive(Clone, PartialEq, Message)]
pub struct RelayPart {
    /// Attempt id at the sender.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Upstream that gets the sub-request.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// Shard to search.
    #[prost(string, tag = "3")]
    pub shard: String,
    /// Whether the sub-request is a probe of a request that is not yet known to be harmless.
    #[prost(bool, tag = "4")]
    pub probe: bool,
    /// Attempt id at the instance that made the sub-request, which the upstream echoes.
    #[prost(uint64, tag = "5")]
    pub echo: u64,
}

/// A request of the once class for an upstream that the receiver owns.
///
/// The receiver sends it to the upstream at most once and ignores a repeated message.
#[derive(Clone, PartialEq, Message)]
pub struct RelayRun {
    /// Identity of the caller's request, big-endian.
    #[prost(bytes = "bytes", tag = "1")]
    pub request: Bytes,
    /// Idempotency key of the caller.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Upstream that gets the request.
    #[prost(string, tag = "3")]
    pub upstream: String,
    /// Service of the upstream.
    #[prost(string, tag = "4")]
    pub service: String,
    /// Time left until the request's deadline, in microseconds.
    #[prost(uint64, tag = "5")]
    pub left_us: u64,
    /// Body of the request.
    #[prost(bytes = "bytes", tag = "6")]
    pub body: Bytes,
    /// Attempt id at the sender.
    #[prost(uint64, tag = "7")]
    pub attempt: u64,
    /// Number of this message among those that the sender has sent since its start, by which the
    /// receiver detects duplicates.
    #[prost(uint64, tag = "8")]
    pub number: u64,
    /// Start count of the receiver; one that has restarted since does not run the request.
    #[prost(uint64, tag = "9")]
    pub to: u64,
    /// Number of instances that have relayed the request, the sender included.
    #[prost(uint32, tag = "10")]
    pub hops: u32,
    /// Whether the request is a probe: it is not yet known to be harmless to upstreams.
    #[prost(bool, tag = "11")]
    pub probe: bool,
}

/// Results of relayed sub-requests.
#[derive(Clone, PartialEq, Message)]
pub struct Relayed {
    /// One result for each attempt that ended.
    #[prost(message, repeated, tag = "1")]
    pub results: Vec<RelayResult>,
}

/// Result of one relayed sub-request.
#[derive(Clone, PartialEq, Message)]
pub struct RelayResult {
    /// Attempt id at the receiver, from the [`RelayPart`] or [`RelayRun`].
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Identity of the caller's request that the upstream echoed.
    #[prost(bytes = "bytes", tag = "2")]
    pub request: Bytes,
    /// Snapshot that the upstream echoed.
    #[prost(uint64, tag = "3")]
    pub snapshot: u64,
    /// Shard that the upstream echoed.
    #[prost(string, tag = "4")]
    pub shard: String,
    /// How the attempt ended.
    #[prost(enumeration = "ResultCode", tag = "5")]
    pub code: i32,
    /// Hits of the shard.
    #[prost(message, repeated, tag = "6")]
    pub hits: Vec<Hit>,
    /// Time that the sub-request waited at the owner for a free slot of the upstream, in
    /// microseconds.
    #[prost(uint64, tag = "7")]
    pub queued_us: u64,
    /// Snapshots that the upstream serves, if the requested one is not among them.
    #[prost(uint64, repeated, tag = "8")]
    pub available: Vec<u64>,
    /// Attempt id that the upstream echoed, from [`RelayPart::echo`].
    #[prost(uint64, tag = "9")]
    pub echo: u64,
    /// Whether the upstream takes no new work.
    #[prost(bool, tag = "10")]
    pub draining: bool,
    /// Outcome of a request of the once class.
    #[prost(bytes = "bytes", tag = "11")]
    pub outcome: Bytes,
    /// Identity of the request of the once class; empty for a search.
    #[prost(bytes = "bytes", tag = "12")]
    pub run: Bytes,
}

/// How a relayed sub-request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ResultCode {
    /// Default value; never sent.
    Unspecified = 0,
    /// The upstream replied.
    Replied = 1,
    /// The upstream does not serve the snapshot.
    NoSnapshot = 2,
    /// The upstream or its owner is overloaded; the upstream did not start the work.
    Overloaded = 3,
    /// The upstream takes no new work.
    Leaving = 4,
    /// No byte was sent to the upstream.
    NotSent = 5,
    /// The connection broke while the upstream had the request.
    Broke = 6,
    /// The reply was late or malformed.
    Invalid = 7,
    /// The receiver does not send to the upstream; no byte was sent.
    Unrouted = 8,
    /// The upstream ran a request of the once class.
    Ran = 9,
}

/// One document that matches a search.
#[derive(Clone, PartialEq, Message)]
pub struct Hit {
    /// Identity of the document.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Score; greater is better.
    #[prost(uint64, tag = "2")]
    pub score: u64,
    /// Text of the document.
    #[prost(string, tag = "3")]
    pub text: String,
}

/// Cancellation of relayed sub-requests.
#[derive(Clone, PartialEq, Message)]
pub struct Cancel {
    /// Attempt ids of the sender.
    #[prost(uint64, repeated, tag = "1")]
    pub attempts: Vec<u64>,
}

/// A change of a claim that the receiver is asked to write to the platform.
#[derive(Clone, PartialEq, Message)]
pub struct Claim {
    /// Number by which the sender matches the result.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Bucket object of the claim.
    #[prost(string, tag = "2")]
    pub bucket: String,
    /// Record as JSON: added if its state is claimed, otherwise it replaces the state of the
    /// record of the same request.
    #[prost(bytes = "bytes", tag = "3")]
    pub record: Bytes,
    /// Whether to remove the record.
    #[prost(bool, tag = "4")]
    pub release: bool,
}

/// Result of a [`Claim`].
#[derive(Clone, PartialEq, Message)]
pub struct Claimed {
    /// Number from the [`Claim`].
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// How the claim ended: see `node::claims::ClaimCode`.
    #[prost(uint32, tag = "2")]
    pub code: u32,
    /// Record of the request that holds the key, as JSON, if it is another request.
    #[prost(bytes = "bytes", tag = "3")]
    pub record: Bytes,
    /// Identity of the claiming request, big-endian. It reveals a result for an earlier start of
    /// the receiver, whose ticket numbers begin again with each start.
    #[prost(bytes = "bytes", tag = "4")]
    pub request: Bytes,
}
