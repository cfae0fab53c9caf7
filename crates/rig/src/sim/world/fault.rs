//! Fault injection.

use std::time::Duration;

use super::*;

/// A fault or an operational event.
#[derive(Clone, Debug)]
pub enum Fault {
    /// An instance is killed and restarted after a delay.
    Crash {
        /// The instance.
        instance: usize,
        /// Delay before the restart.
        restart: Duration,
    },
    /// An instance processes no events; they are delivered after the pause.
    Pause {
        /// The instance.
        instance: usize,
        /// How long.
        length: Duration,
    },
    /// Messages between two instances are dropped.
    Partition {
        /// One of them.
        a: usize,
        /// The other.
        b: usize,
        /// How long.
        length: Duration,
    },
    /// Messages between two instances are delayed.
    DelayMessages {
        /// One of them.
        a: usize,
        /// The other.
        b: usize,
        /// Additional delay of each message.
        delay: Duration,
        /// Duration of the fault.
        length: Duration,
    },
    /// The next relayed runs and their results are delivered twice.
    RepeatRuns {
        /// Number of messages.
        count: u32,
        /// Delay of the second delivery after the first.
        delay: Duration,
    },
    /// The platform answers every call with an error.
    PlatformDown {
        /// Duration of the outage.
        length: Duration,
    },
    /// The next writes take effect and their replies are lost.
    LoseReplies {
        /// Number of writes.
        count: u32,
    },
    /// The next writes reach the platform after a delay; their result is reported as unknown
    /// before that.
    DelayWrites {
        /// Number of writes.
        count: u32,
        /// Delay of each write.
        delay: Duration,
    },
    /// An upstream crashes and restarts.
    CrashUpstream {
        /// The upstream.
        upstream: usize,
    },
    /// An upstream announces that it is leaving.
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
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash { instance, restart } => self.crash(instance, restart),
            Fault::Pause { instance, length } => {
                let paused = &mut self.instances[instance];
                paused.paused_until = paused.paused_until.max(self.now + length);
            }
            Fault::Partition { a, b, length } => self.network.partition(a, b, self.now + length),
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
                    let incarnation = self.instances[answer.instance].incarnation;
                    self.send_platform_response(answer, incarnation);
                }
            }
            Fault::LoseReplies { count } => self.lose_replies += count,
            Fault::DelayWrites { count, delay } => self.delay_writes = (count, delay),
            Fault::CrashUpstream { upstream } => {
                if let Some(address) = self.upstreams.keys().nth(upstream).copied() {
                    self.crash_upstream(address);
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
        self.schedule(self.now + restart, Step::Restart(index));
    }

    /// Marks an upstream as leaving. The platform lists it at once, or when its outage ends.
    pub(super) fn leave(&mut self, index: usize) {
        let Some(upstream) = self.upstreams.values_mut().nth(index) else {
            return;
        };
        upstream.leaving.get_or_insert(self.now);
        let name = upstream.name.clone();
        if self.platform_down_until > self.now {
            let again = Step::Fault(Fault::Leave { upstream: index });
            return self.schedule(self.platform_down_until, again);
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
        let (incarnation, name) = (instance.incarnation, instance.name.clone());
        self.history
            .push(self.now, Observation::Draining { instance: name });
        self.schedule(
            self.now,
            Step::Event {
                instance: index,
                incarnation,
                event: Event::Drain,
            },
        );
    }
}
