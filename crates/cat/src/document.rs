//! The canonical document of a catalogue, as stored on the platform.
//!
//! It has no comments, writes out every limit and sorts all keys, so that equal catalogues have
//! equal documents and digests.

use std::fmt::Write;

use base::Span;
use serde_json::{Map, Value, json};
use sha2::{Digest, Sha256};

use crate::{
    catalogue,
    findings::{Finding, Findings, Position, Severity},
    model::{Catalogue, Entry, Limits, Service, Upstream},
};

/// Name of the canonical document in findings.
const DOCUMENT_NAME: &str = "document";

impl Catalogue {
    /// Returns the canonical document.
    pub fn to_json(&self) -> Vec<u8> {
        let services = self.services.iter().map(service_member);
        let entries = self.entries.iter().map(entry_member);
        let document = json!({
            "services": services.collect::<Map<_, _>>(),
            "entries": entries.collect::<Map<_, _>>(),
        });
        document.to_string().into_bytes()
    }

    /// Reads a canonical document with all the checks of [`catalogue::read`].
    ///
    /// # Errors
    ///
    /// Returns all findings, warnings included, if at least one of them is an error.
    pub fn from_json(bytes: &[u8]) -> Result<Self, Findings> {
        let text = std::str::from_utf8(bytes).map_err(|_| not_utf8())?;
        let (catalogue, _warnings) = catalogue::read(DOCUMENT_NAME, text)?;
        Ok(catalogue)
    }

    /// Returns the SHA-256 digest of the canonical document in hexadecimal.
    pub fn digest(&self) -> Box<str> {
        let digest = Sha256::digest(self.to_json());
        let mut text = String::with_capacity(2 * digest.len());
        for byte in digest {
            // Writing to a `String` never fails.
            let _ = write!(text, "{byte:02x}");
        }
        text.into()
    }
}

fn not_utf8() -> Findings {
    let position = Position {
        file: DOCUMENT_NAME.into(),
        line: 1,
        column: 1,
    };
    Findings::from_iter([Finding {
        position,
        severity: Severity::Error,
        message: "the document is not UTF-8".into(),
        hint: None,
    }])
}

fn service_member(service: &Service) -> (String, Value) {
    let upstreams = service.upstreams.iter().map(upstream_member);
    let value = json!({
        "slots": service.slots,
        "connections": service.connections,
        "upstreams": upstreams.collect::<Map<_, _>>(),
    });
    (service.name.to_string(), value)
}

fn upstream_member(upstream: &Upstream) -> (String, Value) {
    let value = json!({
        "address": upstream.address.to_string(),
        "data_centre": upstream.data_centre.as_str(),
    });
    (upstream.name.to_string(), value)
}

fn entry_member(entry: &Entry) -> (String, Value) {
    let value = json!({
        "service": entry.service.as_str(),
        "owner": entry.owner,
        "class": entry.class.as_str(),
        "limits": limits_value(&entry.limits),
    });
    (entry.name.to_string(), value)
}

fn limits_value(limits: &Limits) -> Value {
    json!({
        "deadline": Span(limits.deadline).to_string(),
        "rate": limits.rate.to_string(),
        "concurrent": limits.concurrent,
        "hedge": limits.hedge.to_string(),
        "retry": limits.retry.to_string(),
        "results": limits.results,
        "body": limits.body.to_string(),
    })
}
