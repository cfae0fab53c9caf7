//! Tests of the reducer.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod blame;
mod claims;
mod fleet;
mod history;
mod lost_owner;
mod members;
mod quantile;
mod search;
mod slots;
mod store;
mod upkeep;
