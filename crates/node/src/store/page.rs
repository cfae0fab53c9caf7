//! Pages of objects, which the platform and peers send.

use base::Version;
use bytes::Bytes;

use super::Store;
use crate::object::{Kind, KindError, Object};

/// Estimated encoded size of an object besides its name and value, in bytes.
const OBJECT_OVERHEAD_BYTES: usize = 32;

/// Objects that bring a store from one version up to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The objects.
    pub objects: Vec<Object>,
    /// Version up to which the receiver must be complete for `seen` to apply.
    pub after: Version,
    /// Version up to which the receiver is complete once it has applied the page.
    pub seen: Version,
}

impl Page {
    /// Creates a page of single objects that does not advance the receiver's `seen`.
    pub fn of(objects: Vec<Object>) -> Self {
        Self {
            objects,
            ..Self::default()
        }
    }
}

impl TryFrom<wire::Objects> for Page {
    type Error = KindError;

    fn try_from(message: wire::Objects) -> Result<Self, KindError> {
        let objects = message.objects.into_iter().map(from_wire);
        Ok(Self {
            objects: objects.collect::<Result<_, _>>()?,
            after: Version(message.after),
            seen: Version(message.seen),
        })
    }
}

fn from_wire(object: wire::Object) -> Result<Object, KindError> {
    Ok(Object {
        kind: object.kind.parse()?,
        name: object.name.into(),
        version: Version(object.version),
        // Copied, so that a small object does not keep the whole receive buffer alive.
        value: Bytes::copy_from_slice(&object.value),
    })
}

fn to_wire(object: &Object) -> wire::Object {
    wire::Object {
        kind: object.kind.as_str().into(),
        name: object.name.to_string(),
        version: object.version.0,
        value: object.value.clone(),
    }
}

fn size(object: &Object) -> usize {
    object.value.len() + object.name.len() + OBJECT_OVERHEAD_BYTES
}

impl Store {
    /// Returns the objects newer than `after` in the order of their versions, up to `max_bytes` but
    /// at least one. A page that is cut short has a lower `seen`.
    pub fn page_since(&self, after: Version, max_bytes: usize) -> wire::Objects {
        let mut newer: Vec<_> = self.all().filter(|o| o.version > after).collect();
        newer.sort_unstable_by_key(|o| o.version);
        let mut left = max_bytes;
        let mut fits = newer.len();
        for (i, object) in newer.iter().enumerate() {
            if i > 0 && size(object) > left {
                fits = i;
                break;
            }
            left = left.saturating_sub(size(object));
        }
        let last = newer[..fits].last().map_or(self.seen, |o| o.version);
        let seen = if fits < newer.len() {
            last.min(self.seen)
        } else {
            self.seen
        };
        wire::Objects {
            objects: newer[..fits].iter().map(|o| to_wire(o)).collect(),
            after: after.0,
            seen: seen.0,
        }
    }

    /// Returns whether the store is complete up to an object newer than `after`.
    pub fn has_newer_than(&self, after: Version) -> bool {
        self.newest() > after
    }

    /// Returns the documents with the given digests that are in the store, up to `max_bytes` in
    /// total.
    pub fn documents<'a>(
        &'a self,
        digests: &'a [String],
        max_bytes: usize,
    ) -> impl Iterator<Item = wire::Object> + 'a {
        let mut left = max_bytes;
        let on_hand = digests.iter().filter_map(|d| self.document(d));
        let within = on_hand.take_while(move |o| {
            let fits = size(o) <= left;
            left = left.saturating_sub(size(o));
            fits
        });
        within.map(to_wire)
    }

    /// Returns whether the store has a document with one of the digests.
    pub(super) fn has_any_document(&self, digests: &[String]) -> bool {
        digests.iter().any(|d| {
            self.objects
                .contains_key(&(Kind::Document, d.as_str().into()))
        })
    }
}
