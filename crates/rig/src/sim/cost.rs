//! What an instance of the simulation uses.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use wire::Envelope;

/// What an instance has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Processor time of its reducer.
    pub cpu_time: Duration,
    /// Messages to peers.
    pub messages: u64,
    /// Size of the messages to peers with their framing, in bytes.
    pub bytes: u64,
}

impl Cost {
    /// Counts the processor time of some work.
    pub(super) fn measure(&mut self, work: impl FnOnce()) {
        let start = thread_cpu_time();
        work();
        self.cpu_time += thread_cpu_time().saturating_sub(start);
    }

    /// Counts a message to a peer.
    pub(super) fn sent(&mut self, message: &Envelope) {
        self.messages += 1;
        self.bytes += message.frame_bytes() as u64;
    }

    /// Returns what was used since an earlier state.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            cpu_time: self.cpu_time.saturating_sub(earlier.cpu_time),
            messages: self.messages - earlier.messages,
            bytes: self.bytes - earlier.bytes,
        }
    }
}

/// Returns the processor time of this thread.
pub fn thread_cpu_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}
