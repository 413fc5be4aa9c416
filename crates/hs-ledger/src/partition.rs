//! The owner's view of a partition.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;

use crate::hash::name_hash;
use crate::long_results::LongResults;
use crate::size::{encode, record_bytes};
use crate::writing::Writing;
use crate::{LedgerOptions, LedgerOwner, LedgerRecord, OwnerAddress, PartitionImage, Stamp};

new_key_type! {
    /// Names a record of a [`LedgerPartition`].
    pub struct RecordKey;
}

/// A record with what the store value does not contain.
#[derive(Debug)]
pub(crate) struct RecordEntry {
    pub record: LedgerRecord,
    /// Stamp of the last change.
    pub last: Stamp,
    /// The record in the store value. It is encoded once per change, since each write repeats all
    /// records.
    pub encoded: Vec<u8>,
    /// Result of [`record_bytes`].
    pub bytes: usize,
}

impl RecordEntry {
    /// Builds the entry of a record that was changed last at `stamp`.
    pub fn new(record: LedgerRecord, stamp: Stamp) -> Self {
        let encoded = encode(&record);
        Self {
            bytes: record_bytes(&record, &encoded),
            record,
            last: stamp,
            encoded,
        }
    }

    /// Notes that the record was changed at `stamp`.
    pub fn update(&mut self, stamp: Stamp) {
        self.last = stamp;
        self.encoded = encode(&self.record);
        self.bytes = record_bytes(&self.record, &self.encoded);
    }
}

/// The owner's view of a partition.
#[derive(Debug)]
pub struct LedgerPartition {
    pub(crate) options: LedgerOptions,
    pub(crate) epoch: u64,
    pub(crate) owner: OwnerAddress,
    pub(crate) writer: String,
    /// Store revision of the last value that is known to be this owner's, or of the value that was
    /// taken over.
    pub(crate) revision: u64,
    pub(crate) seq: u64,
    pub(crate) records: SlotMap<RecordKey, RecordEntry>,
    /// Records by [`name_hash`].
    pub(crate) index: HashMap<u64, SmallVec<[RecordKey; 1]>>,
    pub(crate) bytes: usize,
    pub(crate) long_results: LongResults,
    /// Stamp of the last change.
    pub(crate) last: Stamp,
    /// Last change that is in the store.
    pub(crate) committed: Stamp,
    pub(crate) writing: Writing,
    /// When the last write was handed out.
    pub(crate) began: Option<Instant>,
    /// When the last confirmed write was handed out.
    pub(crate) confirmed: Option<Instant>,
    /// Time before which a failed write is not tried again.
    pub(crate) retry_at: Option<Instant>,
    /// Wait after the next failed write; zero after a success.
    pub(crate) back_off: Duration,
    pub(crate) releasing: bool,
    pub(crate) lost: bool,
}

impl LedgerPartition {
    /// Takes a partition over from the value that the store holds at `revision`, or creates it if the
    /// store holds none (`revision` zero).
    ///
    /// The epoch rises by one. The first flush is due at once; nothing may be promised before it is
    /// committed.
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
            bytes: 0,
            long_results: LongResults::default(),
            // The takeover is the first change. Every record that is taken over gets its stamp, so
            // that replies wait for the first flush.
            last: Stamp::ZERO.next(),
            committed: Stamp::ZERO,
            writing: Writing::Idle,
            began: None,
            confirmed: None,
            retry_at: None,
            back_off: Duration::ZERO,
            releasing: false,
            lost: false,
        };
        partition.bytes = partition.frame(u64::MAX, true).len();
        for record in image.records {
            partition.insert(RecordEntry::new(record, partition.last));
        }
        partition
    }

    /// Replaces the settings. They are the defaults after a takeover.
    pub fn set_options(&mut self, options: LedgerOptions) {
        self.options = options;
    }

    /// Returns the epoch of this takeover.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the stamp up to which all changes are in the store.
    pub fn committed(&self) -> Stamp {
        self.committed
    }

    /// Returns the stamp of the last change.
    pub fn last_stamp(&self) -> Stamp {
        self.last
    }

    /// Returns whether the first write of the takeover is committed and the ownership not lost.
    pub fn is_owned(&self) -> bool {
        !self.lost && self.committed > Stamp::ZERO
    }

    /// Returns whether another owner has taken over, or the release is committed.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Gives the partition up with the next write, which is due at once but for the pacing of writes.
    /// New submissions are refused from now on, and the ownership ends when the write is committed.
    pub fn release(&mut self) {
        if !self.releasing {
            self.releasing = true;
            self.last = self.last.next();
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

    /// Returns an upper bound of the size of the store value in bytes, with the room that open tasks
    /// may still take.
    pub fn size(&self) -> usize {
        self.bytes
    }

    /// Returns the encoded value without records.
    pub(crate) fn frame(&self, seq: u64, released: bool) -> Vec<u8> {
        encode(&PartitionImage {
            epoch: self.epoch,
            owner: self.owner.clone(),
            writer: self.writer.clone(),
            seq,
            released,
            records: Vec::new(),
        })
    }

    /// Adds a record.
    pub(crate) fn insert(&mut self, entry: RecordEntry) -> RecordKey {
        let hash = name_hash(&entry.record.customer, &entry.record.key);
        self.bytes += entry.bytes;
        let key = self.records.insert(entry);
        self.index.entry(hash).or_default().push(key);
        key
    }

    /// Drops a record.
    pub(crate) fn remove(&mut self, key: RecordKey) {
        let Some(entry) = self.records.remove(key) else {
            return;
        };
        self.bytes -= entry.bytes;
        if entry.record.tasks.iter().any(|task| task.truncated) {
            self.long_results.release(key);
        }
        let hash = name_hash(&entry.record.customer, &entry.record.key);
        if let Some(bucket) = self.index.get_mut(&hash) {
            bucket.retain(|other| *other != key);
            if bucket.is_empty() {
                self.index.remove(&hash);
            }
        }
    }
}
