//! Tests of tasks that crash the workers that start them, and of tasks that crash none.

use std::time::Duration;

use hs_cell::{
    CrashEvent, JobId, JobOutcome, JobRecord, JobState, RunEnd, StepId, StepSpec, TaskId,
    WorkerEntry,
};

use crate::fixture::{WORKER_CPU, advised_queue, entry, id, job, queue, step};
use crate::world::World;

const ROUND_TIME: Duration = Duration::from_millis(50);

/// Number of rounds, of 200 s in all, within which a job with a deadly task ends.
const GIVE_UP_ROUNDS: usize = 4000;

/// Number of rounds, of 9 s in all, after which a lease has expired.
const LEASE_EXPIRY_ROUNDS: usize = 180;

/// Number of rounds, of 30 s in all, after which a task that makes progress is not suspected any more.
const CLEARING_ROUNDS: usize = 600;

/// Number of rounds, of 3 s in all, within which a ready task has to start if workers have room for it.
const START_BOUND_ROUNDS: usize = 60;

/// Largest number of workers that may crash under one task: two starts may follow the third crash.
const MAX_CRASHES: u32 = 5;

pub fn task(number: u64, index: u16) -> TaskId {
    let step = StepId {
        job: id(number),
        occurrence: 0,
        step: 0,
    };
    step.task(index)
}

fn gang(count: u16, cpu_milli: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, cpu_milli, 800)
    }
}

fn long_running(count: u16, cpu_milli: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        ..step(count, cpu_milli, 800)
    }
}

pub fn queues() -> Vec<hs_cell::QueueSpec> {
    vec![
        queue("check", 0, 3),
        advised_queue("plan", 1, Duration::from_millis(20)),
    ]
}

pub fn rounds(world: &mut World, count: usize) {
    for _ in 0..count {
        world.fault_free_round(ROUND_TIME);
    }
}

pub fn has_failed(world: &World, id: JobId) -> bool {
    world.state(id) == Some(JobState::Ended(JobOutcome::Failed))
}

/// Returns the worker that runs a task.
fn worker_of(world: &World, task: TaskId) -> Option<usize> {
    let placed = world.placed(task.job()).into_iter();
    let mut of_task = placed.filter(|(_, run)| run.task == task);
    of_task.next().map(|(number, _)| number)
}

/// Runs rounds until a task runs.
pub fn await_start(world: &mut World, task: TaskId) -> usize {
    for _ in 0..GIVE_UP_ROUNDS {
        if let Some(number) = worker_of(world, task) {
            return number;
        }
        world.fault_free_round(ROUND_TIME);
    }
    panic!("{task:?} does not start");
}

/// Crashes the worker of a task and restarts it.
fn crash_under(world: &mut World, task: TaskId) {
    let number = await_start(world, task);
    world.crash(number);
    rounds(world, 4);
    world.restart(number);
    rounds(world, 4);
}

/// Guards against a task that crashes worker after worker without end. The oracle of the world counts its
/// starts after three workers have crashed under it.
#[test]
fn a_deadly_task_is_given_up() {
    struct Case {
        name: &'static str,
        workers: usize,
        queue: &'static str,
        step: StepSpec,
        /// Tasks of another job that run beside it.
        neighbours: StepSpec,
        crash_delay: Duration,
        return_time: Duration,
        /// Whether the owner is replaced at each crash.
        is_replaced: bool,
    }
    let plain = || Case {
        name: "on an idle cell",
        workers: 6,
        queue: "check",
        step: step(1, 1000, 500),
        neighbours: step(1, 1000, 500),
        crash_delay: Duration::ZERO,
        return_time: Duration::from_secs(3),
        is_replaced: false,
    };
    let cases = [
        plain(),
        Case {
            name: "on the only worker",
            workers: 1,
            ..plain()
        },
        Case {
            name: "beside many small tasks",
            neighbours: step(30, 1000, 500),
            ..plain()
        },
        Case {
            name: "beside long-running tasks",
            neighbours: long_running(18, 2000),
            ..plain()
        },
        Case {
            name: "long-running",
            step: long_running(3, 1000),
            neighbours: step(30, 1000, 500),
            ..plain()
        },
        Case {
            name: "member of a gang",
            step: gang(4, 2000),
            neighbours: step(12, 1000, 500),
            ..plain()
        },
        Case {
            name: "member of a gang with tickets",
            workers: 12,
            queue: "plan",
            step: gang(4, 2000),
            neighbours: step(12, 1000, 500),
            ..plain()
        },
        Case {
            name: "member of a gang that never fits with members alone",
            workers: 2,
            step: gang(6, 2000),
            ..plain()
        },
        Case {
            name: "with a ticket",
            queue: "plan",
            ..plain()
        },
        Case {
            name: "crash 2 s after the start",
            crash_delay: Duration::from_secs(2),
            neighbours: step(30, 1000, 500),
            ..plain()
        },
        Case {
            name: "crash 25 s after the start",
            crash_delay: Duration::from_secs(25),
            ..plain()
        },
        Case {
            name: "workers return after their leases",
            return_time: Duration::from_secs(12),
            neighbours: step(20, 1000, 500),
            ..plain()
        },
        Case {
            name: "workers return long after their leases",
            return_time: Duration::from_secs(20),
            neighbours: step(20, 1000, 500),
            ..plain()
        },
        Case {
            name: "owners are replaced at the crashes",
            is_replaced: true,
            ..plain()
        },
        Case {
            name: "owners are replaced, workers return after their leases",
            return_time: Duration::from_secs(12),
            is_replaced: true,
            ..plain()
        },
    ];
    for case in cases {
        let name = case.name;
        println!("case: {name}");
        let mut world = World::with_reports(case.workers, queues());
        world.crash_delay = case.crash_delay;
        world.return_time = case.return_time;
        world.submit(id(2), job("check", vec![case.neighbours]));
        rounds(&mut world, 4);
        let deadly = task(1, 0);
        world.deadly.insert(deadly);
        world.submit(id(1), job(case.queue, vec![case.step]));
        let mut crashes = 0;
        for _ in 0..GIVE_UP_ROUNDS {
            world.fault_free_round(ROUND_TIME);
            if case.is_replaced && world.crash_count(deadly) > crashes {
                crashes = world.crash_count(deadly);
                world.take_over();
            }
        }
        assert!(
            has_failed(&world, id(1)),
            "{name}: {:?}",
            world.state(id(1))
        );
        let crashes = world.crash_count(deadly);
        assert!(crashes >= 2, "{name}: given up after {crashes} crashes");
        assert!(crashes <= MAX_CRASHES, "{name}: {crashes} crashes");
        assert!(!has_failed(&world, id(2)), "{name}: the neighbours failed");
        world.finish_runs(40);
        assert!(!has_failed(&world, id(2)), "{name}: the neighbours failed");
    }
}

/// Guards against a job that is shown as failed because its tasks ran beside those that crash their workers.
#[test]
fn tasks_beside_deadly_ones_complete() {
    struct Case {
        name: &'static str,
        innocent: StepSpec,
        deadly: StepSpec,
    }
    let cases = [
        Case {
            name: "small tasks",
            innocent: step(12, 1000, 500),
            deadly: step(1, 1000, 500),
        },
        Case {
            name: "a gang",
            innocent: gang(6, 2000),
            deadly: step(1, 1000, 500),
        },
        Case {
            name: "a gang beside gangs",
            innocent: gang(4, 3000),
            deadly: gang(3, 1000),
        },
        Case {
            name: "tasks that fill a worker",
            innocent: step(2, WORKER_CPU, 500),
            deadly: step(1, 1000, 500),
        },
    ];
    for Case {
        name,
        innocent,
        deadly,
    } in cases
    {
        println!("case: {name}");
        let mut world = World::with_reports(6, queues());
        // Another job with a deadly task arrives each 2 s, and the innocent ones take 10 s.
        for number in 10..30 {
            world.deadly.insert(task(number, 0));
            world.submit(id(number), job("check", vec![deadly.clone()]));
            if number == 12 {
                world.submit(id(1), job("check", vec![innocent.clone()]));
            }
            rounds(&mut world, 40);
        }
        rounds(&mut world, GIVE_UP_ROUNDS);
        let number = await_start(&mut world, task(1, 0));
        assert!(world.workers[number].up, "{name}");
        world.finish_runs(40);
        let state = world.state(id(1));
        assert_eq!(
            state,
            Some(JobState::Ended(JobOutcome::Completed)),
            "{name}"
        );
        for number in 10..30 {
            assert!(has_failed(&world, id(number)), "{name}: job {number}");
        }
    }
}

/// Guards against a partition that counts as crashes: workers that were silent for longer than their leases and
/// return as the same incarnations have not crashed.
#[test]
fn workers_that_return_from_silence_count_as_no_crash() {
    let mut world = World::with_reports(6, queues());
    world.submit(id(1), job("check", vec![step(4, 1000, 500)]));
    world.submit(id(2), job("check", vec![gang(3, 3000)]));
    for _ in 0..8 {
        await_start(&mut world, task(1, 0));
        let dark: Vec<usize> = (0..6)
            .filter(|n| !world.workers[*n].running.is_empty())
            .collect();
        for number in &dark {
            world.workers[*number].reachable = false;
        }
        rounds(&mut world, LEASE_EXPIRY_ROUNDS);
        for number in &dark {
            world.workers[*number].reachable = true;
        }
        rounds(&mut world, 10);
    }
    assert_eq!(world.crash_events, Vec::<CrashEvent>::new());
    world.finish_runs(40);
    for number in [1, 2] {
        let state = world.state(id(number));
        assert_eq!(state, Some(JobState::Ended(JobOutcome::Completed)));
    }
}

/// Guards against jobs that are shown as failed because all workers restart together several times, as after a
/// power failure.
#[test]
fn workers_that_restart_together_fail_no_job() {
    for is_replaced in [false, true] {
        let mut world = World::with_reports(4, queues());
        world.submit(id(1), job("check", vec![step(12, 1000, 500)]));
        world.submit(id(2), job("check", vec![gang(4, 2000)]));
        world.submit(id(3), job("check", vec![long_running(4, 500)]));
        for _ in 0..3 {
            rounds(&mut world, 40);
            for number in 0..4 {
                world.crash(number);
            }
            if is_replaced {
                world.take_over();
            }
            for number in 0..4 {
                world.restart(number);
            }
        }
        rounds(&mut world, 100);
        assert_eq!(world.jobs_failed_without_cause(), Vec::<JobId>::new());
        assert!(
            !world.placed(id(3)).is_empty(),
            "owner replaced: {is_replaced}"
        );
        world.finish_runs(120);
        for number in [1, 2] {
            let state = world.state(id(number));
            assert_eq!(state, Some(JobState::Ended(JobOutcome::Completed)));
        }
    }
}

/// Guards against a suspect that takes the work of others down with its worker, or is suspected together with
/// them: it runs alone on its worker until it has made progress.
#[test]
fn a_suspect_runs_alone_until_it_is_cleared() {
    let mut world = World::with_reports(3, queues());
    world.submit(id(1), job("check", vec![long_running(1, 1000)]));
    let suspect = task(1, 0);
    for _ in 0..2 {
        crash_under(&mut world, suspect);
    }
    let number = await_start(&mut world, suspect);
    world.submit(id(2), job("check", vec![step(16, 1000, 500)]));
    rounds(&mut world, 20);
    assert_eq!(
        world.workers[number].running.len(),
        1,
        "others run beside the suspect"
    );
    assert_eq!(
        world.placed(id(2)).len(),
        16,
        "others wait beside free workers"
    );
    rounds(&mut world, CLEARING_ROUNDS);
    world.submit(id(3), job("check", vec![step(7, 1000, 500)]));
    rounds(&mut world, 20);
    assert_eq!(world.placed(id(3)).len(), 7, "the worker is not used");
    assert_eq!(
        worker_of(&world, suspect),
        Some(number),
        "the suspect was moved"
    );
}

/// Guards against a crashed worker that stays unused after its return, although a task was at fault.
#[test]
fn a_worker_that_crashed_under_a_suspect_is_used_at_once() {
    let mut world = World::with_reports(1, queues());
    let deadly = task(1, 0);
    world.deadly.insert(deadly);
    world.submit(id(1), job("check", vec![step(1, 1000, 500)]));
    for _ in 0..GIVE_UP_ROUNDS {
        if has_failed(&world, id(1)) {
            break;
        }
        world.fault_free_round(ROUND_TIME);
    }
    // The crash is known from the registry entry of the worker that has just returned.
    assert!(has_failed(&world, id(1)));
    world.submit(id(2), job("check", vec![step(1, 1000, 500)]));
    rounds(&mut world, 4);
    assert_eq!(world.placed(id(2)).len(), 1, "the worker is not used");
}

/// Guards against a suspect that waits for an empty worker forever, because others always take what gets free.
#[test]
fn a_suspect_starts_on_a_busy_cell() {
    struct Case {
        name: &'static str,
        busy: StepSpec,
        /// Whether the other tasks end, and further ones wait.
        ends: bool,
    }
    let cases = [
        Case {
            name: "short tasks",
            busy: step(200, 1000, 500),
            ends: true,
        },
        Case {
            name: "long-running tasks",
            busy: long_running(21, 1000),
            ends: false,
        },
    ];
    for Case { name, busy, ends } in cases {
        let mut world = World::with_reports(3, queues());
        world.submit(id(1), job("check", vec![step(1, 1000, 500)]));
        let suspect = task(1, 0);
        world.submit(id(2), job("check", vec![busy]));
        for _ in 0..3 {
            crash_under(&mut world, suspect);
        }
        rounds(&mut world, CLEARING_ROUNDS / 2);
        let mut started = worker_of(&world, suspect).is_some();
        for round in 0..START_BOUND_ROUNDS * 2 {
            started |= worker_of(&world, suspect).is_some();
            let runs = world.placed(id(2));
            if ends && let Some((number, run)) = runs.get(round % runs.len().max(1)) {
                world.end(*number, *run, RunEnd::Done);
            }
            world.fault_free_round(ROUND_TIME);
        }
        assert!(started, "{name}");
    }
}

/// Guards against a crash that counts twice, because the worker restarts again before it has reported, or because
/// a new owner reads the placement on the earlier incarnation.
#[test]
fn a_crash_counts_once() {
    for is_replaced in [false, true] {
        let mut world = World::with_reports(2, queues());
        world.submit(id(1), job("check", vec![step(1, 1000, 500)]));
        let number = await_start(&mut world, task(1, 0));
        world.restart(number);
        world.advance_cell();
        world.begin_write();
        if is_replaced {
            world.replace_owner(true);
        }
        world.finish_write();
        world.restart(number);
        rounds(&mut world, 4);
        let crashes = world.crash_events.len();
        assert_eq!(
            crashes, 1,
            "owner replaced: {is_replaced}: {:?}",
            world.crash_events
        );
    }
}

/// Guards against a planned shutdown that counts as a crash: the worker has reported before that it drains.
#[test]
fn a_worker_that_was_draining_has_not_crashed() {
    for rounds_until_return in [4, LEASE_EXPIRY_ROUNDS] {
        let mut world = World::with_reports(2, queues());
        world.submit(id(1), job("check", vec![step(1, 1000, 500)]));
        let number = await_start(&mut world, task(1, 0));
        let draining = WorkerEntry {
            draining: true,
            ..entry(number, world.workers[number].started_ms)
        };
        world.cell.worker_listed(draining, world.now, world.now);
        world.crash(number);
        rounds(&mut world, rounds_until_return);
        world.restart(number);
        rounds(&mut world, 4);
        assert_eq!(world.placed(id(1)).len(), 1);
        assert_eq!(world.crash_events, Vec::<CrashEvent>::new());
    }
}

/// Guards against records of an earlier version that are not read any more, and against names in the store that
/// change with those of the types.
#[test]
fn records_with_and_without_crashes_are_read() {
    let earlier =
        r#"{"o":0,"w":[{"i":"w1","b":5}],"s":[{"k":0,"n":0,"t":[{"i":0,"p":{"w":0},"r":2}]}]}"#;
    let record: JobRecord = serde_json::from_str(earlier).unwrap();
    let text = serde_json::to_string(&record).unwrap();
    assert_eq!(text, earlier);
    let later = r#"{"o":0,"w":[{"i":"w1","b":5}],"s":[{"k":0,"n":0,"t":[{"i":0,"p":"q","r":2,"h":{"n":3,"s":2,"a":1,"l":2,"m":40,"u":[{"w":0,"a":true,"r":2,"m":30}]}}]}]}"#;
    let record: JobRecord = serde_json::from_str(later).unwrap();
    assert_eq!(serde_json::to_string(&record).unwrap(), later);
}
