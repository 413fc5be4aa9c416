//! The owner's view of a partition.

use std::time::Instant;

use slotmap::new_key_type;

use crate::{LedgerOptions, LedgerOwner, PartitionImage, Stamp};

new_key_type! {
    /// Names a record of a [`LedgerPartition`].
    pub struct RecordKey;
}

/// The owner's view of a partition.
#[derive(Debug)]
pub struct LedgerPartition {}

impl LedgerPartition {
    /// Takes a partition over from the value that the store holds at `revision`, or creates it if the
    /// store holds none (`revision` zero).
    ///
    /// The epoch rises by one. The first flush is due at once; nothing may be promised before it is
    /// committed.
    pub fn take_over(
        _image: Option<PartitionImage>,
        _revision: u64,
        _owner: LedgerOwner,
        _now: Instant,
    ) -> Self {
        todo!()
    }

    /// Replaces the settings. They are the defaults after a takeover.
    pub fn set_options(&mut self, _options: LedgerOptions) {
        todo!()
    }

    /// Returns the epoch of this takeover.
    pub fn epoch(&self) -> u64 {
        todo!()
    }

    /// Returns the stamp up to which all changes are in the store.
    pub fn committed(&self) -> Stamp {
        todo!()
    }

    /// Returns the stamp of the last change.
    pub fn last_stamp(&self) -> Stamp {
        todo!()
    }

    /// Returns whether the first write of the takeover is committed and the ownership not lost.
    pub fn is_owned(&self) -> bool {
        todo!()
    }

    /// Returns whether another owner has taken over, or the release is committed.
    pub fn is_lost(&self) -> bool {
        todo!()
    }

    /// Gives the partition up with the next write, which is due at once. New submissions are refused
    /// from now on, and the ownership ends when the write is committed.
    pub fn release(&mut self) {
        todo!()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        todo!()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns an upper bound of the size of the store value in bytes.
    pub fn size(&self) -> usize {
        todo!()
    }
}
