//! Failures that are reported after those of later runs, because their worker was unreachable for longer than its
//! lease.

use std::time::Duration;

use hs_cell::{JobOutcome, JobState, RunEnd, StepSpec};

use crate::fixture::{id, job, queue, step};
use crate::world::World;

const ROUND_TIME: Duration = Duration::from_millis(50);

/// Number of rounds after which the lease of an unreachable worker, of 7.5 s, has expired.
const LEASE_EXPIRY_ROUNDS: usize = 180;

/// Builds a world with a job whose first run has failed on an unreachable worker, and whose second one is in progress on
/// the other worker. Returns it with the number of the unreachable worker.
fn world_with_unseen_failure(max_attempts: u32, steps: Vec<StepSpec>) -> (World, usize) {
    let mut world = World::with_reports(2, vec![queue("check", 0, max_attempts)]);
    world.submit(id(1), job("check", steps));
    world.fault_free_round(ROUND_TIME);
    let (unreachable, run) = world.placed(id(1))[0];
    world.workers[unreachable].reachable = false;
    world.end(unreachable, run, RunEnd::Failed);
    for _ in 0..LEASE_EXPIRY_ROUNDS {
        world.fault_free_round(ROUND_TIME);
    }
    (world, unreachable)
}

/// Removes the numbers of earlier failed runs from the stored records.
fn drop_earlier_failed_runs(world: &mut World) {
    let records = world.store.records.records.values_mut();
    let steps = records.flat_map(|stored| &mut stored.record.steps);
    let tasks: Vec<_> = steps.flat_map(|step| &mut step.tasks).collect();
    assert!(!tasks.is_empty(), "the record is in an item of its own");
    for task in tasks {
        assert_eq!(task.earlier_failed_runs.len(), 1);
        task.earlier_failed_runs.clear();
    }
}

/// Guards against a failure that is not counted, or counted twice, because a later run has failed before it was
/// reported.
#[test]
fn failures_count_once_in_any_order() {
    struct Case {
        name: &'static str,
        max_attempts: u32,
        /// Whether an owner that has recorded the failures, and has not acknowledged them, is replaced.
        is_replaced: bool,
        /// Whether the replaced owner writes records without the numbers of earlier failed runs.
        is_earlier_version: bool,
        outcome: JobOutcome,
        starts: usize,
    }
    let cases = [
        Case {
            name: "no attempt is left",
            max_attempts: 2,
            is_replaced: false,
            is_earlier_version: false,
            outcome: JobOutcome::Failed,
            starts: 2,
        },
        Case {
            name: "no attempt is left at a takeover",
            max_attempts: 2,
            is_replaced: true,
            is_earlier_version: false,
            outcome: JobOutcome::Failed,
            starts: 2,
        },
        Case {
            name: "an attempt is left",
            max_attempts: 3,
            is_replaced: false,
            is_earlier_version: false,
            outcome: JobOutcome::Completed,
            starts: 3,
        },
        Case {
            name: "an attempt is left at a takeover",
            max_attempts: 3,
            is_replaced: true,
            is_earlier_version: false,
            outcome: JobOutcome::Completed,
            starts: 3,
        },
        Case {
            name: "an attempt is left at a takeover from an earlier version",
            max_attempts: 3,
            is_replaced: true,
            is_earlier_version: true,
            outcome: JobOutcome::Completed,
            starts: 3,
        },
    ];
    for case in cases {
        let steps = vec![step(1, 1000, 500)];
        let (mut world, unreachable) = world_with_unseen_failure(case.max_attempts, steps);
        let (worker, run) = world.placed(id(1))[0];
        world.end(worker, run, RunEnd::Failed);
        world.workers[unreachable].reachable = true;
        world.renew_lease(worker);
        world.renew_lease(unreachable);
        world.advance_cell();
        world.begin_write();
        match case.is_replaced {
            true => world.replace_owner(true),
            false => world.finish_write(),
        }
        if case.is_earlier_version {
            drop_earlier_failed_runs(&mut world);
            world.take_over();
        }
        world.finish_runs(20);
        let state = world.state(id(1));
        assert_eq!(state, Some(JobState::Ended(case.outcome)), "{}", case.name);
        assert_eq!(world.start_count, case.starts, "{}", case.name);
    }
}

/// Guards against a job that fails because of a task that a later run has done, before the failure of an earlier one was
/// reported.
#[test]
fn a_late_failure_of_a_task_that_is_done_fails_no_job() {
    let second = StepSpec {
        after: [0].into_iter().collect(),
        ..step(1, 1000, 500)
    };
    let (mut world, unreachable) = world_with_unseen_failure(1, vec![step(1, 1000, 500), second]);
    let (worker, run) = world.placed(id(1))[0];
    world.end(worker, run, RunEnd::Done);
    world.fault_free_round(ROUND_TIME);
    world.fault_free_round(ROUND_TIME);
    assert_eq!(world.placed(id(1)).len(), 1, "the second step has started");
    world.workers[unreachable].reachable = true;
    world.finish_runs(20);
    assert_eq!(
        world.state(id(1)),
        Some(JobState::Ended(JobOutcome::Completed))
    );
}
