//! Messages about searches that one instance runs for another, and news of the platform.

use bytes::Bytes;
use prost::{Message, Oneof};

/// One message.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// What is said.
    #[prost(oneof = "Payload", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub payload: Option<Payload>,
}

/// The kinds of message.
#[derive(Clone, PartialEq, Oneof)]
pub enum Payload {
    /// A search that the receiver is asked to run.
    #[prost(message, tag = "1")]
    HandOver(HandOver),
    /// The receiver runs the search with this number.
    #[prost(uint64, tag = "2")]
    Accepted(u64),
    /// How a search ended.
    #[prost(message, tag = "3")]
    Done(Done),
    /// The answer to the search with this number is no longer wanted.
    #[prost(uint64, tag = "4")]
    Withdrawn(u64),
    /// Asks for a [`Payload::Pong`].
    #[prost(bool, tag = "5")]
    Ping(bool),
    /// A sign of life.
    #[prost(bool, tag = "6")]
    Pong(bool),
    /// Asks for news of the platform.
    #[prost(message, tag = "7")]
    Follow(Follow),
    /// Asks for no more news.
    #[prost(bool, tag = "8")]
    Unfollow(bool),
    /// News of the platform.
    #[prost(message, tag = "9")]
    Update(Update),
    /// Everything up to these revisions was told, and the platform answers the sender.
    #[prost(message, tag = "10")]
    Watermark(Watermark),
    /// The sender has no news of its own.
    #[prost(bool, tag = "11")]
    StoreLost(bool),
    /// The sender has heard in time that the search with this number is run.
    #[prost(uint64, tag = "12")]
    Confirmed(u64),
}

/// A request for news.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Follow {
    /// Revision up to which the sender knows the configuration.
    #[prost(uint64, tag = "1")]
    pub config: u64,
    /// Revision up to which the sender knows the upstreams.
    #[prost(uint64, tag = "2")]
    pub upstreams: u64,
}

/// Objects of one kind that were written or removed.
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    /// 0 for the configuration, 1 for upstreams.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Revision up to which they are complete.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Whether these are all objects of the kind.
    #[prost(bool, tag = "3")]
    pub is_whole: bool,
    /// The objects.
    #[prost(message, repeated, tag = "4")]
    pub objects: Vec<UpdatedObject>,
}

/// One object.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct UpdatedObject {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Whether it is gone.
    #[prost(bool, tag = "3")]
    pub is_gone: bool,
    /// Its content as JSON.
    #[prost(bytes = "bytes", tag = "4")]
    pub spec: Bytes,
}

/// Revisions up to which everything was told.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Watermark {
    /// Of the configuration.
    #[prost(uint64, tag = "1")]
    pub config: u64,
    /// Of the upstreams.
    #[prost(uint64, tag = "2")]
    pub upstreams: u64,
}

/// A search for another instance.
#[derive(Clone, PartialEq, Message)]
pub struct HandOver {
    /// Number that the sender gave it on this connection.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Time that is left to answer it, in microseconds.
    #[prost(uint64, tag = "2")]
    pub left_us: u64,
    /// Version of the configuration by which it is to be run.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Whether the caller was refused before.
    #[prost(bool, tag = "4")]
    pub was_refused: bool,
    /// Whether upstreams may have seen it before.
    #[prost(bool, tag = "5")]
    pub may_have_run: bool,
    /// Method.
    #[prost(string, tag = "6")]
    pub method: String,
    /// Path and query.
    #[prost(string, tag = "7")]
    pub target: String,
    /// Headers.
    #[prost(message, repeated, tag = "8")]
    pub headers: Vec<Header>,
    /// Body.
    #[prost(bytes = "bytes", tag = "9")]
    pub body: Bytes,
    /// The shards that are to be asked; all when there is none.
    #[prost(message, optional, tag = "10")]
    pub branch: Option<Branch>,
}

/// Shards of a search that the receiver is asked to ask.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Branch {
    /// Positions in the index.
    #[prost(uint32, repeated, tag = "1")]
    pub shards: Vec<u32>,
    /// Fewest of them that are worth an answer after it is due.
    #[prost(uint32, tag = "2")]
    pub min_parts: u32,
    /// Time until the answer is due, in microseconds.
    #[prost(uint64, tag = "3")]
    pub due_us: u64,
    /// Whether second attempts may be sent before [`Payload::Confirmed`].
    #[prost(bool, tag = "4")]
    pub is_confirmed: bool,
}

/// A shard that takes fewer than all searches.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct OverloadedShard {
    /// Position in the index.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// Share of searches that it takes.
    #[prost(float, tag = "2")]
    pub share: f32,
}

/// The end of a search that was run for another instance.
#[derive(Clone, PartialEq, Message)]
pub struct Done {
    /// Number of the search.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Status of the answer; zero when the search was declined and has not run.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Headers of the answer.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
    /// Body of the answer.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
    /// Shards that are short of room, if only some were asked for.
    #[prost(message, repeated, tag = "5")]
    pub overloaded: Vec<OverloadedShard>,
}

/// One header.
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
