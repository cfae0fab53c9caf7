//! What is known of one other instance.

use std::{net::SocketAddr, time::Duration};

use base::{DataCentre, Incarnation, Time, Version};
use wire::Heartbeat;

/// Share of the time until removal that applies once another member agrees, in percent.
const CONFIRMED_PERCENT: u32 = 60;

/// Liveness of a member as gossip carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum Liveness {
    /// The sender heard from the member lately.
    Live = 0,
    /// The member does not answer the sender.
    Suspect = 1,
}

impl Liveness {
    /// Reads the number that a message carries; unknown numbers count as live, which is harmless
    /// because gossip is verified.
    pub fn from_number(number: u32) -> Self {
        match number {
            1 => Self::Suspect,
            _ => Self::Live,
        }
    }
}

/// Standing of a member in the own view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MemberState {
    /// Known from gossip only; it joins the view once it answers.
    Candidate,
    /// Answers.
    Live,
    /// Left a probe unanswered; still in the view.
    Suspect,
    /// Removed from the view at that time; kept so that it is found again after a partition.
    Removed(Time),
}

/// Probes that the member has not answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unanswered {
    pub(super) first: Time,
    pub(super) last: Time,
}

#[derive(Clone, Debug)]
pub(super) struct Member {
    /// Hash of the name, for rendezvous hashing.
    pub(super) key: u64,
    pub(super) data_centre: DataCentre,
    pub(super) address: SocketAddr,
    pub(super) incarnation: Incarnation,
    pub(super) state: MemberState,
    pub(super) leaving: bool,
    pub(super) seen: Version,
    pub(super) last_received: Option<Time>,
    /// Time of the last probe that a rumour caused.
    pub(super) last_verified: Time,
    pub(super) unanswered: Option<Unanswered>,
    /// Whether another member suspects it too, by probes of its own.
    pub(super) confirmed: bool,
    /// Whether the member answered since it was told this instance's address.
    pub(super) knows_address: bool,
}

impl Member {
    pub(super) fn is_in_view(&self) -> bool {
        matches!(self.state, MemberState::Live | MemberState::Suspect)
    }

    /// Returns whether the member has been silent for `span`.
    pub(super) fn is_silent(&self, now: Time, span: Duration) -> bool {
        self.last_received.is_none_or(|at| now.since(at) >= span)
    }

    /// Forgets what was known of the earlier incarnation.
    pub(super) fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.knows_address = false;
        self.leaving = false;
        self.seen = Version::default();
    }

    /// Records a heartbeat.
    pub(super) fn record_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) {
        self.state = MemberState::Live;
        self.last_received = Some(now);
        self.unanswered = None;
        self.confirmed = false;
        self.leaving |= heartbeat.leaving;
        self.seen = self.seen.max(Version(heartbeat.seen));
        self.knows_address |= heartbeat.answers > 0;
    }

    /// Returns how long it may leave probes unanswered before it is removed.
    pub(super) fn removal_delay(&self, remove_after: Duration) -> Duration {
        match self.confirmed {
            true => remove_after * CONFIRMED_PERCENT / 100,
            false => remove_after,
        }
    }

    /// Records a probe.
    pub(super) fn record_probe(&mut self, now: Time) {
        let first = self.unanswered.map_or(now, |u| u.first);
        self.unanswered = Some(Unanswered { first, last: now });
    }
}
