//! What instances talk to: peers, the platform and upstreams.

use super::*;

impl World {
    pub(super) fn send_to_peer(&mut self, from: usize, to: &PeerAddress, body: Body) {
        let target = (0..self.instances.len()).find(|i| Self::peer_address(*i) == to.address);
        let Some(target) = target else {
            return;
        };
        let sender = &self.instances[from];
        let envelope = Envelope {
            from: sender.name.to_string(),
            incarnation: sender.life,
            body: Some(body),
        };
        self.peer_bytes += prost::Message::encoded_len(&envelope) as u64;
        self.instances[from].cost.sent(&envelope);
        if !self.network.passes(self.now, from, target) {
            return;
        }
        let life = self.instances[target].life;
        let lateness = self.network.lateness(self.now, from, target);
        let at = self.now + HOP + self.jitter() + lateness;
        let is_run = matches!(envelope.body, Some(Body::RelayRun(_) | Body::Relayed(_)));
        let event = Event::Peer(envelope);
        if is_run && self.repeat_runs.0 > 0 {
            self.repeat_runs.0 -= 1;
            let again = Happening::Event {
                instance: target,
                life,
                event: event.clone(),
            };
            self.later(at + self.repeat_runs.1, again);
        }
        self.later(
            at,
            Happening::Event {
                instance: target,
                life,
                event,
            },
        );
    }

    pub(super) fn at_platform(&mut self, instance: usize, life: u64, op: OpId, call: PlatformOp) {
        if self.platform_down_until > self.now {
            let event = PlatformEvent::Unavailable;
            return self.platform_answers(
                Outgoing {
                    instance,
                    op,
                    event,
                },
                life,
            );
        }
        let is_write = matches!(call, PlatformOp::Write { .. });
        if is_write && self.delay_writes.0 > 0 {
            self.delay_writes.0 -= 1;
            let event = PlatformEvent::Unknown;
            self.platform_answers(
                Outgoing {
                    instance,
                    op,
                    event,
                },
                life,
            );
            let late = self.now + self.delay_writes.1;
            // Nobody listens to the late write's answer.
            let call = Happening::AtPlatform {
                instance,
                life: 0,
                op,
                call,
            };
            return self.later(late, call);
        }
        let wait = match &call {
            PlatformOp::Watch { wait, .. } => Some(*wait),
            PlatformOp::Read { .. } | PlatformOp::Write { .. } => None,
        };
        let answer = self.platform.call(self.now, instance, op, call);
        match answer {
            Some(mut answer) => {
                if is_write && self.lose_replies > 0 {
                    self.lose_replies -= 1;
                    answer.event = PlatformEvent::Unknown;
                }
                self.platform_answers(answer, life);
            }
            None => {
                let end = self.now + wait.unwrap_or_default();
                self.later(end, Happening::WatchesEnd);
            }
        }
        if is_write {
            self.answer_watches();
        }
    }

    pub(super) fn platform_answers(&mut self, answer: Outgoing, life: u64) {
        let at = self.now + PLATFORM_HOP + self.jitter();
        let event = Event::Platform(answer.op, answer.event);
        self.later(
            at,
            Happening::Event {
                instance: answer.instance,
                life,
                event,
            },
        );
    }

    pub(super) fn answer_watches(&mut self) {
        for answer in self.platform.answer_watches(self.now) {
            let life = self.instances[answer.instance].life;
            self.platform_answers(answer, life);
        }
    }

    pub(super) fn at_upstream(&mut self, address: SocketAddr, work: Work) {
        let Some(upstream) = self.upstreams.get_mut(&address) else {
            return;
        };
        if upstream.is_down(self.now) {
            return self.report(&work, UpstreamEvent::Failed(Failure::Connect));
        }
        let name = upstream.name.clone();
        let refuses = upstream.plan.refuse_one_in;
        let is_run = matches!(work.sub, SubRequest::Run { .. });
        if is_run && refuses > 0 && self.rng.random_range(0..refuses) == 0 {
            let event = UpstreamEvent::Refused {
                retry_after: None,
                draining: upstream.leaving.is_some(),
            };
            return self.report(&work, event);
        }
        if let SubRequest::Run { request, key, .. } = &work.sub {
            // What an upstream has begun may have its effect, whatever becomes of the upstream.
            let seen = Observation::Ran {
                request: *request,
                key: key.clone(),
            };
            self.history.push(self.now, seen);
        }
        if upstream::breaks(&work.sub) {
            upstream.broken += 1;
            self.history
                .push(self.now, Observation::Started { upstream: name });
            self.report(&work, upstream::lost());
            return self.break_upstream(address);
        }
        let plan = &upstream.plan;
        let slow = plan.slow_one_in > 0 && self.rng.random_range(0..plan.slow_one_in) == 0;
        let length = plan.service_time * if slow { 10 } else { 1 };
        let number = upstream.begin(work);
        self.history
            .push(self.now, Observation::Started { upstream: name });
        let at = self.now + length + self.jitter();
        self.later(at, Happening::Finished(address, number));
    }

    pub(super) fn finished(&mut self, address: SocketAddr, number: u64) {
        let Some(upstream) = self.upstreams.get_mut(&address) else {
            return;
        };
        let Some(work) = upstream.works.remove(&number) else {
            return;
        };
        let mixes = upstream.plan.mix_up_one_in;
        let mixed_up = mixes > 0 && self.rng.random_range(0..mixes) == 0;
        let event = upstream.outcome(&work.sub, mixed_up);
        match (&work.sub, &event) {
            (SubRequest::Search { echo, .. }, UpstreamEvent::Replied(_)) => {
                let seen = Observation::Searched {
                    request: echo.request,
                    shard: echo.shard.clone(),
                    snapshot: echo.snapshot,
                };
                self.history.push(self.now, seen);
            }
            (SubRequest::Search { .. } | SubRequest::Run { .. }, _) => {}
        }
        self.report(&work, event);
    }

    /// Takes an abandoned search from its upstream; a run is carried out all the same.
    pub(super) fn cancel(&mut self, instance: usize, life: u64, attempt: AttemptId) {
        let named = |work: &Work| {
            let same = work.instance == instance && work.life == life && work.attempt == attempt;
            same && matches!(work.sub, SubRequest::Search { .. })
        };
        for upstream in self.upstreams.values_mut() {
            let number = upstream
                .works
                .iter()
                .find(|(_, work)| named(work))
                .map(|(n, _)| *n);
            let Some(work) = number.and_then(|number| upstream.works.remove(&number)) else {
                continue;
            };
            return self.report(&work, UpstreamEvent::Failed(Failure::Cancelled));
        }
    }

    pub(super) fn break_upstream(&mut self, address: SocketAddr) {
        let lost = self
            .upstreams
            .get_mut(&address)
            .map(|u| u.break_down(self.now));
        for work in lost.unwrap_or_default() {
            self.report(&work, upstream::lost());
        }
    }

    pub(super) fn report(&mut self, work: &Work, event: UpstreamEvent) {
        let at = self.now + HOP + self.jitter();
        let event = Event::Upstream(work.attempt, event);
        let (instance, life) = (work.instance, work.life);
        self.later(
            at,
            Happening::Event {
                instance,
                life,
                event,
            },
        );
    }
}
