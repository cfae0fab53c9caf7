//! Cache of the watched platform objects, and the catalogue in force.
//!
//! An object is replaced only by a greater version, and the catalogue in force only by a greater
//! revision, whatever the order in which pages of the platform and of peers arrive. An object that
//! cannot be read is ignored: the last one that could be read stays.

mod context;
mod heads;
mod page;
mod parse;
mod pending_pulls;
pub mod sync;

use std::{collections::BTreeMap, rc::Rc};

use base::{Revision, ServiceName, Version};
use cat::{Catalogue, Index};

pub use context::{Context, PeerStatus, Peers};
pub use heads::InForce;
use heads::{Candidate, Heads};
pub use page::Page;
pub use parse::ServiceLiveness;
pub use sync::{StoreSync, SyncConfig};

use crate::{
    effect::{Effect, Note},
    object::{Kind, Object},
};

/// Documents that are kept although no head refers to them.
const MAX_UNREFERENCED_DOCUMENTS: usize = 4;

/// What a page changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A revision of the catalogue came into force.
    InForce(Revision),
    /// The index of a service was replaced.
    Index(ServiceName),
    /// The liveness of a service's upstreams was replaced.
    Liveness(ServiceName),
}

/// The watched objects that this instance has received.
#[derive(Debug, Default)]
pub struct Store {
    heads: Heads,
    objects: BTreeMap<(Kind, Box<str>), Object>,
    indexes: BTreeMap<ServiceName, Rc<Index>>,
    liveness: BTreeMap<ServiceName, ServiceLiveness>,
    /// Version up to which the store is complete.
    seen: Version,
    /// Greatest version of an object up to `seen`.
    newest: Version,
}

impl Store {
    /// Applies a page and returns what it changed; invalid objects are ignored and reported.
    pub fn apply(&mut self, page: Page, effects: &mut Vec<Effect>) -> Vec<Change> {
        let mut changes = Vec::new();
        for object in page.objects {
            let (kind, name) = (object.kind, object.name.clone());
            match self.insert_object(object) {
                Ok(change) => changes.extend(change),
                Err(problem) => effects.push(bad_object(kind, name, problem)),
            }
        }
        changes.extend(self.activate_newest_head(effects));
        self.drop_unreferenced_documents();
        if page.after <= self.seen {
            self.seen = self.seen.max(page.seen);
        }
        let complete = self.all().map(|o| o.version).filter(|&v| v <= self.seen);
        self.newest = complete.max().unwrap_or_default();
        changes
    }

    /// Returns the version up to which the store is complete; it only grows.
    pub fn seen(&self) -> Version {
        self.seen
    }

    /// Returns the greatest version of an object in the store, up to [`Store::seen`].
    ///
    /// Unlike [`Store::seen`] it does not grow while only objects of other kinds are written.
    pub fn newest(&self) -> Version {
        self.newest
    }

    /// Returns the catalogue in force with its revision.
    pub fn head(&self) -> Option<&InForce> {
        self.heads.in_force()
    }

    /// Returns the catalogue in force.
    pub fn catalogue(&self) -> Option<&Rc<Catalogue>> {
        self.head().map(|head| &head.catalogue)
    }

    /// Returns the index of a service.
    pub fn index(&self, service: &ServiceName) -> Option<&Rc<Index>> {
        self.indexes.get(service)
    }

    /// Returns the platform's list of the upstreams of a service.
    pub fn liveness(&self, service: &ServiceName) -> Option<&ServiceLiveness> {
        self.liveness.get(service)
    }

    /// Returns the digests of the documents that a waiting head refers to and that are missing.
    pub fn missing_documents(&self) -> impl Iterator<Item = &str> {
        let digests = self.heads.waiting().map(|w| &*w.head.document);
        digests.filter(|digest| self.document(digest).is_none())
    }

    fn document(&self, digest: &str) -> Option<&Object> {
        self.objects.get(&(Kind::Document, digest.into()))
    }

    fn all(&self) -> impl Iterator<Item = &Object> {
        self.heads.objects().chain(self.objects.values())
    }

    fn insert_object(&mut self, object: Object) -> Result<Option<Change>, Box<str>> {
        if object.kind == Kind::Catalogue {
            let head = parse::head(&object.value)?;
            self.heads.offer(Candidate { head, object })?;
            return Ok(None);
        }
        let key = (object.kind, object.name.clone());
        let current = self.objects.get(&key);
        if current.is_some_and(|current| current.version >= object.version) {
            return Ok(None);
        }
        let change = self.replace(&object)?;
        self.objects.insert(key, object);
        Ok(change)
    }

    /// Parses an object, and replaces the parsed index or liveness of its service.
    fn replace(&mut self, object: &Object) -> Result<Option<Change>, Box<str>> {
        match object.kind {
            Kind::Index => {
                let service = parse::service(&object.name)?;
                let index = parse::index(&service, &object.value)?;
                self.indexes.insert(service.clone(), Rc::new(index));
                Ok(Some(Change::Index(service)))
            }
            Kind::Liveness => {
                let service = parse::service(&object.name)?;
                let liveness = parse::liveness(&object.value)?;
                self.liveness.insert(service.clone(), liveness);
                Ok(Some(Change::Liveness(service)))
            }
            Kind::Document => Ok(None),
            Kind::Catalogue | Kind::Claims | Kind::Trail => Err("not a watched object".into()),
        }
    }

    /// Puts into force the waiting head with the greatest revision among those with a present and
    /// valid document.
    fn activate_newest_head(&mut self, effects: &mut Vec<Effect>) -> Option<Change> {
        while let Some((revision, document)) = self.next_with_document() {
            match parse::catalogue(&document.value) {
                Ok(catalogue) => {
                    self.heads.activate(revision, catalogue);
                    effects.push(Effect::Note(Note::CatalogueInForce(revision)));
                    return Some(Change::InForce(revision));
                }
                Err(problem) => {
                    self.heads.reject(revision);
                    effects.push(bad_object(Kind::Document, document.name, problem));
                }
            }
        }
        None
    }

    fn next_with_document(&self) -> Option<(Revision, Object)> {
        let mut waiting = self.heads.waiting();
        waiting.find_map(|w| {
            let document = self.document(&w.head.document)?;
            Some((w.head.revision, document.clone()))
        })
    }

    fn drop_unreferenced_documents(&mut self) {
        let documents = self.objects.values().filter(|o| o.kind == Kind::Document);
        let unreferenced = documents.filter(|o| !self.heads.refers_to(&o.name));
        let mut unreferenced: Vec<_> = unreferenced.map(|o| (o.version, o.name.clone())).collect();
        unreferenced.sort_unstable();
        let excess = unreferenced
            .len()
            .saturating_sub(MAX_UNREFERENCED_DOCUMENTS);
        for (_, name) in unreferenced.into_iter().take(excess) {
            self.objects.remove(&(Kind::Document, name));
        }
    }
}

fn bad_object(kind: Kind, name: Box<str>, problem: Box<str>) -> Effect {
    let note = Note::BadObject {
        kind,
        name,
        problem,
    };
    Effect::Note(note)
}
