//! Process of the simulation, which owns the partition or did so before.

use hs_ledger::{
    ChangeError, LedgerFlush, LedgerPartition, LedgerRecord, RecordKey, RetryCause, Stamp, TaskKey,
    TaskState,
};

use crate::fixture::take_over;
use crate::store::FakeStore;

/// Start that waits for its commit, or that is delayed on the way to the worker.
pub struct PendingStart {
    pub record: RecordKey,
    pub task: TaskKey,
    /// Stamp of the placement.
    pub stamp: Stamp,
    /// Copy of the record after the placement.
    pub placed_record: LedgerRecord,
}

/// Caller that waits for its reply. The record is `None` if the key has a record with another body.
pub struct PendingReply {
    pub call: usize,
    pub key: String,
    pub body: usize,
    pub record: Option<RecordKey>,
    pub stamp: Stamp,
}

pub struct Process {
    pub ledger: LedgerPartition,
    pub writer: String,
    pub flush: Option<LedgerFlush>,
    pub pending_starts: Vec<PendingStart>,
    pub pending_replies: Vec<PendingReply>,
    /// Reports about attempts that were handled once and will arrive a second time.
    pub reports: Vec<(RecordKey, TaskKey, Report)>,
}

/// Report of a worker about an attempt.
#[derive(Clone, Copy)]
pub enum Report {
    Absent,
    Done,
    Failed,
    Stopped,
}

impl Process {
    pub fn new(store: &FakeStore, number: u64) -> Self {
        let writer = format!("writer-{number}");
        Self {
            ledger: take_over(store.image.clone(), store.revision, &writer),
            writer,
            flush: None,
            pending_starts: Vec::new(),
            pending_replies: Vec::new(),
            reports: Vec::new(),
        }
    }

    /// Returns the record of an open task, which `choice` selects.
    pub fn open_record(&self, choice: usize) -> Option<RecordKey> {
        let records = self.ledger.open_tasks().map(|open| open.record);
        let records: Vec<RecordKey> = records.collect();
        records.get(choice % records.len().max(1)).copied()
    }

    pub fn place(&mut self, choice: usize, now_ms: u64) {
        let Some(record) = self.open_record(choice) else {
            return;
        };
        let open = self
            .ledger
            .open_tasks()
            .filter(|open| open.record == record);
        let open: Vec<TaskKey> = open.map(|open| open.task).collect();
        for task in open {
            if let Ok(stamp) = self.ledger.mark_placed(record, task, "w", now_ms) {
                let placed_record = self.ledger.record(record).unwrap().clone();
                self.pending_starts.push(PendingStart {
                    record,
                    task,
                    stamp,
                    placed_record,
                });
            }
        }
    }

    pub fn report(
        &mut self,
        record: RecordKey,
        task: TaskKey,
        report: Report,
        now_ms: u64,
    ) -> Result<Stamp, ChangeError> {
        let ledger = &mut self.ledger;
        match report {
            Report::Absent => ledger.resolve_absent(record, task, now_ms),
            Report::Done => ledger.end_task(record, task, TaskState::Done, "r", now_ms),
            Report::Failed => ledger.end_task(record, task, TaskState::Failed, "r", now_ms),
            Report::Stopped => ledger
                .retry_task(record, task, RetryCause::Stopped, now_ms)
                .or_else(|_| ledger.end_task(record, task, TaskState::Failed, "", now_ms)),
        }
    }
}
