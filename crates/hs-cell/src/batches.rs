//! Batches of changes that the owner writes to the store.

use std::time::Instant;

use crate::JobId;
use crate::cell::Cell;
use crate::dirty_jobs::RecordUrgency;
use crate::effect::{CellBatch, CellEffect, RecordRow};
use crate::job_record::JobOutcome;

/// Share of the rows of a batch that starts may take while other changes wait.
const START_ROWS_SHARE: f64 = 0.75;

/// Share of the rows of a batch that starts, ends and outcomes may take while other changes wait.
const URGENT_ROWS_SHARE: f64 = 0.9;

/// What fits into a batch. It ends with the row that reaches a limit.
#[derive(Clone, Copy, Debug)]
pub struct BatchLimits {
    /// Number of rows.
    pub rows: usize,
    /// Number of tasks that the rows list.
    pub tasks: usize,
    /// Upper bound of the bytes that the rows take in the store.
    pub bytes: usize,
}

impl BatchLimits {
    fn part(self, share: f64) -> Self {
        let part = |limit: usize| (limit as f64 * share).ceil() as usize;
        Self {
            rows: part(self.rows),
            tasks: part(self.tasks),
            bytes: part(self.bytes),
        }
    }
}

impl Cell {
    /// Adds jobs to the next batches although they have not changed, so that their records are rewritten.
    pub fn rerecord_jobs(&mut self, ids: &[JobId]) {
        for id in ids {
            self.mark_dirty(*id);
        }
    }

    /// Takes the next batch of changes, which ends after `max_jobs` rows or once its rows list at least
    /// `max_tasks` tasks. See [`Cell::take_batch_within`].
    pub fn take_batch(&mut self, max_jobs: usize, max_tasks: usize) -> CellBatch {
        self.take_batch_within(BatchLimits {
            rows: max_jobs,
            tasks: max_tasks,
            bytes: usize::MAX,
        })
    }

    /// Takes the next batch of changes.
    ///
    /// Jobs whose starts wait for the batch come first, then those with ends or an outcome. Some rows are left to
    /// the others, so that each change is recorded at some time.
    ///
    /// A row that fills a batch by itself leaves the next one to the other jobs, since a job of many tasks changes all the
    /// time.
    pub fn take_batch_within(&mut self, all: BatchLimits) -> CellBatch {
        let deferred = self.dirty_jobs.defer_filling();
        let mut batch = self.take_rows(all);
        self.dirty_jobs.restore(deferred);
        if batch.is_empty() {
            batch = self.take_rows(all);
        }
        for row in &batch.rows {
            let is_large = row.task_count() >= all.tasks || row.max_bytes() >= all.bytes;
            // The end of a job is its last row.
            let is_filling = is_large && matches!(row, RecordRow::Progress(..));
            self.dirty_jobs.record_row(row.job(), is_filling);
        }
        batch
    }

    fn take_rows(&mut self, all: BatchLimits) -> CellBatch {
        let mut batch = CellBatch::default();
        let start_limits = all.part(START_ROWS_SHARE);
        let urgent_limits = all.part(URGENT_ROWS_SHARE);
        self.add_rows(&mut batch, RecordUrgency::Start, start_limits);
        self.add_rows(&mut batch, RecordUrgency::End, urgent_limits);
        self.add_rows(&mut batch, RecordUrgency::Update, all);
        self.add_rows(&mut batch, RecordUrgency::Start, all);
        self.add_rows(&mut batch, RecordUrgency::End, all);
        batch
    }

    /// Adds rows of jobs until the batch reaches the limits.
    fn add_rows(&mut self, batch: &mut CellBatch, urgency: RecordUrgency, limits: BatchLimits) {
        let mut task_count: usize = batch.rows.iter().map(RecordRow::task_count).sum();
        let mut bytes: usize = batch.rows.iter().map(RecordRow::max_bytes).sum();
        while batch.rows.len() < limits.rows
            && task_count < limits.tasks
            && bytes < limits.bytes
            && let Some(id) = self.dirty_jobs.take(urgency)
        {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.dirty_place = None;
            batch.starts.append(&mut job.pending_starts);
            let ends = std::mem::take(&mut job.pending_ends);
            let ends = ends.into_iter().map(|(key, number)| (id, key, number));
            batch.ends.extend(ends);
            let row = match job.outcome {
                Some(outcome) => RecordRow::Finished(id, self.job_end(id, outcome)),
                None => RecordRow::Progress(id, self.job_record(id)),
            };
            task_count += row.task_count();
            bytes = bytes.saturating_add(row.max_bytes());
            batch.rows.push(row);
        }
    }

    /// Takes a batch back that cannot be written, so that the next batches contain its changes.
    pub fn return_batch(&mut self, batch: CellBatch) {
        for (key, run) in batch.starts {
            if let Some(job) = self.jobs.get_mut(&run.task.job()) {
                job.pending_starts.push((key, run));
            }
        }
        for (id, key, number) in batch.ends {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.pending_ends.push((key, number));
            }
        }
        for row in &batch.rows {
            self.mark_dirty(row.job());
        }
    }

    /// Fails a job whose record the store can't hold, so that the other jobs go on.
    pub fn fail_unstorable(&mut self, id: JobId) {
        self.end_job(id, JobOutcome::Failed);
    }

    /// Emits the starts and acknowledgements that waited for a batch, which is now in the store.
    pub fn committed(&mut self, batch: CellBatch, now: Instant) {
        for row in &batch.rows {
            if let RecordRow::Finished(id, _) = row {
                self.mark_outcome_stored(*id, now);
            }
        }
        self.send_starts(batch.starts, now);
        for (_, key, number) in batch.ends {
            let Some(worker) = self.workers.get_mut(key) else {
                continue;
            };
            worker.unrecorded_ends.remove(&number);
            let acknowledged = worker.acknowledgeable_end();
            self.effects
                .push(CellEffect::Acknowledge(key, acknowledged));
        }
    }
}
