//! The record of one claim, and its JSON encoding in a bucket.

use std::fmt;

use base::{IdempotencyKey, RequestId};
use bytes::Bytes;
use serde::{
    Deserialize, Deserializer,
    de::{Error, SeqAccess, Visitor},
};

/// Largest outcome that is stored in a record, in bytes.
///
/// For a larger one, or one that is not UTF-8, the record only says that the request is done.
pub const MAX_OUTCOME_BYTES: usize = 512;

/// State of a request that holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// The holder may send the request, or has sent it.
    Claimed,
    /// The request ran; the outcome is `None` if it could not be stored.
    Done(Option<Bytes>),
    /// The request was sent, and it is not known whether it ran.
    Unknown,
}

impl State {
    /// Returns the state of a request that ran, with its outcome if that can be stored.
    pub fn done(outcome: &Bytes) -> Self {
        let kept = outcome.len() <= MAX_OUTCOME_BYTES && std::str::from_utf8(outcome).is_ok();
        Self::Done(kept.then(|| outcome.clone()))
    }

    fn code(&self) -> u8 {
        match self {
            Self::Claimed => 0,
            Self::Done(_) => 1,
            Self::Unknown => 2,
        }
    }
}

/// The record of a claim: the request that holds a key, and its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Digest of entry and body.
    pub digest: u64,
    /// The request that holds the key.
    pub request: RequestId,
    /// State of the request.
    pub state: State,
}

impl Record {
    /// Encodes the record as a JSON array: key, digest, request, state, and the outcome if any.
    pub fn encode(&self, key: &IdempotencyKey) -> Box<[u8]> {
        let head = format!(
            "[\"{key}\",{},\"{}\",{}",
            self.digest,
            self.request,
            self.state.code()
        );
        let mut text = head.into_bytes();
        if let State::Done(Some(outcome)) = &self.state {
            let outcome = std::str::from_utf8(outcome).unwrap_or_default();
            text.push(b',');
            text.extend(serde_json::to_vec(outcome).unwrap_or_default());
        }
        text.push(b']');
        text.into()
    }
}

/// A record with its key, as a bucket's JSON contains it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: IdempotencyKey,
    /// Its record.
    pub record: Record,
}

impl<'de> Deserialize<'de> for Row {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_seq(RowVisitor)
    }
}

struct RowVisitor;

impl<'de> Visitor<'de> for RowVisitor {
    type Value = Row;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[key, digest, request, state, outcome]")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut row: A) -> Result<Row, A::Error> {
        let key: IdempotencyKey = next(&mut row, 0)?;
        let digest = next(&mut row, 1)?;
        let request: Box<str> = next(&mut row, 2)?;
        let state = match next::<u8, A>(&mut row, 3)? {
            0 => State::Claimed,
            1 => State::Done(row.next_element::<Box<str>>()?.map(outcome)),
            2 => State::Unknown,
            _ => return Err(A::Error::custom("unknown claim state")),
        };
        let request = request.parse().map_err(A::Error::custom)?;
        let record = Record {
            digest,
            request,
            state,
        };
        Ok(Row { key, record })
    }
}

fn next<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    row: &mut A,
    place: usize,
) -> Result<T, A::Error> {
    let value = row.next_element()?;
    value.ok_or_else(|| A::Error::invalid_length(place, &"a claim record"))
}

fn outcome(text: Box<str>) -> Bytes {
    Bytes::from(String::from(text))
}
