//! Resource usage of a simulated instance.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use wire::Envelope;

/// Resources that an instance has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// CPU time of its reducer.
    pub cpu_time: Duration,
    /// Number of messages to peers.
    pub messages: u64,
    /// Size of the messages to peers including framing, in bytes.
    pub bytes: u64,
}

impl Cost {
    /// Runs a closure and adds its CPU time.
    pub(super) fn measure(&mut self, work: impl FnOnce()) {
        let start = thread_cpu_time();
        work();
        self.cpu_time += thread_cpu_time().saturating_sub(start);
    }

    /// Adds a message to a peer.
    pub(super) fn count_message(&mut self, message: &Envelope) {
        self.messages += 1;
        self.bytes += message.frame_bytes() as u64;
    }

    /// Returns the usage since an earlier reading.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            cpu_time: self.cpu_time.saturating_sub(earlier.cpu_time),
            messages: self.messages - earlier.messages,
            bytes: self.bytes - earlier.bytes,
        }
    }
}

/// Returns the CPU time that this thread has used, or zero if the clock cannot be read.
pub fn thread_cpu_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}
