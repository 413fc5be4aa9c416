//! Settings of a partition.

use std::time::Duration;

/// Settings of a [`LedgerPartition`](crate::LedgerPartition).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerOptions {
    /// Number of partitions of the installation. It sets the flush interval.
    pub partitions: u32,
    /// Time in milliseconds for which a finished record is kept after its end.
    pub retention_ms: u64,
}

impl LedgerOptions {
    /// Store writes per second that all partitions together may take. The store allows a few hundred
    /// writes per second to all its users.
    pub const WRITES_PER_SECOND: u32 = 80;

    /// Returns the shortest time between the starts of two writes of one partition.
    pub fn flush_interval(&self) -> Duration {
        Duration::from_secs(1) * self.partitions.max(1) / Self::WRITES_PER_SECOND
    }
}

impl Default for LedgerOptions {
    fn default() -> Self {
        Self {
            partitions: 4,
            retention_ms: 24 * 60 * 60 * 1000,
        }
    }
}
