//! State of a pending request.

use std::{rc::Rc, time::Duration};

use base::{InstanceName, OrganisationName, ServiceName, Time};

use crate::{
    admit::Overload,
    completion::Progress,
    config::Config,
    effect::FailedAttempt,
    event::{AttemptKey, Head, Protocol},
    upstream::UpstreamKey,
};

/// A pending request, from a caller or from another instance.
pub(crate) struct Call<C: Protocol> {
    pub(crate) head: Head,
    /// Hash of the request's id.
    pub(crate) id_hash: u64,
    pub(crate) request: C::Request,
    /// The configuration that the whole call runs with.
    pub(crate) config: Rc<Config>,
    /// Position of the route in that configuration.
    pub(crate) route: usize,
    /// The organisation of the caller, if it belongs to one.
    pub(crate) organisation: Option<OrganisationName>,
    /// End of the token that it has of the organisation's limit.
    pub(crate) token: Option<Time>,
    pub(crate) arrived: Time,
    /// Time that the caller waits, from the arrival on.
    pub(crate) allowed: Duration,
    /// Time from which a search is answered with the parts received so far, if they are enough.
    pub(crate) soft_deadline: Time,
    /// Time after which an answer could no longer reach the caller.
    pub(crate) deadline: Time,
    /// Whether the caller was refused before.
    pub(crate) was_refused: bool,
    pub(crate) parts: Vec<Part<C::Reply>>,
    /// Minimum number of parts of a successful answer.
    pub(crate) min_parts: usize,
    /// The instance that currently runs the call instead of this one.
    pub(crate) handed_to: Option<InstanceName>,
    /// The shards that another instance queries, if any.
    pub(crate) branch: Option<Branch>,
    /// The reply of that instance, with the parts that it gathered.
    pub(crate) branch_reply: Option<C::Reply>,
    /// The instance that the call was last handed to.
    pub(crate) via: Option<InstanceName>,
    /// Number of handovers so far.
    pub(crate) handovers: u32,
    /// Time of the last handover.
    pub(crate) handed_at: Time,
    /// Whether another instance may already have used one attempt of each part.
    pub(crate) may_have_run_elsewhere: bool,
    /// Whether the sender has confirmed that it still waits. Without that, it may have given up and
    /// had the search run elsewhere, with an attempt of each part, so no second attempts are sent.
    pub(crate) is_confirmed: bool,
    /// Time since which the instance that has the call must have shown activity to count as alive.
    pub(crate) alive_since: Time,
    /// Whether an upstream may have begun to run the request.
    pub(crate) may_have_run: bool,
    /// Attempts beyond the first of each part.
    pub(crate) extra_attempts: usize,
    /// Parts that admission control skipped.
    pub(crate) skipped: usize,
    pub(crate) failed_attempts: Vec<FailedAttempt>,
    /// Why the call was refused for overload, if it was.
    pub(crate) overload: Option<Overload>,
}

/// Shards of a search that another instance queries.
#[derive(Debug)]
pub(crate) struct Branch {
    /// The instance that queries them.
    pub(crate) instance: InstanceName,
    /// Positions of all shards that the instance could query, including those that were skipped.
    pub(crate) remote_shards: Vec<usize>,
    /// Positions of the shards that the instance queries.
    pub(crate) parts: Vec<usize>,
    /// Whether its reply is still pending.
    pub(crate) is_open: bool,
}

/// The part of a call that one service answers.
#[derive(Debug)]
pub(crate) struct Part<R> {
    pub(crate) service: ServiceName,
    /// Upstreams that the request was sent to.
    pub(crate) tried: Vec<UpstreamKey>,
    /// Number of attempts that failed before the request was sent.
    pub(crate) unsent: usize,
    pub(crate) in_flight: Vec<AttemptKey>,
    pub(crate) state: PartState<R>,
    /// Whether the reply arrived after the soft deadline.
    pub(crate) is_late: bool,
}

/// State of a part.
#[derive(Debug)]
pub(crate) enum PartState<R> {
    /// The reply is pending.
    Open,
    /// The reply has been received.
    Received(R),
    /// The reply has been received by the branch instance and is part of its reply.
    ReceivedByBranch,
    /// The part was skipped, or has failed and is not retried.
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
    /// Returns the instance whose answer or branch reply is pending, if any.
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
