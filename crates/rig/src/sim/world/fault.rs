//! Faults, and how they are brought about.

use std::time::Duration;

use super::*;

/// A fault, or the end of one.
#[derive(Clone, Debug)]
pub enum Fault {
    /// An instance is killed and started again after a while.
    Crash {
        /// The instance.
        instance: usize,
        /// Time until it is started again.
        restart: Duration,
    },
    /// An instance stands still, unaware of it.
    Pause {
        /// The instance.
        instance: usize,
        /// How long.
        length: Duration,
    },
    /// Two instances do not hear each other.
    Partition {
        /// One of them.
        a: usize,
        /// The other.
        b: usize,
        /// How long.
        length: Duration,
    },
    /// The messages between two instances are late.
    DelayMessages {
        /// One of them.
        a: usize,
        /// The other.
        b: usize,
        /// How late.
        delay: Duration,
        /// How long this lasts.
        length: Duration,
    },
    /// The next relayed runs and their results are delivered a second time.
    RepeatRuns {
        /// How many messages.
        count: u32,
        /// How long after the first time.
        delay: Duration,
    },
    /// The platform answers nothing.
    PlatformDown {
        /// How long.
        length: Duration,
    },
    /// The next writes take effect and their replies are lost.
    LoseReplies {
        /// How many.
        count: u32,
    },
    /// The next writes reach the platform late, after their callers were told nothing.
    DelayWrites {
        /// How many.
        count: u32,
        /// How late.
        delay: Duration,
    },
    /// An upstream breaks and starts again.
    CrashUpstream {
        /// The upstream.
        upstream: usize,
    },
    /// An upstream says that it is leaving.
    Leave {
        /// The upstream.
        upstream: usize,
    },
    /// An instance is asked to shut down.
    Drain {
        /// The instance.
        instance: usize,
    },
}

impl World {
    pub(super) fn break_something(&mut self, fault: Fault) {
        match fault {
            Fault::Crash { instance, restart } => self.crash(instance, restart),
            Fault::Pause { instance, length } => {
                let paused = &mut self.instances[instance];
                paused.paused_until = paused.paused_until.max(self.now + length);
            }
            Fault::Partition { a, b, length } => self.network.cut(a, b, self.now + length),
            Fault::DelayMessages {
                a,
                b,
                delay,
                length,
            } => self.network.delay(a, b, delay, self.now + length),
            Fault::RepeatRuns { count, delay } => self.repeat_runs = (count, delay),
            Fault::PlatformDown { length } => {
                self.platform_down_until = self.platform_down_until.max(self.now + length);
                for answer in self.platform.fail_watches() {
                    let life = self.instances[answer.instance].life;
                    self.platform_answers(answer, life);
                }
            }
            Fault::LoseReplies { count } => self.lose_replies += count,
            Fault::DelayWrites { count, delay } => self.delay_writes = (count, delay),
            Fault::CrashUpstream { upstream } => {
                if let Some(address) = self.upstreams.keys().nth(upstream).copied() {
                    self.break_upstream(address);
                }
            }
            Fault::Leave { upstream } => self.leave(upstream),
            Fault::Drain { instance } => self.drain(instance),
        }
    }

    pub(super) fn crash(&mut self, index: usize, restart: Duration) {
        let instance = &mut self.instances[index];
        if instance.node.take().is_none() {
            return;
        }
        instance.wake = Time::NEVER;
        let name = instance.name.clone();
        self.history
            .push(self.now, Observation::Killed { instance: name });
        self.later(self.now + restart, Happening::Restart(index));
    }

    /// Lets an upstream leave; the platform lists it once it is up.
    pub(super) fn leave(&mut self, index: usize) {
        let Some(upstream) = self.upstreams.values_mut().nth(index) else {
            return;
        };
        upstream.leaving.get_or_insert(self.now);
        let name = upstream.name.clone();
        if self.platform_down_until > self.now {
            let again = Happening::Fault(Fault::Leave { upstream: index });
            return self.later(self.platform_down_until, again);
        }
        self.history
            .push(self.now, Observation::Leaving { upstream: name });
        let leaving = self.upstreams.values().filter(|u| u.leaving.is_some());
        let list = serde_json::json!({
            "live": [],
            "leaving": leaving.map(|u| u.name.as_str()).collect::<Vec<_>>(),
        });
        let service = self.liveness.clone();
        self.publish(Kind::Liveness, &service, list.to_string().into());
    }

    pub(super) fn drain(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.node.is_none() || std::mem::replace(&mut instance.draining, true) {
            return;
        }
        let (life, name) = (instance.life, instance.name.clone());
        self.history
            .push(self.now, Observation::Draining { instance: name });
        self.later(
            self.now,
            Happening::Event {
                instance: index,
                life,
                event: Event::Drain,
            },
        );
    }
}
