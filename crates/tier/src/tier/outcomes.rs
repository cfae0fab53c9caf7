//! Statistics of upstreams and routes, from attempt outcomes.

use std::time::Duration;

use base::Time;

use super::{Attempt, Tier, calls::is_gather};
use crate::{
    effect::{Effect, Note},
    event::{AttemptKey, Failure, Outcome, Protocol, Reply},
    load_report::{self, Received},
    mechanism::Mechanism,
    timers::Due,
};

/// Latency sample recorded for a rejected request, as a multiple of the route's mean.
const FULL_LATENCY_RATIO: u32 = 4;

/// Time for which an upstream gets no new requests after it has rejected one.
const FULL_BACKOFF: Duration = Duration::from_millis(60);

impl<C: Protocol> Tier<C> {
    /// Updates the statistics of an upstream and its route with the outcome of an attempt.
    pub(super) fn record_outcome(
        &mut self,
        now: Time,
        key: AttemptKey,
        attempt: &Attempt,
        outcome: &Outcome<C::Reply>,
        effects: &mut Vec<Effect<C>>,
    ) {
        let took = now.since(attempt.sent);
        let latency = &mut self.route_state(&attempt.route).latency;
        let mean_latency = latency.mean(took);
        if let Outcome::Reply(reply) = outcome
            && reply.is_success()
        {
            latency.add(took);
            self.route_state(&attempt.route).undisturbed.add(now, took);
        }
        match outcome {
            Outcome::Reply(_) | Outcome::Failed(Failure::NotRun | Failure::Misdirected) => {
                self.on_upstream_replied(now, effects);
                self.on_sign_of_upstream(now, attempt.upstream, effects);
            }
            Outcome::Failed(_) => {}
        }
        let Some(upstream) = self.directory.get_mut(attempt.upstream) else {
            return;
        };
        upstream.attempt_ended(key);
        if matches!(
            outcome,
            Outcome::Reply(_) | Outcome::Failed(Failure::NotRun)
        ) {
            self.end_unnamed_limit(attempt.upstream, attempt.sent, effects);
        }
        let config = self.config.clone();
        let Some(upstream) = self.directory.get_mut(attempt.upstream) else {
            return;
        };
        let search = config.and_then(|it| it.search(&upstream.entry.service));
        let is_placed_by_load = load_report::is_used(search);
        match outcome {
            Outcome::Reply(reply) => upstream.loss_rate.add(now, !reply.is_success()),
            Outcome::Failed(Failure::Broken | Failure::Malformed) => {
                upstream.loss_rate.add(now, true);
            }
            Outcome::Failed(_) => {}
        }
        if matches!(
            outcome,
            Outcome::Reply(_) | Outcome::Failed(Failure::NotRun)
        ) {
            upstream.answered_since = upstream.answered_since.max(Some(attempt.sent));
        }
        match outcome {
            Outcome::Reply(reply) => {
                let load = reply.load();
                // A machine that is slow for a moment says nothing about the upstream's usual
                // speed.
                let usual = load.map_or(took, |load| took.div_f64(load.slowdown));
                upstream.latency_ratio.add(now, usual, mean_latency);
                let own = upstream.in_flight.len();
                let load = load.filter(|_| is_placed_by_load);
                upstream.load = load.map(|load| Received::new(now, load, own));
                upstream.rejection_rate.add(now, false);
                upstream.replied_at = Some(now);
                let service = upstream.entry.service.clone();
                let is_success = reply.is_success();
                if is_success {
                    upstream.succeeded();
                }
                self.on_presumed_cold_replied(now, attempt.upstream, effects);
                self.on_request_answered(now, attempt.digest, &service, effects);
                if !is_success {
                    self.record_failure(now, attempt, Failure::Malformed, effects);
                }
            }
            Outcome::Failed(Failure::NotRun) => {
                upstream.rejection_rate.add(now, true);
                upstream.mark_full(now, FULL_BACKOFF);
                upstream
                    .latency_ratio
                    .add(now, mean_latency * FULL_LATENCY_RATIO, mean_latency);
            }
            Outcome::Failed(Failure::NoConnection) => {}
            Outcome::Failed(failure) => self.record_failure(now, attempt, *failure, effects),
        }
    }

    /// Records a failure of an upstream: ejects it if it has failed too often, and suspects the
    /// request if it may have crashed the upstream.
    fn record_failure(
        &mut self,
        now: Time,
        attempt: &Attempt,
        failure: Failure,
        effects: &mut Vec<Effect<C>>,
    ) {
        let key = attempt.upstream;
        if failure == Failure::Misdirected {
            // The address belongs to another upstream, so this one is gone.
            self.on_upstream_crashed(now, key, effects);
            if let Some(removed) = self.directory.force_remove(key) {
                self.forget(removed, effects);
            }
            return;
        }
        let is_ejecting = self.is_on(Mechanism::Ejection);
        let is_unreachable = matches!(failure, Failure::Unreachable | Failure::Unsent);
        let Some(upstream) = self.directory.get_mut(key) else {
            return;
        };
        if is_ejecting && let Some(ejection) = upstream.failed(now, is_unreachable) {
            let (name, service) = (upstream.entry.name.clone(), upstream.entry.service.clone());
            effects.push(Effect::Note(Note::UpstreamEjected(
                name, service, failure, ejection,
            )));
        }
        match failure {
            Failure::Broken => {
                self.suspect(now, attempt, true, effects);
                self.on_upstream_silent(now, key);
            }
            Failure::Unreachable => {
                upstream.down_at = Some(now);
                effects.push(Effect::CloseIdle(key));
                self.presume_cold(now, key, effects);
                self.suspect_upstream(now, key, attempt.sent, effects);
                if self.suspicions.has(key) {
                    self.timers.set(now, Due::CheckSuspect(key));
                }
                // Searches count what is silent at their soft deadline; a refused search would
                // look like silence here.
                let call = self.calls.get(&attempt.call);
                if call.is_some_and(|call| !is_gather(&call.config, call.route)) {
                    self.on_upstream_silent(now, key);
                }
            }
            _ => {}
        }
    }
}
