//! Bounded queue of messages for one connection.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use prost::Message;
use wire::Body;

/// A queued message.
#[derive(Debug)]
struct Queued {
    body: Body,
    bytes: usize,
    queued_at: Instant,
}

/// FIFO queue of messages, bounded by their encoded size.
///
/// When full, it drops its oldest heartbeat, or its oldest message if there is no heartbeat.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    messages: VecDeque<Queued>,
    bytes: usize,
    heartbeats: usize,
}

impl Queue {
    pub(crate) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Appends a message and returns the number of messages dropped to make room.
    pub(crate) fn push(&mut self, body: Body, now: Instant, limit: usize) -> u64 {
        let bytes = encoded_len(&body);
        let mut dropped = 0;
        while !self.is_empty() && self.bytes + bytes > limit {
            self.drop_one();
            dropped += 1;
        }
        self.bytes += bytes;
        self.heartbeats += usize::from(is_heartbeat(&body));
        let queued_at = now;
        self.messages.push_back(Queued {
            body,
            bytes,
            queued_at,
        });
        dropped
    }

    /// Removes and returns the oldest message.
    pub(crate) fn pop(&mut self) -> Option<Body> {
        self.remove(0)
    }

    /// Drops messages queued for longer than `max_age` and returns their number.
    pub(crate) fn expire(&mut self, now: Instant, max_age: Duration) -> u64 {
        let mut dropped = 0;
        while self
            .messages
            .front()
            .is_some_and(|q| now.duration_since(q.queued_at) > max_age)
        {
            self.remove(0);
            dropped += 1;
        }
        dropped
    }

    fn drop_one(&mut self) {
        let oldest_heartbeat = match self.heartbeats {
            0 => None,
            _ => self.messages.iter().position(|q| is_heartbeat(&q.body)),
        };
        self.remove(oldest_heartbeat.unwrap_or(0));
    }

    fn remove(&mut self, index: usize) -> Option<Body> {
        let queued = self.messages.remove(index)?;
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
