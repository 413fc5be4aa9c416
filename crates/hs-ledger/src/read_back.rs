//! Result of reading the store value back.

/// What reading the value back has shown.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ReadBackOutcome {
    /// The write took effect.
    Written,
    /// The store still holds the value from before the write. It is written again later.
    NotWritten,
    /// Somebody else has written. The ownership is lost.
    Lost,
}
