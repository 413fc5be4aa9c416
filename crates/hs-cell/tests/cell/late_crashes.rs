//! Tests of tasks whose workers crash long after the start of their runs.

use std::time::Duration;

use hs_cell::{JobOutcome, JobState, TaskId};

use crate::crashes::{await_start, has_failed, queues, rounds, task};
use crate::fixture::{id, job, step};
use crate::world::World;

/// Number of rounds, of 12 s in all, after which a crash is no longer early in the run.
const LATE_ROUNDS: usize = 240;

/// Number of rounds, of 2 s in all, between two arrivals of deadly tasks.
const ARRIVAL_ROUNDS: usize = 40;

/// Number of crashes of which none may be the last before a task that is not deadly is given up.
const SHARED_CRASHES: usize = 4;

/// Crashes the worker of a task late in its run, and restarts it.
fn crash_late(world: &mut World, task: TaskId) {
    await_start(world, task);
    rounds(world, LATE_ROUNDS);
    let number = await_start(world, task);
    assert!(world.workers[number].running.len() > 1, "the task is alone");
    world.crash(number);
    rounds(world, 4);
    world.restart(number);
    rounds(world, 4);
}

/// Guards against a job that is shown as failed because its long task shared one worker after the other with tasks
/// that crash theirs.
#[test]
fn a_task_that_shared_its_workers_with_deadly_ones_completes() {
    let mut world = World::with_reports(4, queues());
    let innocent = task(1, 0);
    world.submit(id(2), job("check", vec![step(12, 1000, 500)]));
    world.submit(id(1), job("check", vec![step(1, 1000, 500)]));
    for _ in 0..SHARED_CRASHES {
        crash_late(&mut world, innocent);
    }
    for number in 10..25 {
        world.deadly.insert(task(number, 0));
        world.submit(id(number), job("check", vec![step(1, 1000, 500)]));
        rounds(&mut world, ARRIVAL_ROUNDS);
        assert!(!has_failed(&world, id(1)), "given up after job {number}");
    }
    rounds(&mut world, LATE_ROUNDS * 5);
    await_start(&mut world, innocent);
    world.finish_runs(40);
    let state = world.state(id(1));
    assert_eq!(state, Some(JobState::Ended(JobOutcome::Completed)));
}

/// Guards against a deadly task that takes long to crash its workers, and is started without end beside others.
#[test]
fn a_task_that_crashes_its_workers_late_is_given_up() {
    let mut world = World::with_reports(4, queues());
    world.crash_delay = Duration::from_secs(12);
    world.submit(id(2), job("check", vec![step(12, 1000, 500)]));
    let deadly = task(1, 0);
    world.deadly.insert(deadly);
    world.submit(id(1), job("check", vec![step(1, 1000, 500)]));
    rounds(&mut world, LATE_ROUNDS * 12);
    assert!(has_failed(&world, id(1)));
    assert!(!has_failed(&world, id(2)), "the neighbours failed");
    let crashes = world.crash_count(deadly);
    assert!((4..=5).contains(&crashes), "{crashes} crashes");
}
