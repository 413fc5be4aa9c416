//! Tests of store values that another writer damaged.

use std::time::{Duration, Instant};

use hs_ledger::{PartitionHead, PartitionImage, RetryCause, TaskKey, TaskState};
use quickcheck::{Arbitrary, Gen};

use crate::fixture::{FIRST_ATTEMPT, NOW_MS, admit, spec, submission, take_over, write};
use crate::{seed, setting};

/// Values that take the place of a number or a text.
const REPLACEMENTS: [&str; 9] = [
    "null",
    "-1",
    "4294967295",
    "18446744073709551615",
    "1e400",
    "\"\"",
    "[]",
    "{}",
    "true",
];

/// Returns the encoded value of a partition with records in all states.
fn valid_value() -> Vec<u8> {
    let mut ledger = take_over(None, 0, "p");
    let states = [
        None,
        Some(TaskState::Placed),
        Some(TaskState::Done),
        Some(TaskState::Failed),
        Some(TaskState::Unknown),
    ];
    for (number, state) in states.into_iter().enumerate() {
        let record = admit(&mut ledger, &format!("k{number}"), &spec(2, true));
        let Some(state) = state else {
            continue;
        };
        ledger
            .mark_placed(record, FIRST_ATTEMPT, "w@1", NOW_MS)
            .unwrap();
        if !state.is_open() {
            ledger
                .end_task(record, FIRST_ATTEMPT, state, "result", NOW_MS)
                .unwrap();
        }
    }
    write(&mut ledger, 1, NOW_MS).encode().unwrap()
}

/// Returns the value cut off, with a changed byte, or with one scalar replaced.
fn damage(value: &[u8], source: &mut Gen) -> Vec<u8> {
    let position = usize::arbitrary(source) % value.len();
    match u8::arbitrary(source) % 4 {
        0 => value[..position].to_vec(),
        1 => {
            let mut damaged = value.to_vec();
            damaged[position] = u8::arbitrary(source);
            damaged
        }
        _ => {
            let is_separator = |byte: &u8| b":,[]{}".contains(byte);
            let start = value[..position].iter().rposition(is_separator);
            let start = start.map_or(0, |start| start + 1);
            let length = value[start..].iter().position(is_separator).unwrap_or(0);
            let replacement = REPLACEMENTS[usize::arbitrary(source) % REPLACEMENTS.len()];
            let tail = &value[start + length..];
            [&value[..start], replacement.as_bytes(), tail].concat()
        }
    }
}

/// Takes a partition over from the value if it can be decoded, and changes all of its records.
fn use_value(value: &[u8]) {
    let _ = PartitionHead::decode(value);
    let Ok(image) = PartitionImage::decode(value) else {
        return;
    };
    let mut ledger = take_over(Some(image), 1, "q");
    let open: Vec<_> = ledger
        .open_tasks()
        .map(|open| (open.record, open.task))
        .collect();
    for (record, task) in open {
        let _ = ledger.task_id(record, task);
        let _ = ledger.mark_placed(record, task, "w@1", NOW_MS);
        let _ = ledger.retry_task(record, task, RetryCause::Stopped, NOW_MS);
        let next = TaskKey {
            attempt: task.attempt.wrapping_add(1),
            ..task
        };
        let _ = ledger.resolve_absent(record, next, NOW_MS);
        let _ = ledger.reply(record);
    }
    for number in 0..5 {
        let key = format!("k{number}");
        let _ = ledger.admit(&submission(&key, "payload"), &spec(2, true), NOW_MS);
        if let Some(record) = ledger.find("customer", &key) {
            let _ = ledger.request_cancel(record, u64::MAX);
        }
    }
    let now = Instant::now() + Duration::from_secs(1);
    let flush = ledger.begin_flush(now, NOW_MS).unwrap();
    PartitionImage::decode(&flush.body).unwrap();
}

/// Guards against a damaged store value that ends the task of a partition in each process that tries
/// to take the partition over.
#[test]
fn damaged_values_are_refused_or_usable() {
    let valid = valid_value();
    let mut source = Gen::from_size_and_seed(100, seed());
    for _ in 0..setting("HS_LEDGER_CASES", 20_000) {
        let mut value = damage(&valid, &mut source);
        if !value.is_empty() && bool::arbitrary(&mut source) {
            value = damage(&value, &mut source);
        }
        let shown = value.clone();
        let result = std::panic::catch_unwind(move || use_value(&value));
        assert!(
            result.is_ok(),
            "HS_LEDGER_SEED={}: {}",
            seed(),
            String::from_utf8_lossy(&shown)
        );
    }
}

/// Guards against counters that overflow: a wrapped epoch or sequence number would let two owners
/// take each other's writes for their own. A record with such a counter is not used.
#[test]
fn values_with_counters_at_their_end_are_refused() {
    let valid = String::from_utf8(valid_value()).unwrap();
    let cases = [
        ("\"epoch\":1", format!("\"epoch\":{}", u64::MAX), true),
        ("\"seq\":1", format!("\"seq\":{}", u64::MAX), true),
        ("\"h\":", format!("\"s\":{},\"h\":", u32::MAX), false),
        (
            "{\"s\":\"p\"",
            format!("{{\"a\":{},\"s\":\"p\"", u32::MAX),
            false,
        ),
    ];
    let count = PartitionImage::decode(valid.as_bytes())
        .unwrap()
        .records
        .len();
    for (from, to, is_of_value) in cases {
        assert!(valid.contains(from), "{from} in {valid}");
        let value = valid.replacen(from, &to, 1);
        let result = PartitionImage::decode(value.as_bytes());
        assert_eq!(result.is_err(), is_of_value, "{to}");
        if let Ok(image) = result {
            assert_eq!(image.unreadable.len(), 1, "{to}");
            assert_eq!(image.records.len(), count - 1, "{to}");
        }
    }
}
