//! Traffic counters of the links.

use std::cell::Cell;

/// Counters since the instance started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Frames received.
    pub frames_in: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Frames written.
    pub frames_out: u64,
    /// Bytes written.
    pub bytes_out: u64,
    /// Socket writes; one write may carry many frames.
    pub writes: u64,
    /// Frames dropped: queue full, too old, not encodable, or lost with their connection.
    pub dropped: u64,
    /// Outgoing connections opened.
    pub opened: u64,
    /// Failed attempts to open a connection.
    pub connect_failures: u64,
    /// Incoming connections closed because of an invalid frame.
    pub malformed: u64,
}

/// Counters shared by all tasks.
#[derive(Debug, Default)]
pub(crate) struct SharedCounters(Cell<Counters>);

impl SharedCounters {
    pub(crate) fn get(&self) -> Counters {
        self.0.get()
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut Counters)) {
        let mut counters = self.0.get();
        change(&mut counters);
        self.0.set(counters);
    }
}
