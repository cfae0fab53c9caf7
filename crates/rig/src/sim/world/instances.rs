//! Instances: start and exit, delivery of events and execution of effects.

use super::*;

impl World {
    pub(super) fn start(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.incarnation += 1;
        instance.draining = false;
        instance.paused_until = Time::ZERO;
        instance.deferred.clear();
        instance.wake = self.now;
        let identity = Identity {
            instance: instance.name.clone(),
            data_centre: instance.data_centre.clone(),
            incarnation: Incarnation(instance.incarnation),
            peers: Self::peer_address(index),
        };
        let seed = self.rng.random();
        instance.node = Some(Node::new(identity, self.config.clone(), self.now, seed));
        let incarnation = instance.incarnation;
        self.schedule(
            self.now,
            Step::Event {
                instance: index,
                incarnation,
                event: Event::Tick,
            },
        );
    }

    pub(super) fn deliver(&mut self, index: usize, incarnation: u64, event: Event) {
        let instance = &mut self.instances[index];
        if instance.incarnation != incarnation || instance.node.is_none() {
            return;
        }
        if instance.paused_until > self.now || !instance.deferred.is_empty() {
            let at = instance.paused_until;
            instance.deferred.push(event);
            if instance.deferred.len() == 1 {
                self.schedule(at, Step::Resume(index, incarnation));
            }
            return;
        }
        self.process_event(index, incarnation, event);
    }

    /// Delivers the events deferred during a pause, in order of arrival.
    pub(super) fn resume(&mut self, index: usize, incarnation: u64) {
        let instance = &mut self.instances[index];
        if instance.incarnation != incarnation {
            return;
        }
        if instance.paused_until > self.now {
            let at = instance.paused_until;
            return self.schedule(at, Step::Resume(index, incarnation));
        }
        for event in std::mem::take(&mut instance.deferred) {
            self.process_event(index, incarnation, event);
        }
    }

    pub(super) fn process_event(&mut self, index: usize, incarnation: u64, event: Event) {
        let instance = &mut self.instances[index];
        if let Event::Tick = event {
            if instance.wake > self.now {
                // A tick that was scheduled earlier has already run and set a new wake-up time.
                return;
            }
            instance.wake = Time::NEVER;
        }
        let Some(node) = &mut instance.node else {
            return;
        };
        let mut effects = Vec::new();
        instance.cost.measure(|| {
            node.on(self.now, event, &mut effects);
            node.flush_peer_messages(&mut effects);
        });
        let wake = node.next_wake().unwrap_or(Time::NEVER);
        let wake = wake.max(self.now + Duration::from_micros(1));
        if wake < instance.wake {
            instance.wake = wake;
            self.schedule(
                wake,
                Step::Event {
                    instance: index,
                    incarnation,
                    event: Event::Tick,
                },
            );
        }
        for effect in effects {
            self.apply_effect(index, incarnation, effect);
        }
    }

    pub(super) fn apply_effect(&mut self, index: usize, incarnation: u64, effect: Effect) {
        match effect {
            Effect::Answer(call, answer) => self.record_answer(index, call, answer),
            Effect::Send(send) => {
                let at = self.now + NETWORK_LATENCY + self.jitter();
                let Send {
                    attempt,
                    address,
                    sub_request,
                    ..
                } = send;
                let request = PendingRequest {
                    instance: index,
                    incarnation,
                    attempt,
                    sub_request,
                };
                self.schedule(at, Step::UpstreamRequest(address, request));
            }
            Effect::Cancel(attempt) => {
                // Twice the latency: the cancellation must arrive after its request, whose jitter
                // is less than one latency.
                let cancel = Step::Cancel {
                    instance: index,
                    incarnation,
                    attempt,
                };
                self.schedule(self.now + NETWORK_LATENCY * 2, cancel);
            }
            Effect::Platform(op, call) => {
                let at = self.now + PLATFORM_LATENCY + self.jitter();
                self.schedule(
                    at,
                    Step::PlatformCall {
                        instance: index,
                        incarnation,
                        op,
                        call,
                    },
                );
            }
            Effect::Peer(to, body) => self.send_to_peer(index, &to, body),
            Effect::Note(Note::CatalogueInForce(revision)) => {
                let instance = self.instances[index].name.clone();
                self.history.push(
                    self.now,
                    Observation::InForce {
                        instance,
                        incarnation,
                        revision,
                    },
                );
            }
            Effect::Note(_) => {}
            Effect::Stop => {
                // The delay lets the instance refuse requests that have already been sent to it.
                self.schedule(
                    self.now + NETWORK_LATENCY,
                    Step::Exit {
                        instance: index,
                        incarnation,
                    },
                );
            }
        }
    }

    pub(super) fn record_answer(&mut self, index: usize, call: CallId, answer: Answer) {
        let Some(&request) = self.requests.get(&(index, call)) else {
            return;
        };
        let took = self.now.since(self.called_at[&request]);
        self.history.push(
            self.now,
            Observation::Answered {
                request,
                answer: answer.clone(),
            },
        );
        self.answers.insert(request, (answer, took));
    }

    pub(super) fn on_exit(&mut self, index: usize, incarnation: u64) {
        let instance = &mut self.instances[index];
        if instance.incarnation != incarnation || instance.node.take().is_none() {
            return;
        }
        let name = instance.name.clone();
        self.history
            .push(self.now, Observation::Drained { instance: name });
    }
}
