//! What a field may contain.

/// The kind of a field, with its limits.
#[derive(Clone, Copy, Debug)]
pub enum FieldKind {
    /// A name: 1 to 64 letters, digits, `-`, `_` and `.`.
    Name,
    /// A secret of at least 16 visible ASCII characters.
    Token,
    /// Any string.
    Text,
    /// An address as `ip:port`.
    Address,
    /// `true` or `false`.
    Flag,
    /// A whole number within limits, both included.
    Whole(u64, u64),
    /// One of these words.
    Choice(&'static [&'static str]),
    /// An object.
    Object(&'static ObjectRule),
    /// A list of objects.
    Objects(&'static ObjectRule),
    /// A list of names.
    Names,
    /// A list of addresses.
    Addresses,
}

/// What a field is when a file does not have it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FieldDefault {
    /// The field must be there.
    Required,
    /// The field has no value.
    Absent,
    /// The field has this value, written as in the file.
    Value(&'static str),
}

/// One field.
#[derive(Clone, Copy, Debug)]
pub struct FieldRule {
    /// Name in the file.
    pub name: &'static str,
    /// Kind and limits.
    pub kind: FieldKind,
    /// Value when absent.
    pub default: FieldDefault,
    /// Unit of a number; empty for other kinds and plain counts.
    pub unit: &'static str,
}

/// The fields of one object.
#[derive(Debug)]
pub struct ObjectRule {
    /// Name of the object, for documents.
    pub name: &'static str,
    /// The fields, in the order of the type.
    pub fields: &'static [FieldRule],
}

impl FieldKind {
    /// Returns the kind in words, with its limits, as messages and documents show it.
    pub fn describe(self) -> String {
        match self {
            Self::Name => "a name".into(),
            Self::Token => "a string of at least 16 characters".into(),
            Self::Text => "a string".into(),
            Self::Address => "an address ip:port".into(),
            Self::Flag => "true or false".into(),
            Self::Whole(min, max) => format!("a whole number, {min} to {max}"),
            Self::Choice(words) => format!("one of {}", words.join(", ")),
            Self::Object(rule) => format!("an object ({})", rule.name),
            Self::Objects(rule) => format!("a list of objects ({})", rule.name),
            Self::Names => "a list of names".into(),
            Self::Addresses => "a list of addresses ip:port".into(),
        }
    }
}
