//! Decoding of values that another writer may have damaged, one by one.
//!
//! A value is split from the JSON around it without being interpreted, so that neither its depth nor
//! its numbers can fail the rest.

use std::collections::HashMap;

use serde::de::{Deserialize, DeserializeOwned, Deserializer};
use serde_json::value::RawValue;

use crate::Resources;

/// Decodes a value, or returns the default if it is not of the type.
pub(crate) fn or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned + Default,
{
    let raw = Box::<RawValue>::deserialize(deserializer)?;
    Ok(serde_json::from_str(raw.get()).unwrap_or_default())
}

/// Decodes resources, or returns the largest amounts if they can't be decoded.
pub(crate) fn or_unbounded<'de, D>(deserializer: D) -> Result<Resources, D::Error>
where
    D: Deserializer<'de>,
{
    let raw = Box::<RawValue>::deserialize(deserializer)?;
    Ok(serde_json::from_str(raw.get()).unwrap_or(Resources::MAX))
}

/// Decodes one field of a JSON object, or returns `None` if there is no such field of the type.
pub fn field<T: DeserializeOwned>(object: &str, name: &str) -> Option<T> {
    let fields: HashMap<String, &RawValue> = serde_json::from_str(object).ok()?;
    serde_json::from_str(fields.get(name)?.get()).ok()
}
