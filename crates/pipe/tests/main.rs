//! Tests of client connections.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod flood;
mod truncated;
