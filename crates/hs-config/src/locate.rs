//! Finds the line of a field.
//!
//! The JSON5 parser gives positions only with errors, so this deserialises the text once more and
//! returns an error at the field.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

use crate::path::{FieldPath, PathSegment};

/// Returns the line of a field or, if it is missing, of its innermost enclosing value in the file.
pub(crate) fn line_of(text: &str, path: &FieldPath) -> Option<usize> {
    let segments = &path.0;
    (0..=segments.len()).rev().find_map(|length| {
        let mut deserializer = json5::Deserializer::from_str(text);
        let probe = LineProbe {
            segments: &segments[..length],
        };
        let error = probe.deserialize(&mut deserializer).err()?;
        Some(error.position()?.line + 1)
    })
}

/// Follows a path and fails at its end, so that the parser returns an error with the position of
/// the value.
struct LineProbe<'a> {
    segments: &'a [PathSegment],
}

impl LineProbe<'_> {
    /// Fails if the path ends at the current value.
    fn fail_at_target<E: Error>(&self) -> Result<(), E> {
        match self.segments {
            [] => Err(E::custom("found")),
            _ => Ok(()),
        }
    }
}

impl<'de> DeserializeSeed<'de> for LineProbe<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for LineProbe<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        self.fail_at_target()
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<(), E> {
        self.fail_at_target()
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<(), E> {
        self.fail_at_target()
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<(), E> {
        self.fail_at_target()
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<(), E> {
        self.fail_at_target()
    }

    fn visit_str<E: Error>(self, _: &str) -> Result<(), E> {
        self.fail_at_target()
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<(), A::Error> {
        self.fail_at_target()?;
        let [PathSegment::Item(index), rest @ ..] = self.segments else {
            return Ok(());
        };
        for _ in 0..*index {
            items.next_element::<IgnoredAny>()?;
        }
        items.next_element_seed(LineProbe { segments: rest })?;
        while items.next_element::<IgnoredAny>()?.is_some() {}
        Ok(())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<(), A::Error> {
        self.fail_at_target()?;
        let mut occurrences = 0;
        while let Some(field) = fields.next_key::<String>()? {
            match self.segments {
                [PathSegment::Field { name, repetition }, rest @ ..] if *name == field => {
                    if occurrences == *repetition {
                        fields.next_value_seed(LineProbe { segments: rest })?;
                    } else {
                        fields.next_value::<IgnoredAny>()?;
                    }
                    occurrences += 1;
                }
                _ => {
                    fields.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(())
    }
}
