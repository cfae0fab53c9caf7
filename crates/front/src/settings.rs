//! Settings of the endpoints.

use std::time::Duration;

/// Limits and timeouts that apply to every caller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Limit on the body of a request, in bytes; an entry may allow less.
    pub max_body: usize,
    /// Limit on the request line and headers, in bytes.
    pub max_head: usize,
    /// Limit on concurrent connections; further ones are refused with status 503.
    pub max_connections: usize,
    /// Longest time between two requests on a connection, and to read the headers of a request.
    pub head_timeout: Duration,
    /// Longest time to read the body of a request.
    pub body_timeout: Duration,
    /// Longest time for which a caller may accept no data of a response.
    pub write_timeout: Duration,
    /// Time after a stop for which connections in the listener's queue are still accepted, and open
    /// connections may still start a request.
    pub stop_linger: Duration,
    /// Limit on entries with their own metrics; further ones share one label.
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
