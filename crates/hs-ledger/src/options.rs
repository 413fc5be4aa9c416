//! Settings of a partition.

use std::time::Duration;

use hs_wire::Outcome;

/// Settings of a [`LedgerPartition`](crate::LedgerPartition).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerOptions {
    /// Number of partitions of the installation. It sets the flush interval.
    pub partition_count: u32,
    /// Time in milliseconds for which a finished record is kept after its end; at least
    /// [`Self::MIN_RETENTION_MS`] applies.
    pub retention_ms: u64,
}

impl LedgerOptions {
    /// Store writes per second that all partitions together may take. The store allows a few hundred
    /// writes per second to all its users.
    pub const MAX_WRITES_PER_SECOND: u32 = 80;

    /// Shortest retention in milliseconds. A submission expires at most 10 min after its arrival, so
    /// that no duplicate of it is admitted after its record has been dropped.
    pub const MIN_RETENTION_MS: u64 = 15 * 60 * 1000;

    /// Returns the time in milliseconds for which a record with `outcome` is kept after its end.
    pub fn retention_of(&self, outcome: Outcome) -> u64 {
        match outcome {
            Outcome::NotRun => Self::MIN_RETENTION_MS,
            Outcome::Done
            | Outcome::Failed
            | Outcome::Unknown
            | Outcome::Cancelled
            | Outcome::Accepted => self.key_retention_ms(),
        }
    }

    /// Returns the time in milliseconds for which a key is remembered after its end.
    pub fn key_retention_ms(&self) -> u64 {
        self.retention_ms.max(Self::MIN_RETENTION_MS)
    }

    /// Returns the shortest time between the starts of two writes of one partition.
    pub fn flush_interval(&self) -> Duration {
        Duration::from_secs(1) * self.partition_count.max(1) / Self::MAX_WRITES_PER_SECOND
    }
}

impl Default for LedgerOptions {
    fn default() -> Self {
        Self {
            partition_count: 4,
            retention_ms: 24 * 60 * 60 * 1000,
        }
    }
}
