//! Tests of the reducer.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod claims;
mod fleet;
mod history;
mod members;
mod search;
mod store;
