//! Position of a change in the order of changes.

/// Position of a change among all changes of one [`LedgerPartition`](crate::LedgerPartition).
///
/// Stamps of different owners or takeovers are not comparable.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Stamp(u64);

impl Stamp {
    /// Precedes every change.
    pub const ZERO: Self = Self(0);

    /// Returns the stamp of the next change.
    pub(crate) fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
