//! Parsing with findings.

use json5::ErrorCode;
use serde::de::DeserializeOwned;

use crate::check::TreeCheck;
use crate::check_manifest::check_manifest;
use crate::check_settings::check_settings;
use crate::rule::ObjectRule;
use crate::rules::{MANIFEST, SETTINGS};
use crate::tree::ConfigTree;
use crate::{ConfigError, ConfigFinding, Manifest, Settings};

/// Parses and checks settings.
///
/// # Errors
///
/// Returns every finding with its field and line.
pub fn parse_settings(text: &str) -> Result<Settings, ConfigError> {
    parse(text, &SETTINGS, check_settings)
}

/// Parses and checks a manifest.
///
/// # Errors
///
/// Returns every finding with its field and line.
pub fn parse_manifest(text: &str) -> Result<Manifest, ConfigError> {
    parse(text, &MANIFEST, check_manifest)
}

fn parse<T: DeserializeOwned>(
    text: &str,
    rule: &ObjectRule,
    check_relations: fn(&mut TreeCheck, &ConfigTree),
) -> Result<T, ConfigError> {
    let tree = ConfigTree::read(text).map_err(|error| single(text, &error))?;
    let mut check = TreeCheck::run(&tree, rule);
    check_relations(&mut check, &tree);
    check.finish(text)?;
    json5::from_str(text).map_err(|error| single(text, &error))
}

/// Builds the only finding of a text that the parser rejects.
fn single(text: &str, error: &json5::Error) -> ConfigError {
    let last_line = text.lines().count().max(1);
    let position = error.position();
    let line = position.map_or(last_line, |position| position.line + 1);
    let (line, message) = match (error.code(), position) {
        // At an unexpected end of the text, the parser gives the position of the open value.
        (Some(code), Some(_)) if is_end(code) => {
            let message = format!("{code}; the open value begins in line {line}");
            (last_line, message)
        }
        (Some(code), Some(position)) => (line, format!("{code} in column {}", position.column + 1)),
        _ => (line, error.to_string()),
    };
    ConfigError {
        findings: vec![ConfigFinding {
            line: Some(line),
            field: String::new(),
            message,
        }],
    }
}

fn is_end(code: ErrorCode) -> bool {
    matches!(
        code,
        ErrorCode::EofParsingArray
            | ErrorCode::EofParsingBool
            | ErrorCode::EofParsingComment
            | ErrorCode::EofParsingEscapeSequence
            | ErrorCode::EofParsingIdentifier
            | ErrorCode::EofParsingNull
            | ErrorCode::EofParsingNumber
            | ErrorCode::EofParsingObject
            | ErrorCode::EofParsingString
            | ErrorCode::EofParsingValue
    )
}
