//! The simulated store, the writes of the owner, and takeovers from it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hs_cell::{
    Cell, CellOptions, JobEnd, JobId, JobRecord, JobSpec, LogWrites, RecordLog, RecordRow,
    RecordStamp, SegmentState, StoredRecords, TaskPlace,
};

use super::{TAKEOVER_LEASE, World, worker_number};

/// Maximum number of entries of a transaction. It is small, so that segments are used.
const MAX_TRANSACTION_ENTRIES: usize = 5;

/// Maximum number of jobs in a batch.
const MAX_BATCH_JOBS: usize = 15;

/// Content of the store.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    /// Specifications of the jobs, with the outcomes of those that have ended.
    pub jobs: BTreeMap<JobId, (Arc<JobSpec>, Option<JobEnd>)>,
    pub records: StoredRecords,
    pub cancelled: BTreeSet<JobId>,
}

/// Serialises a value to JSON and parses it again.
fn round_trip<T: serde::Serialize + serde::de::DeserializeOwned>(value: &T) -> T {
    let text = serde_json::to_string(value).expect("records serialise");
    serde_json::from_str(&text).expect("records read back")
}

impl World {
    /// Replaces the owner during a write, which the store has applied if `written`.
    pub fn replace_owner(&mut self, written: bool) {
        if written && let Some((_, writes)) = self.pending.take() {
            self.apply_writes(&writes);
        }
        self.take_over();
    }

    /// Replaces the owner by a new one, which restores its state from the store and the registry.
    pub fn take_over(&mut self) {
        self.fence += 1;
        // The new fencing token makes writes of the earlier owner fail.
        self.pending = None;
        self.stops.clear();
        self.acks.clear();
        self.advice.clear();
        self.cell = Cell::new(self.options);
        if self.has_config {
            self.cell.configure_teams(self.teams.specs());
            self.cell.configure(self.queues.clone());
        }
        let now = self.now;
        let options = CellOptions::default();
        let lease_end = options.earlier_lease_end(now + TAKEOVER_LEASE, now);
        for number in 0..self.workers.len() {
            self.keys[number] = None;
            self.workers[number].has_answered = false;
            self.fence_raises[number] = 0;
            self.last_renewal_answered[number] = false;
            self.requested_lease_ends[number] = None;
            if self.workers[number].up && self.workers[number].listed {
                self.register(number, lease_end);
            }
        }
        let store = self.store.clone();
        let now_ms = self.unix_ms();
        let (log, mut states) = RecordLog::restore(store.records);
        self.log = log;
        for (id, (spec, outcome)) in store.jobs {
            match (outcome, states.remove(&id)) {
                (Some(end), _) => {
                    self.log.forget_job(id);
                    self.cell.restore_ended(id, end, lease_end, self.now);
                }
                (None, Some(SegmentState::Ended(end))) => {
                    self.cell.restore_ended(id, end, lease_end, self.now);
                }
                (None, state) => {
                    let record = match state {
                        Some(SegmentState::Progress(record)) => record,
                        _ => JobRecord::default(),
                    };
                    let cell = &mut self.cell;
                    cell.restore(id, spec, &record, lease_end, self.now, now_ms);
                }
            }
        }
        for id in store.cancelled {
            self.cell.cancel(id, self.now);
        }
    }

    pub(super) fn apply_writes(&mut self, writes: &LogWrites) {
        // The round trip checks that items can be parsed as they were written.
        let stored = &mut self.store.records;
        for (id, record) in &writes.records {
            let record = round_trip(record);
            stored.records.insert(*id, record);
        }
        for id in &writes.dropped_records {
            stored.records.remove(id);
        }
        if let Some((stamp, rows)) = &writes.segment {
            let rows = round_trip(rows);
            stored.segments.insert(*stamp, rows);
        }
        for stamp in &writes.dropped_segments {
            stored.segments.remove(stamp);
        }
        for (id, end) in &writes.outcomes {
            let job = self.store.jobs.get_mut(id).expect("only stored jobs end");
            job.1 = Some(round_trip(end));
        }
    }

    /// Begins to write the changes of the cell to the store.
    pub fn begin_write(&mut self) {
        if self.pending.is_some() {
            return;
        }
        let jobs_to_rewrite = self.log.jobs_to_rewrite(MAX_BATCH_JOBS);
        self.cell.rerecord_jobs(&jobs_to_rewrite);
        let batch = self.cell.take_batch(MAX_BATCH_JOBS, usize::MAX);
        if batch.is_empty() && self.delayed_starts.is_empty() {
            self.teams.forget_earlier_caps();
        }
        if batch.is_empty() && !self.log.needs_cleanup() {
            return;
        }
        self.sequence += 1;
        let stamp = RecordStamp {
            fence: self.fence,
            sequence: self.sequence,
        };
        let writes = self
            .log
            .plan(stamp, &batch.rows, None, MAX_TRANSACTION_ENTRIES);
        assert!(
            writes.entry_count() <= MAX_TRANSACTION_ENTRIES,
            "too many entries: {writes:?}"
        );
        self.pending = Some((batch, writes));
    }

    /// Returns the worker on which the write in progress places the most tasks.
    pub fn worker_of_pending_write(&self) -> Option<usize> {
        let (batch, _) = self.pending.as_ref()?;
        let mut counts = vec![0u32; self.workers.len()];
        for row in &batch.rows {
            let RecordRow::Progress(_, record) = row else {
                continue;
            };
            for task in record.steps.iter().flat_map(|step| &step.tasks) {
                if let TaskPlace::Worker(index) = task.place {
                    let id = &record.workers[usize::from(index)].id;
                    counts[worker_number(id)?] += 1;
                }
            }
        }
        let numbers = 0..counts.len();
        numbers.max_by_key(|number| counts[*number])
    }

    /// Removes a job from the store, as the end of its retention does.
    pub fn forget_job(&mut self, id: JobId) {
        self.store.jobs.remove(&id);
        self.store.records.records.remove(&id);
    }

    /// Applies the write to the store and confirms it to the cell.
    pub fn finish_write(&mut self) {
        let Some((batch, writes)) = self.pending.take() else {
            return;
        };
        self.apply_writes(&writes);
        self.log.committed(writes);
        self.cell.committed(batch, self.now);
        self.execute_effects();
    }
}
