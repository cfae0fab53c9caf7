//! State of one other instance.

use std::{net::SocketAddr, time::Duration};

use base::{DataCentre, Incarnation, Time, Version};
use wire::Heartbeat;

/// Share of the time until removal that applies once another member suspects the member too, in
/// percent.
const CONFIRMED_PERCENT: u32 = 60;

/// Liveness of a member as gossip reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum Liveness {
    /// The member answers the sender.
    Live = 0,
    /// The member does not answer the sender.
    Suspect = 1,
}

impl Liveness {
    /// Converts the number in a message; unknown numbers count as live, which is harmless because
    /// gossip is verified by a probe.
    pub fn from_number(number: u32) -> Self {
        match number {
            1 => Self::Suspect,
            _ => Self::Live,
        }
    }
}

/// State of a member in this instance's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MemberState {
    /// Known from gossip only; it joins the view once it answers.
    Candidate,
    /// Answers probes.
    Live,
    /// Left a probe unanswered; still in the view.
    Suspect,
    /// Removed from the view at this time; kept so that it is found again after a partition.
    Removed(Time),
}

/// Times of the first and the last probe that the member has not answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unanswered {
    pub(super) first: Time,
    pub(super) last: Time,
}

/// One other instance, as this instance knows it.
#[derive(Clone, Debug)]
pub(super) struct Member {
    /// Hash of the name, for rendezvous hashing.
    pub(super) key: u64,
    pub(super) data_centre: DataCentre,
    pub(super) address: SocketAddr,
    pub(super) incarnation: Incarnation,
    pub(super) state: MemberState,
    /// Whether the member is shutting down and takes no new work.
    pub(super) leaving: bool,
    /// Version up to which the member's store is complete.
    pub(super) seen: Version,
    /// Time of the last message from the member.
    pub(super) last_received: Option<Time>,
    /// Time of the last probe that gossip caused.
    pub(super) last_verified: Time,
    pub(super) unanswered: Option<Unanswered>,
    /// Whether another member suspects it too, because of its own probes.
    pub(super) confirmed: bool,
    /// Whether the member answered since it was sent this instance's address.
    pub(super) knows_address: bool,
}

impl Member {
    pub(super) fn is_in_view(&self) -> bool {
        matches!(self.state, MemberState::Live | MemberState::Suspect)
    }

    /// Returns whether nothing was received from the member for `span`.
    pub(super) fn is_silent(&self, now: Time, span: Duration) -> bool {
        self.last_received.is_none_or(|at| now.since(at) >= span)
    }

    /// Resets what belongs to the earlier incarnation.
    pub(super) fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.knows_address = false;
        self.leaving = false;
        self.seen = Version::default();
    }

    /// Records a heartbeat of the member.
    pub(super) fn record_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) {
        self.state = MemberState::Live;
        self.last_received = Some(now);
        self.unanswered = None;
        self.confirmed = false;
        self.leaving |= heartbeat.leaving;
        self.seen = self.seen.max(Version(heartbeat.seen));
        self.knows_address |= heartbeat.answers > 0;
    }

    /// Returns how long the member may leave probes unanswered before it is removed.
    pub(super) fn removal_delay(&self, remove_after: Duration) -> Duration {
        match self.confirmed {
            true => remove_after * CONFIRMED_PERCENT / 100,
            false => remove_after,
        }
    }

    /// Records a probe sent to the member.
    pub(super) fn record_probe(&mut self, now: Time) {
        let first = self.unanswered.map_or(now, |u| u.first);
        self.unanswered = Some(Unanswered { first, last: now });
    }
}
