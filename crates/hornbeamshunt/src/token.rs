//! Reads the operators' token.

use std::env;

use crate::exit::CommandError;
use crate::file;

/// Environment variable with the token, used when there is no `--token-file`.
const TOKEN_VARIABLE: &str = "HORNBEAMSHUNT_TOKEN";

/// Returns the token, if there is one. It cannot be passed as an argument, since arguments are
/// visible in the process list.
pub(crate) fn read(token_file: Option<&str>) -> Result<Option<String>, CommandError> {
    let text = match token_file {
        Some(path) => Some(file::read(path)?),
        None => env::var(TOKEN_VARIABLE).ok(),
    };
    let token = text.map(|text| text.trim().to_owned());
    Ok(token.filter(|token| !token.is_empty()))
}
