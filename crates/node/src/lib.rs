//! The reducer of one instance, a deterministic state machine from events to effects.
//!
//! [`Node::on`] takes one [`Event`] with its time and appends the resulting [`Effect`]s. It does no
//! I/O, reads no clock and draws random numbers only from a seeded generator, so a run can be
//! replayed from its events.

pub mod admission;
pub mod attempt;
pub mod budget;
mod catalogue;
pub mod claims;
pub mod directory;
mod dispatch;
mod drain;
pub mod effect;
pub mod event;
pub mod members;
pub mod node;
pub mod object;
pub mod owners;
mod peers;
mod probe;
pub mod protocol;
pub use base::quantile;
pub mod quarantine;
mod relay;
mod relay_run;
mod replies;
mod run;
mod search;
pub mod search_state;
pub mod stats;
pub mod store;
pub mod timers;
pub mod upstreams;

pub use effect::{Answer, Coverage, Effect, PlatformOp, Reason, Refusal, SearchResults, Send};
pub use event::{Call, Event, Failure, PlatformEvent, Reply, UpstreamEvent};
pub use node::{Config, Identity, Node};
pub use object::{Kind, Object};
pub use protocol::{Echo, Hit, SubRequest};
pub use stats::Stats;
