//! Settings of the log.

use std::fmt;

use crate::read::{Cursor, Keyword};

/// Settings of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// Format of a record.
    pub format: Format,
    /// Least severe level that is written.
    pub level: Level,
}

/// Format of a log record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// [`Format::Human`] on a terminal, otherwise [`Format::Json`].
    #[default]
    Auto,
    /// Text for people to read.
    Human,
    /// One JSON object per line.
    Json,
}

impl Keyword for Format {
    const ALL: &'static [Self] = &[Self::Auto, Self::Human, Self::Json];

    fn as_str(self) -> &'static str {
        match self {
            Self::Auto => "auto",
            Self::Human => "human",
            Self::Json => "json",
        }
    }
}

impl fmt::Display for Format {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Severity of a log record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Level {
    /// An operation failed.
    Error,
    /// A condition that probably needs attention.
    Warning,
    /// A change of state.
    #[default]
    Info,
    /// Details for troubleshooting.
    Debug,
    /// Every single step.
    Trace,
}

impl Keyword for Level {
    const ALL: &'static [Self] = &[
        Self::Error,
        Self::Warning,
        Self::Info,
        Self::Debug,
        Self::Trace,
    ];

    fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warning => "warning",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Reads the section.
pub(super) fn read(section: Cursor<'_>) -> Option<Log> {
    let fields = section.fields(&["format", "level"])?;
    let format = fields.read_or("format", Format::default(), |v| v.keyword());
    let level = fields.read_or("level", Level::default(), |v| v.keyword());
    Some(Log {
        format: format?,
        level: level?,
    })
}
