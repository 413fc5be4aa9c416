//! Load patterns, each with the decision that answers it.

use std::time::Duration;

use hs_cell::{JobId, RunEnd, StepSpec};

use crate::fixture::{advised_queue, id, job, queue, step};
use crate::world::World;

const ROUND: Duration = Duration::from_millis(50);

fn runs(world: &World, job: JobId) -> usize {
    world.placed(job).len()
}

/// Pattern: short checks arrive while long work waits. The check goes first when room becomes free.
#[test]
fn short_checks_pass_waiting_long_work() {
    let mut world = World::warm(1, vec![queue("check", 0, 2), queue("recon", 2, 2)]);
    world.submit(id(1), job("recon", vec![step(1, 8000, 500)]));
    world.quiet_round(ROUND);
    world.submit(id(2), job("recon", vec![step(1, 8000, 500)]));
    world.submit(id(3), job("check", vec![step(1, 8000, 300)]));
    world.quiet_round(ROUND);
    let (worker, run) = world.placed(id(1))[0];
    world.end(worker, run, RunEnd::Done);
    world.quiet_round(ROUND);
    assert_eq!((runs(&world, id(2)), runs(&world, id(3))), (0, 1));
}

/// Pattern: a crest has made some checks late. Those that can still meet their objective go first, so
/// that the delay is not passed on.
#[test]
fn late_checks_give_way_to_those_in_time() {
    let mut world = World::warm(1, vec![queue("check", 0, 2)]);
    world.submit(id(1), job("check", vec![step(1, 8000, 500)]));
    world.quiet_round(ROUND);
    world.submit(id(2), job("check", vec![step(1, 8000, 300)]));
    world.pass(Duration::from_millis(1500));
    world.submit(id(3), job("check", vec![step(1, 8000, 300)]));
    let (worker, run) = world.placed(id(1))[0];
    world.end(worker, run, RunEnd::Done);
    world.quiet_round(ROUND);
    assert_eq!((runs(&world, id(2)), runs(&world, id(3))), (0, 1));
}

/// Pattern: a gang waits while small tasks of a lower priority keep coming. Its workers are kept free.
#[test]
fn small_tasks_do_not_starve_a_gang() {
    let mut world = World::warm(2, vec![queue("plan", 1, 2), queue("recon", 2, 2)]);
    world.submit(id(1), job("recon", vec![step(2, 5000, 9000)]));
    world.quiet_round(ROUND);
    let gang = StepSpec {
        gang: true,
        ..step(2, 6000, 500)
    };
    world.submit(id(2), job("plan", vec![gang]));
    for number in 10..20 {
        world.submit(id(number), job("recon", vec![step(1, 3000, 9000)]));
    }
    for _ in 0..4 {
        world.quiet_round(ROUND);
    }
    let small: usize = (10..20).map(|number| runs(&world, id(number))).sum();
    assert_eq!(
        small, 0,
        "small tasks took the room that the gang waits for"
    );
    for (worker, run) in world.placed(id(1)) {
        world.end(worker, run, RunEnd::Done);
    }
    for _ in 0..3 {
        world.quiet_round(ROUND);
    }
    assert_eq!(runs(&world, id(2)), 2);
}

/// Pattern: small and wide tasks share workers. Small ones fill the fullest worker, so that the wide one
/// finds an empty one.
#[test]
fn small_tasks_leave_an_empty_worker() {
    let mut world = World::warm(3, vec![queue("check", 0, 2)]);
    for number in 1..5 {
        world.submit(id(number), job("check", vec![step(1, 2000, 900)]));
        world.quiet_round(ROUND);
    }
    let workers: std::collections::BTreeSet<usize> = (1..5)
        .flat_map(|number| world.placed(id(number)))
        .map(|(worker, _)| worker)
        .collect();
    assert_eq!(workers.len(), 1);
}

/// Pattern: a worker fails everything it starts. It is left alone, and other workers take the work.
#[test]
fn a_worker_that_fails_everything_is_left_alone() {
    let mut world = World::warm(2, vec![queue("check", 0, 9)]);
    let bad = 0;
    for number in 1..15 {
        world.submit(id(number), job("check", vec![step(1, 500, 900)]));
        world.quiet_round(ROUND);
        let failing: Vec<_> = world.workers[bad].running.keys().copied().collect();
        for run in failing {
            world.end(bad, run, RunEnd::Failed);
        }
    }
    let failed = (1..15).filter(|n| world.placed(id(*n)).is_empty()).count();
    assert!(
        failed <= 2,
        "{failed} checks wait or fail although a sound worker has room"
    );
}

/// Pattern: many gangs wait for room. Only the first of them keep their tickets valid, so that the calls
/// for new work are not held up.
#[test]
fn gangs_far_back_do_not_renew_tickets() {
    let queues = vec![
        advised_queue("plan", 1, Duration::from_millis(300)),
        queue("recon", 0, 2),
    ];
    let mut world = World::warm(4, queues);
    world.submit(id(1), job("recon", vec![step(4, 8000, 60_000)]));
    world.quiet_round(ROUND);
    for number in 10..20 {
        let gang = StepSpec {
            gang: true,
            ..step(2, 4000, 500)
        };
        world.submit(id(number), job("plan", vec![gang]));
    }
    let mut calls = 0;
    for _ in 0..200 {
        world.pump();
        calls += world.advice_calls().len();
        world.quiet_round(ROUND);
    }
    // Ten first calls, and renewals of three steps each two seconds at the most for ten seconds.
    assert!(calls <= 10 + 3 * 10, "{calls} calls for advice in 10 s");
}

/// Builds a gang that takes most of each of its workers.
fn wide_gang(count: u16) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, 6000, 2000)
    }
}

/// Pattern: the policy outside takes long for each call, whatever it is asked. The first call names enough
/// workers for the whole gang, instead of a few at a time.
#[test]
fn a_long_decision_is_asked_about_many_workers_at_once() {
    let queues = vec![advised_queue("plan", 1, Duration::from_millis(300))];
    let mut world = World::warm(60, queues);
    world.submit(id(1), job("plan", vec![wide_gang(2)]));
    world.pump();
    let named = world.advice_calls()[0].workers.len();
    assert!(named >= 20, "the first call names {named} workers");
}

/// Pattern: a gang waits for room while single workers become free. It does not make a call for each.
#[test]
fn a_waiting_gang_does_not_ask_about_single_workers() {
    let queues = vec![
        advised_queue("plan", 1, Duration::from_millis(300)),
        queue("recon", 0, 2),
    ];
    let mut world = World::warm(60, queues);
    for number in 0..60 {
        world.submit(id(100 + number), job("recon", vec![step(1, 8000, 60_000)]));
        world.quiet_round(ROUND);
    }
    world.submit(id(1), job("plan", vec![wide_gang(6)]));
    let mut calls = 0;
    for turn in 0..28 {
        if turn % 2 == 0 {
            // The policy denies the workers with odd numbers; the first call names the first half.
            let (worker, run) = world.placed(id(131 + turn))[0];
            world.end(worker, run, RunEnd::Done);
        }
        for number in 0..60 {
            world.hold(number);
        }
        world.pump();
        calls += world.advice_calls().len();
        world.quiet_round(ROUND);
    }
    // All workers at first, then at most one call a second about the few that are left.
    assert!(calls <= 4, "{calls} calls for one gang in 1.4 s");
}

/// Pattern: more gangs wait for a call than processes can make. The job whose objective ends first is
/// asked for first, however many workers its call names.
#[test]
fn calls_carry_the_end_of_the_objective() {
    let queues = vec![advised_queue("plan", 1, Duration::from_millis(300))];
    let mut world = World::warm(8, queues);
    world.submit(id(1), job("plan", vec![step(2, 6000, 9000)]));
    world.pump();
    world.pass(ROUND);
    world.submit(id(2), job("plan", vec![step(1, 6000, 300)]));
    world.pump();
    let ends: Vec<_> = world
        .advice_calls()
        .iter()
        .map(|c| c.objective_end)
        .collect();
    assert!(ends[1] < ends[0], "the later job has less time");
}
