//! JSON bodies of responses.

use std::time::Duration;

use base::{RequestId, ShardName};
use node::{Coverage, Hit, SearchResults};
use serde::{
    Serialize, Serializer,
    de::IgnoredAny,
    ser::{SerializeSeq, SerializeStruct},
};

/// Initial capacity for a body without its hits, in bytes.
const BASE_BYTES: usize = 256;

/// Estimated size of a hit without its id and text, in bytes.
const HIT_BYTES: usize = 64;

/// Serializes a value; the types in this file cannot fail.
pub(crate) fn write(value: &impl Serialize, capacity: usize) -> Vec<u8> {
    let mut body = Vec::with_capacity(capacity);
    if serde_json::to_writer(&mut body, value).is_err() {
        body.clear();
    }
    body
}

/// Serializes the results of a search.
pub(crate) fn search_results(results: &SearchResults) -> Vec<u8> {
    let hits = results.hits.iter();
    let size = hits.map(|hit| hit.id.len() + hit.text.len() + HIT_BYTES);
    write(
        &SearchResultsBody(results),
        BASE_BYTES + size.sum::<usize>(),
    )
}

/// Serializes the outcome of a run; the outcome is copied byte for byte.
pub(crate) fn run_outcome(request: RequestId, outcome: &[u8], repeated: bool) -> Vec<u8> {
    let mut body = Vec::with_capacity(BASE_BYTES + outcome.len());
    body.extend_from_slice(format!("{{\"request\":\"{request}\",\"outcome\":").as_bytes());
    match serde_json::from_slice::<IgnoredAny>(outcome) {
        Ok(_) => body.extend_from_slice(outcome),
        // An outcome that is not JSON is written as a string.
        Err(_) => body.extend(write(&String::from_utf8_lossy(outcome), outcome.len() + 2)),
    }
    body.extend_from_slice(format!(",\"repeated\":{repeated}}}").as_bytes());
    body
}

/// Body of a response that carries neither results nor an outcome.
#[derive(Serialize)]
pub(crate) struct Problem<'a> {
    /// Result of the request: `not run`, `expired` or `unknown`.
    pub(crate) result: &'static str,
    /// Reason, as a fixed name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) reason: Option<&'a str>,
    /// Further explanation of the reason.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) detail: Option<&'a str>,
    /// Time after which the caller may retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) retry_after_ms: Option<u64>,
}

impl Problem<'_> {
    /// Serializes the body.
    pub(crate) fn write(&self) -> Vec<u8> {
        write(self, BASE_BYTES)
    }
}

/// Returns the time in milliseconds, rounded up.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}

struct SearchResultsBody<'a>(&'a SearchResults);

impl Serialize for SearchResultsBody<'_> {
    fn serialize<S: Serializer>(&self, writer: S) -> Result<S::Ok, S::Error> {
        let results = self.0;
        let mut body = writer.serialize_struct("SearchResults", 4)?;
        body.serialize_field("request", &DisplayStr(results.request))?;
        body.serialize_field("snapshot", &results.snapshot.0)?;
        body.serialize_field("hits", &Hits(&results.hits))?;
        body.serialize_field("coverage", &CoverageBody(&results.coverage))?;
        body.end()
    }
}

struct DisplayStr<T>(T);

impl<T: std::fmt::Display> Serialize for DisplayStr<T> {
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
