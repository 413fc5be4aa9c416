//! Types of the rules that describe the fields of the files.

/// Type of the value of a field, with its limits.
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
    Boolean,
    /// An unsigned integer between a minimum and a maximum, both inclusive.
    Integer(u64, u64),
    /// One of these strings.
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

/// Value of a field that is absent from a file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FieldDefault {
    /// None: the field is required.
    Required,
    /// None: the field is optional and has no default.
    Absent,
    /// This default, in the notation of the file.
    Value(&'static str),
}

/// Rule of a field.
#[derive(Clone, Copy, Debug)]
pub struct FieldRule {
    /// Name of the field in the file.
    pub name: &'static str,
    /// Type and limits of the value.
    pub kind: FieldKind,
    /// Value if the field is absent.
    pub default: FieldDefault,
    /// Unit of a number; empty for plain counts and for other types.
    pub unit: &'static str,
}

/// Rules of the fields of an object.
#[derive(Debug)]
pub struct ObjectRule {
    /// Name of the object in messages and in the documentation.
    pub name: &'static str,
    /// The fields, in the order of the Rust type.
    pub fields: &'static [FieldRule],
}

impl FieldKind {
    /// Returns a description of the type with its limits, for messages and the documentation.
    pub fn describe(self) -> String {
        match self {
            Self::Name => "a name".into(),
            Self::Token => "a string of at least 16 characters".into(),
            Self::Text => "a string".into(),
            Self::Address => "an address ip:port".into(),
            Self::Boolean => "true or false".into(),
            Self::Integer(min, max) => format!("a whole number, {min} to {max}"),
            Self::Choice(choices) => format!("one of {}", choices.join(", ")),
            Self::Object(rule) => format!("an object ({})", rule.name),
            Self::Objects(rule) => format!("a list of objects ({})", rule.name),
            Self::Names => "a list of names".into(),
            Self::Addresses => "a list of addresses ip:port".into(),
        }
    }
}
