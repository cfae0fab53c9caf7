//! Objects with known keys.

use super::{Cursor, Member};

/// An object whose keys have been checked against the known keys.
pub(crate) struct Fields<'r> {
    object: Cursor<'r>,
    members: Vec<Member<'r>>,
}

impl<'r> Fields<'r> {
    pub(super) fn new(object: Cursor<'r>, members: Vec<Member<'r>>) -> Self {
        Self { object, members }
    }

    /// Returns the value of a key.
    pub(crate) fn get(&self, key: &str) -> Option<Cursor<'r>> {
        self.members.iter().find(|m| m.name == key).map(|m| m.value)
    }

    /// Returns the value of a key; reports a missing key.
    pub(crate) fn require(&self, key: &str) -> Option<Cursor<'r>> {
        let found = self.get(key);
        if found.is_none() {
            self.object.error(format!("missing key {key:?}"));
        }
        found
    }

    /// Reads the value of a key, or returns the default if the key is absent.
    ///
    /// Returns `None` if the value is invalid.
    pub(crate) fn read_or<T>(
        &self,
        key: &str,
        default: T,
        read: impl FnOnce(Cursor<'r>) -> Option<T>,
    ) -> Option<T> {
        match self.get(key) {
            Some(value) => read(value),
            None => Some(default),
        }
    }

    /// Returns a cursor at the object itself.
    pub(crate) fn object(&self) -> Cursor<'r> {
        self.object
    }

    /// Returns a cursor at the value of a key, or at the object if the key is absent.
    pub(crate) fn at(&self, key: &str) -> Cursor<'r> {
        self.get(key).unwrap_or(self.object)
    }
}
