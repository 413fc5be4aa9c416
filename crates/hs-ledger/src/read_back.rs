//! Outcome of reading the store value back.

/// Outcome of a write as determined by reading the value back.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ReadBackOutcome {
    /// The write took effect.
    Written,
    /// The store still holds the value from before the write. The write is retried after a backoff.
    NotWritten,
    /// The value was changed by another write. The ownership is lost.
    Lost,
}
