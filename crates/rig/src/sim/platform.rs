//! The platform's object API as the simulation sees it.

use std::collections::BTreeMap;

use base::{OpId, Time, Version};
use bytes::Bytes;
use node::{Kind, Object, PlatformEvent, PlatformOp};

/// A watch that waits for news.
#[derive(Clone, Debug)]
struct Waiter {
    instance: usize,
    op: OpId,
    after: Version,
    until: Time,
}

/// An answer on its way to an instance.
#[derive(Clone, Debug)]
pub(super) struct Outgoing {
    pub(super) instance: usize,
    pub(super) op: OpId,
    pub(super) event: PlatformEvent,
}

/// Objects, the waiting watches and the calls counted.
#[derive(Debug, Default)]
pub(super) struct Platform {
    objects: BTreeMap<(Kind, Box<str>), Object>,
    last: Version,
    waiters: Vec<Waiter>,
    pub(super) calls: u64,
    pub(super) writes: u64,
    pub(super) written_bytes: u64,
}

impl Platform {
    /// Writes an object whatever its version is, as its owner outside the system does.
    pub(super) fn publish(&mut self, kind: Kind, name: &str, value: Bytes) {
        self.last = self.last.next();
        let object = Object {
            kind,
            name: name.into(),
            version: self.last,
            value,
        };
        self.objects.insert((kind, name.into()), object);
    }

    /// Returns an object.
    pub(super) fn object(&self, kind: Kind, name: &str) -> Option<Bytes> {
        let object = self.objects.get(&(kind, name.into()))?;
        Some(object.value.clone())
    }

    /// Takes one call; a watch without news answers later.
    pub(super) fn call(
        &mut self,
        now: Time,
        instance: usize,
        op: OpId,
        call: PlatformOp,
    ) -> Option<Outgoing> {
        self.calls += 1;
        let event = match call {
            PlatformOp::Watch { after, wait } => {
                let (objects, seen) = self.changed(after);
                if objects.is_empty() && !wait.is_zero() {
                    self.waiters.push(Waiter {
                        instance,
                        op,
                        after,
                        until: now + wait,
                    });
                    return None;
                }
                PlatformEvent::Changed { objects, seen }
            }
            PlatformOp::Read { kind, name } => {
                PlatformEvent::Read(self.objects.get(&(kind, name)).cloned())
            }
            PlatformOp::Write {
                kind,
                name,
                expect,
                value,
            } => {
                self.writes += 1;
                self.written_bytes += value.len() as u64;
                self.write(kind, name, expect, value)
            }
        };
        Some(Outgoing {
            instance,
            op,
            event,
        })
    }

    fn write(
        &mut self,
        kind: Kind,
        name: Box<str>,
        expect: Option<Version>,
        value: Bytes,
    ) -> PlatformEvent {
        let held = self.objects.get(&(kind, name.clone())).map(|o| o.version);
        if held != expect {
            return PlatformEvent::Conflict;
        }
        self.publish(kind, &name, value);
        PlatformEvent::Written(self.last)
    }

    /// Answers the watches for which there is news or whose wait has ended.
    pub(super) fn answer_watches(&mut self, now: Time) -> Vec<Outgoing> {
        let waiters = std::mem::take(&mut self.waiters);
        let mut answers = Vec::new();
        for waiter in waiters {
            let (objects, seen) = self.changed(waiter.after);
            if objects.is_empty() && waiter.until > now {
                self.waiters.push(waiter);
                continue;
            }
            let event = PlatformEvent::Changed { objects, seen };
            answers.push(Outgoing {
                instance: waiter.instance,
                op: waiter.op,
                event,
            });
        }
        answers
    }

    /// Drops the watches, as an outage does; returns them as failed.
    pub(super) fn fail_watches(&mut self) -> Vec<Outgoing> {
        let waiters = std::mem::take(&mut self.waiters);
        let fail = |w: Waiter| Outgoing {
            instance: w.instance,
            op: w.op,
            event: PlatformEvent::Unavailable,
        };
        waiters.into_iter().map(fail).collect()
    }

    fn changed(&self, after: Version) -> (Vec<Object>, Version) {
        let watched = |o: &&Object| Kind::WATCHED.contains(&o.kind) && o.version > after;
        let mut objects: Vec<Object> = self.objects.values().filter(watched).cloned().collect();
        objects.sort_by_key(|o| o.version);
        (objects, self.last)
    }
}
