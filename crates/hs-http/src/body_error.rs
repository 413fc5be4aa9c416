//! Errors of request bodies that are not the expected JSON.

use serde_json::Error as JsonError;
use thiserror::Error;

/// Length in bytes to which the parser's message is truncated. It quotes values of the sender,
/// which may be long.
const MAX_MESSAGE_BYTES: usize = 200;

/// Length in bytes of the quoted text before the error position. It shows the field, which the
/// parser's message names only if the field is missing or unknown.
const EXCERPT_BYTES: usize = 60;

/// A body that is not the expected JSON.
#[derive(Clone, Debug, Error)]
#[error("line {line} column {column}: {message}, after `{excerpt}`")]
pub struct BodyError {
    /// Line of the error, counted from 1; 0 for an empty body.
    pub line: usize,
    /// Column of the error in bytes, counted from 1.
    pub column: usize,
    /// The parser's message, truncated.
    pub message: String,
    /// The text of the line right before the error position.
    pub excerpt: String,
}

impl BodyError {
    pub(crate) fn new(body: &[u8], error: &JsonError) -> Self {
        let (line, column) = (error.line(), error.column());
        let message = error.to_string();
        let position = format!(" at line {line} column {column}");
        let message = message.strip_suffix(&position).unwrap_or(&message);
        let mut lines = body.split(|byte| *byte == b'\n');
        let text = lines.nth(line.saturating_sub(1)).unwrap_or_default();
        let text = &text[..column.min(text.len())];
        let text = &text[text.len().saturating_sub(EXCERPT_BYTES)..];
        Self {
            line,
            column,
            message: truncate_message(message),
            excerpt: String::from_utf8_lossy(text).trim_start().to_owned(),
        }
    }
}

fn truncate_message(message: &str) -> String {
    if message.len() <= MAX_MESSAGE_BYTES {
        return message.to_owned();
    }
    let mut end = MAX_MESSAGE_BYTES;
    while !message.is_char_boundary(end) {
        end -= 1;
    }
    format!("{}...", &message[..end])
}
