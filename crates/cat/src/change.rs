//! Accepted changes of the catalogue: entries of the audit trail, and the head that refers to the
//! catalogue in force.

use std::fmt;

use base::Revision;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::{diff::diff, model::Catalogue};

/// Maximum number of items that one change lists, so that a head fits in one platform object.
pub const MAX_ITEMS: usize = 500;

/// Length of a SHA-256 digest in hexadecimal, in characters.
const DIGEST_CHARS: usize = 64;

/// Kind of difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// The part is new.
    Added,
    /// The part was removed.
    Removed,
    /// The part has a different value.
    Changed,
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Added => "added",
            Self::Removed => "removed",
            Self::Changed => "changed",
        })
    }
}

/// A difference between two revisions, with a summary of the entry or service in each of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// Part of the catalogue, such as `entries/find-harpist/limits/deadline`.
    pub path: Box<str>,
    /// Kind of difference.
    pub action: Action,
    /// Value before the change, if the path names a part of an entry or service.
    pub before: Option<Box<str>>,
    /// Value after the change, if the path names a part of an entry or service.
    pub after: Option<Box<str>>,
    /// Summary of the whole entry or service before the change.
    pub allowed_before: Option<Box<str>>,
    /// Summary of the whole entry or service after the change.
    pub allowed_after: Option<Box<str>>,
}

impl Item {
    fn texts(&self) -> impl Iterator<Item = &str> {
        let values = [
            &self.before,
            &self.after,
            &self.allowed_before,
            &self.allowed_after,
        ];
        let values = values.into_iter().filter_map(|text| text.as_deref());
        std::iter::once(&*self.path).chain(values)
    }
}

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.action, self.path)?;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, ": {before} -> {after}")?,
            (Some(value), None) | (None, Some(value)) => write!(f, ": {value}")?,
            (None, None) => {}
        }
        if let Some(allowed) = &self.allowed_before {
            write!(f, "; allowed before: {allowed}")?;
        }
        if let Some(allowed) = &self.allowed_after {
            write!(f, "; allowed after: {allowed}")?;
        }
        Ok(())
    }
}

/// An accepted change of the catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Revision that the change created.
    pub revision: Revision,
    /// Digest of the catalogue before the change; `None` for the first revision.
    pub from: Option<Box<str>>,
    /// Digest of the catalogue after the change.
    pub to: Box<str>,
    /// Time of the change, in seconds since the Unix epoch.
    pub at: u64,
    /// Differences, at most [`MAX_ITEMS`].
    pub items: Vec<Item>,
    /// Number of differences beyond [`MAX_ITEMS`], which can be found by comparing the two
    /// documents.
    #[serde(default)]
    pub omitted: u32,
}

impl Change {
    /// Creates the change from one catalogue to another.
    pub fn between(revision: Revision, from: Option<&Catalogue>, to: &Catalogue, at: u64) -> Self {
        let mut items = match from {
            Some(from) => diff(from, to),
            None => diff(&Catalogue::default(), to),
        };
        let omitted = items.len().saturating_sub(MAX_ITEMS);
        items.truncate(MAX_ITEMS);
        Self {
            revision,
            from: from.map(Catalogue::digest),
            to: to.digest(),
            at,
            items,
            omitted: u32::try_from(omitted).unwrap_or(u32::MAX),
        }
    }

    /// Reads and checks an entry of the audit trail.
    ///
    /// # Errors
    ///
    /// Returns the first error that is found.
    pub fn from_json(bytes: &[u8]) -> Result<Self, ChangeError> {
        let change: Self = serde_json::from_slice(bytes).context(JsonSnafu)?;
        change.check()?;
        Ok(change)
    }

    fn check(&self) -> Result<(), ChangeError> {
        let digests = self.from.iter().chain([&self.to]);
        for digest in digests {
            ensure!(is_digest(digest), DigestSnafu);
        }
        ensure!(self.items.len() <= MAX_ITEMS, TooManyItemsSnafu);
        let mut texts = self.items.iter().flat_map(Item::texts);
        ensure!(
            !texts.any(|text| text.contains(char::is_control)),
            ControlCharacterSnafu
        );
        Ok(())
    }
}

/// Head of the catalogue: the revision in force, its document and the change that created it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Revision in force.
    pub revision: Revision,
    /// Digest of the catalogue in force, which is the name of its document.
    pub document: Box<str>,
    /// Change that created the revision.
    pub change: Change,
}

impl Head {
    /// Creates the head that puts a change in force.
    pub fn new(change: Change) -> Self {
        Self {
            revision: change.revision,
            document: change.to.clone(),
            change,
        }
    }

    /// Reads and checks a head.
    ///
    /// # Errors
    ///
    /// Returns the first error that is found.
    pub fn from_json(bytes: &[u8]) -> Result<Self, ChangeError> {
        let head: Self = serde_json::from_slice(bytes).context(JsonSnafu)?;
        head.change.check()?;
        let matches_change =
            head.revision == head.change.revision && head.document == head.change.to;
        ensure!(matches_change, MismatchSnafu);
        Ok(head)
    }
}

/// Error of a head or a change that the platform returned.
#[derive(Debug, Snafu)]
pub enum ChangeError {
    /// The bytes are not valid JSON of the type.
    #[snafu(display("not a valid object: {source}"))]
    Json {
        /// Error of the JSON reader.
        source: serde_json::Error,
    },
    /// A digest is not valid.
    #[snafu(display("a digest must have {DIGEST_CHARS} lower-case hexadecimal digits"))]
    Digest,
    /// There are more than [`MAX_ITEMS`] items.
    #[snafu(display("a change lists at most {MAX_ITEMS} items"))]
    TooManyItems,
    /// A text of an item contains a control character.
    #[snafu(display("an item has a control character"))]
    ControlCharacter,
    /// The revision or document of the head differs from that of its change.
    #[snafu(display("the head names another revision or document than its change"))]
    Mismatch,
}

fn is_digest(text: &str) -> bool {
    let hex = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
    text.len() == DIGEST_CHARS && text.bytes().all(hex)
}
