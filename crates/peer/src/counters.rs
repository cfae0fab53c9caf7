//! Counts of what the links carried.

use std::cell::Cell;

/// Counts since the instance started.
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
    /// Writes; a write carries all frames that waited.
    pub writes: u64,
    /// Frames dropped because their queue was full, they were too old or their connection broke.
    pub dropped: u64,
    /// Outgoing connections opened.
    pub opened: u64,
    /// Attempts to open a connection that failed.
    pub connect_failures: u64,
    /// Incoming connections closed because of a frame that is not valid.
    pub malformed: u64,
}

/// Counters that tasks share.
#[derive(Debug, Default)]
pub(crate) struct Count(Cell<Counters>);

impl Count {
    pub(crate) fn get(&self) -> Counters {
        self.0.get()
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut Counters)) {
        let mut counters = self.0.get();
        change(&mut counters);
        self.0.set(counters);
    }
}
