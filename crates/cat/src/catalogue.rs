//! Reader of catalogue documents.
//!
//! It reads both the operator's file and the canonical document on the platform, so that the same
//! checks apply to both.

mod entry;
mod service;

pub use entry::{
    BODY_RANGE, CONCURRENT_RANGE, DEADLINE_RANGE, HEDGE_RANGE, MAX_OWNER_BYTES, RATE_RANGE,
    RESULTS_RANGE, RETRY_RANGE,
};
pub use service::{CONNECTIONS_RANGE, SLOTS_RANGE};

use crate::{
    findings::Findings,
    model::{Catalogue, Entry, Service},
    read::{Cursor, Fields, Reader},
};
use service::Declared;

/// Maximum size of a canonical document, which the platform stores as one object, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Reads a catalogue from JSON with comments; `file` names the document in findings.
///
/// Services, their upstreams and entries are sorted by name. The findings of a valid document are
/// warnings.
///
/// # Errors
///
/// Returns all findings, warnings included, if at least one of them is an error.
pub fn read(file: &str, text: &str) -> Result<(Catalogue, Findings), Findings> {
    let reader = Reader::new(file, text);
    let value = reader.parse();
    let root = value.as_ref().map(|value| Cursor::root(&reader, value));
    let catalogue = root.and_then(read_catalogue);
    drop(value);
    reader.finish(catalogue)
}

fn read_catalogue(root: Cursor<'_>) -> Option<Catalogue> {
    let fields = root.fields(&["services", "entries"])?;
    let mut declared = Declared::default();
    let services = read_services(&fields, &mut declared);
    let entries = read_entries(&fields, &mut declared);
    // Not done if an entry is invalid, because that entry may name a service that seems unused.
    if entries.is_some() {
        declared.report_unused(root.reader());
    }
    let catalogue = Catalogue {
        services: services?,
        entries: entries?,
    };
    check_size(&root, &catalogue);
    Some(catalogue)
}

fn read_services<'r>(fields: &Fields<'r>, declared: &mut Declared<'r>) -> Option<Vec<Service>> {
    let members = fields.require("services")?.members()?;
    declared.readable = true;
    let read: Vec<_> = members.iter().map(|m| service::read(m, declared)).collect();
    let mut services = read.into_iter().collect::<Option<Vec<Service>>>()?;
    services.sort_by(|a, b| a.name.cmp(&b.name));
    Some(services)
}

fn read_entries<'r>(fields: &Fields<'r>, declared: &mut Declared<'r>) -> Option<Vec<Entry>> {
    let value = fields.require("entries")?;
    let members = value.members()?;
    if members.is_empty() {
        value.warning_hint("there are no entries", "every request will be refused");
    }
    let read: Vec<_> = members.iter().map(|m| entry::read(m, declared)).collect();
    let mut entries = read.into_iter().collect::<Option<Vec<Entry>>>()?;
    entries.sort_by(|a, b| a.name.cmp(&b.name));
    Some(entries)
}

fn check_size(root: &Cursor<'_>, catalogue: &Catalogue) {
    let size = catalogue.to_json().len();
    if size > MAX_DOCUMENT_BYTES {
        root.error(format!(
            "the catalogue takes {size} bytes; the platform holds {MAX_DOCUMENT_BYTES} bytes"
        ));
    }
}
