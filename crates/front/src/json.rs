//! Bodies of answers as JSON.

use std::time::Duration;

use base::{RequestId, ShardName};
use node::{Coverage, Hit, SearchResults};
use serde::{
    Serialize, Serializer,
    de::IgnoredAny,
    ser::{SerializeSeq, SerializeStruct},
};

/// Room for an answer without its hits, in bytes.
const BASE_BYTES: usize = 256;

/// Room for a hit without its id and text, in bytes.
const HIT_BYTES: usize = 64;

/// Writes a value; the types of this file can't fail.
pub(crate) fn write(value: &impl Serialize, capacity: usize) -> Vec<u8> {
    let mut body = Vec::with_capacity(capacity);
    if serde_json::to_writer(&mut body, value).is_err() {
        body.clear();
    }
    body
}

/// Writes the result of a search.
pub(crate) fn found(found: &SearchResults) -> Vec<u8> {
    let hits = found.hits.iter();
    let size = hits.map(|hit| hit.id.len() + hit.text.len() + HIT_BYTES);
    write(&FoundBody(found), BASE_BYTES + size.sum::<usize>())
}

/// Writes the outcome of a request that ran; the outcome is passed on byte for byte.
pub(crate) fn done(request: RequestId, outcome: &[u8], repeated: bool) -> Vec<u8> {
    let mut body = Vec::with_capacity(BASE_BYTES + outcome.len());
    body.extend_from_slice(format!("{{\"request\":\"{request}\",\"outcome\":").as_bytes());
    match serde_json::from_slice::<IgnoredAny>(outcome) {
        Ok(_) => body.extend_from_slice(outcome),
        // An outcome that is not JSON is handed on as text.
        Err(_) => body.extend(write(&String::from_utf8_lossy(outcome), outcome.len() + 2)),
    }
    body.extend_from_slice(format!(",\"repeated\":{repeated}}}").as_bytes());
    body
}

/// Body of an answer that is neither a result nor an outcome.
#[derive(Serialize)]
pub(crate) struct Problem<'a> {
    /// What is certain about the request.
    pub(crate) result: &'static str,
    /// Why.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) reason: Option<&'a str>,
    /// More about the reason.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) detail: Option<&'a str>,
    /// Milliseconds after which the caller may ask again.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) retry_after_ms: Option<u64>,
}

impl Problem<'_> {
    /// Writes the body.
    pub(crate) fn write(&self) -> Vec<u8> {
        write(self, BASE_BYTES)
    }
}

/// Returns whole milliseconds, rounded up.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}

struct FoundBody<'a>(&'a SearchResults);

impl Serialize for FoundBody<'_> {
    fn serialize<S: Serializer>(&self, writer: S) -> Result<S::Ok, S::Error> {
        let found = self.0;
        let mut body = writer.serialize_struct("Found", 4)?;
        body.serialize_field("request", &Shown(found.request))?;
        body.serialize_field("snapshot", &found.snapshot.0)?;
        body.serialize_field("hits", &Hits(&found.hits))?;
        body.serialize_field("coverage", &CoverageBody(&found.coverage))?;
        body.end()
    }
}

struct Shown<T>(T);

impl<T: std::fmt::Display> Serialize for Shown<T> {
    fn serialize<S: Serializer>(&self, writer: S) -> Result<S::Ok, S::Error> {
        writer.collect_str(&self.0)
    }
}

struct Hits<'a>(&'a [Hit]);

impl Serialize for Hits<'_> {
    fn serialize<S: Serializer>(&self, writer: S) -> Result<S::Ok, S::Error> {
        let mut list = writer.serialize_seq(Some(self.0.len()))?;
        for hit in self.0 {
            list.serialize_element(&HitBody(hit))?;
        }
        list.end()
    }
}

struct HitBody<'a>(&'a Hit);

impl Serialize for HitBody<'_> {
    fn serialize<S: Serializer>(&self, writer: S) -> Result<S::Ok, S::Error> {
        let mut body = writer.serialize_struct("Hit", 3)?;
        body.serialize_field("id", &self.0.id)?;
        body.serialize_field("score", &self.0.score)?;
        body.serialize_field("text", &self.0.text)?;
        body.end()
    }
}

struct CoverageBody<'a>(&'a Coverage);

impl Serialize for CoverageBody<'_> {
    fn serialize<S: Serializer>(&self, writer: S) -> Result<S::Ok, S::Error> {
        let mut body = writer.serialize_struct("Coverage", 3)?;
        body.serialize_field("asked", &self.0.asked)?;
        body.serialize_field("answered", &self.0.answered)?;
        body.serialize_field("missing", &Names(&self.0.missing))?;
        body.end()
    }
}

struct Names<'a>(&'a [ShardName]);

impl Serialize for Names<'_> {
    fn serialize<S: Serializer>(&self, writer: S) -> Result<S::Ok, S::Error> {
        let mut list = writer.serialize_seq(Some(self.0.len()))?;
        for name in self.0 {
            list.serialize_element(name.as_str())?;
        }
        list.end()
    }
}
