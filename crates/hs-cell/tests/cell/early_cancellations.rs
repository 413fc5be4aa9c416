//! Cancellations that reach the cell before their jobs.

use std::time::{Duration, Instant};

use hs_cell::{AddedJob, Cell, CellOptions, JobOutcome, JobState, RecordRow};

use crate::fixture::{id, job, queue, step};

/// Guards against a job that runs although its cancellation was acknowledged, because the cell was told of the
/// cancellation first and ignored it.
#[test]
fn a_job_that_comes_after_its_cancellation_ends_at_once() {
    struct Case {
        name: &'static str,
        /// Time from the cancellation to the job.
        delay: Duration,
        added: AddedJob,
    }
    let retention = CellOptions::default().status_retention;
    let cases = [
        Case {
            name: "at once",
            delay: Duration::ZERO,
            added: AddedJob::Cancelled,
        },
        Case {
            name: "after a process was paused for a minute",
            delay: Duration::from_secs(60),
            added: AddedJob::Cancelled,
        },
        Case {
            name: "after the retention",
            delay: retention,
            added: AddedJob::Queued,
        },
    ];
    for Case { name, delay, added } in cases {
        let mut cell = Cell::new(CellOptions::default());
        cell.configure([queue("check", 0, 3)]);
        let mut now = Instant::now();
        assert!(!cell.cancel(id(1), now), "{name}");
        assert_eq!(cell.state(id(1)), None, "{name}");
        now += delay;
        let dropped = cell.take_expired_cancellations(now, 10);
        let spec = job("check", vec![step(1, 1000, 500)]);
        assert_eq!(cell.add_job(id(1), spec, now, 0), added, "{name}");
        assert_eq!(dropped.is_empty(), added == AddedJob::Cancelled, "{name}");
    }
}

/// Guards against a job that ended by an early cancellation and runs under the next owner, since its outcome was not
/// recorded.
#[test]
fn the_outcome_of_a_job_that_comes_after_its_cancellation_is_recorded() {
    let now = Instant::now();
    let mut cell = Cell::new(CellOptions::default());
    cell.configure([queue("check", 0, 3)]);
    cell.cancel(id(1), now);
    cell.add_job(id(1), job("check", vec![step(1, 1000, 500)]), now, 0);
    let batch = cell.take_batch(10, 100);
    let ended = RecordRow::Finished(id(1), JobOutcome::Cancelled.into());
    assert_eq!(batch.rows, [ended]);
    cell.committed(batch, now);
    let state = Some(JobState::Ended(JobOutcome::Cancelled));
    assert_eq!(cell.state(id(1)), state);
    assert_eq!(cell.unfinished_jobs(), 0);
}
