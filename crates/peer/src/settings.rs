//! Settings of the links.

use std::time::Duration;

use base::ByteSize;

/// Limits and timeouts of all links of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time for one write; the connection is closed when a write takes longer.
    pub write_timeout: Duration,
    /// Delay after the first failure of a connection. A connection that broke after more than
    /// `max_backoff` counts as the first failure again.
    pub initial_backoff: Duration,
    /// Longest delay between attempts to connect; the delay doubles after each failure.
    pub max_backoff: Duration,
    /// Time after which a message that is still queued is dropped.
    pub max_frame_age: Duration,
    /// Idle time after which an outgoing connection is closed. Incoming connections are kept twice
    /// as long, so that the sender closes first.
    pub idle_timeout: Duration,
    /// Limit on the queued messages of one connection, in bytes.
    pub max_queue_bytes: ByteSize,
    /// Size at which no more frames are added to a write, in bytes.
    pub max_batch_bytes: ByteSize,
    /// Limit on concurrent incoming connections; further ones are closed.
    pub max_incoming: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            write_timeout: Duration::from_secs(5),
            initial_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_secs(1),
            max_frame_age: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(60),
            max_queue_bytes: ByteSize(4 << 20),
            max_batch_bytes: ByteSize(256 << 10),
            max_incoming: 1_024,
        }
    }
}
