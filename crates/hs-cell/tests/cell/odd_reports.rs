//! Checks of reports in which some rows could not be read.

use std::time::{Duration, Instant};

use hs_cell::{
    Cell, CellEffect, CellOptions, EndReport, JobOutcome, JobState, ReportScope, RunEnd, TaskRun,
    WorkerKey, WorkerReport,
};

use crate::fixture::{entry, id, job, queue, step};

/// Time between the steps of a test.
const INTERVAL: Duration = Duration::from_millis(50);

/// Duration of a lease.
const LEASE: Duration = Duration::from_secs(8);

/// Cell with one worker, which has reported.
struct SmallCell {
    cell: Cell,
    worker: WorkerKey,
    now: Instant,
}

impl SmallCell {
    fn new() -> Self {
        let now = Instant::now();
        let mut cell = Cell::new(CellOptions::default());
        cell.configure([queue("q", 1, 3)]);
        let worker = cell.worker_listed(entry(0, 1), now, now);
        cell.lease_renewed(worker, now + LEASE, now);
        cell.worker_reported(worker, WorkerReport::default(), now, now);
        Self { cell, worker, now }
    }

    /// Starts the only task of a job.
    fn start(&mut self) -> TaskRun {
        let spec = job("q", vec![step(1, 1000, 60_000)]);
        self.cell.add_job(id(1), spec, self.now, 0);
        let run = self.next_start().expect("the worker has room");
        self.cell.start_confirmed(self.worker, run, self.now);
        run
    }

    /// Lets time pass, and returns the run that the cell starts.
    fn next_start(&mut self) -> Option<TaskRun> {
        self.now += INTERVAL;
        self.cell.advance(self.now, 0);
        let batch = self.cell.take_batch(256, 6000);
        self.cell.committed(batch, self.now);
        let started = self.cell.take_effects().into_iter().find_map(|e| match e {
            CellEffect::Start(_, order) => Some(order.run),
            _ => None,
        });
        self.now += INTERVAL;
        started
    }

    fn report(&mut self, report: WorkerReport) {
        self.now += INTERVAL;
        self.cell
            .worker_reported(self.worker, report, self.now, self.now);
    }
}

/// Guards against a second run of a task whose first one is in progress, or has ended, but not in a row that the owner
/// has read.
#[test]
fn a_partial_report_ends_no_run() {
    for (scope, starts_again) in [
        (ReportScope::UnreadableRows, false),
        (ReportScope::MoreEnds, false),
        (ReportScope::Complete, true),
    ] {
        let mut small = SmallCell::new();
        small.start();
        small.report(WorkerReport {
            scope,
            ..WorkerReport::default()
        });
        assert_eq!(small.next_start().is_some(), starts_again, "{scope:?}");
    }
}

/// Guards against a second run of a task that was stopped and has succeeded before, which a report without room for
/// all ends does not show yet. The worker is not blamed meanwhile.
#[test]
fn a_stopped_run_waits_for_the_ends_that_a_report_lacks() {
    let mut small = SmallCell::new();
    let run = small.start();
    let lacks_ends = || WorkerReport {
        scope: ReportScope::MoreEnds,
        ..WorkerReport::default()
    };
    let limit = small.now + Duration::from_secs(6);
    while small.now < limit {
        small
            .cell
            .lease_renewed(small.worker, small.now + LEASE, small.now);
        small.report(lacks_ends());
        small.cell.stop_confirmed(small.worker, run, small.now);
        assert_eq!(small.next_start(), None);
    }
    small.report(WorkerReport {
        ended: vec![EndReport {
            number: 1,
            run,
            end: RunEnd::Done,
            checkpoint: String::new(),
        }],
        ..WorkerReport::default()
    });
    assert_eq!(small.next_start(), None);
    let state = small.cell.state(id(1));
    assert_eq!(state, Some(JobState::Ended(JobOutcome::Completed)));
}

/// Guards against a task that waits for ever for a run that is gone, while another row of its worker can't be read.
#[test]
fn a_confirmed_stop_ends_a_run_that_partial_reports_lack() {
    let mut small = SmallCell::new();
    let run = small.start();
    let stall = Instant::now() + Duration::from_secs(6);
    let partial = || WorkerReport {
        scope: ReportScope::UnreadableRows,
        ..WorkerReport::default()
    };
    while small.now < stall {
        small.report(partial());
        let again = small.next_start();
        assert_eq!(again, None);
    }
    small.cell.stop_confirmed(small.worker, run, small.now);
    let end = small.now + Duration::from_secs(20);
    while small.now < end {
        small
            .cell
            .lease_renewed(small.worker, small.now + LEASE, small.now);
        small.report(partial());
        if small.next_start().is_some() {
            return;
        }
    }
    panic!("the task has not started again");
}
