//! Dispatch of attempts to upstreams: slots, queues and cancellation.

use std::time::Duration;

use base::Time;

use crate::{
    attempt::{Attempt, AttemptKey, Origin, Stage},
    directory::UpstreamId,
    effect::{Effect, Send},
    node::Node,
    protocol::SubRequest,
    search::AttemptFailure,
};

/// Time after its deadline for which an attempt without a reply keeps its slot.
///
/// An upstream counts the deadline from the arrival of the request, so it may still be working when
/// the deadline has passed here. After this time the connection is given up.
const SEND_GRACE: Duration = Duration::from_millis(50);

/// Result of dispatching an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DispatchResult {
    /// The attempt was sent or relayed, or waits for a slot or for a probe.
    Accepted,
    /// The attempt was not sent, for the given reason.
    Rejected(AttemptFailure),
}

impl Node {
    /// Sends an attempt to its upstream, or queues it until a slot is free.
    pub(crate) fn dispatch(
        &mut self,
        now: Time,
        attempt: Attempt,
        effects: &mut Vec<Effect>,
    ) -> (AttemptKey, DispatchResult) {
        let key = self.insert_attempt(attempt);
        if let Err(failure) = self.check_dispatch(now, key) {
            return (key, DispatchResult::Rejected(failure));
        }
        if !self.join_running_probe(key) {
            self.enqueue(now, key, effects);
        }
        (key, DispatchResult::Accepted)
    }

    /// Checks whether an attempt may be sent to its upstream; the error is the reason if not.
    fn check_dispatch(&self, now: Time, key: AttemptKey) -> Result<(), AttemptFailure> {
        let attempt = self.attempts.get(key).ok_or(AttemptFailure::NotSent)?;
        let upstream = self
            .upstreams
            .get(attempt.upstream)
            .ok_or(AttemptFailure::NotSent)?;
        if upstream.is_leaving(now) {
            return Err(AttemptFailure::Leaving);
        }
        let name = self.directory.names().name(attempt.upstream);
        if self
            .quarantine
            .remaining(now, attempt.fingerprint)
            .is_some()
            || self.quarantine.has_broken(now, attempt.fingerprint, name)
        {
            return Err(AttemptFailure::Broken);
        }
        let full = upstream.slots_in_use >= upstream.declaration.slots;
        if full && now + upstream.expected_wait() > attempt.deadline {
            return Err(AttemptFailure::Overloaded);
        }
        Ok(())
    }

    /// Appends an attempt to the queue of its upstream, and sends what the free slots allow.
    pub(crate) fn enqueue(&mut self, now: Time, key: AttemptKey, effects: &mut Vec<Effect>) {
        let Some(id) = self.attempts.get(key).map(|a| a.upstream) else {
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.queue.push_back(key);
        }
        self.send_queued(now, id, effects);
    }

    /// Stores an attempt. A sub-request of an own search gets the identifier of the attempt.
    pub(crate) fn insert_attempt(&mut self, mut attempt: Attempt) -> AttemptKey {
        self.attempts.insert_with_key(|key| {
            let own = matches!(attempt.origin, Origin::Search { .. });
            if let (true, Some(SubRequest::Search { echo, .. })) = (own, &mut attempt.sub_request) {
                echo.attempt = key.id().0;
            }
            attempt
        })
    }

    /// Passes an attempt to the connection pool; it occupies a slot from now on.
    fn transmit(&mut self, now: Time, key: AttemptKey, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(attempt.upstream) else {
            return;
        };
        let Some(sub_request) = attempt.sub_request.take() else {
            return;
        };
        attempt.stage = Stage::Sent;
        attempt.sent = now;
        upstream.slots_in_use += 1;
        self.stats.attempts_in_flight += 1;
        effects.push(Effect::Send(Send {
            attempt: key.id(),
            address: upstream.declaration.address,
            connections: upstream.declaration.connections,
            timeout: attempt.deadline.since(now),
            grace: SEND_GRACE,
            sub_request,
        }));
    }

    /// Frees the slot of an attempt that ended at its upstream, and sends the next one.
    pub(crate) fn free_slot(&mut self, now: Time, id: UpstreamId, effects: &mut Vec<Effect>) {
        self.stats.attempts_in_flight = self.stats.attempts_in_flight.saturating_sub(1);
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.slots_in_use = upstream.slots_in_use.saturating_sub(1);
        }
        self.release_upstream(id, effects);
        self.send_queued(now, id, effects);
    }

    /// Sends queued attempts while the upstream has free slots, if this instance holds the
    /// upstream.
    pub(crate) fn send_queued(&mut self, now: Time, id: UpstreamId, effects: &mut Vec<Effect>) {
        if !self.owners.holds(id) || !self.is_view_fresh(now) {
            return;
        }
        loop {
            let Some(upstream) = self.upstreams.get_mut(id) else {
                return;
            };
            if upstream.slots_in_use >= upstream.declaration.slots {
                return;
            }
            let Some(key) = upstream.queue.pop_front() else {
                return;
            };
            let is_pending = self
                .attempts
                .get(key)
                .is_some_and(|a| a.stage == Stage::Queued && a.deadline > now);
            if is_pending {
                self.transmit(now, key, effects);
            }
        }
    }

    /// Cancels an attempt, whatever its progress.
    pub(crate) fn cancel(&mut self, now: Time, key: AttemptKey, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        match attempt.stage {
            Stage::Queued => {
                if let Some(attempt) = self.attempts.remove(key) {
                    self.probe_ended(now, key, &attempt, false, effects);
                }
            }
            // A run that was sent is never cancelled: it may already be executing.
            Stage::Sent if attempt.run.is_some() => {}
            Stage::Sent => {
                attempt.stage = Stage::Cancelled;
                self.stats.cancelled += 1;
                effects.push(Effect::Cancel(key.id()));
            }
            Stage::Relayed(_) => {
                self.stats.cancelled += 1;
                self.cancel_relayed(now, key);
                self.attempts.remove(key);
            }
            Stage::Cancelled => {}
        }
    }
}
