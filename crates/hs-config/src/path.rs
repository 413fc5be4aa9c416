//! Paths of fields.

use std::fmt;

/// One step from a value to a part of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum PathStep {
    /// A field of an object; `nth` counts repetitions of the name from zero.
    Field { name: String, nth: usize },
    /// An item of a list.
    Item(usize),
}

/// The place of a value in a file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct FieldPath(pub(crate) Vec<PathStep>);

impl FieldPath {
    pub(crate) fn field(&self, name: &str) -> Self {
        self.repeated(name, 0)
    }

    pub(crate) fn repeated(&self, name: &str, nth: usize) -> Self {
        let name = name.to_owned();
        self.with(PathStep::Field { name, nth })
    }

    pub(crate) fn item(&self, index: usize) -> Self {
        self.with(PathStep::Item(index))
    }

    fn with(&self, step: PathStep) -> Self {
        let mut path = self.clone();
        path.0.push(step);
        path
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, step) in self.0.iter().enumerate() {
            match step {
                PathStep::Field { name, .. } if index == 0 => formatter.write_str(name)?,
                PathStep::Field { name, .. } => write!(formatter, ".{name}")?,
                PathStep::Item(item) => write!(formatter, "[{item}]")?,
            }
        }
        Ok(())
    }
}
