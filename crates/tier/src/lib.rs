//! The reducer of an entry instance that forwards requests and gathers answers over many shards.
//!
//! [`Tier`] takes [`Event`]s and appends [`Effect`]s. It does no I/O and reads no clock. What it
//! carries, the caller's request and an upstream's reply, stays opaque behind [`Protocol`].
//!
//! Each decision is a file of its own that names the load pattern it answers: [`placement`] chooses the
//! upstream, [`admit`] turns work away, [`hedge`] sends a second attempt, [`completion`] ends a search,
//! [`retry_after`] tells callers when to return, [`budget`] bounds extra attempts, [`crash`] stops
//! requests that break upstreams, [`shedding`] keeps shards from drowning, [`reachability`] notices that
//! nothing is reached, [`failure_rate`] notices what gets lost, [`handover`] chooses the instance that runs a search,
//! [`branch`] the shards of it that another one asks,
//! [`watchers`] the few instances that watch the platform.

pub mod admit;
pub mod branch;
pub mod budget;
mod call;
pub mod completion;
pub mod config;
pub mod crash;
pub mod directory;
pub mod effect;
pub mod event;
pub mod failure_rate;
pub mod handover;
pub mod hedge;
pub mod latency;
pub mod merge;
pub mod placement;
pub mod reachability;
pub mod retry_after;
pub mod settings;
pub mod shedding;
pub mod split;
pub mod tier;
mod timers;
pub mod upstream;
pub mod watchers;

pub use config::{Config, Route, Target};
pub use effect::{Answer, Effect, Note, OverloadedShard, Refusal};
pub use event::{AttemptKey, Event, Failure, HandOverOutcome, Head, Origin, Outcome, Protocol};
pub use handover::Instance;
pub use settings::Settings;
pub use tier::Tier;
pub use upstream::{Entry, UpstreamKey};
