//! Order in which changes are recorded.

use hs_cell::{JobId, RecordRow};

use crate::fixture::{id, job, queue, step};
use crate::world::World;

/// Number of rows of a batch.
const MAX_ROWS: usize = 256;

/// Number of the first job that only waits; its tasks fit on no worker.
const FIRST_WAITING: u64 = 10_000;

/// Builds a cell in which `starts` jobs have been placed after the records of 400 jobs were to be rewritten.
fn cell_with_starts(starts: u64) -> World {
    let mut world = World::with_reports(60, vec![queue("check", 0, 3)]);
    let waiting: Vec<JobId> = (FIRST_WAITING..FIRST_WAITING + 400).map(id).collect();
    for job_id in &waiting {
        world.submit(*job_id, job("check", vec![step(1, 9000, 500)]));
    }
    world.cell.rerecord_jobs(&waiting);
    for number in 0..starts {
        world.submit(id(number), job("check", vec![step(1, 1000, 500)]));
    }
    world.advance_cell();
    world
}

fn rows(world: &mut World) -> Vec<JobId> {
    let batch = world.cell.take_batch(MAX_ROWS, usize::MAX);
    let ids = batch.rows.iter().map(|row| match row {
        RecordRow::Progress(id, _) | RecordRow::Finished(id, _) => *id,
    });
    ids.collect()
}

/// Guards against starts whose tickets expire because the records of other jobs are rewritten before theirs.
#[test]
fn starts_are_recorded_before_other_changes() {
    let mut world = cell_with_starts(20);
    let rows = rows(&mut world);
    assert_eq!(rows.len(), MAX_ROWS);
    let starts: Vec<JobId> = (0..20).map(id).collect();
    assert_eq!(rows[..20], starts);
}

/// Guards against changes that are never recorded beside a steady stream of starts.
#[test]
fn starts_leave_some_rows_to_other_changes() {
    let mut world = cell_with_starts(400);
    let rows = rows(&mut world);
    assert_eq!(rows.len(), MAX_ROWS);
    let starts = rows.iter().filter(|row| **row < id(FIRST_WAITING)).count();
    assert!((128..MAX_ROWS).contains(&starts), "{starts} starts");
}

/// Guards against ends that are recorded seconds late, since the record of a job of many tasks fills each batch.
#[test]
fn a_job_that_fills_batches_leaves_every_other_one_to_the_rest() {
    const LARGE: [JobId; 2] = [JobId(0), JobId(1)];
    const SMALL: JobId = JobId(2);
    let mut world = World::with_reports(60, vec![queue("check", 0, 3)]);
    for large in LARGE {
        world.submit(large, job("check", vec![step(40, 1000, 500)]));
    }
    world.submit(SMALL, job("check", vec![step(1, 1000, 500)]));
    world.advance_cell();
    let mut batches = Vec::new();
    for _ in 0..6 {
        world.cell.rerecord_jobs(&[LARGE[0], LARGE[1], SMALL]);
        let batch = world.cell.take_batch(MAX_ROWS, 10);
        batches.push(batch.rows.iter().map(RecordRow::job).collect::<Vec<_>>());
    }
    // The first row of a job shows that it fills a batch.
    let expected = [LARGE[0], LARGE[1], SMALL, LARGE[0], SMALL, LARGE[1]].map(|id| vec![id]);
    assert_eq!(batches, expected);
}
