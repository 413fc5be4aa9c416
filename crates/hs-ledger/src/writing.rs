//! Progress of the current write.

use std::time::Instant;

use crate::Stamp;

/// A write that was handed to the caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flight {
    /// Sequence number in the value.
    pub seq: u64,
    /// Last change that the value contains.
    pub stamp: Stamp,
    /// When the write was handed out.
    pub began: Instant,
    /// Whether the value gives the partition up.
    pub released: bool,
}

/// Progress of the current write.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Writing {
    /// No write is under way.
    Idle,
    /// The caller makes the write.
    Flying(Flight),
    /// The end of the write is unknown until the value has been read back.
    Doubtful(Flight),
}
