//! Reader of JSON with comments that collects findings with their positions.
//!
//! A [`Reader`] owns the findings of one document, a [`Cursor`] points at a value in it and
//! [`Fields`] at an object with known keys. A function that fails reports a finding and returns
//! `None`, so that the caller can continue with the rest of the document.

mod cursor;
mod fields;
mod nearest;
mod scalar;

use std::cell::RefCell;

use jsonc_parser::{CollectOptions, ParseOptions, ast::Value, common::Ranged, parse_to_ast};

pub(crate) use cursor::{Cursor, Member};
pub(crate) use fields::Fields;
pub(crate) use nearest::{did_you_mean, nearest};
pub(crate) use scalar::{Keyword, Scalar};

use crate::findings::{Finding, Findings, Position, Severity};

/// Maximum length of a quotation from a document in a message, in characters.
const MAX_QUOTED_CHARS: usize = 64;

/// Allows comments and trailing commas, and no other extension of JSON.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Quotes a part of a document for a message, truncated to [`MAX_QUOTED_CHARS`].
pub(crate) fn quote(text: &str) -> String {
    if text.chars().nth(MAX_QUOTED_CHARS).is_none() {
        return format!("{text:?}");
    }
    let start: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    format!("{start:?}...")
}

/// A document and the findings about it.
pub(crate) struct Reader<'t> {
    file: &'t str,
    text: &'t str,
    line_starts: Vec<usize>,
    findings: RefCell<Findings>,
}

impl<'t> Reader<'t> {
    /// Creates a reader of a document; `file` names it in findings.
    pub(crate) fn new(file: &'t str, text: &'t str) -> Self {
        let after_newline = |(i, _): (usize, &str)| i + 1;
        let line_starts = std::iter::once(0)
            .chain(text.match_indices('\n').map(after_newline))
            .collect();
        Self {
            file,
            text,
            line_starts,
            findings: RefCell::default(),
        }
    }

    /// Parses the document; a syntax error becomes a finding.
    pub(crate) fn parse(&self) -> Option<Value<'t>> {
        match parse_to_ast(self.text, &CollectOptions::default(), &OPTIONS) {
            Ok(result) => {
                if result.value.is_none() {
                    self.error(0, "the document is empty", None);
                }
                result.value
            }
            Err(err) => {
                let message = format!("syntax error: {}", err.kind());
                self.error(err.range().start(), message, None);
                None
            }
        }
    }

    /// Returns the position of a byte offset.
    pub(crate) fn position(&self, offset: usize) -> Position {
        let line = self.line_starts.partition_point(|&start| start <= offset);
        let start = self.line_starts[line.saturating_sub(1)];
        let before = self.text.as_bytes().get(start..offset).unwrap_or_default();
        // Counts characters: continuation bytes of UTF-8 are skipped.
        let chars = before.iter().filter(|&&b| b & 0xC0 != 0x80).count();
        Position {
            file: self.file.into(),
            line: u32::try_from(line).unwrap_or(u32::MAX),
            column: u32::try_from(chars + 1).unwrap_or(u32::MAX),
        }
    }

    /// Reports an error; the document is rejected.
    pub(crate) fn error(
        &self,
        offset: usize,
        message: impl Into<Box<str>>,
        hint: Option<Box<str>>,
    ) {
        self.report(Severity::Error, offset, message.into(), hint);
    }

    /// Reports a warning.
    pub(crate) fn warning(
        &self,
        offset: usize,
        message: impl Into<Box<str>>,
        hint: Option<Box<str>>,
    ) {
        self.report(Severity::Warning, offset, message.into(), hint);
    }

    /// Returns the hint that says where a name or address was first declared.
    pub(crate) fn first_at(&self, offset: usize) -> Option<Box<str>> {
        let Position { line, column, .. } = self.position(offset);
        Some(format!("first at line {line}, column {column}").into())
    }

    /// Returns the value and the warnings, or all findings if one of them is an error.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<(T, Findings), Findings> {
        let findings = self.findings.into_inner();
        match value {
            Some(value) if !findings.has_errors() => Ok((value, findings)),
            _ => Err(findings),
        }
    }

    fn report(&self, severity: Severity, offset: usize, message: Box<str>, hint: Option<Box<str>>) {
        let position = self.position(offset);
        self.findings.borrow_mut().push(Finding {
            position,
            severity,
            message,
            hint,
        });
    }
}
