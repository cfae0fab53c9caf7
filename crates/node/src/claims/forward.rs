//! Forwarding of changes to the preferred instance of their bucket, which keeps conflicts rare.
//!
//! Correctness does not depend on it: a change without an answer in time is made here as well, and
//! making a change twice is harmless. At worst, a claim that arrives late leaves a record of a
//! request that was never sent.

use std::{collections::BTreeMap, time::Duration};

use base::{IdempotencyKey, InstanceName, RequestId, Time};
use bytes::Bytes;

use super::{Change, Claim, Decision, Record, Row, Source, State};

/// Result of a forwarded change, as a number in a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum ClaimCode {
    /// The claim is recorded.
    Claimed = 1,
    /// Another request holds the key.
    Held = 2,
    /// The key was issued at or below the floor of its bucket.
    Expired = 3,
    /// There is no room.
    Full = 4,
    /// The change was not accepted.
    Refused = 5,
}

/// A change that was forwarded to another instance and not answered yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pending {
    /// The change.
    pub change: Change,
    /// The instance that it was forwarded to.
    pub peer: InstanceName,
    /// Time at which it is made here instead.
    pub deadline: Time,
}

/// Forwarded changes without an answer, by ticket.
#[derive(Debug, Default)]
pub struct Forwards {
    last_ticket: u64,
    pending: BTreeMap<u64, Pending>,
}

impl Forwards {
    /// Adds a change and returns the message that forwards it.
    pub fn add(
        &mut self,
        now: Time,
        wait: Duration,
        bucket: u32,
        peer: InstanceName,
        change: Change,
    ) -> wire::Claim {
        self.last_ticket += 1;
        let message = wire::Claim {
            ticket: self.last_ticket,
            bucket: bucket.to_string(),
            record: encode_change(&change),
            release: matches!(change, Change::Release { .. }),
        };
        let deadline = now + wait;
        self.pending.insert(
            self.last_ticket,
            Pending {
                change,
                peer,
                deadline,
            },
        );
        message
    }

    /// Removes and returns the change that was answered.
    pub fn take_answered(
        &mut self,
        from: &InstanceName,
        ticket: u64,
        request: RequestId,
    ) -> Option<Change> {
        let forwarded = self.pending.get(&ticket)?;
        if forwarded.peer != *from || forwarded.change.request() != request {
            return None;
        }
        self.pending
            .remove(&ticket)
            .map(|forwarded| forwarded.change)
    }

    /// Removes the claim of a request; returns whether it had been forwarded and not answered.
    pub fn withdraw(&mut self, request: RequestId) -> bool {
        let is_target = |forwarded: &Pending| matches!(&forwarded.change, Change::Claim(claim, _) if claim.request == request);
        let before = self.pending.len();
        self.pending.retain(|_, forwarded| !is_target(forwarded));
        self.pending.len() < before
    }

    /// Removes and returns the changes that were not answered in time.
    pub fn take_overdue(&mut self, now: Time) -> Vec<Change> {
        let due = self
            .pending
            .iter()
            .filter(|(_, forwarded)| forwarded.deadline <= now);
        let due: Vec<u64> = due.map(|(ticket, _)| *ticket).collect();
        let taken = due.iter().filter_map(|ticket| self.pending.remove(ticket));
        taken.map(|forwarded| forwarded.change).collect()
    }

    /// Returns the time at which the next change is overdue.
    pub fn next_wake(&self) -> Option<Time> {
        self.pending
            .values()
            .map(|forwarded| forwarded.deadline)
            .min()
    }

    /// Returns whether an outcome or a release is not answered yet.
    pub fn has_unsaved(&self) -> bool {
        let is_claim = |forwarded: &Pending| matches!(forwarded.change, Change::Claim(..));
        !self.pending.values().all(is_claim)
    }
}

fn encode_change(change: &Change) -> Bytes {
    let record = match change {
        Change::Claim(claim, _) => Record {
            digest: claim.digest,
            request: claim.request,
            state: State::Claimed,
        },
        Change::Settle { request, state, .. } => Record {
            digest: 0,
            request: *request,
            state: state.clone(),
        },
        Change::Release { request, .. } => Record {
            digest: 0,
            request: *request,
            state: State::Claimed,
        },
    };
    Bytes::from(Vec::from(record.encode(change.key())))
}

/// Decodes a change that a peer forwards.
pub(crate) fn read_change(from: &InstanceName, message: &wire::Claim) -> Option<Change> {
    let Row { key, record } = serde_json::from_slice(&message.record).ok()?;
    let request = record.request;
    if message.release {
        return Some(Change::Release { request, key });
    }
    Some(match record.state {
        State::Claimed => {
            let claim = Claim {
                request,
                key,
                digest: record.digest,
            };
            let source = Source::Peer {
                from: from.clone(),
                ticket: message.ticket,
            };
            Change::Claim(claim, source)
        }
        state => Change::Settle {
            request,
            key,
            state,
        },
    })
}

/// Encodes the answer to a forwarded change.
pub(crate) fn encode_answer(
    ticket: u64,
    request: RequestId,
    key: &IdempotencyKey,
    decision: &Decision,
) -> wire::Claimed {
    let (code, record) = match decision {
        Decision::Claimed => (ClaimCode::Claimed, Bytes::new()),
        Decision::Held(record) => {
            let record = Bytes::from(Vec::from(record.encode(key)));
            (ClaimCode::Held, record)
        }
        Decision::Expired => (ClaimCode::Expired, Bytes::new()),
        Decision::Full => (ClaimCode::Full, Bytes::new()),
        Decision::Refused => (ClaimCode::Refused, Bytes::new()),
    };
    wire::Claimed {
        ticket,
        code: code as u32,
        record,
        request: Bytes::copy_from_slice(&request.0.to_be_bytes()),
    }
}

/// Decodes the decision in an answer.
pub(crate) fn read_decision(message: &wire::Claimed) -> Option<Decision> {
    Some(match message.code {
        1 => Decision::Claimed,
        2 => {
            let row: Row = serde_json::from_slice(&message.record).ok()?;
            Decision::Held(row.record)
        }
        3 => Decision::Expired,
        4 => Decision::Full,
        5 => Decision::Refused,
        _ => return None,
    })
}
