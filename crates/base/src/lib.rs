//! Identifiers, sizes, rates and times that the other crates share.
//!
//! Identifiers, sizes, rates and durations are plain data with [`Display`](std::fmt::Display) and
//! [`FromStr`](std::str::FromStr); parsing never panics.

pub mod id;
pub mod quantile;
pub mod size;
pub mod span;
pub mod time;

pub use id::{
    AttemptId, CallId, DataCentre, EntryName, IdempotencyKey, Incarnation, InstanceName, OpId,
    OrganisationName, RegionName, RequestId, Revision, ServiceName, ShardName, SnapshotId,
    UpstreamName, Version,
};
pub use size::{ByteSize, Percent, Rate};
pub use span::Span;
pub use time::Time;
