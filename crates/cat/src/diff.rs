//! Differences between two catalogues.

use std::collections::{BTreeMap, BTreeSet};

use base::Span;

use crate::{
    change::{Action, Item},
    model::{Catalogue, Entry, Limits, Service, Upstream},
};

/// Lists the differences between two catalogues, sorted by entry or service and then by part.
///
/// An added or removed entry or service is one item; otherwise each changed part is one.
pub fn diff(before: &Catalogue, after: &Catalogue) -> Vec<Item> {
    let (before, after) = (records(before), records(after));
    let paths: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let mut items = Vec::new();
    for path in paths {
        match (before.get(path), after.get(path)) {
            (Some(a), Some(b)) => items.extend(diff_parts(path, a, b)),
            (before, after) => items.extend(added_or_removed(path, before, after)),
        }
    }
    items
}

/// An entry or service in the form in which it is compared.
struct Record {
    /// Values by the path of each part.
    parts: BTreeMap<String, String>,
    /// Summary for [`Item::allowed_before`] and [`Item::allowed_after`].
    allowed: Box<str>,
}

fn records(catalogue: &Catalogue) -> BTreeMap<String, Record> {
    let entries = catalogue.entries.iter().map(entry_record);
    let services = catalogue.services.iter().map(service_record);
    entries.chain(services).collect()
}

fn entry_record(entry: &Entry) -> (String, Record) {
    let mut parts = limit_parts(&entry.limits);
    parts.insert("service".into(), entry.service.to_string());
    parts.insert("owner".into(), entry.owner.to_string());
    parts.insert("class".into(), entry.class.to_string());
    let record = Record {
        parts,
        allowed: allowed_by_entry(entry),
    };
    (format!("entries/{}", entry.name), record)
}

fn limit_parts(limits: &Limits) -> BTreeMap<String, String> {
    let part = |name: &str, value: String| (format!("limits/{name}"), value);
    BTreeMap::from([
        part("deadline", Span(limits.deadline).to_string()),
        part("rate", limits.rate.to_string()),
        part("concurrent", limits.concurrent.to_string()),
        part("hedge", limits.hedge.to_string()),
        part("retry", limits.retry.to_string()),
        part("results", limits.results.to_string()),
        part("body", limits.body.to_string()),
    ])
}

fn service_record(service: &Service) -> (String, Record) {
    let upstream = |u: &Upstream| {
        let value = format!("{} in {}", u.address, u.data_centre);
        (format!("upstreams/{}", u.name), value)
    };
    let mut parts: BTreeMap<_, _> = service.upstreams.iter().map(upstream).collect();
    parts.insert("slots".into(), service.slots.to_string());
    parts.insert("connections".into(), service.connections.to_string());
    let record = Record {
        parts,
        allowed: allowed_by_service(service),
    };
    (format!("services/{}", service.name), record)
}

/// Returns the summary of an entry.
fn allowed_by_entry(entry: &Entry) -> Box<str> {
    let Limits {
        deadline,
        rate,
        concurrent,
        hedge,
        retry,
        results,
        body,
    } = &entry.limits;
    format!(
        "service {}, owner {}, class {}, deadline {}, {rate}, {concurrent} concurrent, \
         hedge {hedge}, retry {retry}, {results} results, body {body}",
        entry.service,
        entry.owner,
        entry.class,
        Span(*deadline),
    )
    .into()
}

/// Returns the summary of a service.
fn allowed_by_service(service: &Service) -> Box<str> {
    format!(
        "{} slots, {} connections, {} upstreams",
        service.slots,
        service.connections,
        service.upstreams.len(),
    )
    .into()
}

fn added_or_removed(path: &str, before: Option<&Record>, after: Option<&Record>) -> Option<Item> {
    let action = match (before, after) {
        (None, Some(_)) => Action::Added,
        (Some(_), None) => Action::Removed,
        _ => return None,
    };
    Some(Item {
        path: path.into(),
        action,
        before: None,
        after: None,
        allowed_before: before.map(|record| record.allowed.clone()),
        allowed_after: after.map(|record| record.allowed.clone()),
    })
}

fn diff_parts(path: &str, before: &Record, after: &Record) -> Vec<Item> {
    let names: BTreeSet<&String> = before.parts.keys().chain(after.parts.keys()).collect();
    let part_item = |name: &String| {
        let (old, new) = (before.parts.get(name), after.parts.get(name));
        let action = match (old, new) {
            (None, _) => Action::Added,
            (_, None) => Action::Removed,
            (Some(old), Some(new)) if old == new => return None,
            _ => Action::Changed,
        };
        Some(Item {
            path: format!("{path}/{name}").into(),
            action,
            before: old.map(|value| value.as_str().into()),
            after: new.map(|value| value.as_str().into()),
            allowed_before: Some(before.allowed.clone()),
            allowed_after: Some(after.allowed.clone()),
        })
    };
    names.into_iter().filter_map(part_item).collect()
}
