//! Limits of the pools.

use std::time::Duration;

/// Limits that hold for every pool; the connection limit comes with each request instead.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Idle connections kept to one address.
    pub idle_connections: usize,
    /// Time after which an idle connection is closed.
    pub idle_time: Duration,
    /// Size of a reply's body, in bytes.
    pub max_reply_bytes: usize,
    /// Hits in one reply.
    pub max_hits: usize,
    /// Size of a hit's id or text, in bytes.
    pub max_text_bytes: usize,
    /// Longest time that a cancellation message may take.
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
