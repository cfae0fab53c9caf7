//! Tests of the decisions.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod branch;
mod decisions;
mod follow;
mod handover;
mod load;
mod one;
mod overload;
mod world;
