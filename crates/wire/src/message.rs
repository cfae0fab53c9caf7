//! The messages themselves.

use bytes::Bytes;
use prost::{Message, Oneof};

/// One message with its sender.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Name of the sending instance.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Start count of the sending instance.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// What is said.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub body: Option<Body>,
}

/// The kinds of message.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Liveness and hints, sent at a fixed interval.
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
    /// A claim that the receiver is asked to put on record.
    #[prost(message, tag = "9")]
    Claim(Claim),
    /// Result of a forwarded claim.
    #[prost(message, tag = "10")]
    Claimed(Claimed),
    /// Request to hand over upstreams.
    #[prost(message, tag = "11")]
    Handover(Handover),
    /// Upstreams to which the sender sends nothing more.
    #[prost(message, tag = "12")]
    Released(Released),
    /// A request of the once class for an upstream that the receiver owns.
    #[prost(message, tag = "13")]
    RelayRun(RelayRun),
}

/// Request to hand over upstreams that are assigned to the sender now.
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

/// Liveness and hints.
///
/// A probe asks for an answer, which is a heartbeat too. Sender's data centre and address are left
/// out once the receiver knows them.
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
    /// Greatest version of a watched object that the sender holds with all before it.
    #[prost(uint64, tag = "4")]
    pub seen: u64,
    /// Whether the sender is shutting down.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Members that the sender knows, a rotating few at a time.
    #[prost(message, repeated, tag = "6")]
    pub members: Vec<Member>,
    /// Upstreams that the sender heard are leaving.
    #[prost(message, repeated, tag = "7")]
    pub leaving_upstreams: Vec<LeavingUpstream>,
    /// Requests that broke upstreams.
    #[prost(message, repeated, tag = "8")]
    pub quarantine: Vec<Quarantined>,
    /// Whether the sender asks for an answer.
    #[prost(bool, tag = "9")]
    pub probe: bool,
    /// Sequence of the probe that this heartbeat answers, or zero.
    #[prost(uint64, tag = "10")]
    pub answers: u64,
    /// Whether the sender has just started or woken up and asks for members.
    #[prost(bool, tag = "11")]
    pub joining: bool,
}

/// What the sender knows of another instance.
#[derive(Clone, PartialEq, Message)]
pub struct Member {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its data centre, or empty when it is the sender's.
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

/// An upstream that takes no new work.
#[derive(Clone, PartialEq, Message)]
pub struct LeavingUpstream {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Age of the news when it was sent, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// A request that breaks upstreams.
#[derive(Clone, PartialEq, Message)]
pub struct Quarantined {
    /// Digest of service and body.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Upstreams that it broke.
    #[prost(string, repeated, tag = "2")]
    pub broke: Vec<String>,
    /// Time that the record is still to be kept, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub left_ms: u64,
}

/// Request for platform objects newer than a version.
#[derive(Clone, PartialEq, Message)]
pub struct Pull {
    /// Version up to which the sender holds every watched object.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// Time that the receiver may wait for news before it answers, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub wait_ms: u64,
    /// Digests of documents that the sender lacks, whatever their version.
    #[prost(string, repeated, tag = "3")]
    pub documents: Vec<String>,
}

/// Platform objects newer than a version.
#[derive(Clone, PartialEq, Message)]
pub struct Objects {
    /// The objects, in growing order of their versions.
    #[prost(message, repeated, tag = "1")]
    pub objects: Vec<Object>,
    /// Version up to which the receiver is complete once it holds the objects.
    #[prost(uint64, tag = "2")]
    pub seen: u64,
    /// Version that the pull named; `seen` holds only for a receiver complete up to it.
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
    /// The object as JSON.
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
    /// Snapshot that the answer is drawn from.
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
    /// One part for each shard.
    #[prost(message, repeated, tag = "7")]
    pub parts: Vec<RelayPart>,
    /// Times that the sub-requests were relayed before.
    #[prost(uint32, tag = "8")]
    pub hops: u32,
}

/// One relayed sub-request.
#[derive(Clone, PartialEq, Message)]
pub struct RelayPart {
    /// Attempt id of the sender.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Upstream to ask.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// Shard to search.
    #[prost(string, tag = "3")]
    pub shard: String,
    /// Whether the sub-request tries out a request that may break upstreams.
    #[prost(bool, tag = "4")]
    pub probe: bool,
    /// Attempt number that the upstream repeats; it is the first sender's.
    #[prost(uint64, tag = "5")]
    pub echo: u64,
}

/// A request of the once class for an upstream that the receiver owns.
///
/// The receiver sends it at most once and ignores a message that it has seen before.
#[derive(Clone, PartialEq, Message)]
pub struct RelayRun {
    /// Identity of the caller's request, big-endian.
    #[prost(bytes = "bytes", tag = "1")]
    pub request: Bytes,
    /// Key that the caller gave.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Upstream to ask.
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
    /// Attempt id of the sender.
    #[prost(uint64, tag = "7")]
    pub attempt: u64,
    /// Count of the runs that the sender has relayed since its start; tells duplicates.
    #[prost(uint64, tag = "8")]
    pub number: u64,
    /// Start count of the receiver that is meant.
    #[prost(uint64, tag = "9")]
    pub to: u64,
    /// Times that the request was relayed before.
    #[prost(uint32, tag = "10")]
    pub hops: u32,
    /// Whether the request may break upstreams.
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
    /// Attempt id of the instance that asked.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Identity of the caller's request, as the upstream echoed it.
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
    /// Time that the sub-request waited for a slot, in microseconds.
    #[prost(uint64, tag = "7")]
    pub queued_us: u64,
    /// Snapshots that the upstream serves, when it lacks the one asked for.
    #[prost(uint64, repeated, tag = "8")]
    pub available: Vec<u64>,
    /// Attempt number that the upstream echoed.
    #[prost(uint64, tag = "9")]
    pub echo: u64,
    /// Whether the upstream takes no new work.
    #[prost(bool, tag = "10")]
    pub draining: bool,
    /// Outcome of a request of the once class.
    #[prost(bytes = "bytes", tag = "11")]
    pub outcome: Bytes,
    /// Request of the once class that the result is of; empty for a search.
    #[prost(bytes = "bytes", tag = "12")]
    pub run: Bytes,
}

/// How a relayed sub-request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ResultCode {
    /// Not stated; never sent.
    Unspecified = 0,
    /// The upstream replied.
    Replied = 1,
    /// The upstream does not serve the snapshot.
    NoSnapshot = 2,
    /// The upstream or its owner had no room; the upstream did not start the work.
    Overloaded = 3,
    /// The upstream takes no new work.
    Leaving = 4,
    /// No byte was sent to the upstream.
    NotSent = 5,
    /// The connection broke while the upstream had the request.
    Broke = 6,
    /// The reply was late or not valid.
    Invalid = 7,
    /// The receiver does not send to the upstream; no byte was sent.
    Unrouted = 8,
    /// The upstream carried out a request of the once class.
    Ran = 9,
}

/// One hit.
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

/// A change of a claim that the receiver is asked to put on record.
#[derive(Clone, PartialEq, Message)]
pub struct Claim {
    /// Number that the sender uses to match the result.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Bucket object of the claim.
    #[prost(string, tag = "2")]
    pub bucket: String,
    /// Record to add, or with another state the record to replace, as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub record: Bytes,
    /// Whether the record is to be taken off.
    #[prost(bool, tag = "4")]
    pub release: bool,
}

/// Result of a forwarded claim.
#[derive(Clone, PartialEq, Message)]
pub struct Claimed {
    /// Number from the claim.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// How the claim ended: see `node::claims::ClaimCode`.
    #[prost(uint32, tag = "2")]
    pub code: u32,
    /// Record that holds the key, as JSON, when another holds it.
    #[prost(bytes = "bytes", tag = "3")]
    pub record: Bytes,
    /// Request that the claim is of, big-endian; tickets begin again with each start of the sender.
    #[prost(bytes = "bytes", tag = "4")]
    pub request: Bytes,
}
