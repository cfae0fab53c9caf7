//! Tests of the HTTP endpoints over loopback.
#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod answers;
mod disconnect;
mod drain;
mod harness;
mod input;
mod ops;
