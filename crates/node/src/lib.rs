//! The reducer of one instance: events in, effects out.
//!
//! [`Node::on`] takes one [`Event`] with its time and appends [`Effect`]s. It does no I/O, reads no
//! clock and draws random numbers only from its seed, so a run is replayed from its events.

pub mod effect;
pub mod event;
pub mod members;
pub mod node;
pub mod object;
pub mod protocol;
pub mod stats;
pub mod store;

pub use effect::{Answer, Coverage, Effect, Found, PlatformOp, Reason, Refusal, Send};
pub use event::{Call, Event, Failure, PlatformEvent, Reply, UpstreamEvent};
pub use node::Node;
pub use object::{Kind, Object};
pub use protocol::{Echo, Hit, SubRequest};
pub use stats::Stats;
