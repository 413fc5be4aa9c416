//! Builders for the cases.

use std::time::Instant;

use hs_ledger::{
    Admission, AdmitSpec, FlushOutcome, LedgerOwner, LedgerPartition, PartitionImage, RecordKey,
    TaskKey,
};
use hs_wire::{Submission, WorkClass};

pub const NOW_MS: u64 = 1_800_000_000_000;
pub const MINUTE_MS: u64 = 60_000;
pub const FIRST: TaskKey = TaskKey {
    task: 0,
    attempt: 0,
};

pub fn submission(key: &str, payload: &str) -> Submission {
    Submission {
        key: key.to_owned(),
        customer: "customer".to_owned(),
        workload: "workload".to_owned(),
        deadline_ms: 1000,
        wait_ms: None,
        issued_at_ms: None,
        payload: payload.to_owned(),
    }
}

pub fn spec(tasks: u32, repeatable: bool) -> AdmitSpec {
    AdmitSpec {
        class: WorkClass::Batch,
        tasks,
        repeatable,
        expires_at_ms: NOW_MS + 1000,
        revision: 7,
    }
}

pub fn take_over(image: Option<PartitionImage>, revision: u64, writer: &str) -> LedgerPartition {
    let owner = LedgerOwner {
        id: "p".to_owned(),
        addr: "127.0.0.1:1".to_owned(),
        writer: writer.to_owned(),
    };
    LedgerPartition::take_over(image, revision, owner, Instant::now())
}

pub fn admit(ledger: &mut LedgerPartition, key: &str, spec: &AdmitSpec) -> RecordKey {
    match ledger.admit(&submission(key, "payload"), spec, NOW_MS) {
        Admission::New { record, .. } => record,
        other => panic!("{key} was not admitted: {other:?}"),
    }
}

/// Writes the next value, which the store takes as `revision`, and returns it.
pub fn write(ledger: &mut LedgerPartition, revision: u64, now_ms: u64) -> PartitionImage {
    let due = ledger.next_flush(Instant::now()).unwrap();
    let flush = ledger.begin_flush(due, now_ms).unwrap();
    ledger.end_flush(FlushOutcome::Written { revision }, due);
    PartitionImage::decode(&flush.body).unwrap()
}
