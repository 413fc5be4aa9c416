//! Parsing and validation of whole files.

use json5::ErrorCode;
use serde::de::DeserializeOwned;

use crate::check::TreeCheck;
use crate::check_manifest::check_manifest;
use crate::check_settings::check_settings;
use crate::rule::ObjectRule;
use crate::rules::{MANIFEST, SETTINGS};
use crate::tree::ConfigTree;
use crate::{ConfigError, ConfigFinding, Manifest, Settings};

/// Parses and validates settings.
///
/// # Errors
///
/// Returns all findings with their fields and lines.
pub fn parse_settings(text: &str) -> Result<Settings, ConfigError> {
    parse(text, &SETTINGS, check_settings)
}

/// Parses and validates a manifest.
///
/// # Errors
///
/// Returns all findings with their fields and lines.
pub fn parse_manifest(text: &str) -> Result<Manifest, ConfigError> {
    parse(text, &MANIFEST, check_manifest)
}

fn parse<T: DeserializeOwned>(
    text: &str,
    rule: &ObjectRule,
    check_across_fields: fn(&mut TreeCheck, &ConfigTree),
) -> Result<T, ConfigError> {
    let tree = ConfigTree::parse(text).map_err(|error| parse_error(text, &error))?;
    let mut check = TreeCheck::run(&tree, rule);
    check_across_fields(&mut check, &tree);
    check.finish(text)?;
    json5::from_str(text).map_err(|error| parse_error(text, &error))
}

/// Builds the error for a text that the parser rejects, with a single finding.
fn parse_error(text: &str, error: &json5::Error) -> ConfigError {
    let last_line = text.lines().count().max(1);
    let position = error.position();
    let line = position.map_or(last_line, |position| position.line + 1);
    let (line, message) = match (error.code(), position) {
        // At an unexpected end of the text, the parser returns the position of the unclosed value.
        (Some(code), Some(_)) if is_unexpected_end(code) => {
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

fn is_unexpected_end(code: ErrorCode) -> bool {
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
