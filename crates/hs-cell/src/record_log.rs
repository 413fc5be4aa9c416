//! In which items of the store the records of jobs are kept.
//!
//! A transaction takes few entries, and a slow store few transactions. So a small batch is written as one
//! item for each job, which is overwritten in place; what does not fit in the transaction goes into a
//! segment, one item with any number of rows. The last write about a job counts, wherever it is. Segments
//! without a row that counts are deleted, and the outcomes of jobs that ended in a segment are written to
//! their items as entries become free.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

use crate::job_record::JobOutcome;
use crate::segment::{RecordStamp, SegmentRow, SegmentState, StampedRecord};
use crate::{JobId, RecordRow};

/// Segments beyond which the jobs of the oldest one are recorded anew, so that it can be deleted.
const MAX_SEGMENTS: usize = 64;

/// Share of a transaction's entries that outcomes may take when not everything fits.
const OUTCOME_SHARE: usize = 2;

/// What one transaction writes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogWrites {
    /// Records in items of their own.
    pub records: Vec<(JobId, StampedRecord)>,
    /// Records whose items are deleted.
    pub dropped_records: Vec<JobId>,
    /// Jobs whose items get their outcome.
    pub outcomes: Vec<(JobId, JobOutcome)>,
    /// A new segment.
    pub segment: Option<(RecordStamp, Vec<SegmentRow>)>,
    /// Segments that are deleted.
    pub dropped_segments: Vec<RecordStamp>,
}

/// What the store says of the progress of jobs.
#[derive(Clone, Debug, Default)]
pub struct StoredRecords {
    /// Records in items of their own.
    pub records: HashMap<JobId, StampedRecord>,
    /// Segments in the order of their stamps.
    pub segments: BTreeMap<RecordStamp, Vec<SegmentRow>>,
}

/// Items of the store that hold records.
#[derive(Clone, Debug, Default)]
pub struct RecordLog {
    /// Jobs with an item for their record, whether it counts or not.
    items: HashSet<JobId>,
    /// Segment that holds the row of a job that counts.
    holders: HashMap<JobId, RecordStamp>,
    /// Jobs whose rows in a segment count.
    segments: BTreeMap<RecordStamp, BTreeSet<JobId>>,
    /// Jobs whose outcome stands in a segment only.
    owed: VecDeque<(JobId, JobOutcome)>,
}

impl LogWrites {
    /// Returns the number of entries that the writes take in a transaction.
    pub fn entry_count(&self) -> usize {
        self.records.len()
            + self.dropped_records.len()
            + self.outcomes.len()
            + usize::from(self.segment.is_some())
            + self.dropped_segments.len()
    }
}

impl RecordLog {
    /// Rebuilds the log from the store. Returns it with the last state of each job that it holds.
    pub fn restore(stored: StoredRecords) -> (Self, HashMap<JobId, SegmentState>) {
        let mut log = Self::default();
        let mut stamps: HashMap<JobId, RecordStamp> = HashMap::new();
        let mut states: HashMap<JobId, SegmentState> = HashMap::new();
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
                log.hold(row.job, stamp);
            }
        }
        let ended = states.iter().filter_map(|(job, state)| match state {
            SegmentState::Ended(outcome) => Some((*job, *outcome)),
            SegmentState::Progress(_) => None,
        });
        log.owed = ended.collect();
        (log, states)
    }

    /// Forgets the rows of a job, whose own item says all.
    pub fn forget_job(&mut self, job: JobId) {
        self.release(job);
        self.owed.retain(|(owed, _)| *owed != job);
    }

    /// Chooses where rows are written, with at most `entries` entries of a transaction, and what else the
    /// transaction cleans up. A batch of rows always fits if there is one entry.
    pub fn plan(&mut self, stamp: RecordStamp, rows: &[RecordRow], entries: usize) -> LogWrites {
        let mut writes = LogWrites::default();
        let costs = rows.iter().map(|row| self.cost(row));
        let fits = costs.sum::<usize>() <= entries;
        let outcome_entries = entries.saturating_sub(1) / OUTCOME_SHARE;
        let mut overflow = Vec::new();
        for row in rows {
            match row {
                RecordRow::Finished(job, outcome)
                    if fits || writes.entry_count() + self.cost(row) <= outcome_entries =>
                {
                    self.end(&mut writes, *job, *outcome);
                }
                RecordRow::Progress(job, record) if fits => {
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

    /// Notes that writes are in the store.
    pub fn committed(&mut self, writes: LogWrites) {
        for (job, _) in writes.records {
            self.items.insert(job);
            self.release(job);
        }
        for job in writes.dropped_records {
            self.items.remove(&job);
        }
        for (job, _) in writes.outcomes {
            self.release(job);
        }
        if let Some((stamp, rows)) = writes.segment {
            for row in rows {
                self.hold(row.job, stamp);
                if let SegmentState::Ended(outcome) = row.state {
                    self.owed.push_back((row.job, outcome));
                }
            }
        }
        for stamp in writes.dropped_segments {
            self.segments.remove(&stamp);
        }
    }

    /// Returns jobs that have to be recorded anew so that old segments can be deleted.
    pub fn jobs_to_rewrite(&self, limit: usize) -> Vec<JobId> {
        if self.segments.len() <= MAX_SEGMENTS {
            return Vec::new();
        }
        let oldest = self.segments.values().flatten();
        oldest.take(limit).copied().collect()
    }

    /// Returns the number of segments.
    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }

    /// Returns whether there is something to clean up.
    pub fn needs_cleanup(&self) -> bool {
        !self.owed.is_empty() || self.segments.values().any(BTreeSet::is_empty)
    }

    fn cost(&self, row: &RecordRow) -> usize {
        match row {
            RecordRow::Progress(..) => 1,
            RecordRow::Finished(job, _) => 1 + usize::from(self.items.contains(job)),
        }
    }

    fn end(&self, writes: &mut LogWrites, job: JobId, outcome: JobOutcome) {
        writes.outcomes.push((job, outcome));
        if self.items.contains(&job) {
            writes.dropped_records.push(job);
        }
    }

    fn clean_up(&mut self, writes: &mut LogWrites, entries: usize) {
        while let Some((job, outcome)) = self.owed.front().copied() {
            let cost = 1 + usize::from(self.items.contains(&job));
            if writes.entry_count() + cost > entries {
                break;
            }
            self.owed.pop_front();
            // The job may have been written as ended again in this transaction.
            if !writes.outcomes.iter().any(|(other, _)| *other == job) {
                self.end(writes, job, outcome);
            }
        }
        let dead = self.segments.iter().filter(|(_, jobs)| jobs.is_empty());
        let room = entries.saturating_sub(writes.entry_count());
        let dead = dead.map(|(stamp, _)| *stamp).take(room);
        writes.dropped_segments = dead.collect();
    }

    fn hold(&mut self, job: JobId, stamp: RecordStamp) {
        self.release(job);
        self.holders.insert(job, stamp);
        self.segments.entry(stamp).or_default().insert(job);
    }

    fn release(&mut self, job: JobId) {
        if let Some(stamp) = self.holders.remove(&job)
            && let Some(jobs) = self.segments.get_mut(&stamp)
        {
            jobs.remove(&job);
        }
    }
}
