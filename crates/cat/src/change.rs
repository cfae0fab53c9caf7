//! Accepted changes of the catalogue: the audit trail and the head that puts one in force.

use std::fmt;

use base::Revision;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::{diff::diff, model::Catalogue};

/// Most items that one change lists, so that a head fits one object of the platform.
pub const MAX_ITEMS: usize = 500;

/// Characters of a digest.
const DIGEST_CHARS: usize = 64;

/// What happened to a part of the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// The part is new.
    Added,
    /// The part is gone.
    Removed,
    /// The part has another value.
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

/// One difference between two revisions, and what the catalogue allowed on either side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// Part of the catalogue, such as `entries/find-harpist/limits/deadline`.
    pub path: Box<str>,
    /// What happened to it.
    pub action: Action,
    /// Value before, for a part of an entry or a service.
    pub before: Option<Box<str>>,
    /// Value after, for a part of an entry or a service.
    pub after: Option<Box<str>>,
    /// What the whole entry or service allowed before.
    pub allowed_before: Option<Box<str>>,
    /// What the whole entry or service allows after.
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

/// One accepted change: what it replaced, what it put in force, and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Revision that the change made.
    pub revision: Revision,
    /// Digest of the catalogue before; `None` for the first revision.
    pub from: Option<Box<str>>,
    /// Digest of the catalogue after.
    pub to: Box<str>,
    /// Time of the change, in seconds since the Unix epoch.
    pub at: u64,
    /// The differences, at most [`MAX_ITEMS`].
    pub items: Vec<Item>,
    /// Differences beyond [`MAX_ITEMS`]; the two documents hold them.
    #[serde(default)]
    pub omitted: u32,
}

impl Change {
    /// Describes the step from one catalogue to another.
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
    /// Returns the first thing that is wrong with it.
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
        ensure!(self.items.len() <= MAX_ITEMS, ItemsSnafu);
        let mut texts = self.items.iter().flat_map(Item::texts);
        ensure!(
            !texts.any(|text| text.contains(char::is_control)),
            TextSnafu
        );
        Ok(())
    }
}

/// The head of the catalogue: the revision in force, its document and the change that made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Revision in force.
    pub revision: Revision,
    /// Digest of the catalogue in force, which names its document.
    pub document: Box<str>,
    /// Change that made the revision.
    pub change: Change,
}

impl Head {
    /// Makes the head that puts a change in force.
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
    /// Returns the first thing that is wrong with it.
    pub fn from_json(bytes: &[u8]) -> Result<Self, ChangeError> {
        let head: Self = serde_json::from_slice(bytes).context(JsonSnafu)?;
        head.change.check()?;
        let same = head.revision == head.change.revision && head.document == head.change.to;
        ensure!(same, OtherChangeSnafu);
        Ok(head)
    }
}

/// What is wrong with a head or a change that the platform returned.
#[derive(Debug, Snafu)]
pub enum ChangeError {
    /// The bytes are not the JSON of the type.
    #[snafu(display("not a valid object: {source}"))]
    Json {
        /// Error of the JSON reader.
        source: serde_json::Error,
    },
    /// A digest has another form.
    #[snafu(display("a digest must have {DIGEST_CHARS} lower-case hexadecimal digits"))]
    Digest,
    /// There are more items than a change may list.
    #[snafu(display("a change lists at most {MAX_ITEMS} items"))]
    Items,
    /// A text of an item has a control character.
    #[snafu(display("an item has a control character"))]
    Text,
    /// Revision or document are not those of the change.
    #[snafu(display("the head names another revision or document than its change"))]
    OtherChange,
}

fn is_digest(text: &str) -> bool {
    let hex = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
    text.len() == DIGEST_CHARS && text.bytes().all(hex)
}
