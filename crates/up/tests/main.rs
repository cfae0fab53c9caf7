//! Tests of the pools against fake upstreams on loopback.
#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod connections;
mod failures;
mod fake;
mod harness;
mod replies;
