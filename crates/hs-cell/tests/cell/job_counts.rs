//! Numbers of jobs that the cell counts as they change.

use std::time::{Duration, Instant};

use hs_cell::{Cell, CellOptions, JobOutcome, JobRecord};

use crate::fixture::{id, job, queue, step};

/// Guards against a count of unfinished jobs that drifts from the jobs, since it is kept up to date on each change.
#[test]
fn each_unfinished_job_counts_once() {
    let now = Instant::now();
    let mut cell = Cell::new(CellOptions::default());
    cell.configure([queue("check", 0, 3)]);
    let spec = job("check", vec![step(1, 1000, 500)]);
    for number in [1, 2, 3, 3] {
        cell.add_job(id(number), spec.clone(), now, 0);
    }
    cell.restore(id(4), spec, &JobRecord::default(), now, now, 0);
    cell.add_ended(id(5), JobOutcome::Completed, now);
    assert_eq!(cell.unfinished_jobs(), 4);
    for number in [1, 1, 5, 6] {
        cell.cancel(id(number), now);
    }
    assert_eq!(cell.unfinished_jobs(), 3);
}

/// Guards against outcomes that are deleted before clients have had the time to read them, or never.
#[test]
fn jobs_expire_when_their_last_retention_time_is_over() {
    let now = Instant::now();
    let options = CellOptions::default();
    let mut cell = Cell::new(options);
    cell.configure([queue("check", 0, 3)]);
    let spec = job("check", vec![step(1, 1000, 500)]);
    cell.add_job(id(1), spec, now, 0);
    cell.add_ended(id(2), JobOutcome::Completed, now);
    cell.cancel(id(1), now);
    let record = |cell: &mut Cell, at: Instant| {
        let batch = cell.take_batch(10, 10);
        cell.committed(batch, at);
    };
    record(&mut cell, now);
    let later = now + Duration::from_secs(1);
    cell.rerecord_jobs(&[id(1)]);
    record(&mut cell, later);
    let retention = options.status_retention;
    let before = retention - Duration::from_millis(1);
    assert_eq!(cell.take_expired_jobs(now + before, 10), []);
    assert_eq!(cell.take_expired_jobs(now + retention, 10), [id(2)]);
    assert_eq!(cell.take_expired_jobs(later + before, 10), []);
    assert_eq!(cell.take_expired_jobs(later + retention, 10), [id(1)]);
    assert!(!cell.has_job(id(1)) && !cell.has_job(id(2)));
}
