//! Findings: what is wrong with a document, and where.

use std::{collections::BTreeSet, fmt};

/// Whether a finding keeps the document from being used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Severity {
    /// The document is rejected.
    Error,
    /// The document is usable, but probably not what was meant.
    Warning,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}

/// A position in a document; lines and columns count from 1, columns in characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    /// Name of the document, usually its file name.
    pub file: Box<str>,
    /// Line.
    pub line: u32,
    /// Column.
    pub column: u32,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One thing that is wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Finding {
    /// Where it was found.
    pub place: Place,
    /// Whether the document is rejected for it.
    pub severity: Severity,
    /// What is wrong.
    pub message: Box<str>,
    /// How it may be mended.
    pub hint: Option<Box<str>>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.place, self.severity, self.message)?;
        match &self.hint {
            Some(hint) => write!(f, " (hint: {hint})"),
            None => Ok(()),
        }
    }
}

/// All findings of one or more documents, sorted by place and without duplicates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(BTreeSet<Finding>);

impl Findings {
    /// Makes an empty collection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding unless it is already known.
    pub fn push(&mut self, finding: Finding) {
        self.0.insert(finding);
    }

    /// Returns whether a finding is an error.
    pub fn has_errors(&self) -> bool {
        self.iter().any(|f| f.severity == Severity::Error)
    }

    /// Returns the findings in the order of their places.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// Returns the number of findings.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Findings {
    /// Writes one finding a line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

impl Extend<Finding> for Findings {
    fn extend<I: IntoIterator<Item = Finding>>(&mut self, iter: I) {
        self.0.extend(iter);
    }
}

impl FromIterator<Finding> for Findings {
    fn from_iter<I: IntoIterator<Item = Finding>>(iter: I) -> Self {
        Self(iter.into_iter().collect())
    }
}

impl IntoIterator for Findings {
    type Item = Finding;
    type IntoIter = std::collections::btree_set::IntoIter<Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}
