//! Simulated object API of the platform.

use std::collections::BTreeMap;

use base::{OpId, Time, Version};
use bytes::Bytes;
use node::{Kind, Object, PlatformEvent, PlatformOp};

/// A watch that waits for changes.
#[derive(Clone, Debug)]
struct PendingWatch {
    instance: usize,
    op: OpId,
    after: Version,
    until: Time,
}

/// A response to an instance.
#[derive(Clone, Debug)]
pub(super) struct PlatformResponse {
    pub(super) instance: usize,
    pub(super) op: OpId,
    pub(super) event: PlatformEvent,
}

/// Objects, pending watches and call counters.
#[derive(Debug, Default)]
pub(super) struct Platform {
    objects: BTreeMap<(Kind, Box<str>), Object>,
    last_version: Version,
    pending: Vec<PendingWatch>,
    pub(super) calls: u64,
    pub(super) writes: u64,
    pub(super) written_bytes: u64,
}

impl Platform {
    /// Writes an object unconditionally, as a writer outside the system does.
    pub(super) fn publish(&mut self, kind: Kind, name: &str, value: Bytes) {
        self.last_version = self.last_version.next();
        let object = Object {
            kind,
            name: name.into(),
            version: self.last_version,
            value,
        };
        self.objects.insert((kind, name.into()), object);
    }

    /// Returns an object.
    pub(super) fn object(&self, kind: Kind, name: &str) -> Option<Bytes> {
        let object = self.objects.get(&(kind, name.into()))?;
        Some(object.value.clone())
    }

    /// Handles one call. Returns no response for a watch without changes; it stays pending.
    pub(super) fn call(
        &mut self,
        now: Time,
        instance: usize,
        op: OpId,
        call: PlatformOp,
    ) -> Option<PlatformResponse> {
        self.calls += 1;
        let event = match call {
            PlatformOp::Watch { after, wait } => {
                let (objects, seen) = self.changes_after(after);
                if objects.is_empty() && !wait.is_zero() {
                    self.pending.push(PendingWatch {
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
        Some(PlatformResponse {
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
        let current = self.objects.get(&(kind, name.clone())).map(|o| o.version);
        if current != expect {
            return PlatformEvent::Conflict;
        }
        self.publish(kind, &name, value);
        PlatformEvent::Written(self.last_version)
    }

    /// Completes the watches that have changes to report or whose wait has ended.
    pub(super) fn answer_watches(&mut self, now: Time) -> Vec<PlatformResponse> {
        let pending = std::mem::take(&mut self.pending);
        let mut answers = Vec::new();
        for watch in pending {
            let (objects, seen) = self.changes_after(watch.after);
            if objects.is_empty() && watch.until > now {
                self.pending.push(watch);
                continue;
            }
            let event = PlatformEvent::Changed { objects, seen };
            answers.push(PlatformResponse {
                instance: watch.instance,
                op: watch.op,
                event,
            });
        }
        answers
    }

    /// Fails all pending watches, as an outage does, and returns the responses.
    pub(super) fn fail_watches(&mut self) -> Vec<PlatformResponse> {
        let pending = std::mem::take(&mut self.pending);
        let fail = |w: PendingWatch| PlatformResponse {
            instance: w.instance,
            op: w.op,
            event: PlatformEvent::Unavailable,
        };
        pending.into_iter().map(fail).collect()
    }

    fn changes_after(&self, after: Version) -> (Vec<Object>, Version) {
        let watched = |o: &&Object| Kind::WATCHED.contains(&o.kind) && o.version > after;
        let mut objects: Vec<Object> = self.objects.values().filter(watched).cloned().collect();
        objects.sort_by_key(|o| o.version);
        (objects, self.last_version)
    }
}
