//! Tests of the pools against small upstreams on loopback.
#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod bounds;
mod exact;
mod fake;
mod harness;
mod limit;
