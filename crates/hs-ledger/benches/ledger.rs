//! Cost of records, size and time of the encoding, and store writes at several rates.

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use hs_ledger::{
    Admission, AdmitSpec, FlushOutcome, LedgerOwner, LedgerPartition, RecordKey, TaskKey,
    TaskState, partition_of,
};
use hs_wire::{Submission, WorkClass};

const NOW_MS: u64 = 1_800_000_000_000;
const PARTITIONS: u32 = 4;
const STORE_MS: u64 = 3;
const TASK_MS: u64 = 20;
const FIRST: TaskKey = TaskKey {
    task: 0,
    attempt: 0,
};

fn take_over(now: Instant) -> LedgerPartition {
    let owner = LedgerOwner {
        id: "entry-1".to_owned(),
        addr: "127.0.0.1:7000".to_owned(),
        writer: "entry-1-1".to_owned(),
    };
    LedgerPartition::take_over(None, 0, owner, now)
}

fn submission(index: u64) -> Submission {
    Submission {
        key: format!("order-{index:08}"),
        customer: format!("team-{:03}", index % 800),
        workload: "order".to_owned(),
        deadline_ms: 5000,
        wait_ms: None,
        issued_at_ms: None,
        payload: "x".repeat(128),
    }
}

fn admit(ledger: &mut LedgerPartition, submission: &Submission, now_ms: u64) -> Option<RecordKey> {
    let spec = AdmitSpec {
        class: WorkClass::Order,
        tasks: 1,
        repeatable: false,
        expires_at_ms: now_ms + 5000,
        revision: 7,
    };
    match ledger.admit(submission, &spec, now_ms) {
        Admission::New { record, .. } => Some(record),
        Admission::Existing { .. } | Admission::Refused(_) => None,
    }
}

fn place(ledger: &mut LedgerPartition, record: RecordKey, now_ms: u64) {
    let placed = ledger.mark_placed(record, FIRST, "worker-017", now_ms);
    placed.expect("the task waits");
}

fn finish(ledger: &mut LedgerPartition, record: RecordKey, now_ms: u64) {
    let result = "receipt-0123456789abcdef";
    let done = ledger.end_task(record, FIRST, TaskState::Done, result, now_ms);
    done.expect("the task is placed");
}

/// Builds a partition with finished records, or with placed ones.
fn filled(records: u64, finished: bool) -> LedgerPartition {
    let mut ledger = take_over(Instant::now());
    for index in 0..records {
        let record = admit(&mut ledger, &submission(index), NOW_MS).expect("there is room");
        place(&mut ledger, record, NOW_MS);
        if finished {
            finish(&mut ledger, record, NOW_MS);
        }
    }
    ledger
}

/// Encodes the value, and returns its size.
fn encode(ledger: &mut LedgerPartition) -> usize {
    let due = ledger
        .next_flush(Instant::now())
        .expect("no write is under way");
    let flush = ledger.begin_flush(due, NOW_MS).expect("the write is due");
    ledger.end_flush(FlushOutcome::NotSent, due);
    black_box(flush.body).len()
}

fn costs(criterion: &mut Criterion) {
    let submissions: Vec<Submission> = (0..1000).map(submission).collect();
    criterion.bench_function("admit, place and finish 1,000 records", |bencher| {
        let ledger = || take_over(Instant::now());
        let cycle = |mut ledger: LedgerPartition| {
            for submission in &submissions {
                let record = admit(&mut ledger, submission, NOW_MS).expect("there is room");
                place(&mut ledger, record, NOW_MS);
                finish(&mut ledger, record, NOW_MS);
            }
            ledger
        };
        bencher.iter_batched(ledger, cycle, BatchSize::LargeInput);
    });
    for records in [1000, 4000] {
        let mut ledger = filled(records, true);
        criterion.bench_function(&format!("encode {records} finished records"), |bencher| {
            bencher.iter(|| encode(&mut ledger));
        });
    }
}

/// Counts the store writes of all partitions for `seconds` of virtual time.
fn count_writes(rate: u64, seconds: u64) {
    let base = Instant::now();
    let mut ledgers: Vec<LedgerPartition> = (0..PARTITIONS).map(|_| take_over(base)).collect();
    let mut flights: Vec<Option<u64>> = vec![None; ledgers.len()];
    let mut admitted: Vec<VecDeque<RecordKey>> = vec![VecDeque::new(); ledgers.len()];
    let mut placed: Vec<VecDeque<(RecordKey, Option<u64>)>> = vec![VecDeque::new(); ledgers.len()];
    let (mut writes, mut bytes, mut records, mut full) = (0_u64, 0, 0_u64, 0_u64);
    for elapsed in 0..seconds * 1000 {
        let (now, now_ms) = (base + Duration::from_millis(elapsed), NOW_MS + elapsed);
        for index in records + full..(elapsed + 1) * rate / 1000 {
            let submission = submission(index);
            let number = partition_of(&submission.customer, &submission.key, PARTITIONS) as usize;
            match admit(&mut ledgers[number], &submission, now_ms) {
                Some(record) => {
                    records += 1;
                    admitted[number].push_back(record);
                }
                None => full += 1,
            }
        }
        for (number, ledger) in ledgers.iter_mut().enumerate() {
            if flights[number].is_some_and(|end| end <= elapsed) {
                flights[number] = None;
                ledger.end_flush(
                    FlushOutcome::Written {
                        revision: elapsed + 1,
                    },
                    now,
                );
            }
            let committed = ledger.committed();
            let is_committed = |ledger: &LedgerPartition, record: RecordKey| {
                ledger.stamp(record).is_some_and(|stamp| stamp <= committed)
            };
            let ready = |record: &RecordKey| is_committed(ledger, *record);
            let count = admitted[number]
                .iter()
                .take_while(|record| ready(record))
                .count();
            for record in admitted[number].drain(..count) {
                place(ledger, record, now_ms);
                placed[number].push_back((record, None));
            }
            for (record, end) in &mut placed[number] {
                if end.is_none() && is_committed(ledger, *record) {
                    *end = Some(elapsed + TASK_MS);
                }
            }
            let ended = |end: &Option<u64>| end.is_some_and(|end| end <= elapsed);
            let count = placed[number]
                .iter()
                .take_while(|(_, end)| ended(end))
                .count();
            for (record, _) in placed[number].drain(..count) {
                finish(ledger, record, now_ms);
            }
            if let Some(flush) = ledger.begin_flush(now, now_ms) {
                writes += 1;
                bytes += flush.body.len();
                flights[number] = Some(elapsed + STORE_MS);
            }
        }
    }
    let per_second = writes / seconds;
    let mean = bytes as u64 / writes / 1000;
    println!(
        "{rate} records/s: {per_second} writes/s, mean value {mean} KB, {records} admitted, {full} refused (full)"
    );
}

fn figures(_: &mut Criterion) {
    for records in [1000, 4000] {
        let size = encode(&mut filled(records, true)) as u64;
        println!(
            "{records} finished records: {size} bytes, {} per record",
            size / records
        );
    }
    let size = encode(&mut filled(1000, false)) as u64;
    println!(
        "1000 placed records: {size} bytes, {} per record",
        size / 1000
    );
    for rate in [0, 100, 1000, 5000] {
        count_writes(rate, 3);
    }
}

criterion_group!(benches, figures, costs);
criterion_main!(benches);
