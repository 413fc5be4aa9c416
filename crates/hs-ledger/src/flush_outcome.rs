//! Outcome of a write.

/// Outcome of a write to the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FlushOutcome {
    /// The store accepted the value.
    Written {
        /// Store revision of the new value.
        revision: u64,
    },
    /// The store holds another revision than expected. The ownership is lost.
    Conflict,
    /// The write was certainly not sent. It is retried after a backoff.
    NotSent,
    /// The write may have taken effect. The value must be read back.
    Unknown,
}
