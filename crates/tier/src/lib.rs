//! The reducer of an entry instance, which forwards requests to upstreams and gathers replies from
//! many shards.
//!
//! [`Tier`] handles [`Event`]s and emits [`Effect`]s. It does no I/O and reads no clock. The
//! caller's request and the upstream's reply are opaque to it, behind [`Protocol`].
//!
//! Each decision has a module, whose documentation starts with the load pattern that it handles:
//!
//! - [`placement`] chooses the upstream of a request.
//! - [`admit`] refuses requests and skips shards under overload.
//! - [`hedge`] decides when a part is sent to a second upstream.
//! - [`doubt`] tells whether a newer configuration may exist.
//! - [`limit`] keeps to the limits that upstreams name.
//! - [`cold`] keeps to the rate that cold upstreams bear.
//! - [`load_report`] keeps what upstreams report of their load.
//! - [`notice`] keeps what upstreams announce about themselves in their replies.
//! - [`quota`] divides the limits of organisations among all instances.
//! - [`completion`] decides when a search is answered or fails.
//! - [`retry_after`] gives refused callers the time of their next attempt.
//! - [`mechanism`] switches single decisions off.
//! - [`budget`] limits extra attempts.
//! - [`delay`] observes how long the way to callers and other instances takes.
//! - [`crash`] quarantines requests that crash upstreams.
//! - [`separation`] detects data centres that the instance no longer reaches.
//! - [`send_order`] sends the parts of urgent searches first.
//! - [`shedding`] reduces the load of shards whose replies are late.
//! - [`reachability`] detects that the instance is cut off from its upstreams.
//! - [`failure_rate`] tracks lost replies and missing parts.
//! - [`handover`] chooses the instance that runs a search, or a request while this one is cut off.
//! - [`branch`] chooses the shards that another instance queries.
//! - [`evacuation`] knows the data centres whose upstreams get nothing new.
//! - [`homes`] keeps requests within the regions that they may be sent to.
//! - [`pacing`] paces the calls that wait for changes on the platform.
//! - [`watchers`] chooses the instances that watch the platform.

pub mod admit;
pub mod branch;
pub mod budget;
mod call;
pub mod cold;
pub mod completion;
pub mod config;
pub mod crash;
pub mod delay;
pub mod directory;
pub mod doubt;
pub mod effect;
pub mod evacuation;
pub mod event;
pub mod failure_rate;
pub mod handover;
pub mod hedge;
pub mod homes;
pub mod latency;
pub mod limit;
pub mod load_report;
pub mod mechanism;
pub mod merge;
pub mod notice;
pub mod organisation;
pub mod pacing;
pub mod placement;
pub mod quota;
pub mod reachability;
pub mod retry_after;
pub mod send_order;
pub mod separation;
pub mod settings;
pub mod shedding;
pub mod split;
pub mod stopping;
pub mod tier;
mod timers;
pub mod upstream;
pub mod watchers;

pub use config::{Config, Route, Target};
pub use effect::{Answer, Effect, LimitedShard, Note, Refusal};
pub use event::{AttemptKey, Event, Failure, HandOverOutcome, Head, Origin, Outcome, Protocol};
pub use handover::{Instance, ProtocolLevel};
pub use settings::Settings;
pub use tier::Tier;
pub use upstream::{Entry, UpstreamKey};
