//! Files named on the command line.

use std::fs;

use crate::exit::CommandError;

/// Reads a file as text.
pub(crate) fn read(path: &str) -> Result<String, CommandError> {
    fs::read_to_string(path).map_err(|error| CommandError::failed(format!("{path}: {error}")))
}
