//! Settings of the links.

use std::time::Duration;

use base::ByteSize;

/// Bounds and times of all links of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time for one write; a peer that reads nothing for so long loses its connection.
    pub write_timeout: Duration,
    /// First pause after a connection could not be opened or broke at once.
    pub initial_backoff: Duration,
    /// Longest pause between attempts to open a connection.
    pub max_backoff: Duration,
    /// Age at which a frame that still waits for its connection is dropped.
    pub max_frame_age: Duration,
    /// Time without a frame after which an outgoing connection is closed. Incoming ones are kept
    /// twice as long, so that the sender closes first.
    pub idle_timeout: Duration,
    /// Frames that wait for one connection, in bytes.
    pub max_queue_bytes: ByteSize,
    /// Frames encoded into one write, in bytes.
    pub max_batch_bytes: ByteSize,
    /// Incoming connections at once; further ones are closed.
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
