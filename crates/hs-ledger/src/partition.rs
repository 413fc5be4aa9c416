//! In-memory state of a partition at its owner.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;

use crate::hash::identity_hash;
use crate::long_results::LongResults;
use crate::size::{encode, record_size_bytes};
use crate::write_state::WriteState;
use crate::{
    LedgerOptions, LedgerOwner, LedgerRecord, OwnerAddress, PartitionImage, Stamp, UnreadableRecord,
};

new_key_type! {
    /// Identifies a record of a [`LedgerPartition`] in memory.
    pub struct RecordKey;
}

/// Record with the data that is kept only in memory.
#[derive(Debug)]
pub(crate) struct RecordEntry {
    pub record: LedgerRecord,
    /// Stamp of the last change.
    pub stamp: Stamp,
    /// Encoded record. It is cached, since each write contains all records and most have not
    /// changed since the write before.
    pub encoded: Vec<u8>,
    /// Result of [`record_size_bytes`].
    pub size_bytes: usize,
}

impl RecordEntry {
    /// Returns the entry of a record whose last change has `stamp`.
    pub fn new(record: LedgerRecord, stamp: Stamp) -> Self {
        let encoded = encode(&record);
        Self {
            size_bytes: record_size_bytes(&record, &encoded),
            record,
            stamp,
            encoded,
        }
    }

    /// Updates the entry after a change of the record with `stamp`.
    pub fn update(&mut self, stamp: Stamp) {
        self.stamp = stamp;
        self.encoded = encode(&self.record);
        self.size_bytes = record_size_bytes(&self.record, &self.encoded);
    }
}

/// Partition as its owner holds it in memory.
#[derive(Debug)]
pub struct LedgerPartition {
    pub(crate) options: LedgerOptions,
    pub(crate) epoch: u64,
    pub(crate) owner: OwnerAddress,
    pub(crate) writer: String,
    /// Store revision of the last confirmed write of this owner, or of the value that was taken
    /// over if there is none yet.
    pub(crate) revision: u64,
    /// Sequence number of the last write.
    pub(crate) seq: u64,
    pub(crate) records: SlotMap<RecordKey, RecordEntry>,
    /// Records by [`identity_hash`].
    pub(crate) index: HashMap<u64, SmallVec<[RecordKey; 1]>>,
    /// Result of [`Self::size_bytes`].
    pub(crate) size_bytes: usize,
    /// Records that can't be used. Each write contains them unchanged.
    pub(crate) unreadable: Vec<UnreadableRecord>,
    pub(crate) long_results: LongResults,
    /// Stamp of the last change.
    pub(crate) last_stamp: Stamp,
    /// Stamp of the last change that is in the store.
    pub(crate) committed: Stamp,
    pub(crate) write_state: WriteState,
    /// Time at which the last write started.
    pub(crate) last_write_start: Option<Instant>,
    /// Time at which the last confirmed write started.
    pub(crate) last_confirmed_start: Option<Instant>,
    /// Time before which a failed write is not retried.
    pub(crate) retry_at: Option<Instant>,
    /// Backoff after the last failed write; zero after a successful one.
    pub(crate) backoff: Duration,
    pub(crate) is_releasing: bool,
    pub(crate) is_lost: bool,
}

impl LedgerPartition {
    /// Takes over a partition from the value that the store holds at `revision`, or creates it if
    /// the store holds none (`revision` zero).
    ///
    /// The epoch is raised by one. The first flush is due at once; no reply may be sent and no task
    /// started before it is committed.
    pub fn take_over(
        image: Option<PartitionImage>,
        revision: u64,
        owner: LedgerOwner,
        _now: Instant,
    ) -> Self {
        let image = image.unwrap_or_default();
        let mut partition = Self {
            options: LedgerOptions::default(),
            epoch: image.epoch + 1,
            owner: OwnerAddress {
                id: owner.id,
                addr: owner.addr,
            },
            writer: owner.writer,
            revision,
            seq: image.seq,
            records: SlotMap::with_key(),
            index: HashMap::new(),
            size_bytes: 0,
            unreadable: image.unreadable,
            long_results: LongResults::default(),
            // The takeover is the first change. Every record taken over gets its stamp, so that
            // replies wait for the first flush.
            last_stamp: Stamp::ZERO.next(),
            committed: Stamp::ZERO,
            write_state: WriteState::Idle,
            last_write_start: None,
            last_confirmed_start: None,
            retry_at: None,
            backoff: Duration::ZERO,
            is_releasing: false,
            is_lost: false,
        };
        partition.size_bytes = partition.encode_without_records(u64::MAX, true).len();
        let unreadable = partition.unreadable.iter();
        partition.size_bytes += unreadable.map(|it| it.text.len() + 1).sum::<usize>();
        for record in image.records {
            partition.insert(RecordEntry::new(record, partition.last_stamp));
        }
        partition
    }

    /// Replaces the options. After a takeover they have their defaults.
    pub fn set_options(&mut self, options: LedgerOptions) {
        self.options = options;
    }

    /// Returns the epoch of the ownership, which each takeover raises by one.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the stamp up to which all changes are in the store.
    pub fn committed(&self) -> Stamp {
        self.committed
    }

    /// Returns the stamp of the last change.
    pub fn last_stamp(&self) -> Stamp {
        self.last_stamp
    }

    /// Returns whether the first write after the takeover is committed and the ownership not lost.
    pub fn is_owned(&self) -> bool {
        !self.is_lost && self.committed > Stamp::ZERO
    }

    /// Returns whether the ownership has ended: the value was changed by another write, or the
    /// release is committed.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Releases the ownership with the next write, which is due after the minimum time between two
    /// writes. New submissions are refused from now on, and the ownership ends when the write is
    /// committed.
    pub fn release(&mut self) {
        if !self.is_releasing {
            self.is_releasing = true;
            self.last_stamp = self.last_stamp.next();
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns an upper bound for the size of the store value in bytes. It includes the space that
    /// open tasks may still need.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Returns the encoded store value with an empty list of records.
    pub(crate) fn encode_without_records(&self, seq: u64, released: bool) -> Vec<u8> {
        encode(&PartitionImage {
            epoch: self.epoch,
            owner: self.owner.clone(),
            writer: self.writer.clone(),
            seq,
            released,
            records: Vec::new(),
            unreadable: Vec::new(),
        })
    }

    /// Adds a record to the records, the index and the size.
    pub(crate) fn insert(&mut self, entry: RecordEntry) -> RecordKey {
        let hash = identity_hash(&entry.record.customer, &entry.record.key);
        self.size_bytes += entry.size_bytes;
        let key = self.records.insert(entry);
        self.index.entry(hash).or_default().push(key);
        key
    }

    /// Removes a record with its index entry and its long results.
    pub(crate) fn remove(&mut self, key: RecordKey) {
        let Some(entry) = self.records.remove(key) else {
            return;
        };
        self.size_bytes -= entry.size_bytes;
        if entry.record.tasks.iter().any(|task| task.truncated) {
            self.long_results.remove(key);
        }
        let hash = identity_hash(&entry.record.customer, &entry.record.key);
        if let Some(bucket) = self.index.get_mut(&hash) {
            bucket.retain(|other| *other != key);
            if bucket.is_empty() {
                self.index.remove(&hash);
            }
        }
    }
}
