//! Tests of store writes and of the size of the store value.

use std::time::{Duration, Instant};

use hs_ledger::{Admission, FlushOutcome, LedgerOptions, PartitionImage, TaskKey, TaskState};
use hs_wire::NotRunReason;

use crate::fixture::{FIRST_ATTEMPT, NOW_MS, admit, spec, submission, take_over, write};

/// Guards against more writes than the budget allows, a missing heartbeat, and retries without a
/// backoff.
#[test]
fn writes_are_paced() {
    struct Case {
        name: &'static str,
        partition_count: u32,
        dirty: bool,
        outcomes: &'static [FlushOutcome],
        wait_ms: u64,
    }
    let written = &[FlushOutcome::Written { revision: 1 }];
    #[rustfmt::skip]
    let cases = [
        Case { name: "busy", partition_count: 4, dirty: true, outcomes: written, wait_ms: 50 },
        Case { name: "more partitions", partition_count: 16, dirty: true, outcomes: written, wait_ms: 200 },
        Case { name: "heartbeat", partition_count: 4, dirty: false, outcomes: written, wait_ms: 900 },
        Case { name: "fourth failure", partition_count: 4, dirty: true, outcomes: &[FlushOutcome::NotSent; 4], wait_ms: 400 },
    ];
    for case in cases {
        let mut now = Instant::now();
        let mut ledger = take_over(None, 0, "p");
        let partition_count = case.partition_count;
        ledger.set_options(LedgerOptions {
            partition_count,
            ..LedgerOptions::default()
        });
        assert_eq!(
            ledger.next_flush(now),
            Some(now),
            "{}: first write",
            case.name
        );
        for outcome in case.outcomes {
            now = ledger.next_flush(now).unwrap();
            ledger.begin_flush(now, NOW_MS).unwrap();
            assert_eq!(
                ledger.next_flush(now),
                None,
                "{}: write in flight",
                case.name
            );
            ledger.end_flush(*outcome, now);
        }
        if case.dirty {
            admit(&mut ledger, "k", &spec(1, false));
        }
        let wait = Duration::from_millis(case.wait_ms);
        assert_eq!(ledger.next_flush(now), Some(now + wait), "{}", case.name);
        let early = now + wait - Duration::from_millis(1);
        assert_eq!(
            ledger.begin_flush(early, NOW_MS),
            None,
            "{}: early",
            case.name
        );
        let late = now + 2 * wait;
        assert_eq!(ledger.next_flush(late), Some(late), "{}: idle", case.name);
    }
}

/// Guards against an owner that relies on its ownership although a candidate may have taken over.
/// It would report that a key has no record although the next owner has one.
#[test]
fn freshness_ends_before_a_candidate_may_take_over() {
    struct Case {
        name: &'static str,
        age_ms: u64,
        release: bool,
        fresh: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "just written", age_ms: 2499, release: false, fresh: true },
        Case { name: "too old", age_ms: 2500, release: false, fresh: false },
        Case { name: "released", age_ms: 500, release: true, fresh: false },
    ];
    for case in cases {
        let now = Instant::now();
        let mut ledger = take_over(None, 0, "p");
        assert!(!ledger.is_fresh(now), "fresh before the first write");
        ledger.begin_flush(now, NOW_MS).unwrap();
        // The age counts from the start of the write, which may have taken effect right then.
        ledger.end_flush(
            FlushOutcome::Written { revision: 1 },
            now + Duration::from_secs(1),
        );
        if case.release {
            ledger.release();
        }
        let later = now + Duration::from_millis(case.age_ms);
        assert_eq!(ledger.is_fresh(later), case.fresh, "{}", case.name);
    }
}

/// Guards against a value that exceeds the limit of the store after its records were admitted.
#[test]
fn full_partition_stays_below_the_store_limit() {
    let mut ledger = take_over(None, 0, "p");
    let payload = "\u{1}\"ä".repeat(20);
    let (mut admitted, mut refused) = (Vec::new(), 0);
    for index in 0.. {
        let submission = submission(&format!("k{index}"), &payload);
        match ledger.admit(&submission, &spec(2, true), NOW_MS) {
            Admission::New { record, .. } => admitted.push(record),
            Admission::Existing { record } => {
                assert_eq!(ledger.reply(record).reason, Some(NotRunReason::LedgerFull));
                refused += 1;
            }
            Admission::Unreadable => panic!("every record was written by an owner"),
            Admission::Refused(reason) => {
                assert_eq!(reason, NotRunReason::LedgerFull);
                break;
            }
        }
    }
    assert!(
        admitted.len() > 1000 && refused > 100,
        "{} {refused}",
        admitted.len()
    );
    let (worker, result) = ("w".repeat(64), "\u{1}".repeat(9000));
    let keys = [0, 1].map(|task| TaskKey { task, attempt: 0 });
    // The value is largest when all tasks are placed, since a record drops its payload at its end.
    for (record, key) in admitted
        .iter()
        .flat_map(|record| keys.map(|key| (*record, key)))
    {
        ledger
            .mark_placed(record, key, &worker, u64::MAX / 2)
            .unwrap();
    }
    let placed = write(&mut ledger, 1, NOW_MS).encode().unwrap();
    assert!(placed.len() <= ledger.size_bytes() && ledger.size_bytes() < PartitionImage::MAX_BYTES);
    for (record, key) in admitted
        .iter()
        .flat_map(|record| keys.map(|key| (*record, key)))
    {
        ledger
            .end_task(record, key, TaskState::Done, &result, NOW_MS)
            .unwrap();
        assert!(ledger.size_bytes() < PartitionImage::MAX_BYTES);
    }
    let due = ledger.next_flush(Instant::now()).unwrap();
    let body = ledger.begin_flush(due, NOW_MS).unwrap().body;
    assert!(
        body.len() <= ledger.size_bytes(),
        "{} {}",
        body.len(),
        ledger.size_bytes()
    );
}

/// Guards against a long result that is lost before its first delivery, and against one that takes
/// up the store value.
#[test]
fn long_results_are_kept_until_delivered() {
    let mut ledger = take_over(None, 0, "p");
    let record = admit(&mut ledger, "k", &spec(1, false));
    ledger
        .mark_placed(record, FIRST_ATTEMPT, "w", NOW_MS + 5)
        .unwrap();
    let result = "ä".repeat(3000);
    ledger
        .end_task(record, FIRST_ATTEMPT, TaskState::Done, &result, NOW_MS + 9)
        .unwrap();
    let reply = ledger.reply(record);
    assert_eq!(
        (reply.waited_ms, reply.revision, &reply.workers[0][..]),
        (5, 7, "w")
    );
    assert_eq!(reply.results, [result.as_str()]);
    let image = write(&mut ledger, 1, NOW_MS);
    assert!(image.records[0].tasks[0].truncated);
    assert_eq!(image.records[0].tasks[0].result, result[..4096]);
    ledger.drop_long_results(record);
    assert_eq!(ledger.reply(record).results, [&result[..4096]]);
}
