//! Test-only tools: stand-ins for the platform and the upstreams, a simulation of whole data
//! centres, history checks, a load generator, experiments and benches.
//!
//! Each server runs on its own thread with its own compio runtime and stops when its handle is
//! dropped.

pub mod bench;
pub mod client;
pub mod demo;
pub mod edge;
pub mod fleet;
pub mod history;
pub mod load;
pub mod platform;
pub mod reply;
pub mod report;
pub mod server;
pub mod sim;
pub mod soak;
mod stream;
pub mod upstream;
