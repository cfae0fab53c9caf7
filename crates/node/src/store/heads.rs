//! The catalogue head in force and the heads that wait for their documents.

use std::{collections::BTreeMap, rc::Rc};

use base::{Revision, Version};
use cat::Catalogue;

use super::parse::Head;
use crate::object::Object;

/// Maximum number of heads that wait for a document; the lowest revisions are dropped.
const MAX_WAITING_HEADS: usize = 8;

/// A catalogue in force with its revision.
#[derive(Clone, Debug)]
pub struct InForce {
    /// Revision of the catalogue.
    pub revision: Revision,
    /// Version of the head object that brought it into force.
    pub version: Version,
    /// Digest of the document.
    pub document: Box<str>,
    /// The catalogue.
    pub catalogue: Rc<Catalogue>,
}

/// A parsed head with its object.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) head: Head,
    pub(super) object: Object,
}

/// The head in force, and later heads that wait for a valid document.
#[derive(Debug, Default)]
pub(super) struct Heads {
    in_force: Option<(InForce, Object)>,
    waiting: BTreeMap<Revision, Candidate>,
}

impl Heads {
    /// Returns the catalogue in force.
    pub(super) fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref().map(|(head, _)| head)
    }

    /// Adds a head that may come into force.
    ///
    /// # Errors
    ///
    /// Fails when the head is newer than the one in force but its revision is not greater.
    pub(super) fn offer(&mut self, candidate: Candidate) -> Result<(), Box<str>> {
        let revision = candidate.head.revision;
        if let Some(current) = self.in_force().filter(|c| revision <= c.revision) {
            return check_stale(&candidate, current);
        }
        let version = candidate.object.version;
        let known = self.waiting.get(&revision);
        if known.is_none_or(|w| w.object.version < version) {
            self.waiting.insert(revision, candidate);
        }
        if self.waiting.len() > MAX_WAITING_HEADS {
            self.waiting.pop_first();
        }
        Ok(())
    }

    /// Returns the waiting heads, the greatest revision first.
    pub(super) fn waiting(&self) -> impl Iterator<Item = &Candidate> {
        self.waiting.values().rev()
    }

    /// Drops a waiting head whose document is not valid.
    pub(super) fn reject(&mut self, revision: Revision) {
        self.waiting.remove(&revision);
    }

    /// Puts a waiting head into force and drops those with lower revisions.
    pub(super) fn activate(&mut self, revision: Revision, catalogue: Catalogue) {
        let Some(chosen) = self.waiting.remove(&revision) else {
            return;
        };
        self.waiting = self.waiting.split_off(&revision);
        let in_force = InForce {
            revision,
            version: chosen.object.version,
            document: chosen.head.document,
            catalogue: Rc::new(catalogue),
        };
        self.in_force = Some((in_force, chosen.object));
    }

    /// Returns whether the head in force or a waiting head refers to a document.
    pub(super) fn refers_to(&self, digest: &str) -> bool {
        self.in_force().is_some_and(|h| *h.document == *digest)
            || self.waiting().any(|w| *w.head.document == *digest)
    }

    /// Returns the objects of the head in force and of the waiting heads.
    pub(super) fn objects(&self) -> impl Iterator<Item = &Object> {
        let in_force = self.in_force.iter().map(|(_, object)| object);
        in_force.chain(self.waiting.values().map(|w| &w.object))
    }
}

/// Accepts a stale head unless its object is newer and differs from the head in force.
fn check_stale(candidate: &Candidate, current: &InForce) -> Result<(), Box<str>> {
    let head = &candidate.head;
    let same = head.revision == current.revision && head.document == current.document;
    if same || candidate.object.version <= current.version {
        return Ok(());
    }
    let (found, held) = (head.revision, current.revision);
    Err(format!("revision {found} is not greater than revision {held}, which is in force").into())
}
