//! Connection pools to upstreams.
//!
//! [`Pools`] keeps one pool of HTTP/1.1 connections per address. One task drives a connection and
//! its successive exchanges, so a request needs neither a task nor a timer of its own: all pools
//! share one timer wheel for deadlines.
//!
//! A failure is reported as [`Connect`](node::Failure::Connect) only when it is certain that no
//! byte of the request was written to a socket; otherwise as [`Broken`](node::Failure::Broken).

mod conn;
mod exchange;
mod hits;
mod job;
mod pool;
mod pools;
mod reply;
mod request;
pub mod settings;
pub mod stats;
mod wheel;

pub use pools::Pools;
pub use settings::Settings;
pub use stats::Stats;
