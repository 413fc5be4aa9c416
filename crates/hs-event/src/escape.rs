//! Escape of control characters in log lines.

use std::fmt::{self, Write};

/// Fields of a log line. Names and causes come from other processes, and a line break in one would
/// let its writer add lines that look like events.
pub(crate) struct EscapedFields<'a>(pub(crate) fmt::Arguments<'a>);

impl fmt::Display for EscapedFields<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        EscapeWriter(formatter).write_fmt(self.0)
    }
}

/// Writes text with escaped control characters.
struct EscapeWriter<'a, 'b>(&'a mut fmt::Formatter<'b>);

impl Write for EscapeWriter<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let mut rest = text;
        while let Some(position) = rest.find(char::is_control) {
            let (clean, tail) = rest.split_at(position);
            self.0.write_str(clean)?;
            let mut characters = tail.chars();
            if let Some(control) = characters.next() {
                write!(self.0, "{}", control.escape_default())?;
            }
            rest = characters.as_str();
        }
        self.0.write_str(rest)
    }
}
