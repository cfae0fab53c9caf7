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
    pub first_backoff: Duration,
    /// Longest pause between attempts to open a connection.
    pub last_backoff: Duration,
    /// Age at which a frame that still waits for its connection is dropped.
    pub frame_age: Duration,
    /// Time without a frame after which an outgoing connection is closed. Incoming ones are kept
    /// twice as long, so that the sender closes first.
    pub idle: Duration,
    /// Frames that wait for one connection, in bytes.
    pub queue: ByteSize,
    /// Frames encoded into one write, in bytes.
    pub batch: ByteSize,
    /// Incoming connections at once; further ones are closed.
    pub incoming: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            write_timeout: Duration::from_secs(5),
            first_backoff: Duration::from_millis(20),
            last_backoff: Duration::from_secs(1),
            frame_age: Duration::from_secs(1),
            idle: Duration::from_secs(60),
            queue: ByteSize(4 << 20),
            batch: ByteSize(256 << 10),
            incoming: 1_024,
        }
    }
}
