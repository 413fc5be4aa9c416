//! Untyped representation of a file, on which it is validated.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};

/// Maximum nesting depth of a file. Manifests need 4; recursion without a limit would overflow the
/// stack.
const MAX_DEPTH: usize = 16;

/// A value of a file with its contents. Unlike `serde_json::Value` it keeps repeated fields.
#[derive(Clone, Debug)]
pub(crate) enum ConfigTree {
    Null,
    Boolean,
    Integer(u64),
    /// A negative number or a fraction. No field accepts these.
    OtherNumber(f64),
    Text(String),
    List(Vec<ConfigTree>),
    Object(Vec<(String, ConfigTree)>),
}

impl ConfigTree {
    /// Parses the text of a file.
    pub(crate) fn parse(text: &str) -> Result<Self, json5::Error> {
        let mut deserializer = json5::Deserializer::from_str(text);
        let tree = TreeSeed { depth: 0 }.deserialize(&mut deserializer)?;
        // Only `from_str` rejects trailing text after the document.
        json5::from_str::<serde::de::IgnoredAny>(text)?;
        Ok(tree)
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Self> {
        let Self::Object(fields) = self else {
            return None;
        };
        let found = fields.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value)
    }

    pub(crate) fn items(&self, name: &str) -> &[Self] {
        match self.get(name) {
            Some(Self::List(items)) => items,
            _ => &[],
        }
    }

    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub(crate) fn integer(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Self::Integer(number) => Some(*number),
            _ => None,
        }
    }

    /// Returns the name of the type for messages, which omit the value since it may be a secret.
    pub(crate) fn type_name(&self) -> &'static str {
        match self {
            Self::Null => "null",
            Self::Boolean => "true or false",
            Self::Integer(_) | Self::OtherNumber(_) => "a number",
            Self::Text(_) => "a string",
            Self::List(_) => "a list",
            Self::Object(_) => "an object",
        }
    }
}

struct TreeSeed {
    depth: usize,
}

impl<'de> DeserializeSeed<'de> for TreeSeed {
    type Value = ConfigTree;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<ConfigTree, D::Error> {
        if self.depth > MAX_DEPTH {
            let message = format!("nested deeper than {MAX_DEPTH} levels");
            return Err(D::Error::custom(message));
        }
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for TreeSeed {
    type Value = ConfigTree;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<ConfigTree, E> {
        Ok(ConfigTree::Null)
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<ConfigTree, E> {
        Ok(ConfigTree::Boolean)
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<ConfigTree, E> {
        Ok(ConfigTree::Integer(number))
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "negative numbers are only reported, never used"
    )]
    fn visit_i64<E: Error>(self, number: i64) -> Result<ConfigTree, E> {
        Ok(ConfigTree::OtherNumber(number as f64))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<ConfigTree, E> {
        Ok(ConfigTree::OtherNumber(number))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<ConfigTree, E> {
        Ok(ConfigTree::Text(text.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<ConfigTree, A::Error> {
        let depth = self.depth + 1;
        let mut list = Vec::new();
        while let Some(item) = items.next_element_seed(TreeSeed { depth })? {
            list.push(item);
        }
        Ok(ConfigTree::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<ConfigTree, A::Error> {
        let depth = self.depth + 1;
        let mut object = Vec::new();
        while let Some(name) = fields.next_key::<String>()? {
            object.push((name, fields.next_value_seed(TreeSeed { depth })?));
        }
        Ok(ConfigTree::Object(object))
    }
}
