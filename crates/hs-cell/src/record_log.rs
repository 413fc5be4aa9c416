//! Layout of job records in store items.
//!
//! A transaction takes few entries, and a slow store takes few transactions. A small batch is therefore
//! written as one item for each job, which is overwritten in place; rows that do not fit in the transaction
//! go into a segment, a single item with any number of rows. The last write of a job is the current one,
//! wherever it is. Segments without a current row are deleted, and the outcomes of jobs that ended in a
//! segment are written to the job items when transactions have free entries.
//!
//! A record that exceeds the size of a value is divided into chunks. They have items of their own, which are written before
//! the item of the record; that says which chunks belong to it. The numbers of the chunks alternate between two slots, so
//! that those of the last record stay as they are until the item names the new ones. Chunks that it does not name have no
//! meaning, and are deleted when transactions have free entries.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Range;

use crate::job_end::JobEnd;
use crate::segment::{RecordStamp, SegmentRow, SegmentState, StampedRecord};
use crate::{JobId, RecordRow};

/// Number of segments above which the jobs of the oldest ones are rewritten, so that these can be deleted.
const MAX_SEGMENTS: usize = 64;

/// Maximum number of chunks of a record, and distance between the two slots of their numbers.
pub const MAX_RECORD_CHUNKS: u32 = 400;

/// If not all rows fit in a transaction, outcomes may take at most its entries divided by this.
const OUTCOME_ENTRIES_DIVISOR: usize = 2;

/// Writes of one transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogWrites {
    /// Records to write to their own items.
    pub records: Vec<(JobId, StampedRecord)>,
    /// Jobs whose record items are deleted.
    pub dropped_records: Vec<JobId>,
    /// Outcomes to write to the job items.
    pub outcomes: Vec<(JobId, JobEnd)>,
    /// Segment to create.
    pub segment: Option<(RecordStamp, Vec<SegmentRow>)>,
    /// Segments to delete.
    pub dropped_segments: Vec<RecordStamp>,
    /// The one of `records` that is written in chunks.
    pub chunked: Option<ChunkedRecord>,
    /// Jobs and numbers of chunks to delete.
    pub dropped_chunks: Vec<(JobId, u32)>,
}

/// Record that is too large for its own item, and therefore written in chunks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChunkedRecord {
    /// Job of the record.
    pub job: JobId,
    /// Number of the first chunk. The others follow it.
    pub first: u32,
    /// Number of chunks, up to [`MAX_RECORD_CHUNKS`].
    pub chunks: u32,
}

/// Records of jobs as read from the store.
#[derive(Clone, Debug, Default)]
pub struct StoredRecords {
    /// Records that have their own items.
    pub records: BTreeMap<JobId, StampedRecord>,
    /// Segments, ordered by their stamps.
    pub segments: BTreeMap<RecordStamp, Vec<SegmentRow>>,
    /// Jobs with chunks in the store.
    pub chunks: BTreeMap<JobId, JobChunks>,
}

/// Numbers of the chunks of a job.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobChunks {
    /// Chunks that are or may be in the store.
    pub stored: BTreeSet<u32>,
    /// Chunks of the record of the job. The others have no meaning.
    pub used: Range<u32>,
}

/// Index of the store items that hold records.
#[derive(Clone, Debug, Default)]
pub struct RecordLog {
    /// Jobs that have a record item, whether it is current or not.
    items: BTreeSet<JobId>,
    /// Segment that holds the current row of a job.
    row_segments: BTreeMap<JobId, RecordStamp>,
    /// Jobs whose current rows are in a segment, by segment.
    segments: BTreeMap<RecordStamp, BTreeSet<JobId>>,
    /// Outcomes that are only in a segment, and have yet to be written to the job items.
    unwritten_outcomes: VecDeque<(JobId, JobEnd)>,
    /// Jobs with chunks in the store.
    chunks: BTreeMap<JobId, JobChunks>,
}

impl LogWrites {
    /// Returns the number of transaction entries that the writes take.
    pub fn entry_count(&self) -> usize {
        self.records.len()
            + self.dropped_records.len()
            + self.outcomes.len()
            + usize::from(self.segment.is_some())
            + self.dropped_segments.len()
            + self.dropped_chunks.len()
    }

    /// Returns the number of entries that the outcomes take, with the records that they replace.
    fn outcome_entry_count(&self) -> usize {
        self.outcomes.len() + self.dropped_records.len()
    }
}

impl ChunkedRecord {
    /// Returns the numbers of the chunks.
    pub fn numbers(&self) -> Range<u32> {
        self.first..self.first.saturating_add(self.chunks)
    }
}

impl JobChunks {
    /// Returns the chunks without a meaning.
    fn unused(&self) -> impl Iterator<Item = u32> {
        let numbers = self.stored.iter();
        numbers
            .copied()
            .filter(|number| !self.used.contains(number))
    }
}

impl RecordLog {
    /// Rebuilds the log from the store. Returns it with the current state of each job in it.
    pub fn restore(stored: StoredRecords) -> (Self, BTreeMap<JobId, SegmentState>) {
        let mut log = Self {
            chunks: stored.chunks,
            ..Self::default()
        };
        let mut stamps: BTreeMap<JobId, RecordStamp> = BTreeMap::new();
        let mut states: BTreeMap<JobId, SegmentState> = BTreeMap::new();
        for (job, stamped) in stored.records {
            log.items.insert(job);
            stamps.insert(job, stamped.stamp);
            states.insert(job, SegmentState::Progress(stamped.record));
        }
        for (stamp, rows) in stored.segments {
            log.segments.insert(stamp, BTreeSet::new());
            for row in rows {
                if stamps.get(&row.job).is_some_and(|known| *known >= stamp) {
                    continue;
                }
                stamps.insert(row.job, stamp);
                states.insert(row.job, row.state);
                log.set_current_row(row.job, stamp);
            }
        }
        let ended = states.iter().filter_map(|(job, state)| match state {
            SegmentState::Ended(end) => Some((*job, end.clone())),
            SegmentState::Progress(_) => None,
        });
        log.unwritten_outcomes = ended.collect();
        (log, states)
    }

    /// Drops a job from the index, since its job item is authoritative or deleted.
    pub fn forget_job(&mut self, job: JobId) {
        self.clear_current_row(job);
        self.unwritten_outcomes.retain(|(other, _)| *other != job);
        self.unuse_chunks(job);
    }

    /// Returns a record of this many chunks, with numbers that the last record of the job does not use.
    pub fn chunked_record(&self, job: JobId, chunks: u32) -> ChunkedRecord {
        let used = self.chunks.get(&job).map(|chunks| chunks.used.clone());
        let is_second_slot_free = used.is_some_and(|used| used.start < MAX_RECORD_CHUNKS);
        let first = match is_second_slot_free {
            true => MAX_RECORD_CHUNKS,
            false => 0,
        };
        ChunkedRecord { job, first, chunks }
    }

    /// Plans a transaction of at most `entries` entries: where rows are written, and what is cleaned up. All
    /// rows fit if there is at least one entry, or two if a row is `chunked`. The chunks have to be written before.
    pub fn plan(
        &mut self,
        stamp: RecordStamp,
        rows: &[RecordRow],
        chunked: Option<ChunkedRecord>,
        entries: usize,
    ) -> LogWrites {
        let mut writes = LogWrites {
            chunked,
            ..LogWrites::default()
        };
        let costs = rows.iter().map(|row| self.entry_cost(row));
        let fits = costs.sum::<usize>() <= entries;
        let free = entries.saturating_sub(usize::from(chunked.is_some()));
        let outcome_entries = free.saturating_sub(1) / OUTCOME_ENTRIES_DIVISOR;
        let is_chunked = |job: JobId| chunked.is_some_and(|chunked| chunked.job == job);
        let mut overflow = Vec::new();
        for row in rows {
            match row {
                RecordRow::Finished(job, end)
                    if fits
                        || writes.outcome_entry_count() + self.entry_cost(row)
                            <= outcome_entries =>
                {
                    self.add_outcome(&mut writes, *job, end.clone());
                }
                RecordRow::Progress(job, record) if fits || is_chunked(*job) => {
                    let record = record.clone();
                    writes.records.push((*job, StampedRecord { stamp, record }));
                }
                RecordRow::Progress(..) | RecordRow::Finished(..) => {
                    overflow.push(SegmentRow::from(row));
                }
            }
        }
        if !overflow.is_empty() {
            writes.segment = Some((stamp, overflow));
        }
        self.clean_up(&mut writes, entries);
        writes
    }

    /// Updates the index after writes were committed to the store.
    pub fn committed(&mut self, writes: LogWrites) {
        for (job, _) in writes.records {
            self.items.insert(job);
            self.clear_current_row(job);
            self.unuse_chunks(job);
        }
        if let Some(chunked) = writes.chunked {
            self.note_chunks(chunked);
            let chunks = self.chunks.entry(chunked.job).or_default();
            chunks.used = chunked.numbers();
        }
        for (job, number) in writes.dropped_chunks {
            if let Some(chunks) = self.chunks.get_mut(&job) {
                chunks.stored.remove(&number);
            }
        }
        self.chunks.retain(|_, chunks| !chunks.stored.is_empty());
        for job in writes.dropped_records {
            self.items.remove(&job);
            self.unuse_chunks(job);
        }
        for (job, _) in writes.outcomes {
            self.clear_current_row(job);
        }
        if let Some((stamp, rows)) = writes.segment {
            for row in rows {
                self.set_current_row(row.job, stamp);
                if let SegmentState::Ended(end) = row.state {
                    self.unwritten_outcomes.push_back((row.job, end));
                }
            }
        }
        for stamp in writes.dropped_segments {
            self.segments.remove(&stamp);
        }
    }

    /// Returns jobs whose records have to be rewritten so that the oldest segments can be deleted.
    pub fn jobs_to_rewrite(&self, limit: usize) -> Vec<JobId> {
        if self.segments.len() <= MAX_SEGMENTS {
            return Vec::new();
        }
        let oldest = self.segments.values().flatten();
        oldest.take(limit).copied().collect()
    }

    /// Returns the number of segments in the store.
    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }

    /// Returns whether outcomes have to be written to job items, or segments have to be deleted.
    pub fn needs_cleanup(&self) -> bool {
        !self.unwritten_outcomes.is_empty()
            || self.segments.values().any(BTreeSet::is_empty)
            || self
                .chunks
                .values()
                .any(|chunks| chunks.unused().next().is_some())
    }

    /// Undoes what planning has changed, after writes that were refused. Some of the chunks may have been written.
    pub fn refused(&mut self, writes: LogWrites) {
        if let Some(chunked) = writes.chunked {
            self.note_chunks(chunked);
        }
        for (job, end) in writes.outcomes {
            let is_listed = self
                .unwritten_outcomes
                .iter()
                .any(|(other, _)| *other == job);
            if self.row_segments.contains_key(&job) && !is_listed {
                self.unwritten_outcomes.push_back((job, end));
            }
        }
    }

    fn note_chunks(&mut self, chunked: ChunkedRecord) {
        let chunks = self.chunks.entry(chunked.job).or_default();
        chunks.stored.extend(chunked.numbers());
    }

    fn unuse_chunks(&mut self, job: JobId) {
        if let Some(chunks) = self.chunks.get_mut(&job) {
            chunks.used = 0..0;
        }
    }

    fn entry_cost(&self, row: &RecordRow) -> usize {
        match row {
            RecordRow::Progress(..) => 1,
            RecordRow::Finished(job, _) => 1 + usize::from(self.items.contains(job)),
        }
    }

    fn add_outcome(&self, writes: &mut LogWrites, job: JobId, end: JobEnd) {
        writes.outcomes.push((job, end));
        if self.items.contains(&job) {
            writes.dropped_records.push(job);
        }
    }

    fn clean_up(&mut self, writes: &mut LogWrites, entries: usize) {
        while let Some((job, end)) = self.unwritten_outcomes.front().cloned() {
            let cost = 1 + usize::from(self.items.contains(&job));
            if writes.entry_count() + cost > entries {
                break;
            }
            self.unwritten_outcomes.pop_front();
            // This transaction may already write the outcome of the job again.
            if !writes.outcomes.iter().any(|(other, _)| *other == job) {
                self.add_outcome(writes, job, end);
            }
        }
        let empty = self.segments.iter().filter(|(_, jobs)| jobs.is_empty());
        let free_entries = entries.saturating_sub(writes.entry_count());
        let empty = empty.map(|(stamp, _)| *stamp).take(free_entries);
        writes.dropped_segments = empty.collect();
        let free_entries = entries.saturating_sub(writes.entry_count());
        let is_written = |job: &JobId| writes.records.iter().any(|(other, _)| other == job);
        let unused = self.chunks.iter().filter(|(job, _)| !is_written(job));
        let unused =
            unused.flat_map(|(job, chunks)| chunks.unused().map(move |number| (*job, number)));
        writes.dropped_chunks = unused.take(free_entries).collect();
    }

    fn set_current_row(&mut self, job: JobId, stamp: RecordStamp) {
        self.clear_current_row(job);
        self.row_segments.insert(job, stamp);
        self.segments.entry(stamp).or_default().insert(job);
    }

    fn clear_current_row(&mut self, job: JobId) {
        if let Some(stamp) = self.row_segments.remove(&job)
            && let Some(jobs) = self.segments.get_mut(&stamp)
        {
            jobs.remove(&job);
        }
    }
}
