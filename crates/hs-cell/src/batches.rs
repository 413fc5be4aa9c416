//! Batches of changes that the owner writes to the store.

use std::time::Instant;

use crate::JobId;
use crate::cell::Cell;
use crate::dirty_jobs::RecordUrgency;
use crate::effect::{CellBatch, CellEffect, RecordRow};

/// Share of the rows of a batch that starts may take while other changes wait.
const START_ROWS_SHARE: f64 = 0.75;

/// Share of the rows of a batch that starts, ends and outcomes may take while other changes wait.
const URGENT_ROWS_SHARE: f64 = 0.9;

/// Number of rows and tasks that fit into a batch.
#[derive(Clone, Copy, Debug)]
struct BatchLimits {
    rows: usize,
    tasks: usize,
}

impl Cell {
    /// Adds jobs to the next batches although they have not changed, so that their records are rewritten.
    pub fn rerecord_jobs(&mut self, ids: &[JobId]) {
        for id in ids {
            self.mark_dirty(*id);
        }
    }

    /// Takes the next batch of changes, which ends after `max_jobs` rows or once its rows list at least
    /// `max_tasks` tasks.
    ///
    /// Jobs whose starts wait for the batch come first, then those with ends or an outcome. Some rows are left to
    /// the others, so that each change is recorded at some time.
    pub fn take_batch(&mut self, max_jobs: usize, max_tasks: usize) -> CellBatch {
        let mut batch = CellBatch::default();
        let part = |share: f64| BatchLimits {
            rows: (max_jobs as f64 * share).ceil() as usize,
            tasks: (max_tasks as f64 * share).ceil() as usize,
        };
        let all = BatchLimits {
            rows: max_jobs,
            tasks: max_tasks,
        };
        self.add_rows(&mut batch, RecordUrgency::Start, part(START_ROWS_SHARE));
        self.add_rows(&mut batch, RecordUrgency::End, part(URGENT_ROWS_SHARE));
        self.add_rows(&mut batch, RecordUrgency::Update, all);
        self.add_rows(&mut batch, RecordUrgency::Start, all);
        self.add_rows(&mut batch, RecordUrgency::End, all);
        batch
    }

    /// Adds rows of jobs until the batch reaches the limits.
    fn add_rows(&mut self, batch: &mut CellBatch, urgency: RecordUrgency, limits: BatchLimits) {
        let mut task_count: usize = batch.rows.iter().map(RecordRow::task_count).sum();
        while batch.rows.len() < limits.rows
            && task_count < limits.tasks
            && let Some(id) = self.dirty_jobs.take(urgency)
        {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.dirty_place = None;
            batch.starts.append(&mut job.pending_starts);
            batch.ends.append(&mut job.pending_ends);
            let row = match job.outcome {
                Some(outcome) => RecordRow::Finished(id, self.job_end(id, outcome)),
                None => RecordRow::Progress(id, self.job_record(id)),
            };
            task_count += row.task_count();
            batch.rows.push(row);
        }
    }

    /// Emits the starts and acknowledgements that waited for a batch, which is now in the store.
    pub fn committed(&mut self, batch: CellBatch, now: Instant) {
        for row in &batch.rows {
            if let RecordRow::Finished(id, _) = row {
                self.mark_outcome_stored(*id, now);
            }
        }
        self.send_starts(batch.starts, now);
        for (key, number) in batch.ends {
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
