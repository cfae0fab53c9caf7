//! Limits of the pools.

use std::time::Duration;

/// Limits that apply to every pool; the connection limit is part of each request instead.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Limit on idle connections per address.
    pub idle_connections: usize,
    /// Time after which an idle connection is closed.
    pub idle_time: Duration,
    /// Limit on the body of a reply, in bytes.
    pub max_reply_bytes: usize,
    /// Limit on the hits in one reply.
    pub max_hits: usize,
    /// Limit on the id and on the text of a hit, in bytes.
    pub max_text_bytes: usize,
    /// Longest time to send a cancellation message and receive its reply.
    pub cancel_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            idle_connections: 256,
            idle_time: Duration::from_secs(30),
            max_reply_bytes: 4 << 20,
            max_hits: 10_000,
            max_text_bytes: 64 << 10,
            cancel_timeout: Duration::from_secs(1),
        }
    }
}
