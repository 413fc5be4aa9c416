//! Starts that another incarnation of a worker may have taken than the one that has reported last.

use std::time::{Duration, Instant};

use hs_cell::{
    Cell, CellEffect, CellOptions, CrashEvent, StartOrder, StartTaker, StepSpec, TaskRun,
    WorkerEntry, WorkerKey, WorkerReport,
};

use crate::fixture::{entry, id, job, queue, step};

/// End of the lease that the owner counts, after the last renewal.
const RENEWED_LEASE: Duration = Duration::from_millis(8_088);

/// Longest time, on the owner's clock, for which a worker keeps a run after it was started.
const LONGEST_LEASE: Duration = Duration::from_millis(10_750);

/// Longest time from a start to the event that tells what has become of it.
const MAX_START_TIME: Duration = Duration::from_secs(2);

/// Interval at which the cell checks leases.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time until the owner knows what has become of a start.
const OUTCOME_TIME: Duration = Duration::from_millis(900);

/// Two runs of a worker, the second of which is started after the last renewal.
struct LostWorker {
    cell: Cell,
    key: WorkerKey,
    renewed_at: Instant,
    /// Run that the worker has reported.
    reported: TaskRun,
    /// Run whose start has been sent.
    sent: TaskRun,
}

impl LostWorker {
    fn new() -> Self {
        let now = Instant::now();
        let mut cell = Cell::new(CellOptions::default());
        cell.configure(vec![queue("check", 0, 3)]);
        let key = cell.worker_listed(entry(0, 1), now, now);
        let renewed_at = now;
        cell.lease_renewed(key, renewed_at + RENEWED_LEASE, now);
        cell.worker_reported(key, WorkerReport::default(), now, now);
        let reported = start(&mut cell, 1, now);
        cell.start_confirmed(key, reported, now);
        let sent = start(&mut cell, 2, now);
        Self {
            cell,
            key,
            renewed_at,
            reported,
            sent,
        }
    }

    /// Returns the times after the last renewal at which the runs are released.
    fn release_times(&mut self) -> (Duration, Duration) {
        let mut released = [None; 2];
        let mut now = self.renewed_at + OUTCOME_TIME;
        while released.contains(&None) {
            now += CHECK_INTERVAL;
            self.cell.advance(now, 0);
            for effect in self.cell.take_effects() {
                let CellEffect::Release(release) = effect else {
                    continue;
                };
                let runs = [self.reported, self.sent];
                if let Some(index) = runs.iter().position(|run| *run == release.run) {
                    released[index] = Some(now - self.renewed_at);
                }
            }
            assert!(
                now < self.renewed_at + Duration::from_secs(60),
                "{released:?}"
            );
        }
        let [reported, sent] = released.map(Option::unwrap);
        (reported, sent)
    }
}

/// Submits a job of one task, and returns its run once the start is sent.
fn start(cell: &mut Cell, number: u64, now: Instant) -> TaskRun {
    cell.add_job(id(number), job("check", vec![step(1, 1000, 500)]), now, 0);
    cell.advance(now, 0);
    let batch = cell.take_batch(10, 100);
    cell.committed(batch, now);
    let starts = cell.take_effects().into_iter();
    let starts = starts.filter_map(|effect| match effect {
        CellEffect::Start(_, StartOrder { run, .. }) => Some(run),
        _ => None,
    });
    starts.last().expect("the job is started")
}

/// What becomes of the second start, and when the runs are released.
struct StartCase {
    name: &'static str,
    settle: fn(&mut LostWorker, Instant),
    reported: Duration,
    sent: Duration,
}

/// Guards against runs that start elsewhere while an incarnation that the owner has not heard from keeps them, and
/// against runs of lost workers that wait for longer than any incarnation can have them.
#[test]
fn runs_are_released_once_no_incarnation_can_have_them() {
    let unknown_end = OUTCOME_TIME + LONGEST_LEASE;
    let cases = [
        StartCase {
            name: "the clock of the last report has answered",
            settle: |lost, now| lost.cell.start_confirmed(lost.key, lost.sent, now),
            reported: RENEWED_LEASE,
            sent: RENEWED_LEASE,
        },
        StartCase {
            name: "only the incarnation of the last report may have it",
            settle: |lost, now| {
                let taker = StartTaker::Reported;
                lost.cell.start_unanswered(lost.key, lost.sent, taker, now);
            },
            reported: RENEWED_LEASE,
            sent: RENEWED_LEASE,
        },
        StartCase {
            name: "any incarnation may have it",
            settle: |lost, now| {
                let taker = StartTaker::Any;
                lost.cell.start_unanswered(lost.key, lost.sent, taker, now);
            },
            reported: RENEWED_LEASE,
            sent: unknown_end,
        },
        StartCase {
            name: "another clock has answered, far behind",
            settle: |lost, now| {
                let asked = Duration::from_secs(3600);
                lost.cell.order_taken_on_other_clock(lost.key, asked, now);
                lost.cell.start_confirmed(lost.key, lost.sent, now);
            },
            reported: unknown_end,
            sent: unknown_end,
        },
        StartCase {
            name: "another clock has answered, ahead",
            settle: |lost, now| {
                let asked = Duration::from_secs(1);
                lost.cell.order_taken_on_other_clock(lost.key, asked, now);
                lost.cell.start_confirmed(lost.key, lost.sent, now);
            },
            reported: RENEWED_LEASE,
            sent: RENEWED_LEASE,
        },
        StartCase {
            name: "nothing is heard of the start",
            settle: |_, _| {},
            reported: RENEWED_LEASE,
            sent: MAX_START_TIME + LONGEST_LEASE,
        },
    ];
    for case in cases {
        let mut lost = LostWorker::new();
        let settled_at = lost.renewed_at + OUTCOME_TIME;
        (case.settle)(&mut lost, settled_at);
        let (reported, sent) = lost.release_times();
        let is_at =
            |time: Duration, due: Duration| (due..=due + 2 * CHECK_INTERVAL).contains(&time);
        assert!(
            is_at(reported, case.reported),
            "{}: {reported:?}",
            case.name
        );
        assert!(is_at(sent, case.sent), "{}: {sent:?}", case.name);
    }
}

/// Guards against a run that is released while the incarnation that has it keeps it under the lease of a later start.
#[test]
fn runs_of_an_unknown_incarnation_share_its_lease() {
    let mut lost = LostWorker::new();
    let (key, any) = (lost.key, StartTaker::Any);
    let earlier = lost.renewed_at + OUTCOME_TIME / 2;
    let later = lost.renewed_at + OUTCOME_TIME;
    let first = lost.sent;
    let second = start(&mut lost.cell, 3, lost.renewed_at);
    lost.cell.start_unanswered(key, first, any, earlier);
    lost.cell.start_unanswered(key, second, any, later);
    let (_, first_released) = lost.release_times();
    assert!(
        first_released >= OUTCOME_TIME + LONGEST_LEASE,
        "{first_released:?}"
    );
}

/// Guards against a task that fails for good because it counts as alone on workers that have crashed: its run was only
/// released later than those beside it.
#[test]
fn a_run_that_is_released_later_was_not_alone() {
    let takers = [StartTaker::Reported, StartTaker::Any];
    let returns = [Duration::from_secs(9), Duration::from_secs(13)];
    for (taker, return_time) in takers.into_iter().flat_map(|t| returns.map(|r| (t, r))) {
        let mut lost = LostWorker::new();
        let settled_at = lost.renewed_at + OUTCOME_TIME;
        lost.cell
            .start_unanswered(lost.key, lost.sent, taker, settled_at);
        let returned_at = lost.renewed_at + return_time;
        let mut now = settled_at;
        while now < returned_at {
            lost.cell.advance(now, 0);
            now += CHECK_INTERVAL;
        }
        lost.cell.take_effects();
        let next = WorkerEntry {
            started_ms: 5_000,
            ..entry(0, 1)
        };
        lost.cell.worker_listed(next, now, now);
        let effects = lost.cell.take_effects().into_iter();
        let crashes = effects.filter_map(|effect| match effect {
            CellEffect::Report(CrashEvent::WorkerCrashed { run, alone, .. }) => Some((run, alone)),
            _ => None,
        });
        let crashes: Vec<_> = crashes.collect();
        assert!(!crashes.is_empty(), "{taker:?}, {return_time:?}");
        let is_alone = crashes.iter().any(|(_, alone)| *alone);
        assert!(!is_alone, "{taker:?}, {return_time:?}: {crashes:?}");
    }
}

/// Guards against a panic of the owner: the release of one member of a gang undoes the placements of the others, which
/// were to be released next.
#[test]
fn a_gang_whose_starts_are_not_sent_is_released_with_its_worker() {
    let now = Instant::now();
    let mut cell = Cell::new(CellOptions::default());
    cell.configure(vec![queue("check", 0, 3)]);
    let key = cell.worker_listed(entry(0, 1), now, now);
    cell.lease_renewed(key, now + RENEWED_LEASE, now);
    cell.worker_reported(key, WorkerReport::default(), now, now);
    let gang = StepSpec {
        gang: true,
        ..step(2, 1000, 500)
    };
    cell.add_job(id(1), job("check", vec![gang]), now, 0);
    cell.advance(now, 0);
    assert_eq!(cell.allocated_runs(), 2);
    cell.advance(now + LONGEST_LEASE, 0);
    assert_eq!(cell.allocated_runs(), 0);
}
