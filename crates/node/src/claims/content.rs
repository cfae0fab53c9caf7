//! Content of one bucket: its records, and the floor at and below which keys are refused.

use std::{collections::BTreeMap, time::Duration};

use base::{IdempotencyKey, RequestId};
use bytes::Bytes;
use serde::Deserialize;

use super::record::{Record, Row, State};

/// Upper bound of the size of an empty bucket as JSON, in bytes.
const BASE_BYTES: usize = 64;

/// Share of the maximum size that is freed at once when a bucket is full, as a divisor.
const FREE_DIVISOR: usize = 16;

/// Bounds of a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Largest size of the object, in bytes.
    pub bytes: usize,
    /// Minimum time for which a record is kept, measured by the issue times of the keys.
    pub retention: Duration,
}

/// A claim of a key for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The request that is to hold the key.
    pub request: RequestId,
    /// The key.
    pub key: IdempotencyKey,
    /// Digest of entry and body.
    pub digest: u64,
}

/// Decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The claim is recorded.
    Claimed,
    /// Another request holds the key.
    Held(Record),
    /// The key was issued at or below the floor of its bucket.
    Expired,
    /// There is no room, and no record is old enough to be dropped.
    Full,
    /// The bucket cannot be parsed, or too many changes wait for it.
    Refused,
}

/// A record with its encoding.
#[derive(Debug)]
struct StoredRecord {
    record: Record,
    encoded: Box<[u8]>,
}

/// Records by issue time and key, and the floor.
#[derive(Debug, Default)]
pub struct Content {
    floor: Option<u64>,
    records: BTreeMap<(u64, IdempotencyKey), StoredRecord>,
    /// Size of the encoded records with their separators, in bytes.
    bytes: usize,
}

#[derive(Deserialize)]
struct Document {
    #[serde(default)]
    floor: Option<u64>,
    records: Vec<Row>,
}

impl Content {
    /// Parses a bucket.
    ///
    /// # Errors
    ///
    /// Fails when the object is not a valid bucket.
    pub fn from_json(json: &[u8]) -> Result<Self, serde_json::Error> {
        let document: Document = serde_json::from_slice(json)?;
        let mut content = Self {
            floor: document.floor,
            ..Self::default()
        };
        for row in document.records {
            content.put(&row.key, row.record);
        }
        Ok(content)
    }

    /// Encodes the bucket as compact JSON.
    pub fn to_json(&self) -> Bytes {
        let mut json = Vec::with_capacity(self.size());
        json.push(b'{');
        if let Some(floor) = self.floor {
            json.extend_from_slice(format!("\"floor\":{floor},").as_bytes());
        }
        json.extend_from_slice(b"\"records\":[");
        for (i, stored) in self.records.values().enumerate() {
            if i > 0 {
                json.push(b',');
            }
            json.extend_from_slice(&stored.encoded);
        }
        json.extend_from_slice(b"]}");
        json.into()
    }

    /// Returns an upper bound of the size as JSON, in bytes.
    pub fn size(&self) -> usize {
        BASE_BYTES + self.bytes
    }

    /// Returns the issue time at and below which keys are refused.
    pub fn floor(&self) -> Option<u64> {
        self.floor
    }

    /// Returns the record of a key.
    pub fn get(&self, key: &IdempotencyKey) -> Option<&Record> {
        self.records
            .get(&sort_key(key))
            .map(|stored| &stored.record)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records a claim unless its key is held or too old, or there is no room.
    pub fn claim(&mut self, claim: &Claim, bounds: Bounds) -> Decision {
        if let Some(held) = self.get(&claim.key) {
            let own = held.request == claim.request;
            return match own {
                true => Decision::Claimed,
                false => Decision::Held(held.clone()),
            };
        }
        if self.is_expired(&claim.key) {
            return Decision::Expired;
        }
        let record = Record {
            digest: claim.digest,
            request: claim.request,
            state: State::Claimed,
        };
        let needed = record.encode(&claim.key).len() + 1;
        if !self.make_room(needed, claim.key.issued(), bounds) {
            return Decision::Full;
        }
        if self.is_expired(&claim.key) {
            return Decision::Expired;
        }
        self.put(&claim.key, record);
        Decision::Claimed
    }

    /// Records the outcome of a request; returns whether anything changed.
    pub fn settle(
        &mut self,
        key: &IdempotencyKey,
        request: RequestId,
        state: &State,
        bounds: Bounds,
    ) -> bool {
        let Some(held) = self.held_by(key, request) else {
            return false;
        };
        if held.state == *state || matches!(held.state, State::Done(_)) {
            return false;
        }
        let digest = held.digest;
        let record = |state| Record {
            digest,
            request,
            state,
        };
        let before = self.bytes;
        self.put(key, record(state.clone()));
        if self.size() > bounds.bytes && self.bytes > before && matches!(state, State::Done(_)) {
            self.put(key, record(State::Done(None)));
        }
        true
    }

    /// Removes the claim of a request that was never sent; returns whether it was recorded.
    pub fn release(&mut self, key: &IdempotencyKey, request: RequestId) -> bool {
        let claimed = self
            .held_by(key, request)
            .is_some_and(|held| held.state == State::Claimed);
        if claimed {
            self.remove(&sort_key(key));
        }
        claimed
    }

    /// Returns the record of a key if the request holds it.
    fn held_by(&self, key: &IdempotencyKey, request: RequestId) -> Option<&Record> {
        self.get(key).filter(|held| held.request == request)
    }

    fn is_expired(&self, key: &IdempotencyKey) -> bool {
        self.floor.is_some_and(|floor| key.issued() <= floor)
    }

    fn put(&mut self, key: &IdempotencyKey, record: Record) {
        let encoded = record.encode(key);
        self.bytes += encoded.len() + 1;
        if let Some(old) = self
            .records
            .insert(sort_key(key), StoredRecord { record, encoded })
        {
            self.bytes -= old.encoded.len() + 1;
        }
    }

    fn remove(&mut self, sort_key: &(u64, IdempotencyKey)) {
        if let Some(old) = self.records.remove(sort_key) {
            self.bytes -= old.encoded.len() + 1;
        }
    }

    /// Drops the oldest records if `needed` bytes do not fit; returns whether they fit then.
    fn make_room(&mut self, needed: usize, issued: u64, bounds: Bounds) -> bool {
        if self.size() + needed <= bounds.bytes {
            return true;
        }
        let newest = self.records.last_key_value().map_or(0, |((at, _), _)| *at);
        let last_removable = newest
            .max(issued)
            .saturating_sub(bounds.retention.as_secs());
        let must_free = (self.size() + needed).saturating_sub(bounds.bytes);
        let wanted = must_free.max(bounds.bytes / FREE_DIVISOR);
        let mut freed = 0;
        let mut floor = None;
        for ((at, _), stored) in &self.records {
            if *at > last_removable || (freed >= wanted && floor != Some(*at)) {
                break;
            }
            freed += stored.encoded.len() + 1;
            floor = Some(*at);
        }
        if freed < must_free {
            return false;
        }
        self.raise_floor(floor);
        true
    }

    /// Raises the floor and drops the records at or below it.
    fn raise_floor(&mut self, floor: Option<u64>) {
        self.floor = self.floor.max(floor);
        while let Some(((at, _), _)) = self.records.first_key_value() {
            if Some(*at) > self.floor {
                break;
            }
            if let Some((_, old)) = self.records.pop_first() {
                self.bytes -= old.encoded.len() + 1;
            }
        }
    }
}

/// Returns the position of a key: its issue time, then the key itself.
fn sort_key(key: &IdempotencyKey) -> (u64, IdempotencyKey) {
    (key.issued(), key.clone())
}
