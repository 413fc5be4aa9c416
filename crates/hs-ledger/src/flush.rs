//! Writes of a partition to the store.

use std::time::{Duration, Instant};

use crate::image::{RECORDS_END, close_records};
use crate::write_state::{PendingWrite, WriteState};
use crate::{FlushOutcome, LedgerPartition, PartitionImage, ReadBackOutcome, RecordKey};

/// Interval between the starts of writes when no change is waiting. Such a write is a heartbeat:
/// the owner must write once a second, and the difference is a margin for late timers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(900);

/// Age of the last confirmed write below which no candidate can have taken over. The first
/// candidate takes over after 3 s without a write.
const MAX_CONFIRMED_WRITE_AGE: Duration = Duration::from_millis(2500);

/// Maximum delay before a failed write is retried.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Write to the store that the caller has to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerFlush {
    /// Encoded store value.
    pub body: Vec<u8>,
    /// Store revision that the current value must have; zero if no value may exist.
    pub if_revision: u64,
    /// Sequence number that the value contains.
    pub seq: u64,
}

impl LedgerPartition {
    /// Starts the write that is due. Records whose retention is over are dropped first.
    ///
    /// Returns `None` if no write is due, a write is in flight, the value must be read back first,
    /// or the ownership is lost.
    ///
    /// # Panics
    ///
    /// Panics if the value cannot be encoded, which its types exclude.
    pub fn begin_flush(&mut self, now: Instant, now_ms: u64) -> Option<LedgerFlush> {
        if self.next_flush(now)? > now {
            return None;
        }
        self.drop_expired(now_ms);
        self.seq += 1;
        let write = PendingWrite {
            seq: self.seq,
            stamp: self.last_stamp,
            started_at: now,
            released: self.is_releasing,
        };
        self.write_state = WriteState::InFlight(write);
        self.last_write_start = Some(now);
        Some(LedgerFlush {
            body: self.encode_value(),
            if_revision: self.revision,
            seq: self.seq,
        })
    }

    /// Handles the outcome of the write that [`Self::begin_flush`] started.
    pub fn end_flush(&mut self, outcome: FlushOutcome, now: Instant) {
        let WriteState::InFlight(write) = self.write_state else {
            return;
        };
        match outcome {
            FlushOutcome::Written { revision } => self.confirm_write(write, revision),
            FlushOutcome::Conflict => self.lose_ownership(),
            FlushOutcome::NotSent => self.schedule_retry(now),
            FlushOutcome::Unknown => self.write_state = WriteState::OutcomeUnknown(write),
        }
    }

    /// Returns whether the store value must be read and passed to [`Self::read_back`] before the
    /// next write.
    pub fn needs_read_back(&self) -> bool {
        matches!(self.write_state, WriteState::OutcomeUnknown(_))
    }

    /// Determines the outcome of a write whose outcome is unknown. `found` is the revision and
    /// value that the store holds now, or `None` if it holds none.
    ///
    /// A delayed write may take effect after the result [`ReadBackOutcome::NotWritten`]. The next
    /// write then ends with a conflict, and the ownership is lost.
    pub fn read_back(
        &mut self,
        found: Option<(u64, PartitionImage)>,
        now: Instant,
    ) -> ReadBackOutcome {
        let WriteState::OutcomeUnknown(write) = self.write_state else {
            return match self.is_lost {
                true => ReadBackOutcome::Lost,
                false => ReadBackOutcome::NotWritten,
            };
        };
        let revision = found.as_ref().map_or(0, |(revision, _)| *revision);
        match found {
            Some((_, image)) if image.writer == self.writer && image.seq == write.seq => {
                self.confirm_write(write, revision);
                ReadBackOutcome::Written
            }
            _ if revision == self.revision => {
                self.schedule_retry(now);
                ReadBackOutcome::NotWritten
            }
            _ => {
                self.lose_ownership();
                ReadBackOutcome::Lost
            }
        }
    }

    /// Returns the earliest time at which [`Self::begin_flush`] starts a write. Returns `None`
    /// while a write is in flight or its outcome unknown, and once the ownership is lost.
    pub fn next_flush(&self, now: Instant) -> Option<Instant> {
        if self.is_lost || !matches!(self.write_state, WriteState::Idle) {
            return None;
        }
        let interval = self.options.flush_interval();
        let min_interval = match self.last_stamp > self.committed {
            true => interval,
            false => interval.max(HEARTBEAT_INTERVAL),
        };
        let due = self
            .last_write_start
            .map_or(now, |started_at| started_at + min_interval);
        Some(due.max(self.retry_at.unwrap_or(due)).max(now))
    }

    /// Returns whether no other process can own the partition now, since the last confirmed write
    /// started less than 2.5 s ago. It is false once the release of the ownership was requested.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let is_fresh = |started_at: Instant| {
            now.saturating_duration_since(started_at) < MAX_CONFIRMED_WRITE_AGE
        };
        !self.is_lost && !self.is_releasing && self.last_confirmed_start.is_some_and(is_fresh)
    }

    fn confirm_write(&mut self, write: PendingWrite, revision: u64) {
        self.write_state = WriteState::Idle;
        self.revision = revision;
        self.committed = write.stamp;
        self.last_confirmed_start = Some(write.started_at);
        self.retry_at = None;
        self.backoff = Duration::ZERO;
        self.is_lost |= write.released;
    }

    fn lose_ownership(&mut self) {
        self.write_state = WriteState::Idle;
        self.is_lost = true;
    }

    /// Schedules the retry of a failed write. The backoff doubles with each consecutive failure.
    fn schedule_retry(&mut self, now: Instant) {
        let min_backoff = self.options.flush_interval();
        self.write_state = WriteState::Idle;
        self.backoff = (self.backoff * 2).clamp(min_backoff.min(MAX_BACKOFF), MAX_BACKOFF);
        self.retry_at = Some(now + self.backoff);
    }

    /// Drops records whose retention is over. A record with an uncommitted change is kept, since it
    /// may have been answered while the store was down.
    fn drop_expired(&mut self, now_ms: u64) {
        let expired = self.records.iter().filter(|(_, entry)| {
            let record = &entry.record;
            let age_ms = now_ms.saturating_sub(record.ended_ms);
            record.ended_ms > 0
                && entry.stamp <= self.committed
                && age_ms > self.options.retention_ms_of(record.outcome())
        });
        let expired: Vec<RecordKey> = expired.map(|(key, _)| key).collect();
        for key in expired {
            self.remove(key);
        }
    }

    /// Returns the same bytes as the encoding of a [`PartitionImage`] with all records.
    fn encode_value(&self) -> Vec<u8> {
        let mut body = Vec::with_capacity(self.size_bytes);
        let empty = self.encode_without_records(self.seq, self.is_releasing);
        let start = empty.strip_suffix(RECORDS_END);
        body.extend_from_slice(start.expect("the records are the last field"));
        for (index, entry) in self.records.values().enumerate() {
            if index > 0 {
                body.push(b',');
            }
            body.extend_from_slice(&entry.encoded);
        }
        close_records(&mut body, !self.records.is_empty(), &self.unreadable);
        body
    }
}
