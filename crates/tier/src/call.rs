//! A caller's request in hand.

use std::{rc::Rc, time::Duration};

use base::{InstanceName, ServiceName, Time};

use crate::{
    completion::Progress,
    config::Config,
    effect::FailedAttempt,
    event::{AttemptKey, Head, Protocol},
    upstream::UpstreamKey,
};

/// A request in hand.
pub(crate) struct Call<C: Protocol> {
    pub(crate) head: Head,
    pub(crate) request: C::Request,
    /// The one version of the configuration that all parts come from.
    pub(crate) config: Rc<Config>,
    /// Position of the route in that version.
    pub(crate) route: usize,
    pub(crate) arrived: Time,
    pub(crate) allowed: Duration,
    pub(crate) soft_deadline: Time,
    pub(crate) deadline: Time,
    /// Whether the caller was refused before.
    pub(crate) was_refused: bool,
    pub(crate) parts: Vec<Part<C::Reply>>,
    pub(crate) min_parts: usize,
    /// The instance that runs it instead of this one.
    pub(crate) handed_to: Option<InstanceName>,
    /// Shards that another instance asks, if any.
    pub(crate) branch: Option<Branch>,
    /// What that instance has got from them.
    pub(crate) branch_reply: Option<C::Reply>,
    /// The instance that it was handed to last.
    pub(crate) via: Option<InstanceName>,
    /// How often it was handed to an instance.
    pub(crate) handovers: u32,
    /// When it was handed over last.
    pub(crate) handed_at: Time,
    /// Whether upstreams may have seen it before it came here.
    pub(crate) is_repeat: bool,
    /// Whether whoever sent it is known to wait for it still; one that has given up may have it run
    /// elsewhere, with an attempt of each part.
    pub(crate) is_confirmed: bool,
    /// Time since which the instance that has it must have been heard from.
    pub(crate) alive_since: Time,
    /// Whether an upstream may have begun to run it.
    pub(crate) may_have_run: bool,
    pub(crate) extra_attempts: usize,
    pub(crate) skipped: usize,
    pub(crate) failed_attempts: Vec<FailedAttempt>,
}

/// Shards of a search that another instance asks.
#[derive(Debug)]
pub(crate) struct Branch {
    /// The instance.
    pub(crate) instance: InstanceName,
    /// Positions of all shards that are far from here.
    pub(crate) remote_shards: Vec<usize>,
    /// Positions of those that it asks.
    pub(crate) parts: Vec<usize>,
    /// Whether its reply has not come.
    pub(crate) is_open: bool,
}

/// What is asked of one service.
#[derive(Debug)]
pub(crate) struct Part<R> {
    pub(crate) service: ServiceName,
    /// Upstreams that were handed the request.
    pub(crate) tried: Vec<UpstreamKey>,
    /// Attempts that could not be sent.
    pub(crate) unsent: usize,
    /// Attempts in flight.
    pub(crate) in_flight: Vec<AttemptKey>,
    pub(crate) state: PartState<R>,
    /// Whether it came after the time by which answers are due.
    pub(crate) is_late: bool,
}

/// How far a part is.
#[derive(Debug)]
pub(crate) enum PartState<R> {
    /// It is asked for.
    Open,
    /// It is in.
    Received(R),
    /// It is in, among those that another instance has got.
    ReceivedByBranch,
    /// It can't come any more, or was not asked for.
    Lost,
}

impl<R> Part<R> {
    pub(crate) fn new(service: ServiceName) -> Self {
        Self {
            service,
            tried: Vec::new(),
            unsent: 0,
            in_flight: Vec::new(),
            state: PartState::Open,
            is_late: false,
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        matches!(self.state, PartState::Open)
    }
}

impl<C: Protocol> Call<C> {
    /// Returns the instance that is waited for, if any.
    pub(crate) fn remote_instance(&self) -> Option<&InstanceName> {
        let branch = self.branch.as_ref().filter(|branch| branch.is_open);
        self.handed_to
            .as_ref()
            .or(branch.map(|branch| &branch.instance))
    }

    pub(crate) fn progress(&self) -> Progress {
        let count = |wanted: fn(&PartState<C::Reply>) -> bool| {
            self.parts.iter().filter(|part| wanted(&part.state)).count()
        };
        Progress {
            asked: self.parts.len(),
            answered: count(|state| {
                matches!(state, PartState::Received(_) | PartState::ReceivedByBranch)
            }),
            lost: count(|state| matches!(state, PartState::Lost)),
            min_parts: self.min_parts,
        }
    }
}
