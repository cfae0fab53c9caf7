//! Organisations: the owners of callers' keys, with their priorities and limits.

pub mod authenticate;

use std::{collections::HashMap, fmt};

use base::{OrganisationName, RegionName};

use crate::limit::RequestRate;

/// An organisation that callers belong to.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name, which upstreams get with each request.
    pub name: OrganisationName,
    /// Priority of its requests, in place of that of their routes; 0 is the highest.
    pub priority: Option<u32>,
    /// Limit on its requests; `None` if they are not limited.
    pub limit: Option<OrganisationLimit>,
    /// Regions whose upstreams and instances may get its requests; `None` for all.
    pub homes: Option<Box<[RegionName]>>,
}

/// Limit on the requests of an organisation at all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrganisationLimit {
    /// Requests a second.
    pub rate: RequestRate,
    /// Requests beyond that rate.
    pub burst: f64,
}

/// Digest of a caller's key. The keys themselves are not retained.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest(pub u128);

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// What a request shows of the organisation that its caller belongs to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// No key.
    #[default]
    Absent,
    /// Something that is not one key.
    Malformed,
    /// The key with this digest.
    Key(KeyDigest),
    /// Another instance has authenticated the caller.
    Verified(OrganisationName),
}

/// The organisations of a configuration.
#[derive(Clone, Debug, Default)]
pub struct Organisations {
    all: Vec<Organisation>,
    by_key: HashMap<KeyDigest, usize>,
    by_name: HashMap<OrganisationName, usize>,
    /// Whether callers need keys even if no organisation could be read.
    are_required: bool,
}

impl Organisations {
    /// Adds an organisation and its keys.
    pub fn insert(&mut self, organisation: Organisation, keys: impl Iterator<Item = KeyDigest>) {
        let at = self.all.len();
        self.by_name.insert(organisation.name.clone(), at);
        self.by_key.extend(keys.map(|key| (key, at)));
        self.all.push(organisation);
    }

    /// Records that there are organisations, even if none of them can be read.
    pub fn require(&mut self) {
        self.are_required = true;
    }

    /// Returns whether callers need no keys, as there are no organisations.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty() && !self.are_required
    }

    /// Returns the organisation that holds a key.
    pub fn by_key(&self, key: KeyDigest) -> Option<&Organisation> {
        self.by_key.get(&key).map(|at| &self.all[*at])
    }

    /// Returns an organisation by its name.
    pub fn by_name(&self, name: &OrganisationName) -> Option<&Organisation> {
        self.by_name.get(name).map(|at| &self.all[*at])
    }

    /// Returns all organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Organisation> {
        self.all.iter()
    }
}
