//! Limits of the endpoints.

use std::time::Duration;

/// Limits that hold for every caller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Size of a request's body, in bytes; an entry may allow less.
    pub max_body: usize,
    /// Size of a request's line and headers, in bytes.
    pub max_head: usize,
    /// Connections that are served at once; further ones are answered with status 503.
    pub max_connections: usize,
    /// Longest time between two requests on a connection, and to read one request's headers.
    pub head_timeout: Duration,
    /// Longest time to read one request's body.
    pub body_timeout: Duration,
    /// Longest time for which a caller may take no byte of an answer.
    pub write_timeout: Duration,
    /// Time for which connections that wait in the listener's queue are still accepted after the
    /// listener was told to stop.
    pub stop_linger: Duration,
    /// Entries that have metrics of their own; further ones share one label.
    pub max_entry_labels: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_body: 1 << 20,
            max_head: 16 << 10,
            max_connections: 4096,
            head_timeout: Duration::from_secs(60),
            body_timeout: Duration::from_secs(5),
            write_timeout: Duration::from_secs(10),
            stop_linger: Duration::from_millis(20),
            max_entry_labels: 512,
        }
    }
}
