//! Stand-ins for the platform and the upstreams, and a load generator; for tests only.
//!
//! Every server runs on one thread with one compio runtime and stops when its handle is dropped.

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
