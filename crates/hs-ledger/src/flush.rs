//! Writes of a partition to the store.

use std::time::{Duration, Instant};

use crate::writing::{Flight, Writing};
use crate::{FlushOutcome, LedgerPartition, PartitionImage, ReadBackOutcome, RecordKey};

/// Longest time between the starts of two writes. The owner has to write once a second; the rest is
/// a margin for late timers.
const HEARTBEAT: Duration = Duration::from_millis(900);

/// Age of the last confirmed write up to which no candidate can have taken over. The first candidate
/// waits for 3 s without a write.
const FRESH: Duration = Duration::from_millis(2500);

/// Longest wait between two tries of a write.
const LONGEST_BACK_OFF: Duration = Duration::from_secs(1);

/// End of an encoded value without records.
const FRAME_END: &[u8] = b"]}";

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

impl LedgerPartition {
    /// Starts the write that is due, or returns `None` if none is due, one is under way, a value has
    /// to be read back first, or the ownership is lost. Drops expired records before the write.
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
        let flight = Flight {
            seq: self.seq,
            stamp: self.last,
            began: now,
            released: self.releasing,
        };
        self.writing = Writing::Flying(flight);
        self.began = Some(now);
        Some(LedgerFlush {
            body: self.encode(),
            if_revision: self.revision,
            seq: self.seq,
        })
    }

    /// Ends the write that [`Self::begin_flush`] started.
    pub fn end_flush(&mut self, end: FlushOutcome, now: Instant) {
        let Writing::Flying(flight) = self.writing else {
            return;
        };
        match end {
            FlushOutcome::Written { revision } => self.confirm(flight, revision),
            FlushOutcome::Conflict => self.lose(),
            FlushOutcome::NotSent => self.wait(now),
            FlushOutcome::Unknown => self.writing = Writing::Doubtful(flight),
        }
    }

    /// Returns whether the store's value has to be read and passed to [`Self::read_back`] before
    /// anything else is written.
    pub fn needs_read_back(&self) -> bool {
        matches!(self.writing, Writing::Doubtful(_))
    }

    /// Decides a write whose end is unknown from the revision and value that the store holds now,
    /// or `None` if it holds none.
    ///
    /// A write that is found not to have taken effect may still do so later. The next write then
    /// ends with a conflict, and the ownership is lost.
    pub fn read_back(
        &mut self,
        found: Option<(u64, PartitionImage)>,
        now: Instant,
    ) -> ReadBackOutcome {
        let Writing::Doubtful(flight) = self.writing else {
            return match self.lost {
                true => ReadBackOutcome::Lost,
                false => ReadBackOutcome::NotWritten,
            };
        };
        let revision = found.as_ref().map_or(0, |(revision, _)| *revision);
        match found {
            Some((_, image)) if image.writer == self.writer && image.seq == flight.seq => {
                self.confirm(flight, revision);
                ReadBackOutcome::Written
            }
            _ if revision == self.revision => {
                self.wait(now);
                ReadBackOutcome::NotWritten
            }
            _ => {
                self.lose();
                ReadBackOutcome::Lost
            }
        }
    }

    /// Returns the earliest time at which [`Self::begin_flush`] has something to write, or `None`
    /// while a write is under way or undecided, and once the ownership is lost.
    pub fn next_flush(&self, now: Instant) -> Option<Instant> {
        if self.lost || !matches!(self.writing, Writing::Idle) {
            return None;
        }
        let interval = self.options.flush_interval();
        let pause = match self.last > self.committed {
            true => interval,
            false => interval.max(HEARTBEAT),
        };
        let due = self.began.map_or(now, |began| began + pause);
        Some(due.max(self.retry_at.unwrap_or(due)).max(now))
    }

    /// Returns whether no other process can own the partition now: the last confirmed write began
    /// less than 2.5 s ago.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let fresh = |began: Instant| now.saturating_duration_since(began) < FRESH;
        !self.lost && !self.releasing && self.confirmed.is_some_and(fresh)
    }

    fn confirm(&mut self, flight: Flight, revision: u64) {
        self.writing = Writing::Idle;
        self.revision = revision;
        self.committed = flight.stamp;
        self.confirmed = Some(flight.began);
        self.retry_at = None;
        self.back_off = Duration::ZERO;
        self.lost |= flight.released;
    }

    fn lose(&mut self) {
        self.writing = Writing::Idle;
        self.lost = true;
    }

    /// Makes the next write wait, longer with each failure in a row.
    fn wait(&mut self, now: Instant) {
        let shortest = self.options.flush_interval();
        self.writing = Writing::Idle;
        self.back_off = (self.back_off * 2).clamp(shortest.min(LONGEST_BACK_OFF), LONGEST_BACK_OFF);
        self.retry_at = Some(now + self.back_off);
    }

    /// Drops records whose retention is over. A record with an uncommitted change stays, since it
    /// may have been answered while the store was down.
    fn drop_expired(&mut self, now_ms: u64) {
        let expired = self.records.iter().filter(|(_, entry)| {
            let record = &entry.record;
            let age_ms = now_ms.saturating_sub(record.ended_ms);
            record.ended_ms > 0
                && entry.last <= self.committed
                && age_ms > self.options.retention_of(record.outcome())
        });
        let expired: Vec<RecordKey> = expired.map(|(key, _)| key).collect();
        for key in expired {
            self.remove(key);
        }
    }

    /// Encodes like a [`PartitionImage`] with all records.
    fn encode(&self) -> Vec<u8> {
        let mut body = Vec::with_capacity(self.bytes);
        let frame = self.frame(self.seq, self.releasing);
        let start = frame.strip_suffix(FRAME_END);
        body.extend_from_slice(start.expect("the records are the last field"));
        for (index, entry) in self.records.values().enumerate() {
            if index > 0 {
                body.push(b',');
            }
            body.extend_from_slice(&entry.encoded);
        }
        body.extend_from_slice(FRAME_END);
        body
    }
}
