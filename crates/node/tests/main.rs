//! Tests of the reducer.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;
mod members;
mod search;
mod store;
