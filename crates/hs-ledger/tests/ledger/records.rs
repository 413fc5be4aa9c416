//! Tests of admission and of changes to records.

use std::collections::HashSet;
use std::time::Instant;

use hs_ledger::{
    Admission, ChangeError, FlushOutcome, LedgerOptions, LedgerPartition, RecordKey, RetryCause,
    Stamp, TaskKey, TaskState, partition_of,
};
use hs_wire::{NotRunReason, Outcome, Submission};

use TaskState::{Cancelled, Done, Failed, NotRun, Placed, Unknown, Waiting};

use crate::fixture::{FIRST_ATTEMPT, MINUTE_MS, NOW_MS, admit, spec, submission, take_over, write};

/// Guards against an outcome that contradicts the tasks, such as not run although some tasks ran.
#[test]
fn outcome_follows_from_the_tasks() {
    struct Case(&'static [TaskState], Outcome);
    let cases = [
        Case(&[Done, Done], Outcome::Done),
        Case(&[Done, Failed], Outcome::Failed),
        Case(&[Unknown, Failed], Outcome::Failed),
        Case(&[NotRun, NotRun], Outcome::NotRun),
        Case(&[NotRun, Unknown], Outcome::Unknown),
        Case(&[Done, Unknown], Outcome::Unknown),
        Case(&[Done, Cancelled], Outcome::Cancelled),
        Case(&[NotRun, Cancelled], Outcome::Cancelled),
        Case(&[Done, NotRun], Outcome::Failed),
        Case(&[Done, Placed], Outcome::Accepted),
        Case(&[Failed, Waiting], Outcome::Accepted),
    ];
    for Case(tasks, outcome) in cases {
        let mut ledger = take_over(None, 0, "p");
        let record = admit(&mut ledger, "k", &spec(2, false));
        for (task, state) in (0..).zip(tasks) {
            let key = TaskKey { task, attempt: 0 };
            if *state != Waiting {
                ledger.mark_placed(record, key, "w", NOW_MS).unwrap();
            }
            if !state.is_open() {
                ledger.end_task(record, key, *state, "", NOW_MS).unwrap();
            }
        }
        assert_eq!(ledger.reply(record).outcome, outcome, "{tasks:?}");
        let rebuilt = ledger.record(record).unwrap().submission();
        let kept = (outcome == Outcome::Accepted).then(|| submission("k", "payload"));
        assert_eq!(rebuilt, kept, "{tasks:?}");
    }
}

type Change = fn(&mut LedgerPartition, RecordKey, u64) -> Result<Stamp, ChangeError>;

/// Guards against a second run of work that is not repeatable, and against two open attempts of a
/// task.
#[test]
fn attempts_end_once_and_are_retried_only_when_allowed() {
    struct Case {
        name: &'static str,
        repeatable: bool,
        cancel: bool,
        age_ms: u64,
        change: Change,
        after: Option<(TaskState, u32)>,
    }
    let stop: Change = |l, r, now| l.retry_task(r, FIRST_ATTEMPT, RetryCause::Stopped, now);
    let reject: Change = |l, r, now| l.retry_task(r, FIRST_ATTEMPT, RetryCause::NotRun, now);
    let absent: Change = |l, r, now| l.resolve_absent(r, FIRST_ATTEMPT, now);
    let place: Change = |l, r, now| l.mark_placed(r, FIRST_ATTEMPT, "w", now);
    let reopen: Change = |l, r, now| l.end_task(r, FIRST_ATTEMPT, Waiting, "", now);
    let reject_twice: Change = |l, r, now| {
        l.retry_task(r, FIRST_ATTEMPT, RetryCause::NotRun, now)?;
        l.mark_placed(
            r,
            TaskKey {
                task: 0,
                attempt: 1,
            },
            "w",
            now,
        )?;
        l.retry_task(r, FIRST_ATTEMPT, RetryCause::NotRun, now)
    };
    let refuse_stopped: Change = |l, r, now| {
        l.retry_task(r, FIRST_ATTEMPT, RetryCause::Stopped, now)?;
        l.refuse_waiting(r, NotRunReason::DeadlinePassed, "late", now)
    };
    let reopen_closed: Change = |l, r, now| {
        l.end_task(r, FIRST_ATTEMPT, NotRun, "", now)?;
        l.end_task(r, FIRST_ATTEMPT, Done, "", now)
    };
    let done_unplaced: Change = |l, r, now| {
        l.retry_task(r, FIRST_ATTEMPT, RetryCause::NotRun, now)?;
        l.end_task(
            r,
            TaskKey {
                task: 0,
                attempt: 1,
            },
            Done,
            "",
            now,
        )
    };
    let refuse_closed: Change = |l, r, now| {
        l.end_task(r, FIRST_ATTEMPT, Done, "", now)?;
        l.refuse_waiting(r, NotRunReason::QueueFull, "", now)
    };
    let cancel_closed: Change = |l, r, now| {
        l.end_task(r, FIRST_ATTEMPT, Done, "", now)?;
        l.request_cancel(r, now)
    };
    let max_age_ms = 9 * MINUTE_MS;
    #[rustfmt::skip]
    let cases = [
        Case { name: "stopped", repeatable: true, cancel: false, age_ms: 0, change: stop, after: Some((Waiting, 1)) },
        Case { name: "stopped, not repeatable", repeatable: false, cancel: false, age_ms: 0, change: stop, after: None },
        Case { name: "rejected", repeatable: false, cancel: false, age_ms: 0, change: reject, after: Some((Waiting, 1)) },
        Case { name: "rejected, cancelled", repeatable: true, cancel: true, age_ms: 0, change: reject, after: Some((Cancelled, 0)) },
        Case { name: "stopped, cancelled", repeatable: true, cancel: true, age_ms: 0, change: stop, after: Some((Cancelled, 0)) },
        Case { name: "late second report", repeatable: true, cancel: false, age_ms: 0, change: reject_twice, after: None },
        Case { name: "placed twice", repeatable: true, cancel: false, age_ms: 0, change: place, after: None },
        Case { name: "reopened", repeatable: true, cancel: false, age_ms: 0, change: reopen, after: None },
        Case { name: "refused after a run", repeatable: true, cancel: false, age_ms: 0, change: refuse_stopped, after: Some((Failed, 1)) },
        Case { name: "changed after the end", repeatable: true, cancel: false, age_ms: 0, change: reopen_closed, after: None },
        Case { name: "done before a placement", repeatable: true, cancel: false, age_ms: 0, change: done_unplaced, after: None },
        Case { name: "refused after the end", repeatable: true, cancel: false, age_ms: 0, change: refuse_closed, after: None },
        Case { name: "cancelled after the end", repeatable: true, cancel: false, age_ms: 0, change: cancel_closed, after: None },
        Case { name: "absent", repeatable: false, cancel: false, age_ms: max_age_ms, change: absent, after: Some((Waiting, 1)) },
        Case { name: "absent, too old", repeatable: true, cancel: false, age_ms: max_age_ms + 1, change: absent, after: Some((Unknown, 0)) },
    ];
    for case in cases {
        let mut ledger = take_over(None, 0, "p");
        let record = admit(&mut ledger, "k", &spec(1, case.repeatable));
        ledger
            .mark_placed(record, FIRST_ATTEMPT, "w", NOW_MS)
            .unwrap();
        if case.cancel {
            ledger.request_cancel(record, NOW_MS).unwrap();
        }
        let result = (case.change)(&mut ledger, record, NOW_MS + case.age_ms);
        let task = &ledger.record(record).unwrap().tasks[0];
        let after = result.ok().map(|_| (task.state, task.attempt));
        assert_eq!(after, case.after, "{}", case.name);
    }
}

/// Guards against a duplicate that runs although its key was refused or has expired.
#[test]
fn admission_decides_by_key_body_and_age() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut LedgerPartition),
        change: fn(&mut Submission),
        late_ms: u64,
        expected: (&'static str, Option<NotRunReason>),
    }
    let none = |_: &mut LedgerPartition| ();
    let first = |ledger: &mut LedgerPartition| _ = admit(ledger, "k", &spec(1, false));
    let lose = |ledger: &mut LedgerPartition| {
        ledger.begin_flush(Instant::now(), NOW_MS).unwrap();
        ledger.end_flush(FlushOutcome::Conflict, Instant::now());
    };
    let same = |_: &mut Submission| ();
    let day_ms = 24 * 60 * MINUTE_MS;
    #[rustfmt::skip]
    let cases = [
        Case { name: "new", prepare: none, change: same, late_ms: 0, expected: ("new", None) },
        Case { name: "same body", prepare: first, change: |s| s.deadline_ms = 9, late_ms: 0, expected: ("existing", None) },
        Case { name: "same body, late", prepare: first, change: same, late_ms: day_ms, expected: ("existing", None) },
        Case { name: "other payload", prepare: first, change: |s| s.payload.push('x'), late_ms: 0, expected: ("refused", Some(NotRunReason::KeyReused)) },
        Case { name: "other workload", prepare: first, change: |s| s.workload.push('x'), late_ms: 0, expected: ("refused", Some(NotRunReason::KeyReused)) },
        Case { name: "other customer", prepare: first, change: |s| s.customer.push('x'), late_ms: 0, expected: ("new", None) },
        Case { name: "expired", prepare: none, change: same, late_ms: 1001, expected: ("existing", Some(NotRunReason::KeyExpired)) },
        Case { name: "issued too long ago", prepare: none, change: |s| s.issued_at_ms = Some(1), late_ms: 0, expected: ("existing", Some(NotRunReason::KeyExpired)) },
        Case { name: "released", prepare: LedgerPartition::release, change: same, late_ms: 0, expected: ("refused", Some(NotRunReason::ShuttingDown)) },
        Case { name: "lost", prepare: lose, change: same, late_ms: 0, expected: ("refused", Some(NotRunReason::OwnerUnreachable)) },
    ];
    for case in cases {
        let mut ledger = take_over(None, 0, "p");
        (case.prepare)(&mut ledger);
        let mut submission = submission("k", "payload");
        (case.change)(&mut submission);
        let found = match ledger.admit(&submission, &spec(1, false), NOW_MS + case.late_ms) {
            Admission::New { .. } => ("new", None),
            Admission::Existing { record } => ("existing", ledger.reply(record).reason),
            Admission::Unreadable => ("unreadable", None),
            Admission::Refused(reason) => ("refused", Some(reason)),
        };
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

/// Guards against records that are dropped too early, or never.
#[test]
fn records_are_kept_for_their_retention() {
    struct Case {
        name: &'static str,
        state: TaskState,
        retention_ms: u64,
        commit: bool,
        kept_ms: Option<u64>,
    }
    let day_ms = 24 * 60 * MINUTE_MS;
    let short = Some(15 * MINUTE_MS);
    #[rustfmt::skip]
    let cases = [
        Case { name: "done", state: Done, retention_ms: day_ms, commit: true, kept_ms: Some(day_ms) },
        Case { name: "not run", state: NotRun, retention_ms: day_ms, commit: true, kept_ms: short },
        Case { name: "short retention", state: Done, retention_ms: 1, commit: true, kept_ms: short },
        Case { name: "open", state: Placed, retention_ms: day_ms, commit: true, kept_ms: None },
        Case { name: "not committed", state: NotRun, retention_ms: day_ms, commit: false, kept_ms: None },
    ];
    for case in cases {
        let mut ledger = take_over(None, 0, "p");
        let retention_ms = case.retention_ms;
        ledger.set_options(LedgerOptions {
            retention_ms,
            ..LedgerOptions::default()
        });
        let record = admit(&mut ledger, "k", &spec(1, false));
        ledger
            .mark_placed(record, FIRST_ATTEMPT, "w", NOW_MS)
            .unwrap();
        if !case.state.is_open() {
            ledger
                .end_task(record, FIRST_ATTEMPT, case.state, "", NOW_MS)
                .unwrap();
        }
        if case.commit {
            write(&mut ledger, 1, NOW_MS);
        }
        let last_ms = NOW_MS + case.kept_ms.unwrap_or(2 * day_ms);
        assert_eq!(
            write(&mut ledger, 2, last_ms).records.len(),
            1,
            "{}: early",
            case.name
        );
        if case.kept_ms.is_some() {
            assert!(
                write(&mut ledger, 3, last_ms + 1).records.is_empty(),
                "{}",
                case.name
            );
            assert_eq!(ledger.find("customer", "k"), None, "{}", case.name);
        }
    }
}

/// Guards against task ids that cannot be part of a path, or that two records share.
#[test]
fn task_ids_are_safe_and_unique() {
    let long = "x".repeat(500);
    let names = ["a/b", "a b", "a_b", "ä", "", &long].map(|key| ("c", key));
    let names = names.into_iter().chain([("c/a", "b"), ("d", &long)]);
    let mut ids = HashSet::new();
    for (customer, key) in names {
        let mut submission = submission(key, "");
        submission.customer = customer.to_owned();
        // The second record uses the key again, as after the retention of the first.
        for now_ms in [NOW_MS, NOW_MS + 1] {
            let mut ledger = take_over(None, 0, "p");
            let Admission::New { record, .. } = ledger.admit(&submission, &spec(2, true), now_ms)
            else {
                panic!("{key} was not admitted");
            };
            for task in 0..2 {
                let id = ledger
                    .task_id(record, TaskKey { task, attempt: 0 })
                    .unwrap()
                    .0;
                let safe = |letter: char| letter.is_ascii_alphanumeric() || "-_.:".contains(letter);
                assert!(id.chars().all(safe) && id.len() < 100, "{id}");
                assert!(ids.insert(id), "{customer} {key}");
            }
        }
    }
}

/// Guards against a hash that differs between processes or releases, so that records would not be
/// found. The expected values come from a separate implementation of FNV-1a and the finalizer.
#[test]
fn partitions_are_stable() {
    let found = [("a", "1"), ("a", "2"), ("b", "1"), ("", "")];
    let found = found.map(|(customer, key)| partition_of(customer, key, 1000));
    assert_eq!(found, [333, 173, 295, 410]);
}
