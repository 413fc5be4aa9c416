//! Validation of a parsed file against the rules.

use std::collections::HashSet;
use std::net::SocketAddr;

use crate::locate::line_of;
use crate::path::FieldPath;
use crate::rule::{FieldDefault, FieldKind, FieldRule, ObjectRule};
use crate::tree::ConfigTree;
use crate::{ConfigError, ConfigFinding};

/// Maximum length of a name in characters.
const MAX_NAME_CHARS: usize = 64;

/// Minimum length of a token in characters.
const MIN_TOKEN_CHARS: usize = 16;

/// Maximum number of findings whose line is looked up. Each lookup parses the text once, so without
/// this limit a large invalid file would block an entry process for seconds.
const MAX_FINDINGS_WITH_LINE: usize = 200;

/// Validates a file and collects the findings.
pub(crate) struct TreeCheck {
    findings: Vec<(FieldPath, String)>,
}

impl TreeCheck {
    /// Validates a whole file against the rules of its root object.
    pub(crate) fn run(tree: &ConfigTree, rule: &ObjectRule) -> Self {
        let mut check = Self {
            findings: Vec::new(),
        };
        check.check_object(&FieldPath::default(), tree, rule);
        check
    }

    /// Adds a finding.
    pub(crate) fn report(&mut self, path: &FieldPath, message: impl Into<String>) {
        self.findings.push((path.clone(), message.into()));
    }

    /// Reports every name that an earlier item already has.
    pub(crate) fn report_duplicates<'a>(
        &mut self,
        names: impl Iterator<Item = (FieldPath, Option<&'a str>)>,
    ) {
        let mut seen = HashSet::new();
        for (path, name) in names {
            if let Some(name) = name
                && !seen.insert(name)
            {
                self.report(&path, format!("duplicate name {name:?}"));
            }
        }
    }

    /// Returns the collected findings as an error, with their lines in `text`.
    pub(crate) fn finish(self, text: &str) -> Result<(), ConfigError> {
        if self.findings.is_empty() {
            return Ok(());
        }
        let findings = self.findings.into_iter().enumerate();
        let located = findings.map(|(index, (path, message))| ConfigFinding {
            line: (index < MAX_FINDINGS_WITH_LINE)
                .then(|| line_of(text, &path))
                .flatten(),
            field: path.to_string(),
            message,
        });
        let mut findings: Vec<ConfigFinding> = located.collect();
        findings.sort_by_key(|finding| finding.line.unwrap_or(usize::MAX));
        Err(ConfigError { findings })
    }

    fn check_object(&mut self, path: &FieldPath, tree: &ConfigTree, rule: &ObjectRule) {
        let ConfigTree::Object(fields) = tree else {
            let found = tree.type_name();
            self.report(path, format!("expected an object, found {found}"));
            return;
        };
        for (index, (name, value)) in fields.iter().enumerate() {
            let repetition = fields[..index].iter().filter(|(n, _)| n == name).count();
            let path = path.repeated_field(name, repetition);
            if repetition > 0 {
                self.report(&path, "the field is already set above");
            }
            match rule.fields.iter().find(|field| field.name == name) {
                Some(field) => self.check_field(&path, value, field),
                None => {
                    let known: Vec<&str> = rule.fields.iter().map(|field| field.name).collect();
                    let known = known.join(", ");
                    self.report(&path, format!("unknown field; known here: {known}"));
                }
            }
        }
        for field in rule.fields {
            if field.default == FieldDefault::Required && tree.get(field.name).is_none() {
                let kind = field.kind.describe();
                self.report(
                    &path.field(field.name),
                    format!("missing field, expected {kind}"),
                );
            }
        }
    }

    fn check_field(&mut self, path: &FieldPath, value: &ConfigTree, field: &FieldRule) {
        if matches!(value, ConfigTree::Null) && field.default == FieldDefault::Absent {
            return;
        }
        match (field.kind, value) {
            (FieldKind::Name, ConfigTree::Text(name)) => self.check_name(path, name),
            (FieldKind::Token, ConfigTree::Text(token)) => self.check_token(path, token),
            (FieldKind::Address, ConfigTree::Text(address)) => self.check_address(path, address),
            (FieldKind::Text, ConfigTree::Text(_)) | (FieldKind::Boolean, ConfigTree::Boolean) => {}
            (FieldKind::Integer(min, max), ConfigTree::Integer(number)) => {
                if !(min..=max).contains(number) {
                    self.report(path, format!("{number} is out of range {min} to {max}"));
                }
            }
            (FieldKind::Integer(min, max), ConfigTree::OtherNumber(number)) => {
                let message = format!("{number} is not a whole number in the range {min} to {max}");
                self.report(path, message);
            }
            (FieldKind::Choice(choices), ConfigTree::Text(choice)) => {
                if !choices.contains(&choice.as_str()) {
                    let choices = choices.join(", ");
                    self.report(path, format!("{choice:?} is not one of {choices}"));
                }
            }
            (FieldKind::Object(rule), value) => self.check_object(path, value, rule),
            (FieldKind::Objects(rule), ConfigTree::List(items)) => {
                for (index, item) in items.iter().enumerate() {
                    self.check_object(&path.item(index), item, rule);
                }
            }
            (FieldKind::Names, ConfigTree::List(items)) => {
                self.check_texts(path, items, "a name", Self::check_name);
            }
            (FieldKind::Addresses, ConfigTree::List(items)) => {
                self.check_texts(path, items, "an address ip:port", Self::check_address);
            }
            (kind, value) => {
                let (kind, found) = (kind.describe(), value.type_name());
                self.report(path, format!("expected {kind}, found {found}"));
            }
        }
    }

    fn check_texts(
        &mut self,
        path: &FieldPath,
        items: &[ConfigTree],
        kind: &str,
        check: fn(&mut Self, &FieldPath, &str),
    ) {
        for (index, item) in items.iter().enumerate() {
            let path = path.item(index);
            match item {
                ConfigTree::Text(text) => check(self, &path, text),
                other => {
                    let found = other.type_name();
                    self.report(&path, format!("expected {kind}, found {found}"));
                }
            }
        }
    }

    fn check_name(&mut self, path: &FieldPath, name: &str) {
        let length = name.chars().count();
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if name.is_empty() {
            self.report(path, "the name is empty");
        } else if length > MAX_NAME_CHARS {
            let message =
                format!("the name has {length} characters, at most {MAX_NAME_CHARS} are allowed");
            self.report(path, message);
        }
        if !name.chars().all(is_allowed) {
            let message = "the name may only contain letters, digits, '-', '_' and '.'";
            self.report(path, message);
        }
    }

    /// Validates a token. No message contains the token, since it is a secret.
    fn check_token(&mut self, path: &FieldPath, token: &str) {
        if token.chars().count() < MIN_TOKEN_CHARS {
            let message = format!("the token is shorter than {MIN_TOKEN_CHARS} characters");
            self.report(path, message);
        }
        if !token.chars().all(|c| c.is_ascii_graphic()) {
            let message = "the token may only contain visible ASCII characters, since it is sent \
                           in an HTTP header";
            self.report(path, message);
        }
    }

    fn check_address(&mut self, path: &FieldPath, address: &str) {
        if address.parse::<SocketAddr>().is_err() {
            let message =
                format!("{address:?} is not an address ip:port; host names are not looked up");
            self.report(path, message);
        }
    }
}
