//! Batches of changes that the owner writes to the store.

use std::time::Instant;

use crate::JobId;
use crate::cell::Cell;
use crate::effect::{CellBatch, CellEffect, RecordRow};

impl Cell {
    /// Adds jobs to the next batches although they have not changed, so that their records are rewritten.
    pub fn rerecord_jobs(&mut self, ids: &[JobId]) {
        for id in ids {
            self.mark_dirty(*id);
        }
    }

    /// Takes the next batch of changes, which ends after `max_jobs` rows or once its rows list at least
    /// `max_tasks` tasks.
    pub fn take_batch(&mut self, max_jobs: usize, max_tasks: usize) -> CellBatch {
        let mut batch = CellBatch::default();
        let mut tasks_left = max_tasks;
        while batch.rows.len() < max_jobs && tasks_left > 0 {
            let Some(id) = self.dirty_jobs.pop_front() else {
                break;
            };
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.dirty = false;
            batch.starts.append(&mut job.pending_starts);
            batch.ends.append(&mut job.pending_ends);
            let row = match job.outcome {
                Some(outcome) => RecordRow::Finished(id, outcome),
                None => RecordRow::Progress(id, self.job_record(id)),
            };
            tasks_left = tasks_left.saturating_sub(row.task_count());
            batch.rows.push(row);
        }
        batch
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
