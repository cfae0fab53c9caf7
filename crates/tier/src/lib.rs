//! The reducer of an entry instance that forwards requests and gathers answers over many shards.
//!
//! [`Tier`] takes [`Event`]s and appends [`Effect`]s. It does no I/O and reads no clock. What it
//! carries, the caller's request and an upstream's reply, stays opaque behind [`Carried`].
//!
//! Each decision is a file of its own that names the load pattern it answers: [`place`] chooses the
//! upstream, [`admit`] turns work away, [`hedge`] sends a second attempt, [`ending`] ends a search,
//! [`comeback`] tells callers when to return, [`budget`] bounds extra attempts, [`crash`] stops
//! requests that break upstreams, [`valve`] keeps shards from drowning, [`reach`] notices that
//! nothing is reached, [`losses`] notices what gets lost, [`handover`] chooses the instance that runs a search,
//! [`branch`] the shards of it that another one asks,
//! [`follow`] the few instances that watch the platform.

pub mod admit;
pub mod branch;
pub mod budget;
mod call;
pub mod comeback;
pub mod config;
pub mod crash;
pub mod directory;
pub mod effect;
pub mod ending;
pub mod event;
pub mod follow;
pub mod handover;
pub mod hedge;
pub mod latency;
pub mod losses;
pub mod merge;
pub mod place;
pub mod reach;
pub mod settings;
pub mod split;
pub mod tier;
mod timers;
pub mod upstream;
pub mod valve;

pub use config::{Config, Route, Target};
pub use effect::{Answer, Effect, Note, Refusal, ShortShard};
pub use event::{AttemptKey, Carried, Event, Failure, Handed, Head, Origin, Outcome};
pub use handover::Instance;
pub use settings::Settings;
pub use tier::Tier;
pub use upstream::{Entry, UpKey};
