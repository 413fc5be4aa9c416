//! Options of a partition.

use std::time::Duration;

use hs_wire::Outcome;

/// Options of a [`LedgerPartition`](crate::LedgerPartition).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerOptions {
    /// Number of partitions of the installation, which share the budget of store writes.
    pub partition_count: u32,
    /// Time in milliseconds for which a closed record is kept. A value below
    /// [`Self::MIN_RETENTION_MS`] is raised to it.
    pub retention_ms: u64,
}

impl LedgerOptions {
    /// Maximum number of store writes per second of all partitions together. The store allows a few
    /// hundred writes per second, which its users share.
    pub const MAX_WRITES_PER_SECOND: u32 = 80;

    /// Minimum retention in milliseconds. A submission expires at most 10 min after its arrival, so
    /// a duplicate cannot be admitted after the record has been dropped.
    pub const MIN_RETENTION_MS: u64 = 15 * 60 * 1000;

    /// Returns the time in milliseconds for which a closed record with `outcome` is kept.
    pub fn retention_ms_of(&self, outcome: Outcome) -> u64 {
        match outcome {
            Outcome::NotRun => Self::MIN_RETENTION_MS,
            Outcome::Done
            | Outcome::Failed
            | Outcome::Unknown
            | Outcome::Cancelled
            | Outcome::Accepted => self.key_retention_ms(),
        }
    }

    /// Returns the time in milliseconds for which the record of work that may have run is kept. A
    /// submission that was issued longer ago is refused.
    pub fn key_retention_ms(&self) -> u64 {
        self.retention_ms.max(Self::MIN_RETENTION_MS)
    }

    /// Returns the minimum time between the starts of two writes of one partition.
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
