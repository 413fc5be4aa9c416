//! One process that may own the partition.

use hs_ledger::{
    ChangeError, LedgerFlush, LedgerPartition, LedgerRecord, RecordKey, RetryCause, Stamp, TaskKey,
    TaskState,
};

use crate::fixture::take_over;
use crate::store::FakeStore;

/// A start that waits for its commit, or is delayed on the way to the worker.
pub struct PendingStart {
    pub record: RecordKey,
    pub task: TaskKey,
    pub stamp: Stamp,
    pub entry: LedgerRecord,
}

/// A caller that waits for its reply. Without a record, the key has another body.
pub struct PendingAnswer {
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
    pub starts: Vec<PendingStart>,
    pub answers: Vec<PendingAnswer>,
    /// Reports about attempts, which arrive a second time later.
    pub reports: Vec<(RecordKey, TaskKey, Report)>,
}

/// What a worker says about an attempt.
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
            starts: Vec::new(),
            answers: Vec::new(),
            reports: Vec::new(),
        }
    }

    /// Returns the record of one of the open tasks.
    pub fn open(&self, pick: usize) -> Option<RecordKey> {
        let records = self.ledger.open_tasks().map(|open| open.record);
        let records: Vec<RecordKey> = records.collect();
        records.get(pick % records.len().max(1)).copied()
    }

    pub fn place(&mut self, pick: usize, now_ms: u64) {
        let Some(record) = self.open(pick) else {
            return;
        };
        let open = self
            .ledger
            .open_tasks()
            .filter(|open| open.record == record);
        let open: Vec<TaskKey> = open.map(|open| open.task).collect();
        for task in open {
            if let Ok(stamp) = self.ledger.mark_placed(record, task, "w", now_ms) {
                let entry = self.ledger.record(record).unwrap().clone();
                self.starts.push(PendingStart {
                    record,
                    task,
                    stamp,
                    entry,
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
