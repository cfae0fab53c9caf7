//! Whether a newer configuration may exist that this instance does not know yet.
//!
//! Load pattern: an instance starts from a list that is seconds old, loses the platform while
//! others reach it, or sees it come back from an older copy. What such an instance does not know
//! may be valid all the same.

use std::time::Duration;

use base::Time;

/// State of the doubt about the configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigDoubt {
    is_platform_lost: bool,
    /// Time until which changes from before may still arrive.
    until: Time,
}

impl ConfigDoubt {
    /// Records that the first configuration was read, or that the platform's data has changed under
    /// this instance; `delay` is the time in which changes arrive.
    pub fn restart(&mut self, now: Time, delay: Duration) {
        self.until = self.until.max(now + delay);
    }

    /// Records that the platform is unavailable.
    pub fn platform_lost(&mut self) {
        self.is_platform_lost = true;
    }

    /// Records that the platform is available again.
    pub fn platform_back(&mut self, now: Time, delay: Duration) {
        self.is_platform_lost = false;
        self.restart(now, delay);
    }

    /// Returns whether there may be a newer configuration than the one that is known.
    pub fn may_be_outdated(&self, now: Time) -> bool {
        self.is_platform_lost || now < self.until
    }
}
