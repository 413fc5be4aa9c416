//! Writes of a partition to the store.

use std::time::Instant;

use crate::{LedgerPartition, PartitionImage};

/// One write that the caller has to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerFlush {
    /// Value to write.
    pub body: Vec<u8>,
    /// Store revision that the value must still have; zero if it must not exist.
    pub if_revision: u64,
    /// Sequence number within the value.
    pub seq: u64,
}

/// What became of a write.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FlushEnd {
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

/// What reading the value back has shown.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ReadBack {
    /// The write took effect.
    Written,
    /// The store still holds the value from before the write. It is written again later.
    NotWritten,
    /// Somebody else has written. The ownership is lost.
    Lost,
}

impl LedgerPartition {
    /// Starts the write that is due, or returns `None` if none is due, one is under way, a value has
    /// to be read back first, or the ownership is lost. Drops expired records before the write.
    pub fn begin_flush(&mut self, _now: Instant, _now_ms: u64) -> Option<LedgerFlush> {
        todo!()
    }

    /// Ends the write that [`Self::begin_flush`] started.
    pub fn end_flush(&mut self, _end: FlushEnd, _now: Instant) {
        todo!()
    }

    /// Returns whether the store's value has to be read and passed to [`Self::read_back`] before
    /// anything else is written.
    pub fn needs_read_back(&self) -> bool {
        todo!()
    }

    /// Decides a write whose end is unknown from the revision and value that the store holds now,
    /// or `None` if it holds none.
    pub fn read_back(&mut self, _found: Option<(u64, PartitionImage)>, _now: Instant) -> ReadBack {
        todo!()
    }

    /// Returns the earliest time at which [`Self::begin_flush`] has something to write, or `None`
    /// while a write is under way or undecided, and once the ownership is lost.
    pub fn next_flush(&self, _now: Instant) -> Option<Instant> {
        todo!()
    }

    /// Returns whether no other process can own the partition now: the last confirmed write began
    /// less than 2.5 s ago.
    pub fn is_fresh(&self, _now: Instant) -> bool {
        todo!()
    }
}
