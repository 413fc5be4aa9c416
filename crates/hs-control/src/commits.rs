//! Plans the contents of the owner's transactions, which are written to the store one at a time.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hs_event::EventCode;

use hs_cell::{
    BatchLimits, Cell, CellBatch, CellOptions, JobId, LogWrites, RecordLog, RecordRow, RecordStamp,
};

use crate::keys;
use crate::large_record::{LargeRecord, RecordLimits};
use crate::recover::JobValue;

/// Entries of a transaction that remain beside the claim, which takes two of the store's 32.
const MAX_TXN_ENTRIES: usize = 30;

/// Maximum number of jobs whose changes go into one transaction.
const MAX_BATCH_JOBS: usize = 256;

/// Maximum number of tasks whose changes go into one transaction. Each takes about 40 bytes.
const MAX_BATCH_TASKS: usize = 6000;

/// Maximum number of jobs that are rewritten in one transaction so that old segments can be deleted.
const MAX_REWRITTEN_JOBS: usize = 16;

/// Maximum number of expired jobs that are deleted in one transaction; each takes two entries.
const MAX_DELETED_JOBS: usize = 10;

/// Interval at which expired jobs are looked for, unless the last look found more than a transaction takes. Without a
/// limit each event of an idle cell would cause a transaction of its own for a few of them.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Contents of a transaction of the owner, except for the claim.
#[derive(Debug, Default)]
pub(crate) struct OwnerWrites {
    pub batch: CellBatch,
    pub log: LogWrites,
    /// Chunks to write before the transaction.
    pub chunks: Vec<(String, Vec<u8>)>,
    pub writes: Vec<(String, Vec<u8>)>,
    pub deletes: Vec<String>,
    /// Record of the batch that is written in chunks.
    large_record: Option<LargeRecord>,
}

/// Writes that the store has refused for good.
#[derive(Debug)]
pub(crate) struct RefusedWrites {
    pub batch: CellBatch,
    pub log: LogWrites,
    pub cause: String,
    /// Whether the store has accepted the claim alone at once after that, so that the writes are what it refuses.
    pub is_conclusive: bool,
}

impl OwnerWrites {
    /// Returns whether there is nothing to write.
    pub(crate) fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.deletes.is_empty()
    }
}

/// Chooses the contents of the next transaction.
#[derive(Debug)]
pub(crate) struct CommitPlanner {
    pub log: RecordLog,
    /// Stamp of the last planned transaction.
    last_stamp: RecordStamp,
    /// Applied cancellations whose items are not deleted yet.
    cancelled: BTreeSet<JobId>,
    /// Time before which the jobs are not searched for expired ones.
    next_expiry_check: Option<Instant>,
    limits: RecordLimits,
    /// Number of the next batches that have one row each, since one with all of them was refused.
    single_rows: usize,
    /// Job whose row was the last one that was refused by itself.
    refused_job: Option<JobId>,
}

impl CommitPlanner {
    /// Creates a planner for the owner with this fencing token.
    pub(crate) fn new(fence: u64, options: &CellOptions) -> Self {
        Self {
            log: RecordLog::default(),
            last_stamp: RecordStamp { fence, sequence: 0 },
            cancelled: BTreeSet::new(),
            next_expiry_check: None,
            limits: RecordLimits::new(options.max_value_bytes),
            single_rows: 0,
            refused_job: None,
        }
    }

    /// Notes that a cancellation has been applied. Its item can be deleted, because the job will be
    /// recorded as cancelled.
    pub(crate) fn note_cancelled(&mut self, id: JobId) {
        self.cancelled.insert(id);
    }

    /// Plans a transaction with the next changes of the cell. If there are none, it deletes items that
    /// are no longer needed.
    pub(crate) fn plan(&mut self, cell: &mut Cell, now: Instant) -> OwnerWrites {
        self.last_stamp.sequence += 1;
        let stamp = self.last_stamp;
        cell.rerecord_jobs(&self.log.jobs_to_rewrite(MAX_REWRITTEN_JOBS));
        let is_single = self.single_rows > 0;
        let (batch, large_record) = self.take_storable_batch(cell, stamp);
        let entries = match (is_single, batch.rows.as_slice()) {
            // Nothing else is written, so that a refusal is that of the row.
            (true, [RecordRow::Progress(..)]) => 1,
            _ => MAX_TXN_ENTRIES,
        };
        let chunked = large_record
            .as_ref()
            .map(|large| self.log.chunked_record(large.job, large.chunk_count()));
        let log = self.log.plan(stamp, &batch.rows, chunked, entries);
        let mut planned = OwnerWrites {
            batch,
            log,
            large_record,
            ..OwnerWrites::default()
        };
        planned.add_log_writes(&self.limits);
        if planned.batch.is_empty() {
            self.delete_expired(&mut planned, cell, now);
        }
        planned
    }

    /// Takes the next batch. Jobs whose records have too many chunks fail.
    fn take_storable_batch(
        &mut self,
        cell: &mut Cell,
        stamp: RecordStamp,
    ) -> (CellBatch, Option<LargeRecord>) {
        let rows = match self.single_rows {
            0 => MAX_BATCH_JOBS,
            _ => 1,
        };
        self.single_rows = self.single_rows.saturating_sub(1);
        loop {
            let batch = cell.take_batch_within(BatchLimits {
                rows,
                tasks: MAX_BATCH_TASKS,
                bytes: self.limits.max_row_bytes,
            });
            let large_record = LargeRecord::in_batch(&batch, stamp, &self.limits);
            let Some(oversized) = large_record.as_ref().filter(|r| !r.is_storable()) else {
                return (batch, large_record);
            };
            let (job, bytes) = (oversized.job, oversized.len());
            EventCode::RecordRefused.log(format_args!(
                "job={job} cause=\"the record has {bytes} bytes\""
            ));
            cell.return_batch(batch);
            cell.fail_unstorable(job);
        }
    }

    /// Takes writes back that the store has refused although it accepts the claim. Their rows are tried one by one, and
    /// a job whose row is refused by itself two times in a row fails. Returns that job.
    pub(crate) fn take_back(&mut self, refused: RefusedWrites, cell: &mut Cell) -> Option<JobId> {
        self.log.refused(refused.log);
        let jobs: Vec<JobId> = refused.batch.rows.iter().map(RecordRow::job).collect();
        let is_end = refused.batch.finished().next().is_some();
        cell.return_batch(refused.batch);
        self.single_rows = jobs.len();
        let single = match jobs.as_slice() {
            [job] if !is_end && refused.is_conclusive => Some(*job),
            _ => None,
        };
        let earlier = std::mem::replace(&mut self.refused_job, single);
        let failed = single.filter(|job| earlier == Some(*job))?;
        cell.fail_unstorable(failed);
        Some(failed)
    }

    fn delete_expired(&mut self, planned: &mut OwnerWrites, cell: &mut Cell, now: Instant) {
        let free_entries =
            |planned: &OwnerWrites| MAX_TXN_ENTRIES - planned.writes.len() - planned.deletes.len();
        if self.next_expiry_check.is_none_or(|at| now >= at) {
            let limit = MAX_DELETED_JOBS.min(free_entries(planned) / 2);
            let expired = cell.take_expired_jobs(now, limit);
            if expired.len() < limit {
                self.next_expiry_check = Some(now + EXPIRY_CHECK_INTERVAL);
            }
            for id in expired {
                self.log.forget_job(id);
                planned.deletes.extend([keys::job(id), keys::cancel(id)]);
            }
            let expired = cell.take_expired_cancellations(now, free_entries(planned));
            planned
                .deletes
                .extend(expired.into_iter().map(keys::cancel));
        }
        while free_entries(planned) > 0
            && let Some(id) = self.cancelled.pop_first()
        {
            planned.deletes.push(keys::cancel(id));
        }
    }
}

impl OwnerWrites {
    fn add_log_writes(&mut self, limits: &RecordLimits) {
        for (id, record) in &self.log.records {
            let chunked = self.log.chunked.filter(|chunked| chunked.job == *id);
            match (self.large_record.take_if(|large| large.job == *id), chunked) {
                (Some(large), Some(chunked)) => {
                    let items = large.into_items(chunked, limits);
                    self.chunks = items.chunks;
                    self.writes.push(items.record);
                }
                _ => push_json(&mut self.writes, keys::progress(*id), record),
            }
        }
        for (id, end) in &self.log.outcomes {
            let value: JobValue = JobValue::Ended(end.clone());
            push_json(&mut self.writes, keys::job(*id), &value);
        }
        if let Some((stamp, rows)) = &self.log.segment {
            push_json(&mut self.writes, keys::segment(*stamp), rows);
        }
        let records = self
            .log
            .dropped_records
            .iter()
            .map(|id| keys::progress(*id));
        let segments = &self.log.dropped_segments;
        let segments = segments.iter().map(|stamp| keys::segment(*stamp));
        let chunks = &self.log.dropped_chunks;
        let chunks = chunks.iter().map(|(id, number)| keys::chunk(*id, *number));
        self.deletes.extend(records.chain(segments).chain(chunks));
    }
}

fn push_json<T: serde::Serialize>(writes: &mut Vec<(String, Vec<u8>)>, key: String, value: &T) {
    match serde_json::to_vec(value) {
        Ok(value) => writes.push((key, value)),
        Err(error) => EventCode::RecordUnwritable.log(format_args!("key={key} cause=\"{error}\"")),
    }
}
