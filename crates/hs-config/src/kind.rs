//! Which of the two files a text is.

use crate::rules::{MANIFEST, SETTINGS};
use crate::tree::ConfigTree;

/// The kinds of files.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FileKind {
    /// Settings of one entry process.
    Settings,
    /// A manifest.
    Manifest,
}

impl FileKind {
    /// Guesses the kind by the names of the outermost fields; `None` if neither kind has more of
    /// them or the text cannot be read.
    pub fn guess(text: &str) -> Option<Self> {
        let tree = ConfigTree::read(text).ok()?;
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
