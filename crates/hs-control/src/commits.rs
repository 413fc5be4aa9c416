//! Plans the contents of the owner's transactions, which are written to the store one at a time.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hs_event::EventCode;

use hs_cell::{Cell, CellBatch, JobId, LogWrites, RecordLog, RecordStamp};

use crate::keys;
use crate::recover::JobValue;

/// Entries of a transaction that remain beside the claim, which takes two of the store's 32.
const MAX_TXN_ENTRIES: usize = 30;

/// Maximum number of jobs whose changes go into one transaction.
const MAX_BATCH_JOBS: usize = 256;

/// Maximum number of tasks whose changes go into one transaction. Each takes about 40 bytes, and an item of
/// the store holds at most one megabyte.
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
    pub writes: Vec<(String, Vec<u8>)>,
    pub deletes: Vec<String>,
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
}

impl CommitPlanner {
    /// Creates a planner for the owner with this fencing token.
    pub(crate) fn new(fence: u64) -> Self {
        Self {
            log: RecordLog::default(),
            last_stamp: RecordStamp { fence, sequence: 0 },
            cancelled: BTreeSet::new(),
            next_expiry_check: None,
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
        let batch = cell.take_batch(MAX_BATCH_JOBS, MAX_BATCH_TASKS);
        let log = self.log.plan(stamp, &batch.rows, MAX_TXN_ENTRIES);
        let mut planned = OwnerWrites {
            batch,
            log,
            ..OwnerWrites::default()
        };
        planned.add_log_writes();
        if planned.batch.is_empty() {
            self.delete_expired(&mut planned, cell, now);
        }
        planned
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
    fn add_log_writes(&mut self) {
        for (id, record) in &self.log.records {
            push_json(&mut self.writes, keys::progress(*id), record);
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
        self.deletes.extend(records.chain(segments));
    }
}

fn push_json<T: serde::Serialize>(writes: &mut Vec<(String, Vec<u8>)>, key: String, value: &T) {
    match serde_json::to_vec(value) {
        Ok(value) => writes.push((key, value)),
        Err(error) => EventCode::RecordUnwritable.log(format_args!("key={key} cause=\"{error}\"")),
    }
}
