//! Findings: errors and warnings about a document, with their positions.

use std::{collections::BTreeSet, fmt};

/// Severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Severity {
    /// The document is rejected.
    Error,
    /// The document is accepted, but probably does not say what was intended.
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

/// A position in a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Name of the document, usually its file name.
    pub file: Box<str>,
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// An error or a warning about a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Finding {
    /// Position that the finding refers to.
    pub position: Position,
    /// Whether the document is rejected because of it.
    pub severity: Severity,
    /// What is wrong.
    pub message: Box<str>,
    /// How to correct it, or further detail.
    pub hint: Option<Box<str>>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.position, self.severity, self.message)?;
        match &self.hint {
            Some(hint) => write!(f, " (hint: {hint})"),
            None => Ok(()),
        }
    }
}

/// The findings of one or more documents, sorted by position and without duplicates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(BTreeSet<Finding>);

impl Findings {
    /// Creates an empty collection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding unless the collection already has it.
    pub fn push(&mut self, finding: Finding) {
        self.0.insert(finding);
    }

    /// Returns whether any finding is an error.
    pub fn has_errors(&self) -> bool {
        self.iter().any(|f| f.severity == Severity::Error)
    }

    /// Returns the findings in the order of their positions.
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
    /// Writes one finding per line.
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
