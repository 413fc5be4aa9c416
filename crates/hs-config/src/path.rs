//! Paths of values in a file.

use std::fmt;

/// A path segment, which leads from a value to one of its fields or items.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum PathSegment {
    /// A field of an object. `repetition` counts earlier fields of the same name in the object.
    Field { name: String, repetition: usize },
    /// An item of a list.
    Item(usize),
}

/// Path from the root of a file to a value.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct FieldPath(pub(crate) Vec<PathSegment>);

impl FieldPath {
    pub(crate) fn field(&self, name: &str) -> Self {
        self.repeated_field(name, 0)
    }

    pub(crate) fn repeated_field(&self, name: &str, repetition: usize) -> Self {
        let name = name.to_owned();
        self.child(PathSegment::Field { name, repetition })
    }

    pub(crate) fn item(&self, index: usize) -> Self {
        self.child(PathSegment::Item(index))
    }

    fn child(&self, segment: PathSegment) -> Self {
        let mut path = self.clone();
        path.0.push(segment);
        path
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, segment) in self.0.iter().enumerate() {
            match segment {
                PathSegment::Field { name, .. } if index == 0 => formatter.write_str(name)?,
                PathSegment::Field { name, .. } => write!(formatter, ".{name}")?,
                PathSegment::Item(item) => write!(formatter, "[{item}]")?,
            }
        }
        Ok(())
    }
}
