//! Sequence number of a change.

/// Sequence number of a change of a [`LedgerPartition`](crate::LedgerPartition).
///
/// It starts anew with each takeover, so stamps of different takeovers cannot be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Stamp(u64);

impl Stamp {
    /// Stamp that precedes every change.
    pub const ZERO: Self = Self(0);

    /// Returns the stamp of the next change.
    pub(crate) fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
