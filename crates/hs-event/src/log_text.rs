//! Text of other programs in log lines.

use std::fmt::{self, Display, Formatter, Write};

/// Maximum number of characters of a text that are written.
const MAX_LOGGED_CHARS: usize = 160;

/// Text that another program has chosen, as the value of a field of a log line.
///
/// A plain word is written as it is. Any other text is quoted, with quotes and control characters escaped, so that it
/// neither ends the line nor looks like another field. A long text is cut.
#[derive(Clone, Copy, Debug)]
pub struct LogText<'a>(pub &'a str);

impl Display for LogText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if is_plain(self.0) {
            return f.write_str(self.0);
        }
        f.write_char('"')?;
        for character in self.0.chars().take(MAX_LOGGED_CHARS) {
            Display::fmt(&character.escape_debug(), f)?;
        }
        if self.0.chars().nth(MAX_LOGGED_CHARS).is_some() {
            f.write_str("...")?;
        }
        f.write_char('"')
    }
}

/// Returns whether a text is a short word that needs no quotes.
fn is_plain(text: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'"' | b'\\' | b'=');
    !text.is_empty() && text.len() <= MAX_LOGGED_CHARS && text.bytes().all(is_plain)
}
