//! Delivery of messages, calls and requests from instances to peers, the platform and upstreams.

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
            incarnation: sender.incarnation,
            body: Some(body),
        };
        self.peer_bytes += prost::Message::encoded_len(&envelope) as u64;
        self.instances[from].cost.count_message(&envelope);
        if !self.network.is_connected(self.now, from, target) {
            return;
        }
        let incarnation = self.instances[target].incarnation;
        let delay = self.network.message_delay(self.now, from, target);
        let at = self.now + NETWORK_LATENCY + self.jitter() + delay;
        let is_run = matches!(envelope.body, Some(Body::RelayRun(_) | Body::Relayed(_)));
        let event = Event::Peer(envelope);
        if is_run && self.repeat_runs.0 > 0 {
            self.repeat_runs.0 -= 1;
            let again = Step::Event {
                instance: target,
                incarnation,
                event: event.clone(),
            };
            self.schedule(at + self.repeat_runs.1, again);
        }
        self.schedule(
            at,
            Step::Event {
                instance: target,
                incarnation,
                event,
            },
        );
    }

    pub(super) fn on_platform_call(
        &mut self,
        instance: usize,
        incarnation: u64,
        op: OpId,
        call: PlatformOp,
    ) {
        if self.platform_down_until > self.now {
            let event = PlatformEvent::Unavailable;
            return self.send_platform_response(
                PlatformResponse {
                    instance,
                    op,
                    event,
                },
                incarnation,
            );
        }
        let is_write = matches!(call, PlatformOp::Write { .. });
        if is_write && self.delay_writes.0 > 0 {
            self.delay_writes.0 -= 1;
            let event = PlatformEvent::Unknown;
            self.send_platform_response(
                PlatformResponse {
                    instance,
                    op,
                    event,
                },
                incarnation,
            );
            let late = self.now + self.delay_writes.1;
            // No instance has incarnation 0, so the response to the delayed write is dropped.
            let call = Step::PlatformCall {
                instance,
                incarnation: 0,
                op,
                call,
            };
            return self.schedule(late, call);
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
                self.send_platform_response(answer, incarnation);
            }
            None => {
                let end = self.now + wait.unwrap_or_default();
                self.schedule(end, Step::WatchTimeout);
            }
        }
        if is_write {
            self.answer_watches();
        }
    }

    pub(super) fn send_platform_response(&mut self, answer: PlatformResponse, incarnation: u64) {
        let at = self.now + PLATFORM_LATENCY + self.jitter();
        let event = Event::Platform(answer.op, answer.event);
        self.schedule(
            at,
            Step::Event {
                instance: answer.instance,
                incarnation,
                event,
            },
        );
    }

    pub(super) fn answer_watches(&mut self) {
        for answer in self.platform.answer_watches(self.now) {
            let incarnation = self.instances[answer.instance].incarnation;
            self.send_platform_response(answer, incarnation);
        }
    }

    pub(super) fn on_upstream_request(&mut self, address: SocketAddr, request: PendingRequest) {
        let Some(upstream) = self.upstreams.get_mut(&address) else {
            return;
        };
        if upstream.is_down(self.now) {
            return self.send_upstream_event(&request, UpstreamEvent::Failed(Failure::Connect));
        }
        let name = upstream.name.clone();
        let refuses = upstream.behaviour.refuse_one_in;
        let is_run = matches!(request.sub_request, SubRequest::Run { .. });
        if is_run && refuses > 0 && self.rng.random_range(0..refuses) == 0 {
            let event = UpstreamEvent::Refused {
                retry_after: None,
                draining: upstream.leaving.is_some(),
            };
            return self.send_upstream_event(&request, event);
        }
        if let SubRequest::Run {
            request: id, key, ..
        } = &request.sub_request
        {
            // A run that has started may take effect even if the upstream crashes afterwards.
            let ran = Observation::Ran {
                request: *id,
                key: key.clone(),
            };
            self.history.push(self.now, ran);
        }
        if upstream::triggers_crash(&request.sub_request) {
            upstream.crashes += 1;
            self.history
                .push(self.now, Observation::Started { upstream: name });
            self.send_upstream_event(&request, upstream::connection_lost());
            return self.crash_upstream(address);
        }
        let behaviour = &upstream.behaviour;
        let slow =
            behaviour.slow_one_in > 0 && self.rng.random_range(0..behaviour.slow_one_in) == 0;
        let length = behaviour.service_time * if slow { 10 } else { 1 };
        let number = upstream.start(request);
        self.history
            .push(self.now, Observation::Started { upstream: name });
        let at = self.now + length + self.jitter();
        self.schedule(at, Step::UpstreamDone(address, number));
    }

    pub(super) fn on_upstream_done(&mut self, address: SocketAddr, number: u64) {
        let Some(upstream) = self.upstreams.get_mut(&address) else {
            return;
        };
        let Some(request) = upstream.pending.remove(&number) else {
            return;
        };
        let mixes = upstream.behaviour.mix_up_one_in;
        let is_mixed_up = mixes > 0 && self.rng.random_range(0..mixes) == 0;
        let event = upstream.outcome(&request.sub_request, is_mixed_up);
        match (&request.sub_request, &event) {
            (SubRequest::Search { echo, .. }, UpstreamEvent::Replied(_)) => {
                let searched = Observation::Searched {
                    request: echo.request,
                    shard: echo.shard.clone(),
                    snapshot: echo.snapshot,
                };
                self.history.push(self.now, searched);
            }
            (SubRequest::Search { .. } | SubRequest::Run { .. }, _) => {}
        }
        self.send_upstream_event(&request, event);
    }

    /// Cancels a search at its upstream. A run cannot be cancelled and completes.
    pub(super) fn cancel(&mut self, instance: usize, incarnation: u64, attempt: AttemptId) {
        let is_target = |request: &PendingRequest| {
            let same = request.instance == instance
                && request.incarnation == incarnation
                && request.attempt == attempt;
            same && matches!(request.sub_request, SubRequest::Search { .. })
        };
        for upstream in self.upstreams.values_mut() {
            let number = upstream
                .pending
                .iter()
                .find(|(_, request)| is_target(request))
                .map(|(n, _)| *n);
            let Some(request) = number.and_then(|number| upstream.pending.remove(&number)) else {
                continue;
            };
            return self.send_upstream_event(&request, UpstreamEvent::Failed(Failure::Cancelled));
        }
    }

    pub(super) fn crash_upstream(&mut self, address: SocketAddr) {
        let lost = self.upstreams.get_mut(&address).map(|u| u.crash(self.now));
        for request in lost.unwrap_or_default() {
            self.send_upstream_event(&request, upstream::connection_lost());
        }
    }

    pub(super) fn send_upstream_event(&mut self, request: &PendingRequest, event: UpstreamEvent) {
        let at = self.now + NETWORK_LATENCY + self.jitter();
        let event = Event::Upstream(request.attempt, event);
        let (instance, incarnation) = (request.instance, request.incarnation);
        self.schedule(
            at,
            Step::Event {
                instance,
                incarnation,
                event,
            },
        );
    }
}
