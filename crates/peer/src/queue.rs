//! Bounded queue of the messages for one connection.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use prost::Message;
use wire::Body;

/// A message that waits for its connection.
#[derive(Debug)]
struct Queued {
    body: Body,
    bytes: usize,
    since: Instant,
}

/// Messages in the order in which they are sent, bounded in bytes.
///
/// A full queue drops its oldest heartbeats first, then its oldest messages.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: VecDeque<Queued>,
    bytes: usize,
    heartbeats: usize,
}

impl Queue {
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Appends a message and returns the count of those dropped to make room.
    pub(crate) fn push(&mut self, body: Body, now: Instant, limit: usize) -> u64 {
        let bytes = encoded_len(&body);
        let mut dropped = 0;
        while !self.is_empty() && self.bytes + bytes > limit {
            self.drop_one();
            dropped += 1;
        }
        self.bytes += bytes;
        self.heartbeats += usize::from(is_heartbeat(&body));
        let since = now;
        self.waiting.push_back(Queued { body, bytes, since });
        dropped
    }

    /// Takes the oldest message.
    pub(crate) fn pop(&mut self) -> Option<Body> {
        self.remove(0)
    }

    /// Drops messages that have waited for longer than `age` and returns their count.
    pub(crate) fn expire(&mut self, now: Instant, age: Duration) -> u64 {
        let mut dropped = 0;
        while self
            .waiting
            .front()
            .is_some_and(|q| now.duration_since(q.since) > age)
        {
            self.remove(0);
            dropped += 1;
        }
        dropped
    }

    fn drop_one(&mut self) {
        let oldest_heartbeat = match self.heartbeats {
            0 => None,
            _ => self.waiting.iter().position(|q| is_heartbeat(&q.body)),
        };
        self.remove(oldest_heartbeat.unwrap_or(0));
    }

    fn remove(&mut self, index: usize) -> Option<Body> {
        let queued = self.waiting.remove(index)?;
        self.bytes -= queued.bytes;
        self.heartbeats -= usize::from(is_heartbeat(&queued.body));
        Some(queued.body)
    }
}

fn is_heartbeat(body: &Body) -> bool {
    matches!(body, Body::Heartbeat(_))
}

fn encoded_len(body: &Body) -> usize {
    match body {
        Body::Heartbeat(m) => m.encoded_len(),
        Body::Pull(m) => m.encoded_len(),
        Body::Objects(m) => m.encoded_len(),
        Body::Relay(m) => m.encoded_len(),
        Body::Relayed(m) => m.encoded_len(),
        Body::Cancel(m) => m.encoded_len(),
        Body::Claim(m) => m.encoded_len(),
        Body::Claimed(m) => m.encoded_len(),
        Body::Handover(m) => m.encoded_len(),
        Body::Released(m) => m.encoded_len(),
        Body::RelayRun(m) => m.encoded_len(),
    }
}
