//! Values of a document.

use std::{collections::HashMap, ops::RangeInclusive};

use jsonc_parser::{
    ast::{ObjectProp, Value},
    common::Ranged,
};

use super::{Fields, Keyword, MAX_QUOTED_CHARS, Reader, Scalar, did_you_mean, quote};

/// A reference to a value in a document.
#[derive(Clone, Copy)]
pub(crate) struct Cursor<'r> {
    pub(super) reader: &'r Reader<'r>,
    pub(super) value: &'r Value<'r>,
}

/// A key of an object and its value.
#[derive(Clone, Copy)]
pub(crate) struct Member<'r> {
    /// Key.
    pub(crate) name: &'r str,
    /// Byte offset of the key.
    pub(crate) offset: usize,
    /// Value.
    pub(crate) value: Cursor<'r>,
}

impl<'r> Cursor<'r> {
    /// Creates a cursor at the root of a document.
    pub(crate) fn root(reader: &'r Reader<'r>, value: &'r Value<'r>) -> Self {
        Self { reader, value }
    }

    /// Returns the byte offset of the value.
    pub(crate) fn offset(&self) -> usize {
        self.value.start()
    }

    /// Returns the reader of the document.
    pub(crate) fn reader(&self) -> &'r Reader<'r> {
        self.reader
    }

    /// Reports an error at the value.
    pub(crate) fn error(&self, message: impl Into<Box<str>>) {
        self.reader.error(self.offset(), message, None);
    }

    /// Reports an error at the value, with a hint.
    pub(crate) fn error_hint(&self, message: impl Into<Box<str>>, hint: &str) {
        self.reader.error(self.offset(), message, Some(hint.into()));
    }

    /// Reports a warning at the value, with a hint.
    pub(crate) fn warning_hint(&self, message: impl Into<Box<str>>, hint: &str) {
        self.reader
            .warning(self.offset(), message, Some(hint.into()));
    }

    /// Reads an object with known keys; reports all other keys.
    pub(crate) fn fields(&self, known: &'static [&'static str]) -> Option<Fields<'r>> {
        let members = self.members()?;
        for member in &members {
            if !known.contains(&member.name) {
                let message = format!("unknown key {}", quote(member.name));
                let hint = did_you_mean(member.name, known.iter().copied());
                self.reader.error(member.offset, message, hint);
            }
        }
        Some(Fields::new(*self, members))
    }

    /// Reads an object with arbitrary keys; reports and skips duplicate keys.
    pub(crate) fn members(&self) -> Option<Vec<Member<'r>>> {
        let Some(object) = self.value.as_object() else {
            self.wrong_type("an object");
            return None;
        };
        let mut first: HashMap<&str, usize> = HashMap::new();
        let mut members = Vec::with_capacity(object.properties.len());
        for prop in &object.properties {
            let member = self.member(prop);
            match first.get(member.name) {
                Some(&offset) => {
                    let message = format!("{} is declared twice", quote(member.name));
                    let hint = self.reader.first_at(offset);
                    self.reader.error(member.offset, message, hint);
                }
                None => {
                    first.insert(member.name, member.offset);
                    members.push(member);
                }
            }
        }
        Some(members)
    }

    /// Returns the value of a key, if this is an object that has the key; reports nothing.
    pub(crate) fn get(&self, key: &str) -> Option<Self> {
        let prop = self.value.as_object()?.get(key)?;
        Some(self.member(prop).value)
    }

    /// Returns the value if it is a string; reports nothing.
    pub(crate) fn as_text(&self) -> Option<&'r str> {
        self.value.as_string_lit().map(|lit| lit.value.as_ref())
    }

    /// Reads an array.
    pub(crate) fn items(&self) -> Option<Vec<Cursor<'r>>> {
        let Some(array) = self.value.as_array() else {
            self.wrong_type("an array");
            return None;
        };
        let at = |value| Cursor {
            reader: self.reader,
            value,
        };
        Some(array.elements.iter().map(at).collect())
    }

    /// Reads a string; `expected` describes it in a finding.
    pub(crate) fn text(&self, expected: &str) -> Option<&'r str> {
        let text = self.as_text();
        if text.is_none() {
            self.wrong_type(expected);
        }
        text
    }

    /// Reads a value that is written as a string.
    pub(crate) fn scalar<T: Scalar>(&self) -> Option<T> {
        let text = self.text(T::EXPECTED)?;
        parse_scalar(self.reader, self.offset(), text)
    }

    /// Reads a value that is written as a string and must be in a range.
    pub(crate) fn scalar_in<T: Scalar + PartialOrd>(&self, range: &RangeInclusive<T>) -> Option<T> {
        let value = self.scalar()?;
        self.check_range(&value, range).then_some(value)
    }

    /// Reads an integer that must be in a range.
    pub(crate) fn number_in(&self, range: &RangeInclusive<u32>) -> Option<u32> {
        let Some(lit) = self.value.as_number_lit() else {
            self.wrong_type("a number");
            return None;
        };
        match lit.value.parse() {
            Ok(number) => self.check_range(&number, range).then_some(number),
            Err(_) => {
                let (first, last) = (range.start(), range.end());
                let found = quote(lit.value);
                self.error(format!(
                    "expected a whole number from {first} to {last}, found {found}"
                ));
                None
            }
        }
    }

    /// Reads one of the keywords of an enumeration.
    pub(crate) fn keyword<T: Keyword>(&self) -> Option<T> {
        let words = || T::ALL.iter().map(|value| value.as_str());
        let expected = format!(
            "one of {}",
            words().map(quote).collect::<Vec<_>>().join(", ")
        );
        let text = self.text(&expected)?;
        let found = T::ALL.iter().copied().find(|value| value.as_str() == text);
        if found.is_none() {
            let message = format!("expected {expected}, found {}", quote(text));
            self.reader
                .error(self.offset(), message, did_you_mean(text, words()));
        }
        found
    }

    fn check_range<T: PartialOrd + std::fmt::Display>(
        &self,
        value: &T,
        range: &RangeInclusive<T>,
    ) -> bool {
        let inside = range.contains(value);
        if !inside {
            let (first, last) = (range.start(), range.end());
            self.error(format!(
                "{value} is out of range; it must be from {first} to {last}"
            ));
        }
        inside
    }

    fn member(&self, prop: &'r ObjectProp<'r>) -> Member<'r> {
        Member {
            name: prop.name.as_str(),
            offset: prop.start(),
            value: Cursor {
                reader: self.reader,
                value: &prop.value,
            },
        }
    }

    fn wrong_type(&self, expected: &str) {
        let found = match self.value {
            Value::StringLit(_) => "a text",
            Value::NumberLit(_) => "a number",
            Value::BooleanLit(_) => "true or false",
            Value::Object(_) => "an object",
            Value::Array(_) => "an array",
            Value::NullKeyword(_) => "null",
        };
        self.error(format!("expected {expected}, found {found}"));
    }
}

impl Member<'_> {
    /// Parses the key as a typed name.
    pub(crate) fn parse_name<T: Scalar>(&self) -> Option<T> {
        parse_scalar(self.value.reader, self.offset, self.name)
    }
}

fn parse_scalar<T: Scalar>(reader: &Reader<'_>, offset: usize, text: &str) -> Option<T> {
    match text.parse() {
        Ok(value) => Some(value),
        Err(err) => {
            let message = format!("expected {}, found {}", T::EXPECTED, quote(text));
            let hint = (text.len() <= MAX_QUOTED_CHARS).then(|| err.to_string().into());
            reader.error(offset, message, hint);
            None
        }
    }
}
