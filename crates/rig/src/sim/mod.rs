//! Deterministic simulation of reducers: instances, platform, upstreams and callers on one
//! simulated clock, with fault injection and a recorded history that [`crate::history`] checks.
//!
//! All randomness comes from one seed, so the plan and the seed reproduce a run exactly.

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
