//! Instances: their lives, the events they get and the effects they want.

use super::*;

impl World {
    pub(super) fn start(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.life += 1;
        instance.draining = false;
        instance.paused_until = Time::ZERO;
        instance.held.clear();
        instance.wake = self.now;
        let identity = Identity {
            instance: instance.name.clone(),
            data_centre: instance.data_centre.clone(),
            incarnation: Incarnation(instance.life),
            peers: Self::peer_address(index),
        };
        let seed = self.rng.random();
        instance.node = Some(Node::new(identity, self.config.clone(), self.now, seed));
        let life = instance.life;
        self.later(
            self.now,
            Happening::Event {
                instance: index,
                life,
                event: Event::Tick,
            },
        );
    }

    pub(super) fn deliver(&mut self, index: usize, life: u64, event: Event) {
        let instance = &mut self.instances[index];
        if instance.life != life || instance.node.is_none() {
            return;
        }
        if instance.paused_until > self.now || !instance.held.is_empty() {
            let at = instance.paused_until;
            instance.held.push(event);
            if instance.held.len() == 1 {
                self.later(at, Happening::Resume(index, life));
            }
            return;
        }
        self.hand_over(index, life, event);
    }

    /// Delivers what was held during a pause, in the order of its arrival.
    pub(super) fn resume(&mut self, index: usize, life: u64) {
        let instance = &mut self.instances[index];
        if instance.life != life {
            return;
        }
        if instance.paused_until > self.now {
            let at = instance.paused_until;
            return self.later(at, Happening::Resume(index, life));
        }
        for event in std::mem::take(&mut instance.held) {
            self.hand_over(index, life, event);
        }
    }

    pub(super) fn hand_over(&mut self, index: usize, life: u64, event: Event) {
        let instance = &mut self.instances[index];
        if let Event::Tick = event {
            if instance.wake > self.now {
                // An earlier one took its place.
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
            self.later(
                wake,
                Happening::Event {
                    instance: index,
                    life,
                    event: Event::Tick,
                },
            );
        }
        for effect in effects {
            self.carry_out(index, life, effect);
        }
    }

    pub(super) fn carry_out(&mut self, index: usize, life: u64, effect: Effect) {
        match effect {
            Effect::Answer(call, answer) => self.answered(index, call, answer),
            Effect::Send(send) => {
                let at = self.now + HOP + self.jitter();
                let Send {
                    attempt,
                    address,
                    sub_request: sub,
                    ..
                } = send;
                let work = Work {
                    instance: index,
                    life,
                    attempt,
                    sub,
                };
                self.later(at, Happening::AtUpstream(address, work));
            }
            Effect::Cancel(attempt) => {
                // A cancellation reaches the upstream after the request that it names.
                let cancel = Happening::Cancel {
                    instance: index,
                    life,
                    attempt,
                };
                self.later(self.now + HOP * 2, cancel);
            }
            Effect::Platform(op, call) => {
                let at = self.now + PLATFORM_HOP + self.jitter();
                self.later(
                    at,
                    Happening::AtPlatform {
                        instance: index,
                        life,
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
                        life,
                        revision,
                    },
                );
            }
            Effect::Note(_) => {}
            Effect::Stop => {
                // Requests that have arrived by now are still refused before the process ends.
                self.later(
                    self.now + HOP,
                    Happening::Stopped {
                        instance: index,
                        life,
                    },
                );
            }
        }
    }

    pub(super) fn answered(&mut self, index: usize, call: CallId, answer: Answer) {
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

    pub(super) fn stopped(&mut self, index: usize, life: u64) {
        let instance = &mut self.instances[index];
        if instance.life != life || instance.node.take().is_none() {
            return;
        }
        let name = instance.name.clone();
        self.history
            .push(self.now, Observation::Drained { instance: name });
    }
}
