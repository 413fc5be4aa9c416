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
