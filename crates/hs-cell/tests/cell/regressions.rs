//! Faults that played days have shown.

use std::time::Duration;

use hs_cell::{JobOutcome, JobState, RunEnd, StepSpec};

use crate::fixture::{advised_queue, id, job, queue, step};
use crate::world::World;

const ROUND: Duration = Duration::from_millis(50);

/// Rounds in which the lease of a silent worker, of 7.5 s, is over.
const LEASE_ROUNDS: usize = 180;

/// Guards against a step that waits for good once its call for advice has failed and nothing else
/// happens.
#[test]
fn a_failed_call_for_advice_is_repeated_without_news() {
    let queues = vec![advised_queue("plan", 1, Duration::from_millis(300))];
    let mut world = World::warm(2, queues);
    world.submit(id(1), job("plan", vec![step(1, 1000, 500)]));
    world.pump();
    let call = world.advice_calls()[0].step;
    world.cell.advice_settled(call, &[], None, true, world.now);
    for _ in 0..10 {
        world.pass(ROUND);
        world.pump();
    }
    assert!(world.advice_calls().len() >= 2, "the call was not repeated");
}

/// Guards against a task that can never run again since the only worker for it failed it once.
#[test]
fn a_task_returns_to_the_only_worker_after_a_failure() {
    let mut world = World::warm(1, vec![queue("check", 0, 3)]);
    world.submit(id(1), job("check", vec![step(1, 1000, 500)]));
    world.quiet_round(ROUND);
    let (worker, run) = world.placed(id(1))[0];
    world.end(worker, run, RunEnd::Failed);
    world.settle(20);
    assert_eq!(
        world.state(id(1)),
        Some(JobState::Ended(JobOutcome::Completed))
    );
}

/// Guards against runs of a worker that is gone for good and that are never started elsewhere.
#[test]
fn runs_of_a_silent_worker_restart_after_its_lease() {
    let mut world = World::warm(2, vec![queue("check", 0, 3)]);
    world.submit(id(1), job("check", vec![step(1, 8000, 500)]));
    world.quiet_round(ROUND);
    let (worker, first) = world.placed(id(1))[0];
    world.crash(worker);
    for _ in 0..LEASE_ROUNDS {
        world.quiet_round(ROUND);
    }
    let (other, second) = world.placed(id(1))[0];
    assert_ne!(other, worker);
    assert!(second.run > first.run);
}

/// Guards against a run that is stopped at once because its worker's list was asked for before it began.
#[test]
fn a_young_run_does_not_count_as_stalled() {
    let mut world = World::warm(1, vec![queue("check", 0, 3)]);
    world.submit(id(1), job("check", vec![step(1, 1000, 500)]));
    world.quiet_round(ROUND);
    for _ in 0..20 {
        world.quiet_round(ROUND);
    }
    assert_eq!(world.placed(id(1))[0].1.run, 1);
}

/// Guards against a failure that counts twice when its end is listed again to a new owner.
#[test]
fn a_failure_counts_once_across_a_takeover() {
    let mut world = World::warm(1, vec![queue("check", 0, 2)]);
    world.submit(id(1), job("check", vec![step(1, 1000, 500)]));
    world.quiet_round(ROUND);
    let (worker, run) = world.placed(id(1))[0];
    world.end(worker, run, RunEnd::Failed);
    world.hold(worker);
    world.pump();
    world.begin_commit();
    // The record with the failure is written, and the end was not acknowledged.
    world.lose_owner(true);
    world.settle(20);
    assert_eq!(
        world.state(id(1)),
        Some(JobState::Ended(JobOutcome::Completed))
    );
}

/// Guards against a second run while a start that was meant for an earlier life of a worker runs on the
/// later one.
#[test]
fn a_new_life_inherits_runs_until_its_first_list() {
    let mut world = World::warm(2, vec![queue("check", 0, 3)]);
    world.submit(id(1), job("check", vec![step(1, 8000, 500)]));
    world.quiet_round(ROUND);
    let (worker, _) = world.placed(id(1))[0];
    world.restart(worker);
    world.pump();
    world.begin_commit();
    world.finish_commit();
    assert!(
        world.placed(id(1)).is_empty(),
        "the run was placed before the first list"
    );
    for _ in 0..4 {
        world.quiet_round(ROUND);
    }
    assert_eq!(world.placed(id(1)).len(), 1);
}

/// Guards against a start beyond the attempts that the operator allows.
#[test]
fn a_task_starts_no_more_often_than_allowed() {
    let mut world = World::warm(2, vec![queue("check", 0, 2)]);
    world.submit(id(1), job("check", vec![step(1, 1000, 500)]));
    for _ in 0..40 {
        world.quiet_round(ROUND);
        for (worker, run) in world.placed(id(1)) {
            world.end(worker, run, RunEnd::Failed);
        }
    }
    assert_eq!(world.starts, 2);
    assert_eq!(
        world.state(id(1)),
        Some(JobState::Ended(JobOutcome::Failed))
    );
}

/// Guards against a step that begins before an earlier one is done.
#[test]
fn a_step_waits_for_all_tasks_before_it() {
    let mut world = World::warm(2, vec![queue("recon", 2, 2)]);
    let mut second = step(1, 1000, 500);
    second.after.push(0);
    world.submit(id(1), job("recon", vec![step(2, 1000, 500), second]));
    world.quiet_round(ROUND);
    let (worker, run) = world.placed(id(1))[0];
    world.end(worker, run, RunEnd::Done);
    for _ in 0..3 {
        world.quiet_round(ROUND);
    }
    let begun = |world: &World| {
        world
            .placed(id(1))
            .iter()
            .any(|(_, run)| run.task.step.step == 1)
    };
    assert!(!begun(&world));
    let (worker, run) = world.placed(id(1))[0];
    world.end(worker, run, RunEnd::Done);
    for _ in 0..3 {
        world.quiet_round(ROUND);
    }
    assert!(begun(&world));
}

/// Guards against room that is given away while a run of an ended job still holds it, after a takeover.
#[test]
fn a_run_that_no_record_names_is_stopped_and_counts_until_its_end() {
    let mut world = World::warm(1, vec![queue("check", 0, 2)]);
    world.submit(id(1), job("check", vec![step(1, 8000, 500)]));
    world.quiet_round(ROUND);
    world.workers[0].reachable = false;
    world.cancel(id(1));
    world.pump();
    world.begin_commit();
    world.lose_owner(true);
    world.workers[0].reachable = true;
    world.submit(id(2), job("check", vec![step(1, 8000, 500)]));
    // The worker panics in the oracle if both run there.
    for _ in 0..6 {
        world.quiet_round(ROUND);
    }
    assert!(
        world.placed(id(1)).is_empty(),
        "the run of the cancelled job goes on"
    );
    assert_eq!(world.placed(id(2)).len(), 1);
}

/// Guards against a run that is taken to be gone since the worker's list was made before it began.
#[test]
fn a_list_asked_for_before_the_start_proves_nothing() {
    let mut world = World::warm(1, vec![queue("check", 0, 2)]);
    let asked_at = world.now;
    world.pass(ROUND);
    world.submit(id(1), job("check", vec![step(1, 1000, 500)]));
    world.pump();
    world.begin_commit();
    world.finish_commit();
    let key = world.cell.listed_workers()[0].1;
    let report = hs_cell::WorkerReport::default();
    world.cell.worker_reported(key, report, asked_at, world.now);
    for _ in 0..3 {
        world.quiet_round(ROUND);
    }
    assert_eq!(world.placed(id(1))[0].1.run, 1);
}

/// Guards against a second run that goes on although the first one, on a worker that was cut off, turns
/// out to have ended well.
#[test]
fn a_late_end_stops_the_run_that_replaced_it() {
    let mut world = World::warm(2, vec![queue("check", 0, 2)]);
    world.submit(
        id(1),
        job("check", vec![step(1, 8000, 500), step(1, 8000, 500)]),
    );
    world.quiet_round(ROUND);
    let (worker, first) = world.placed(id(1))[0];
    let (other, blocking) = world.placed(id(1))[1];
    world.workers[worker].reachable = false;
    world.end(worker, first, RunEnd::Done);
    for _ in 0..LEASE_ROUNDS {
        world.quiet_round(ROUND);
    }
    world.end(other, blocking, RunEnd::Done);
    for _ in 0..4 {
        world.quiet_round(ROUND);
    }
    assert_eq!(world.placed(id(1))[0].1.task, first.task);
    world.workers[worker].reachable = true;
    for _ in 0..6 {
        world.quiet_round(ROUND);
    }
    assert!(world.placed(id(1)).is_empty());
    assert_eq!(
        world.state(id(1)),
        Some(JobState::Ended(JobOutcome::Completed))
    );
}

/// Guards against jobs that wait for good since the owner took over before it had the configuration.
#[test]
fn jobs_restored_before_the_configuration_run_after_it() {
    let mut world = World::warm(1, Vec::new());
    world.submit(id(1), job("check", vec![step(1, 1000, 500)]));
    for _ in 0..3 {
        world.quiet_round(ROUND);
    }
    assert!(
        world.placed(id(1)).is_empty(),
        "no queue says where it may run"
    );
    world.configure(vec![queue("check", 0, 2)]);
    for _ in 0..3 {
        world.quiet_round(ROUND);
    }
    assert_eq!(world.placed(id(1)).len(), 1);
}

/// Guards against a count of waiting jobs that leaves out those whose starts an earlier owner recorded
/// and never sent.
#[test]
fn a_recorded_start_that_was_not_sent_leaves_the_job_waiting() {
    let mut world = World::warm(1, vec![queue("check", 0, 2)]);
    world.submit(id(1), job("check", vec![step(1, 8000, 500)]));
    world.pump();
    world.begin_commit();
    world.lose_owner(true);
    assert_eq!(
        world.cell.pending_jobs("check"),
        1,
        "before the worker's list"
    );
    world.hold(0);
    assert_eq!(
        world.cell.pending_jobs("check"),
        1,
        "after the worker's list"
    );
    world.quiet_round(ROUND);
    world.quiet_round(ROUND);
    assert_eq!(world.cell.pending_jobs("check"), 0, "after the start");
}

/// Guards against a gang that runs again: the first end that a worker lists ends the job, and the ends of
/// the other members were acknowledged before that was in the store.
#[test]
fn ends_of_a_gang_wait_for_the_record_of_its_job() {
    let mut world = World::warm(3, vec![queue("plan", 1, 2)]);
    let gang = StepSpec {
        gang: true,
        ..step(3, 6000, 500)
    };
    world.submit(id(1), job("plan", vec![gang]));
    world.quiet_round(ROUND);
    let (first, run) = world.placed(id(1))[0];
    world.end(first, run, RunEnd::Done);
    for _ in 0..2 {
        for worker in 0..3 {
            world.hold(worker);
        }
        world.pump();
    }
    // The owner is lost before it has written anything, and so is the worker that listed the first end.
    world.restart(first);
    world.lose_owner(false);
    // The oracle panics if a task starts after an acknowledged end.
    for _ in 0..240 {
        world.quiet_round(ROUND);
    }
    assert_eq!(
        world.state(id(1)),
        Some(JobState::Ended(JobOutcome::Completed))
    );
}
