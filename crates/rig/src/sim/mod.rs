//! A small deterministic world for reducers: instances, platform, upstreams and callers on one
//! simulated clock, with faults, and a history that [`crate::history`] checks.
//!
//! Everything random comes from one seed, so a run is repeated from its plan and seed.

mod cost;
mod network;
mod platform;
mod scene;
mod upstream;
mod world;

pub use cost::{Cost, thread_time};
pub use scene::Scene;
pub use upstream::UpstreamPlan;
pub use world::{Fault, Plan, World};
