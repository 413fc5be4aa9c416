//! Workers that the registry does not list for a while, also during a takeover.

use std::time::Duration;

use hs_cell::{RunEnd, StepSpec};

use crate::fixture::{WORKER_CPU, id, job, queue, step};
use crate::world::World;

const ROUND_TIME: Duration = Duration::from_millis(50);

/// Number of rounds, of 3 s in all, within which a run that nobody wants has ended and a ready task has started.
const SETTLE_ROUNDS: usize = 60;

fn settle(world: &mut World) {
    for _ in 0..SETTLE_ROUNDS {
        world.fault_free_round(ROUND_TIME);
    }
}

/// Guards against a gang that never starts again, because one of its members counts as placed on a worker that was
/// not listed when the gang was stopped.
#[test]
fn a_gang_starts_again_after_a_takeover_with_an_unlisted_worker() {
    let mut world = World::with_reports(2, vec![queue("plan", 1, 3)]);
    let gang = StepSpec {
        gang: true,
        ..step(2, WORKER_CPU, 60_000)
    };
    world.submit(id(1), job("plan", vec![gang]));
    world.fault_free_round(ROUND_TIME);
    let (failing, run) = world.placed(id(1))[0];
    let unlisted = 1 - failing;
    world.end(failing, run, RunEnd::Failed);
    // The end of the other member is acknowledged, but the owner is replaced before it has recorded anything.
    world.renew_lease(unlisted);
    world.advance_cell();
    world.renew_lease(unlisted);
    world.unlist(unlisted);
    world.replace_owner(false);
    for _ in 0..10 {
        world.fault_free_round(ROUND_TIME);
    }
    world.list(unlisted);
    settle(&mut world);
    let runs: Vec<u32> = world.placed(id(1)).iter().map(|(_, run)| run.run).collect();
    assert_eq!(runs, [2, 2]);
}

/// Guards against a run of a cancelled job that goes on, because the stop could not be sent, or was lost, when the job
/// was cancelled.
#[test]
fn a_run_of_a_cancelled_job_ends_whatever_became_of_its_stop() {
    struct Case {
        name: &'static str,
        is_replaced: bool,
        is_unlisted: bool,
    }
    let cases = [
        Case {
            name: "the stop is lost",
            is_replaced: false,
            is_unlisted: false,
        },
        Case {
            name: "the worker is not listed for a while",
            is_replaced: false,
            is_unlisted: true,
        },
        Case {
            name: "the worker is not listed at a takeover",
            is_replaced: true,
            is_unlisted: true,
        },
    ];
    for case in cases {
        let mut world = World::with_reports(1, vec![queue("check", 0, 3)]);
        world.submit(id(1), job("check", vec![step(1, 1000, 60_000)]));
        world.fault_free_round(ROUND_TIME);
        if case.is_unlisted {
            world.unlist(0);
        }
        if case.is_replaced {
            world.replace_owner(true);
        }
        world.cancel(id(1));
        world.advance_without_stops();
        world.lose_stops();
        assert_eq!(world.placed(id(1)).len(), 1, "{}", case.name);
        world.list(0);
        settle(&mut world);
        assert_eq!(world.placed(id(1)), [], "{}", case.name);
        assert_eq!(world.cell.allocated_runs(), 0, "{}", case.name);
    }
}
