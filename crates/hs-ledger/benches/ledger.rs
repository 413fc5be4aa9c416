//! Cost of changes to records, size and duration of the encoding, and number of store writes at
//! several rates of submissions.

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
const PARTITION_COUNT: u32 = 4;
const STORE_LATENCY_MS: u64 = 3;
const TASK_DURATION_MS: u64 = 20;
const FIRST_ATTEMPT: TaskKey = TaskKey {
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
        Admission::Existing { .. } | Admission::Unreadable | Admission::Refused(_) => None,
    }
}

fn place(ledger: &mut LedgerPartition, record: RecordKey, now_ms: u64) {
    let placed = ledger.mark_placed(record, FIRST_ATTEMPT, "worker-017", now_ms);
    placed.expect("the task waits");
}

fn finish(ledger: &mut LedgerPartition, record: RecordKey, now_ms: u64) {
    let result = "receipt-0123456789abcdef";
    let done = ledger.end_task(record, FIRST_ATTEMPT, TaskState::Done, result, now_ms);
    done.expect("the task is placed");
}

/// Returns a partition with this number of records, either finished or placed.
fn partition_with_records(records: u64, finished: bool) -> LedgerPartition {
    let mut ledger = take_over(Instant::now());
    for index in 0..records {
        let record =
            admit(&mut ledger, &submission(index), NOW_MS).expect("the partition has free space");
        place(&mut ledger, record, NOW_MS);
        if finished {
            finish(&mut ledger, record, NOW_MS);
        }
    }
    ledger
}

/// Encodes the store value and returns its size in bytes.
fn encode(ledger: &mut LedgerPartition) -> usize {
    let due = ledger
        .next_flush(Instant::now())
        .expect("no write is in flight");
    let flush = ledger.begin_flush(due, NOW_MS).expect("the write is due");
    ledger.end_flush(FlushOutcome::NotSent, due);
    black_box(flush.body).len()
}

fn benchmark_operations(criterion: &mut Criterion) {
    let submissions: Vec<Submission> = (0..1000).map(submission).collect();
    criterion.bench_function("admit, place and finish 1,000 records", |bencher| {
        let ledger = || take_over(Instant::now());
        let cycle = |mut ledger: LedgerPartition| {
            for submission in &submissions {
                let record =
                    admit(&mut ledger, submission, NOW_MS).expect("the partition has free space");
                place(&mut ledger, record, NOW_MS);
                finish(&mut ledger, record, NOW_MS);
            }
            ledger
        };
        bencher.iter_batched(ledger, cycle, BatchSize::LargeInput);
    });
    for records in [1000, 4000] {
        let mut ledger = partition_with_records(records, true);
        criterion.bench_function(&format!("encode {records} finished records"), |bencher| {
            bencher.iter(|| encode(&mut ledger));
        });
    }
}

/// Prints the number and size of the store writes of all partitions during `seconds` of virtual
/// time, with `rate` submissions per second.
fn print_store_writes(rate: u64, seconds: u64) {
    let base = Instant::now();
    let mut ledgers: Vec<LedgerPartition> = (0..PARTITION_COUNT).map(|_| take_over(base)).collect();
    let mut write_ends_ms: Vec<Option<u64>> = vec![None; ledgers.len()];
    let mut admitted: Vec<VecDeque<RecordKey>> = vec![VecDeque::new(); ledgers.len()];
    let mut placed: Vec<VecDeque<(RecordKey, Option<u64>)>> = vec![VecDeque::new(); ledgers.len()];
    let (mut writes, mut bytes, mut records, mut refused) = (0_u64, 0, 0_u64, 0_u64);
    for elapsed_ms in 0..seconds * 1000 {
        let (now, now_ms) = (
            base + Duration::from_millis(elapsed_ms),
            NOW_MS + elapsed_ms,
        );
        for index in records + refused..(elapsed_ms + 1) * rate / 1000 {
            let submission = submission(index);
            let number =
                partition_of(&submission.customer, &submission.key, PARTITION_COUNT) as usize;
            match admit(&mut ledgers[number], &submission, now_ms) {
                Some(record) => {
                    records += 1;
                    admitted[number].push_back(record);
                }
                None => refused += 1,
            }
        }
        for (number, ledger) in ledgers.iter_mut().enumerate() {
            if write_ends_ms[number].is_some_and(|end| end <= elapsed_ms) {
                write_ends_ms[number] = None;
                ledger.end_flush(
                    FlushOutcome::Written {
                        revision: elapsed_ms + 1,
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
            for (record, end_ms) in &mut placed[number] {
                if end_ms.is_none() && is_committed(ledger, *record) {
                    *end_ms = Some(elapsed_ms + TASK_DURATION_MS);
                }
            }
            let ended = |end_ms: &Option<u64>| end_ms.is_some_and(|end_ms| end_ms <= elapsed_ms);
            let count = placed[number]
                .iter()
                .take_while(|(_, end_ms)| ended(end_ms))
                .count();
            for (record, _) in placed[number].drain(..count) {
                finish(ledger, record, now_ms);
            }
            if let Some(flush) = ledger.begin_flush(now, now_ms) {
                writes += 1;
                bytes += flush.body.len();
                write_ends_ms[number] = Some(elapsed_ms + STORE_LATENCY_MS);
            }
        }
    }
    let per_second = writes / seconds;
    let mean = bytes as u64 / writes / 1000;
    println!(
        "{rate} records/s: {per_second} writes/s, mean value {mean} KB, {records} admitted, {refused} refused (full)"
    );
}

fn print_sizes_and_writes(_: &mut Criterion) {
    for records in [1000, 4000] {
        let size = encode(&mut partition_with_records(records, true)) as u64;
        println!(
            "{records} finished records: {size} bytes, {} per record",
            size / records
        );
    }
    let size = encode(&mut partition_with_records(1000, false)) as u64;
    println!(
        "1000 placed records: {size} bytes, {} per record",
        size / 1000
    );
    for rate in [0, 100, 1000, 5000] {
        print_store_writes(rate, 3);
    }
}

criterion_group!(benches, print_sizes_and_writes, benchmark_operations);
criterion_main!(benches);
