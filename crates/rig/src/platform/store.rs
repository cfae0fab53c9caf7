//! Object storage with one version counter for all objects.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// One object.
#[derive(Clone, Debug)]
pub(super) struct Object {
    pub(super) version: u64,
    pub(super) value: Bytes,
}

/// Changed objects, encoded as the body of a reply to a watch.
pub(super) struct Changes {
    pub(super) count: usize,
    pub(super) body: Bytes,
}

/// All objects; a clone shares the values.
#[derive(Clone, Debug, Default)]
pub(super) struct Store {
    version: u64,
    kinds: HashMap<Box<str>, Objects>,
}

/// The objects of one kind, indexed by name and by version.
#[derive(Clone, Debug, Default)]
struct Objects {
    by_name: HashMap<Box<str>, Object>,
    by_version: BTreeMap<u64, Box<str>>,
}

impl Store {
    /// Returns the version of the last write.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of objects.
    pub(super) fn len(&self) -> usize {
        self.kinds.values().map(|k| k.by_name.len()).sum()
    }

    /// Returns an object.
    pub(super) fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.kinds.get(kind)?.by_name.get(name)
    }

    /// Writes an object if `condition` holds, and returns its new version.
    pub(super) fn put(
        &mut self,
        kind: &str,
        name: &str,
        condition: Condition,
        value: Bytes,
    ) -> Option<u64> {
        let current = self.get(kind, name).map(|object| object.version);
        let holds = match condition {
            Condition::Absent => current.is_none(),
            Condition::Version(version) => current == Some(version),
        };
        if !holds {
            return None;
        }
        self.version += 1;
        let version = self.version;
        let objects = self.kinds.entry(kind.into()).or_default();
        if let Some(current) = current {
            objects.by_version.remove(&current);
        }
        objects.by_version.insert(version, name.into());
        let object = Object { version, value };
        objects.by_name.insert(name.into(), object);
        Some(version)
    }

    /// Returns the objects of `kinds` with a version greater than `after`, oldest first.
    pub(super) fn changes(&self, kinds: &[Box<str>], after: u64) -> Changes {
        let mut found = BTreeMap::new();
        for kind in kinds {
            let Some(objects) = self.kinds.get(kind) else {
                continue;
            };
            for (version, name) in objects.by_version.range(after.saturating_add(1)..) {
                found.insert(*version, (&**kind, &**name, &objects.by_name[name].value));
            }
        }
        Changes {
            count: found.len(),
            body: self.encode(&found),
        }
    }

    /// Encodes a reply to a watch. Values are copied as they are, since they are JSON already.
    fn encode(&self, found: &BTreeMap<u64, (&str, &str, &Bytes)>) -> Bytes {
        let mut body = format!(r#"{{"seen":{},"objects":["#, self.version).into_bytes();
        for (i, (version, (kind, name, value))) in found.iter().enumerate() {
            if i > 0 {
                body.push(b',');
            }
            let (kind, name) = (serde_json::json!(kind), serde_json::json!(name));
            let head = format!(r#"{{"kind":{kind},"name":{name},"version":{version},"value":"#);
            body.extend_from_slice(head.as_bytes());
            body.extend_from_slice(value);
            body.push(b'}');
        }
        body.extend_from_slice(b"]}");
        body.into()
    }
}
