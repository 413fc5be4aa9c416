//! Ends of a write.

/// What became of a write.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FlushOutcome {
    /// The store took the value.
    Written {
        /// Revision of the value.
        revision: u64,
    },
    /// The store holds another revision. The ownership is lost.
    Conflict,
    /// The write was certainly not sent. It is tried again later.
    NotSent,
    /// The write may have taken effect. The value has to be read back.
    Unknown,
}
