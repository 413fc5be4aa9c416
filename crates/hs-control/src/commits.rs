//! What the owner writes to the store, one transaction after the other.

use hs_event::EventCode;

use hs_cell::{Cell, CellBatch, JobId, LogWrites, RecordLog, RecordStamp};

use crate::chain::ClaimValue;
use crate::keys;
use crate::recover::JobValue;

/// Entries of a transaction that are left beside the claim, which takes two of 32.
const ENTRIES: usize = 30;

/// Jobs whose changes go into one transaction at the most.
const BATCH_JOBS: usize = 256;

/// Tasks whose changes go into one transaction at the most. Each takes about 40 bytes, and an item of the
/// store holds a megabyte.
const BATCH_TASKS: usize = 6000;

/// Jobs that are recorded anew in one transaction, so that old segments can be deleted.
const REWRITE_JOBS: usize = 16;

/// Records that are erased in one transaction; each takes two entries.
const ERASE_JOBS: usize = 10;

/// A transaction of the owner without its claim.
#[derive(Debug, Default)]
pub(crate) struct OwnerWrites {
    pub batch: CellBatch,
    pub log: LogWrites,
    pub writes: Vec<(String, Vec<u8>)>,
    pub deletes: Vec<String>,
}

impl OwnerWrites {
    /// Returns whether there is nothing to write.
    pub(crate) fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.deletes.is_empty()
    }
}

/// Chooses what the next transaction writes.
#[derive(Debug, Default)]
pub(crate) struct CommitPlanner {
    pub log: RecordLog,
    cancelled: Vec<JobId>,
}

impl CommitPlanner {
    /// Notes that the item of a cancellation can be deleted, as its job will be recorded as cancelled.
    pub(crate) fn note_cancelled(&mut self, id: JobId) {
        self.cancelled.push(id);
    }

    /// Takes the next changes of the cell. Where there are none, old items are deleted.
    pub(crate) fn next(
        &mut self,
        cell: &mut Cell,
        claim: &ClaimValue,
        now: std::time::Instant,
    ) -> OwnerWrites {
        let stamp = RecordStamp {
            fence: claim.fence,
            sequence: claim.sequence + 1,
        };
        cell.rerecord_jobs(&self.log.jobs_to_rewrite(REWRITE_JOBS));
        let batch = cell.take_batch(BATCH_JOBS, BATCH_TASKS);
        let log = self.log.plan(stamp, &batch.rows, ENTRIES);
        let mut next = OwnerWrites {
            batch,
            log,
            ..OwnerWrites::default()
        };
        next.add_log();
        if next.batch.is_empty() {
            self.erase(&mut next, cell, now);
        }
        next
    }

    fn erase(&mut self, next: &mut OwnerWrites, cell: &mut Cell, now: std::time::Instant) {
        let room = |next: &OwnerWrites| ENTRIES - next.writes.len() - next.deletes.len();
        let jobs = ERASE_JOBS.min(room(next) / 2);
        for id in cell.take_expired_jobs(now, jobs) {
            self.log.forget_job(id);
            next.deletes.extend([keys::job(id), keys::cancel(id)]);
        }
        while room(next) > 0
            && let Some(id) = self.cancelled.pop()
        {
            next.deletes.push(keys::cancel(id));
        }
    }
}

impl OwnerWrites {
    fn add_log(&mut self) {
        for (id, record) in &self.log.records {
            add(&mut self.writes, keys::run(*id), record);
        }
        for (id, outcome) in &self.log.outcomes {
            let value: JobValue = JobValue::Ended(*outcome);
            add(&mut self.writes, keys::job(*id), &value);
        }
        if let Some((stamp, rows)) = &self.log.segment {
            add(&mut self.writes, keys::segment(*stamp), rows);
        }
        let records = self.log.dropped_records.iter().map(|id| keys::run(*id));
        let segments = &self.log.dropped_segments;
        let segments = segments.iter().map(|stamp| keys::segment(*stamp));
        self.deletes.extend(records.chain(segments));
    }
}

fn add<T: serde::Serialize>(writes: &mut Vec<(String, Vec<u8>)>, key: String, value: &T) {
    match serde_json::to_vec(value) {
        Ok(value) => writes.push((key, value)),
        Err(error) => EventCode::RecordUnwritable.log(format_args!("key={key} cause=\"{error}\"")),
    }
}
