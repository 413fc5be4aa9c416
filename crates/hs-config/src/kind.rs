//! Distinction between settings and manifest files.

use crate::rules::{MANIFEST, SETTINGS};
use crate::tree::ConfigTree;

/// Kind of a configuration file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FileKind {
    /// Settings of an entry process.
    Settings,
    /// A manifest, which applies to all entry processes.
    Manifest,
}

impl FileKind {
    /// Guesses the kind from the names of the top-level fields. Returns `None` if the text matches
    /// both kinds equally well or cannot be parsed.
    pub fn guess(text: &str) -> Option<Self> {
        let tree = ConfigTree::parse(text).ok()?;
        let count = |rule: &crate::rule::ObjectRule| {
            let fields = rule.fields.iter();
            fields
                .filter(|field| tree.get(field.name).is_some())
                .count()
        };
        match count(&SETTINGS).cmp(&count(&MANIFEST)) {
            std::cmp::Ordering::Greater => Some(Self::Settings),
            std::cmp::Ordering::Less => Some(Self::Manifest),
            std::cmp::Ordering::Equal => None,
        }
    }
}
