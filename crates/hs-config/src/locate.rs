//! Lines of fields, by the positions that the parser attaches to errors.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

use crate::path::{FieldPath, PathStep};

/// Returns the line of a field, or of the innermost object around it that the file has.
pub(crate) fn line_of(text: &str, path: &FieldPath) -> Option<usize> {
    let steps = &path.0;
    (0..=steps.len()).rev().find_map(|length| {
        let mut reader = json5::Deserializer::from_str(text);
        let probe = LineProbe {
            steps: &steps[..length],
        };
        let error = probe.deserialize(&mut reader).err()?;
        Some(error.position()?.line + 1)
    })
}

/// Follows a path and fails at its end, so that the parser's error has the position of the value.
struct LineProbe<'a> {
    steps: &'a [PathStep],
}

impl LineProbe<'_> {
    /// Ends the probe at a value without parts.
    fn stop<E: Error>(&self) -> Result<(), E> {
        match self.steps {
            [] => Err(E::custom("found")),
            _ => Ok(()),
        }
    }
}

impl<'de> DeserializeSeed<'de> for LineProbe<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, reader: D) -> Result<(), D::Error> {
        reader.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for LineProbe<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        self.stop()
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<(), E> {
        self.stop()
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<(), E> {
        self.stop()
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<(), E> {
        self.stop()
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<(), E> {
        self.stop()
    }

    fn visit_str<E: Error>(self, _: &str) -> Result<(), E> {
        self.stop()
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<(), A::Error> {
        self.stop()?;
        let [PathStep::Item(index), rest @ ..] = self.steps else {
            return Ok(());
        };
        for _ in 0..*index {
            items.next_element::<IgnoredAny>()?;
        }
        items.next_element_seed(LineProbe { steps: rest })?;
        while items.next_element::<IgnoredAny>()?.is_some() {}
        Ok(())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<(), A::Error> {
        self.stop()?;
        let mut seen = 0;
        while let Some(field) = fields.next_key::<String>()? {
            match self.steps {
                [PathStep::Field { name, nth }, rest @ ..] if *name == field => {
                    if seen == *nth {
                        fields.next_value_seed(LineProbe { steps: rest })?;
                    } else {
                        fields.next_value::<IgnoredAny>()?;
                    }
                    seen += 1;
                }
                _ => {
                    fields.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(())
    }
}
