//! Parser for the hits in a reply: `[{"id":"..","score":7,"text":".."}]`.

use std::fmt;

use node::Hit;
use serde::de::{self, DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};

use crate::settings::Settings;

/// Largest capacity that is reserved before the hits are read.
const INITIAL_CAPACITY: usize = 16;

/// Limits on one list of hits.
#[derive(Clone, Copy)]
pub(crate) struct HitLimits {
    max_hits: usize,
    max_text_bytes: usize,
}

impl From<&Settings> for HitLimits {
    fn from(settings: &Settings) -> Self {
        Self {
            max_hits: settings.max_hits,
            max_text_bytes: settings.max_text_bytes,
        }
    }
}

/// Parses a list of hits.
///
/// # Errors
///
/// Fails when the text is not a list of hits or exceeds the limits.
pub(crate) fn parse(text: &[u8], limits: HitLimits) -> serde_json::Result<Vec<Hit>> {
    let mut reader = serde_json::Deserializer::from_slice(text);
    let hits = HitListSeed(limits).deserialize(&mut reader)?;
    reader.end()?;
    Ok(hits)
}

struct HitListSeed(HitLimits);

impl<'de> DeserializeSeed<'de> for HitListSeed {
    type Value = Vec<Hit>;

    fn deserialize<D: Deserializer<'de>>(self, reader: D) -> Result<Vec<Hit>, D::Error> {
        reader.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for HitListSeed {
    type Value = Vec<Hit>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of at most {} hits", self.0.max_hits)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<Hit>, A::Error> {
        let mut hits = Vec::with_capacity(INITIAL_CAPACITY.min(self.0.max_hits));
        while let Some(hit) = seq.next_element_seed(HitSeed(self.0))? {
            if hits.len() == self.0.max_hits {
                return Err(de::Error::invalid_length(hits.len() + 1, &self));
            }
            hits.push(hit);
        }
        Ok(hits)
    }
}

struct HitSeed(HitLimits);

impl<'de> DeserializeSeed<'de> for HitSeed {
    type Value = Hit;

    fn deserialize<D: Deserializer<'de>>(self, reader: D) -> Result<Hit, D::Error> {
        reader.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for HitSeed {
    type Value = Hit;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a hit with id, score and text")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Hit, A::Error> {
        let (mut id, mut score, mut text) = (None, None, None);
        while let Some(field) = map.next_key_seed(FieldName)? {
            match field {
                Field::Id => set_once(
                    &mut id,
                    "id",
                    map.next_value_seed(TextSeed(self.0.max_text_bytes))?,
                )?,
                Field::Score => set_once(&mut score, "score", map.next_value()?)?,
                Field::Text => set_once(
                    &mut text,
                    "text",
                    map.next_value_seed(TextSeed(self.0.max_text_bytes))?,
                )?,
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

fn set_once<T, E: de::Error>(slot: &mut Option<T>, name: &'static str, value: T) -> Result<(), E> {
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

struct TextSeed(usize);

impl<'de> DeserializeSeed<'de> for TextSeed {
    type Value = Box<str>;

    fn deserialize<D: Deserializer<'de>>(self, reader: D) -> Result<Box<str>, D::Error> {
        reader.deserialize_str(self)
    }
}

impl Visitor<'_> for TextSeed {
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
