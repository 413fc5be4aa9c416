//! State of the current write.

use std::time::Instant;

use crate::Stamp;

/// Write that [`LedgerPartition::begin_flush`](crate::LedgerPartition::begin_flush) returned to the
/// caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingWrite {
    /// Sequence number of the value.
    pub seq: u64,
    /// Stamp of the last change that the value contains.
    pub stamp: Stamp,
    /// Time at which the write was returned to the caller.
    pub started_at: Instant,
    /// Whether the value releases the ownership.
    pub released: bool,
}

/// State of the current write.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WriteState {
    /// There is no write in flight.
    Idle,
    /// The caller is making the write.
    InFlight(PendingWrite),
    /// The outcome of the write is unknown until the value has been read back.
    OutcomeUnknown(PendingWrite),
}
