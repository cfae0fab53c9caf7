//! A small deterministic world for reducers: instances, platform, upstreams and callers on one
//! simulated clock, with faults, and a history that [`crate::history`] checks.
//!
//! Everything random comes from one seed, so a run is repeated from its plan and seed.

mod cost;
mod network;
mod platform;
mod scenario;
mod upstream;
mod world;

pub use cost::{Cost, thread_cpu_time};
pub use scenario::Scenario;
pub use upstream::UpstreamBehaviour;
pub use world::{Fault, Plan, World};
