//! Hits as upstreams write them: `[{"id":"..","score":7,"text":".."}]`.

use std::fmt;

use node::Hit;
use serde::de::{self, DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};

use crate::settings::Settings;

/// Hits for which room is made before they are read.
const FIRST_CAPACITY: usize = 16;

/// Bounds on one list of hits.
#[derive(Clone, Copy)]
pub(crate) struct Bounds {
    hits: usize,
    text: usize,
}

impl From<&Settings> for Bounds {
    fn from(settings: &Settings) -> Self {
        Self {
            hits: settings.max_hits,
            text: settings.max_text_bytes,
        }
    }
}

/// Reads a list of hits.
///
/// # Errors
///
/// Fails when the text is not such a list or exceeds the bounds.
pub(crate) fn parse(text: &[u8], bounds: Bounds) -> serde_json::Result<Vec<Hit>> {
    let mut reader = serde_json::Deserializer::from_slice(text);
    let hits = List(bounds).deserialize(&mut reader)?;
    reader.end()?;
    Ok(hits)
}

struct List(Bounds);

impl<'de> DeserializeSeed<'de> for List {
    type Value = Vec<Hit>;

    fn deserialize<D: Deserializer<'de>>(self, reader: D) -> Result<Vec<Hit>, D::Error> {
        reader.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for List {
    type Value = Vec<Hit>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of at most {} hits", self.0.hits)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<Hit>, A::Error> {
        let mut hits = Vec::with_capacity(FIRST_CAPACITY.min(self.0.hits));
        while let Some(hit) = seq.next_element_seed(Item(self.0))? {
            if hits.len() == self.0.hits {
                return Err(de::Error::invalid_length(hits.len() + 1, &self));
            }
            hits.push(hit);
        }
        Ok(hits)
    }
}

struct Item(Bounds);

impl<'de> DeserializeSeed<'de> for Item {
    type Value = Hit;

    fn deserialize<D: Deserializer<'de>>(self, reader: D) -> Result<Hit, D::Error> {
        reader.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for Item {
    type Value = Hit;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a hit with id, score and text")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Hit, A::Error> {
        let (mut id, mut score, mut text) = (None, None, None);
        while let Some(field) = map.next_key_seed(FieldName)? {
            match field {
                Field::Id => set(&mut id, "id", map.next_value_seed(Text(self.0.text))?)?,
                Field::Score => set(&mut score, "score", map.next_value()?)?,
                Field::Text => set(&mut text, "text", map.next_value_seed(Text(self.0.text))?)?,
                Field::Other => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(Hit {
            id: id.ok_or_else(|| de::Error::missing_field("id"))?,
            score: score.ok_or_else(|| de::Error::missing_field("score"))?,
            text: text.ok_or_else(|| de::Error::missing_field("text"))?,
        })
    }
}

fn set<T, E: de::Error>(slot: &mut Option<T>, name: &'static str, value: T) -> Result<(), E> {
    match slot.replace(value) {
        None => Ok(()),
        Some(_) => Err(E::duplicate_field(name)),
    }
}

enum Field {
    Id,
    Score,
    Text,
    Other,
}

struct FieldName;

impl<'de> DeserializeSeed<'de> for FieldName {
    type Value = Field;

    fn deserialize<D: Deserializer<'de>>(self, reader: D) -> Result<Field, D::Error> {
        reader.deserialize_identifier(self)
    }
}

impl Visitor<'_> for FieldName {
    type Value = Field;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a field name")
    }

    fn visit_str<E: de::Error>(self, name: &str) -> Result<Field, E> {
        Ok(match name {
            "id" => Field::Id,
            "score" => Field::Score,
            "text" => Field::Text,
            _ => Field::Other,
        })
    }
}

struct Text(usize);

impl<'de> DeserializeSeed<'de> for Text {
    type Value = Box<str>;

    fn deserialize<D: Deserializer<'de>>(self, reader: D) -> Result<Box<str>, D::Error> {
        reader.deserialize_str(self)
    }
}

impl Visitor<'_> for Text {
    type Value = Box<str>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a text of at most {} bytes", self.0)
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Box<str>, E> {
        if text.len() > self.0 {
            return Err(E::invalid_length(text.len(), &self));
        }
        Ok(text.into())
    }
}
