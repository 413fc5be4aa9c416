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

/// Pattern: more gangs wait for a call than processes can make. The job that has to start first is
/// asked for first, however many workers its call names.
#[test]
fn calls_carry_the_latest_start() {
    let queues = vec![advised_queue("plan", 1, Duration::from_millis(300))];
    let mut world = World::warm(8, queues);
    world.submit(id(1), job("plan", vec![step(2, 6000, 9000)]));
    world.pump();
    world.pass(ROUND);
    world.submit(id(2), job("plan", vec![step(1, 6000, 300)]));
    world.pump();
    let starts: Vec<_> = world.advice_calls().iter().map(|c| c.start_by).collect();
    assert!(starts[1] < starts[0], "the later job has less time");
}

/// Builds a long task that saves checkpoints.
fn saving(count: u16) -> StepSpec {
    StepSpec {
        checkpoints: true,
        ..step(count, 4000, 60_000)
    }
}

/// Pattern: a gang waits for room on a few workers. Everybody else goes on working on the others.
#[test]
fn a_waiting_gang_leaves_other_workers_open() {
    let mut world = World::warm(12, vec![queue("plan", 1, 2), queue("recon", 2, 2)]);
    for number in 0..12 {
        world.submit(id(100 + number), job("recon", vec![step(1, 5000, 60_000)]));
        world.quiet_round(ROUND);
    }
    world.submit(id(1), job("plan", vec![wide_gang(2)]));
    for number in 0..10 {
        world.submit(id(200 + number), job("recon", vec![step(1, 3000, 60_000)]));
    }
    for _ in 0..6 {
        world.quiet_round(ROUND);
    }
    let placed = (0..10).filter(|n| runs(&world, id(200 + n)) > 0).count();
    assert!(
        placed >= 9,
        "{placed} of 10 tasks run beside the reservation"
    );
}

struct PreemptionCase {
    name: &'static str,
    /// What runs on all workers when the gang comes.
    running: StepSpec,
    priority: u8,
    starts: bool,
}

/// Pattern: long work of a lower priority fills the cluster when a gang arrives. Runs that lose nothing by
/// a stop make room, and no others.
#[test]
fn runs_with_checkpoints_make_room_for_a_gang() {
    let cases = [
        PreemptionCase {
            name: "checkpoints, lower priority",
            running: saving(2),
            priority: 2,
            starts: true,
        },
        PreemptionCase {
            name: "no checkpoints",
            running: step(2, 4000, 60_000),
            priority: 2,
            starts: false,
        },
        PreemptionCase {
            name: "same priority",
            running: saving(2),
            priority: 1,
            starts: false,
        },
        PreemptionCase {
            name: "a gang",
            running: StepSpec {
                gang: true,
                ..saving(2)
            },
            priority: 2,
            starts: false,
        },
    ];
    for PreemptionCase {
        name,
        running,
        priority,
        starts,
    } in cases
    {
        let mut world = World::warm(4, vec![queue("plan", 1, 2), queue("recon", priority, 2)]);
        for number in 0..4 {
            world.submit(id(100 + number), job("recon", vec![running.clone()]));
            world.quiet_round(ROUND);
        }
        world.submit(id(1), job("plan", vec![wide_gang(2)]));
        for _ in 0..8 {
            world.quiet_round(ROUND);
        }
        let gang = runs(&world, id(1));
        assert_eq!(gang, if starts { 2 } else { 0 }, "{name}");
        let others: usize = (0..4).map(|n| runs(&world, id(100 + n))).sum();
        assert_eq!(others, if starts { 4 } else { 8 }, "{name}");
    }
}

/// Pattern: small advised tasks share workers with gangs. They are asked for on workers that already run
/// something, so that the empty ones stay empty.
#[test]
fn single_tasks_are_asked_for_on_the_fullest_workers() {
    let queues = vec![
        advised_queue("check", 0, Duration::from_millis(10)),
        queue("recon", 2, 2),
    ];
    let mut world = World::warm(40, queues);
    world.submit(id(1), job("recon", vec![step(12, 5000, 60_000)]));
    for _ in 0..3 {
        world.quiet_round(ROUND);
    }
    let busy: Vec<usize> = world.placed(id(1)).into_iter().map(|(w, _)| w).collect();
    world.submit(id(2), job("check", vec![step(2, 1000, 300)]));
    world.pump();
    let named = &world.advice_calls()[0].workers;
    let ids: Vec<_> = named
        .iter()
        .filter_map(|key| world.cell.worker_id(*key))
        .collect();
    for id in ids {
        let number: usize = id[1..].parse().expect("ids are numbers");
        assert!(busy.contains(&number), "{id} is empty");
    }
}
