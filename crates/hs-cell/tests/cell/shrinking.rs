//! Tests of workers whose capacity shrinks and grows while they run.

use std::time::Duration;

use hs_cell::{QueueSpec, RunEnd, StepSpec};

use crate::fixture::{WORKER_CPU, advised_queue, id, job, queue, step};
use crate::world::World;

const ROUND_TIME: Duration = Duration::from_millis(50);

/// Capacity to which workers shrink, in thousandths of a CPU core.
const SHRUNK_CPU: u32 = WORKER_CPU / 4;

fn queues() -> Vec<QueueSpec> {
    vec![
        queue("check", 0, 3),
        advised_queue("plan", 1, Duration::from_millis(20)),
        queue("recon", 2, 3),
    ]
}

fn gang(count: u16, cpu_milli: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, cpu_milli, 800)
    }
}

fn rounds(world: &mut World, count: usize) {
    for _ in 0..count {
        world.fault_free_round(ROUND_TIME);
    }
}

/// Guards against a start that brings a worker over a capacity that has shrunk while the placement was written.
/// The oracle of the world checks each start against the capacity that the worker reports.
#[test]
fn placements_that_no_longer_fit_are_undone() {
    struct Case {
        name: &'static str,
        step: StepSpec,
        /// Number of tasks that run while one worker of four is small.
        fits: usize,
    }
    let cases = [
        Case {
            name: "one task",
            step: step(1, 4000, 500),
            fits: 1,
        },
        Case {
            name: "several tasks of which some still fit",
            step: step(32, 1000, 500),
            fits: 26,
        },
        Case {
            name: "a gang of which one member no longer fits",
            step: gang(4, WORKER_CPU),
            fits: 0,
        },
        Case {
            name: "a gang that fits elsewhere",
            step: gang(3, 4000),
            fits: 3,
        },
    ];
    for Case { name, step, fits } in cases {
        println!("case: {name}");
        let mut world = World::with_reports(4, queues());
        world.submit(id(1), job("check", vec![step.clone()]));
        world.advance_cell();
        world.begin_write();
        let shrunk = world
            .worker_of_pending_write()
            .expect("a placement is written");
        world.set_capacity(shrunk, SHRUNK_CPU);
        world.finish_write();
        rounds(&mut world, 10);
        assert_eq!(world.placed(id(1)).len(), fits, "{name}");
        world.set_capacity(shrunk, WORKER_CPU);
        rounds(&mut world, 10);
        let placed = world.placed(id(1)).len();
        assert_eq!(
            placed,
            usize::from(step.count),
            "{name}: the growth is not used"
        );
    }
}

/// Guards against starts on a worker that is over its capacity since it has shrunk, against runs that are
/// stopped because of that, and against a capacity that is counted as free while a run is being stopped.
#[test]
fn a_shrunk_worker_keeps_its_runs_and_gets_no_more() {
    for capacity in [0, 1000, SHRUNK_CPU] {
        let mut world = World::with_reports(1, queues());
        world.submit(id(1), job("check", vec![step(4, 2000, 500)]));
        rounds(&mut world, 3);
        world.set_capacity(0, capacity);
        let idle = StepSpec {
            fills: true,
            ..step(1, 100, 500)
        };
        world.submit(id(2), job("check", vec![step(2, 1000, 500), idle]));
        rounds(&mut world, 20);
        assert_eq!(world.placed(id(1)).len(), 4, "capacity {capacity}");
        assert_eq!(world.placed(id(2)).len(), 0, "capacity {capacity}");
        // Three runs end, and the last one is being stopped.
        for (number, run) in world.placed(id(1)).into_iter().take(3) {
            world.end(number, run, RunEnd::Done);
        }
        world.cancel(id(1));
        rounds(&mut world, 20);
        let fits = match capacity {
            SHRUNK_CPU => 3,
            1000 => 1,
            _ => 0,
        };
        let placed = world.placed(id(2)).len();
        assert!(
            placed <= fits && (placed > 0) == (fits > 0),
            "capacity {capacity}: {placed}"
        );
        world.set_capacity(0, WORKER_CPU);
        rounds(&mut world, 20);
        assert_eq!(world.placed(id(2)).len(), 3, "capacity {capacity}: growth");
    }
}

/// Guards against a start that needs only memory, on a worker that is over its CPU capacity since it has shrunk.
#[test]
fn a_worker_over_its_cpu_capacity_gets_no_start_that_needs_memory() {
    let mut world = World::with_reports(1, queues());
    let mut busy = step(4, 2000, 500);
    busy.need.memory_mib = 0;
    world.submit(id(1), job("check", vec![busy]));
    rounds(&mut world, 3);
    world.set_capacity(0, SHRUNK_CPU);
    let filling = StepSpec {
        fills: true,
        ..step(1, 100, 500)
    };
    world.submit(id(2), job("check", vec![filling]));
    // The oracle of the world panics if it starts.
    rounds(&mut world, 20);
    assert!(world.placed(id(2)).is_empty());
    world.set_capacity(0, WORKER_CPU);
    rounds(&mut world, 4);
    assert_eq!(world.placed(id(2)).len(), 1);
}

/// Guards against a gang that keeps workers reserved although their capacity has shrunk below its needs, and
/// against advice requests that name them.
#[test]
fn a_gang_uses_other_workers_than_shrunk_ones() {
    for name in ["check", "plan"] {
        let mut world = World::with_reports(8, queues());
        world.submit(id(1), job("recon", vec![step(8, 5000, 60_000)]));
        rounds(&mut world, 4);
        world.submit(id(2), job(name, vec![gang(3, 6000)]));
        rounds(&mut world, 4);
        // Only workers with even numbers get tickets.
        world.set_capacity(0, SHRUNK_CPU);
        world.set_capacity(1, 0);
        rounds(&mut world, 10);
        for (number, run) in world.placed(id(1)) {
            world.end(number, run, RunEnd::Done);
        }
        rounds(&mut world, 20);
        assert_eq!(world.placed(id(2)).len(), 3, "queue {name}");
    }
}

/// Guards against a takeover after which the capacity from before a shrinkage counts.
#[test]
fn a_new_owner_counts_runs_against_the_shrunk_capacity() {
    let mut world = World::with_reports(1, queues());
    world.submit(id(1), job("check", vec![step(3, 2000, 500)]));
    rounds(&mut world, 3);
    world.set_capacity(0, SHRUNK_CPU);
    world.take_over();
    world.submit(id(2), job("check", vec![step(1, 1000, 500)]));
    rounds(&mut world, 20);
    assert_eq!(world.placed(id(1)).len(), 3);
    assert!(world.placed(id(2)).is_empty());
}

/// Guards against a run that the owner does not know and that counts only as much as its worker can hold now.
/// When the worker grows, the run still occupies more.
#[test]
fn an_unknown_run_on_a_shrunk_worker_blocks_it() {
    let mut world = World::with_reports(1, queues());
    world.submit(id(1), job("check", vec![step(1, 6000, 500)]));
    rounds(&mut world, 3);
    world.forget_job(id(1));
    world.set_capacity(0, SHRUNK_CPU);
    world.take_over();
    world.renew_lease(0);
    world.renew_lease(0);
    world.set_capacity(0, WORKER_CPU);
    world.submit(id(2), job("check", vec![step(1, 4000, 500)]));
    // The stop is not sent yet.
    world.advance_without_stops();
    world.begin_write();
    world.finish_write();
    assert!(world.placed(id(2)).is_empty());
    rounds(&mut world, 10);
    assert_eq!(world.placed(id(2)).len(), 1);
}
