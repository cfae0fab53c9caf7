//! Parsers of the watched objects; each returns the value or a one-line description of the problem.

use std::{collections::BTreeSet, fmt};

use base::{Revision, ServiceName, UpstreamName};
use cat::{Catalogue, Index, Snapshot};
use serde::{Deserialize, de::DeserializeOwned};

/// The fields of the head object that an instance uses.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(super) struct Head {
    /// Revision of the catalogue.
    pub(super) revision: Revision,
    /// Digest of the document.
    pub(super) document: Box<str>,
}

/// The platform's list of the upstreams of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ServiceLiveness {
    /// Upstreams that take work.
    pub live: Vec<UpstreamName>,
    /// Upstreams that are leaving and take no new work.
    pub leaving: Vec<UpstreamName>,
}

fn problem(error: impl fmt::Display) -> Box<str> {
    error.to_string().into()
}

fn json<T: DeserializeOwned>(value: &[u8]) -> Result<T, Box<str>> {
    serde_json::from_slice(value).map_err(problem)
}

/// Parses the head object.
pub(super) fn head(value: &[u8]) -> Result<Head, Box<str>> {
    json(value)
}

/// Parses a catalogue document.
pub(super) fn catalogue(value: &[u8]) -> Result<Catalogue, Box<str>> {
    Catalogue::from_json(value).map_err(problem)
}

/// Parses the liveness object of one service.
pub(super) fn liveness(value: &[u8]) -> Result<ServiceLiveness, Box<str>> {
    json(value)
}

/// Parses the name of an object that is named after a service.
pub(super) fn service(name: &str) -> Result<ServiceName, Box<str>> {
    name.parse().map_err(problem)
}

/// Parses the index object of a service.
///
/// Its replicas are not checked against the catalogue: the two objects change independently.
pub(super) fn index(name: &ServiceName, value: &[u8]) -> Result<Index, Box<str>> {
    let index: Index = json(value)?;
    if index.service != *name {
        return Err(format!("the index belongs to service {}", index.service).into());
    }
    let grows = |pair: &[Snapshot]| pair[0].id < pair[1].id;
    if !index.snapshots.windows(2).all(grows) {
        return Err("snapshot ids are not in increasing order".into());
    }
    index.snapshots.iter().try_for_each(check_shards)?;
    Ok(index)
}

fn check_shards(snapshot: &Snapshot) -> Result<(), Box<str>> {
    let mut names = BTreeSet::new();
    match snapshot.shards.iter().find(|s| !names.insert(&s.name)) {
        Some(twice) => {
            Err(format!("snapshot {} has shard {} twice", snapshot.id, twice.name).into())
        }
        None => Ok(()),
    }
}
