//! Load patterns, each with the scheduling decision that is expected for it.

use std::time::Duration;

use hs_cell::{JobId, RunEnd, StepSpec};

use crate::fixture::{advised_queue, id, job, queue, step};
use crate::world::World;

const ROUND_TIME: Duration = Duration::from_millis(50);

fn run_count(world: &World, job: JobId) -> usize {
    world.placed(job).len()
}

/// Pattern: a short job of high priority arrives while a long one waits. The short job starts first when
/// resources become free.
#[test]
fn high_priority_jobs_start_before_waiting_long_jobs() {
    let mut world = World::with_reports(1, vec![queue("check", 0, 2), queue("recon", 2, 2)]);
    world.submit(id(1), job("recon", vec![step(1, 8000, 500)]));
    world.fault_free_round(ROUND_TIME);
    world.submit(id(2), job("recon", vec![step(1, 8000, 500)]));
    world.submit(id(3), job("check", vec![step(1, 8000, 300)]));
    world.fault_free_round(ROUND_TIME);
    let (worker, run) = world.placed(id(1))[0];
    world.end(worker, run, RunEnd::Done);
    world.fault_free_round(ROUND_TIME);
    assert_eq!((run_count(&world, id(2)), run_count(&world, id(3))), (0, 1));
}

/// Pattern: a load peak has made some jobs late. Jobs that can still meet their objective start first, so
/// that the delay does not spread to them.
#[test]
fn late_jobs_yield_to_jobs_that_can_meet_their_objective() {
    let mut world = World::with_reports(1, vec![queue("check", 0, 2)]);
    world.submit(id(1), job("check", vec![step(1, 8000, 500)]));
    world.fault_free_round(ROUND_TIME);
    world.submit(id(2), job("check", vec![step(1, 8000, 300)]));
    world.pass_time(Duration::from_millis(1500));
    world.submit(id(3), job("check", vec![step(1, 8000, 300)]));
    let (worker, run) = world.placed(id(1))[0];
    world.end(worker, run, RunEnd::Done);
    world.fault_free_round(ROUND_TIME);
    assert_eq!((run_count(&world, id(2)), run_count(&world, id(3))), (0, 1));
}

/// Pattern: a gang waits while small tasks of a lower priority keep arriving. Its workers are reserved.
#[test]
fn small_tasks_do_not_starve_a_gang() {
    let mut world = World::with_reports(2, vec![queue("plan", 1, 2), queue("recon", 2, 2)]);
    world.submit(id(1), job("recon", vec![step(2, 5000, 9000)]));
    world.fault_free_round(ROUND_TIME);
    let gang = StepSpec {
        gang: true,
        ..step(2, 6000, 500)
    };
    world.submit(id(2), job("plan", vec![gang]));
    for number in 10..20 {
        world.submit(id(number), job("recon", vec![step(1, 3000, 9000)]));
    }
    for _ in 0..4 {
        world.fault_free_round(ROUND_TIME);
    }
    let small: usize = (10..20).map(|number| run_count(&world, id(number))).sum();
    assert_eq!(
        small, 0,
        "small tasks were placed on the workers that the gang waits for"
    );
    for (worker, run) in world.placed(id(1)) {
        world.end(worker, run, RunEnd::Done);
    }
    for _ in 0..3 {
        world.fault_free_round(ROUND_TIME);
    }
    assert_eq!(run_count(&world, id(2)), 2);
}

/// Pattern: small and large tasks share workers. Small tasks are placed on the fullest worker, so that other
/// workers stay empty for large ones.
#[test]
fn small_tasks_are_packed_onto_one_worker() {
    let mut world = World::with_reports(3, vec![queue("check", 0, 2)]);
    for number in 1..5 {
        world.submit(id(number), job("check", vec![step(1, 2000, 900)]));
        world.fault_free_round(ROUND_TIME);
    }
    let workers: std::collections::BTreeSet<usize> = (1..5)
        .flat_map(|number| world.placed(id(number)))
        .map(|(worker, _)| worker)
        .collect();
    assert_eq!(workers.len(), 1);
}

/// Pattern: a worker fails every run. It is quarantined, and other workers run the tasks.
#[test]
fn a_worker_that_fails_every_run_is_quarantined() {
    let mut world = World::with_reports(2, vec![queue("check", 0, 9)]);
    let bad = 0;
    for number in 1..15 {
        world.submit(id(number), job("check", vec![step(1, 500, 900)]));
        world.fault_free_round(ROUND_TIME);
        let failing: Vec<_> = world.workers[bad].running.keys().copied().collect();
        for run in failing {
            world.end(bad, run, RunEnd::Failed);
        }
    }
    let failed = (1..15).filter(|n| world.placed(id(*n)).is_empty()).count();
    assert!(
        failed <= 2,
        "{failed} jobs are not running although a healthy worker has free resources"
    );
}

/// Pattern: many gangs wait for resources. Only the first of them renew their tickets, so that requests for
/// new jobs are not delayed.
#[test]
fn gangs_far_back_in_the_queue_do_not_renew_tickets() {
    let queues = vec![
        advised_queue("plan", 1, Duration::from_millis(300)),
        queue("recon", 0, 2),
    ];
    let mut world = World::with_reports(4, queues);
    world.submit(id(1), job("recon", vec![step(4, 8000, 60_000)]));
    world.fault_free_round(ROUND_TIME);
    for number in 10..20 {
        let gang = StepSpec {
            gang: true,
            ..step(2, 4000, 500)
        };
        world.submit(id(number), job("plan", vec![gang]));
    }
    let mut requests = 0;
    for _ in 0..200 {
        world.advance_cell();
        requests += world.advice_requests().len();
        world.fault_free_round(ROUND_TIME);
    }
    // Ten first requests, and at most one renewal every two seconds for each of three steps in ten seconds.
    assert!(
        requests <= 10 + 3 * 10,
        "{requests} advice requests in 10 s"
    );
}

/// Builds a gang whose tasks take most of a worker each.
fn wide_gang(count: u16) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, 6000, 2000)
    }
}

/// Pattern: the advice service takes long for each request, however few workers it names. The first request
/// names enough workers for the whole gang, instead of a few at a time.
#[test]
fn the_first_request_to_a_slow_advice_service_names_many_workers() {
    let queues = vec![advised_queue("plan", 1, Duration::from_millis(300))];
    let mut world = World::with_reports(60, queues);
    world.submit(id(1), job("plan", vec![wide_gang(2)]));
    world.advance_cell();
    let named = world.advice_requests()[0].workers.len();
    assert!(named >= 20, "the first request names {named} workers");
}

/// Pattern: a gang waits for resources while workers become free one by one. It does not send a request for
/// each of them.
#[test]
fn a_waiting_gang_does_not_request_advice_for_each_free_worker() {
    let queues = vec![
        advised_queue("plan", 1, Duration::from_millis(300)),
        queue("recon", 0, 2),
    ];
    let mut world = World::with_reports(60, queues);
    for number in 0..60 {
        world.submit(id(100 + number), job("recon", vec![step(1, 8000, 60_000)]));
        world.fault_free_round(ROUND_TIME);
    }
    world.submit(id(1), job("plan", vec![wide_gang(6)]));
    let mut requests = 0;
    for turn in 0..28 {
        if turn % 2 == 0 {
            // The advice service denies the workers with odd numbers, and the first request names the first
            // half.
            let (worker, run) = world.placed(id(131 + turn))[0];
            world.end(worker, run, RunEnd::Done);
        }
        for number in 0..60 {
            world.renew_lease(number);
        }
        world.advance_cell();
        requests += world.advice_requests().len();
        world.fault_free_round(ROUND_TIME);
    }
    // A first request for many workers, then at most one request a second for the few that remain.
    assert!(
        requests <= 4,
        "{requests} advice requests for one gang in 1.4 s"
    );
}

/// Pattern: more advice requests are waiting than processes can send. Each carries the latest start of its
/// job, so that the most urgent one is sent first, however many workers it names.
#[test]
fn advice_requests_carry_the_latest_start() {
    let queues = vec![advised_queue("plan", 1, Duration::from_millis(300))];
    let mut world = World::with_reports(8, queues);
    world.submit(id(1), job("plan", vec![step(2, 6000, 9000)]));
    world.advance_cell();
    world.pass_time(ROUND_TIME);
    world.submit(id(2), job("plan", vec![step(1, 6000, 300)]));
    world.advance_cell();
    let starts: Vec<_> = world.advice_requests().iter().map(|c| c.start_by).collect();
    assert!(starts[1] < starts[0], "the later job has to start earlier");
}

/// Builds a step of long tasks that save checkpoints.
fn checkpointed_step(count: u16) -> StepSpec {
    StepSpec {
        checkpoints: true,
        ..step(count, 4000, 60_000)
    }
}

/// Pattern: a gang waits for resources on a few workers. Other steps are still placed on all other workers.
#[test]
fn a_waiting_gang_leaves_other_workers_available() {
    let mut world = World::with_reports(12, vec![queue("plan", 1, 2), queue("recon", 2, 2)]);
    for number in 0..12 {
        world.submit(id(100 + number), job("recon", vec![step(1, 5000, 60_000)]));
        world.fault_free_round(ROUND_TIME);
    }
    world.submit(id(1), job("plan", vec![wide_gang(2)]));
    for number in 0..10 {
        world.submit(id(200 + number), job("recon", vec![step(1, 3000, 60_000)]));
    }
    for _ in 0..6 {
        world.fault_free_round(ROUND_TIME);
    }
    let placed = (0..10)
        .filter(|n| run_count(&world, id(200 + n)) > 0)
        .count();
    assert!(
        placed >= 9,
        "{placed} of 10 tasks run beside the reservation"
    );
}

struct PreemptionCase {
    name: &'static str,
    /// Step that runs on all workers when the gang arrives.
    running: StepSpec,
    priority: u8,
    /// Whether the gang is expected to start.
    starts: bool,
}

/// Pattern: long runs fill the cluster when a gang arrives. Only runs of a lower priority that lose no work
/// are preempted for it.
#[test]
fn only_checkpointed_runs_of_lower_priority_are_preempted_for_a_gang() {
    let cases = [
        PreemptionCase {
            name: "checkpoints, lower priority",
            running: checkpointed_step(2),
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
            running: checkpointed_step(2),
            priority: 1,
            starts: false,
        },
        PreemptionCase {
            name: "a gang",
            running: StepSpec {
                gang: true,
                ..checkpointed_step(2)
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
        let mut world =
            World::with_reports(4, vec![queue("plan", 1, 2), queue("recon", priority, 2)]);
        for number in 0..4 {
            world.submit(id(100 + number), job("recon", vec![running.clone()]));
            world.fault_free_round(ROUND_TIME);
        }
        world.submit(id(1), job("plan", vec![wide_gang(2)]));
        for _ in 0..8 {
            world.fault_free_round(ROUND_TIME);
        }
        let gang = run_count(&world, id(1));
        assert_eq!(gang, if starts { 2 } else { 0 }, "{name}");
        let others: usize = (0..4).map(|n| run_count(&world, id(100 + n))).sum();
        assert_eq!(others, if starts { 4 } else { 8 }, "{name}");
    }
}

/// Pattern: small tasks that need advice share workers with gangs. Their requests name workers that are
/// already in use, so that empty ones stay empty.
#[test]
fn advice_for_single_tasks_names_the_fullest_workers() {
    let queues = vec![
        advised_queue("check", 0, Duration::from_millis(10)),
        queue("recon", 2, 2),
    ];
    let mut world = World::with_reports(40, queues);
    world.submit(id(1), job("recon", vec![step(12, 5000, 60_000)]));
    for _ in 0..3 {
        world.fault_free_round(ROUND_TIME);
    }
    let busy: Vec<usize> = world.placed(id(1)).into_iter().map(|(w, _)| w).collect();
    world.submit(id(2), job("check", vec![step(2, 1000, 300)]));
    world.advance_cell();
    let named = &world.advice_requests()[0].workers;
    let ids: Vec<_> = named
        .iter()
        .filter_map(|key| world.cell.worker_id(*key))
        .collect();
    for id in ids {
        let number: usize = id[1..].parse().expect("ids are numbers");
        assert!(busy.contains(&number), "{id} is empty");
    }
}

/// Pattern: a long-running task fails long after its job began, while many later jobs of its queue wait that no
/// worker can run. It does not count as late, and so is not placed after all of them.
#[test]
fn a_long_running_task_that_failed_late_is_not_overtaken_by_waiting_jobs() {
    let queues = vec![advised_queue("watch", 1, Duration::from_millis(10))];
    let mut world = World::with_reports(12, queues);
    let lasting = StepSpec {
        long_running: true,
        ..step(6, 5000, 300)
    };
    world.submit(id(1), job("watch", vec![lasting]));
    for _ in 0..600 {
        world.fault_free_round(ROUND_TIME);
    }
    assert_eq!(run_count(&world, id(1)), 6);
    for number in 10..50 {
        let impossible = StepSpec {
            requires: Some("missing".into()),
            ..step(1, 1000, 60_000)
        };
        world.submit(id(number), job("watch", vec![impossible]));
    }
    world.fault_free_round(ROUND_TIME);
    let (worker, run) = world.placed(id(1))[0];
    world.end(worker, run, RunEnd::Failed);
    for _ in 0..60 {
        world.fault_free_round(ROUND_TIME);
    }
    assert_eq!(run_count(&world, id(1)), 6);
}
