//! Tests of the reservations of waiting gangs: what they keep from other jobs, and that others don't delay the gang.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hs_cell::{JobId, RunEnd, StepSpec, TaskRun};

use crate::fixture::{id, job, queue, step};
use crate::world::World;

const ROUND_TIME: Duration = Duration::from_millis(50);

/// Number of workers, each of which has one run that is in the way of the gang.
const WORKERS: u16 = 8;

const OBSTACLE: JobId = JobId(1);
const GANG: JobId = JobId(2);

/// ID of the first small job. Each later one has the next ID.
const FIRST_SMALL: u64 = 100;

/// Number of rounds between two small jobs.
const SMALL_JOB_ROUNDS: usize = 6;

/// Longest time that a small job may wait for room which the gang cannot use yet.
const MAX_SMALL_WAIT: Duration = Duration::from_secs(1);

/// Small jobs that are submitted one after the other, and when each has started.
struct SmallJobs {
    queue: &'static str,
    spec: StepSpec,
    /// How long each run takes, whatever its estimate says.
    run_time: Duration,
    submitted: Vec<(JobId, Instant)>,
    started: HashMap<JobId, Instant>,
    run_starts: HashMap<TaskRun, Instant>,
}

impl SmallJobs {
    fn new(queue: &'static str, spec: StepSpec, run_time: Duration) -> Self {
        Self {
            queue,
            spec,
            run_time,
            submitted: Vec::new(),
            started: HashMap::new(),
            run_starts: HashMap::new(),
        }
    }

    fn submit(&mut self, world: &mut World) {
        let small = id(FIRST_SMALL + self.submitted.len() as u64);
        self.submitted.push((small, world.now));
        world.submit(small, job(self.queue, vec![self.spec.clone()]));
    }

    /// Notes the starts, and ends the runs whose time is over.
    fn update(&mut self, world: &mut World) {
        for (small, _) in &self.submitted {
            for (worker, run) in world.placed(*small) {
                self.started.entry(*small).or_insert(world.now);
                let since = *self.run_starts.entry(run).or_insert(world.now);
                if world.now - since >= self.run_time {
                    world.end(worker, run, RunEnd::Done);
                }
            }
        }
    }

    /// Returns the longest time that one of the jobs has waited or waits.
    fn longest_wait(&self, now: Instant) -> Duration {
        let waits = self.submitted.iter().map(|(small, at)| {
            let end = self.started.get(small).copied().unwrap_or(now);
            end - *at
        });
        waits.max().unwrap_or_default()
    }
}

fn gang() -> StepSpec {
    StepSpec {
        gang: true,
        max_per_worker: 1,
        ..step(WORKERS, 7000, 5000)
    }
}

/// Builds a world in which one run of the obstacle is on each worker.
fn world_with_obstacle(obstacle: StepSpec) -> World {
    let queues = vec![queue("desk", 0, 3), queue("night", 1, 3)];
    let mut world = World::with_reports(usize::from(WORKERS), queues);
    let spread = StepSpec {
        max_per_worker: 1,
        ..obstacle
    };
    world.submit(OBSTACLE, job("night", vec![spread]));
    rounds(&mut world, 3);
    assert_eq!(world.placed(OBSTACLE).len(), usize::from(WORKERS));
    world
}

fn rounds(world: &mut World, count: usize) {
    for _ in 0..count {
        world.fault_free_round(ROUND_TIME);
    }
}

/// Progress that the runs of the obstacle report.
#[derive(Clone, Copy)]
enum Progress {
    /// Always the same percentage.
    Fixed(u8),
    /// The share of this time that has passed.
    Over(Duration),
}

/// Lets the runs of the obstacle, which began at `since`, report their progress.
fn set_progress(world: &mut World, progress: Progress, since: Instant) {
    let percent = match progress {
        Progress::Fixed(percent) => percent,
        Progress::Over(time) => {
            let share = (world.now - since).as_secs_f64() / time.as_secs_f64();
            (share * 100.0).min(99.0) as u8
        }
    };
    for (worker, run) in world.placed(OBSTACLE) {
        world.workers[worker].percents.insert(run, percent);
    }
}

/// Guards against small jobs that never start beside a gang: it waits for runs of which no end is in sight, and its
/// reservation keeps room from the jobs that it can't use itself. The gang has to start once those runs are gone, however
/// many small jobs there are, and although it is late by then and they are not.
#[test]
fn small_jobs_run_beside_a_gang_that_cannot_start_soon() {
    struct Case {
        name: &'static str,
        obstacle: StepSpec,
        progress: Progress,
    }
    let cases = [
        Case {
            name: "tasks that last, at work",
            obstacle: StepSpec {
                long_running: true,
                ..step(WORKERS, 2000, 800)
            },
            progress: Progress::Fixed(100),
        },
        Case {
            name: "tasks that last, starting up",
            obstacle: StepSpec {
                long_running: true,
                ..step(WORKERS, 2000, 800)
            },
            progress: Progress::Fixed(0),
        },
        Case {
            name: "tasks of 90 s",
            obstacle: step(WORKERS, 2000, 90_000),
            progress: Progress::Over(Duration::from_secs(90)),
        },
        Case {
            name: "tasks past their estimate",
            obstacle: step(WORKERS, 2000, 200),
            progress: Progress::Fixed(100),
        },
    ];
    // The jobs of the gang's own queue, and those of a lower priority.
    let queues = ["desk", "night"];
    let cases = cases.iter().flat_map(|case| queues.map(|q| (case, q)));
    for (case, small_queue) in cases {
        let name = format!("{}, small jobs of {small_queue}", case.name);
        let progress = case.progress;
        let mut world = world_with_obstacle(case.obstacle.clone());
        let began_at = world.now;
        // More than the 1 of 8 cores that a worker has beside a member of the gang.
        let mut small = SmallJobs::new(small_queue, step(2, 1500, 500), Duration::from_millis(500));
        // Runs past their estimate have been so for some time when the gang comes.
        for _ in 0..40 {
            set_progress(&mut world, progress, began_at);
            world.fault_free_round(ROUND_TIME);
        }
        world.submit(GANG, job("desk", vec![gang()]));
        for round in 0..300 {
            if round % SMALL_JOB_ROUNDS == 0 {
                small.submit(&mut world);
            }
            set_progress(&mut world, progress, began_at);
            world.fault_free_round(ROUND_TIME);
            small.update(&mut world);
        }
        let wait = small.longest_wait(world.now);
        assert!(wait <= MAX_SMALL_WAIT, "{name}: a small job waits {wait:?}");
        assert!(world.placed(GANG).is_empty(), "{name}");
        for (worker, run) in world.placed(OBSTACLE) {
            world.end(worker, run, RunEnd::Stopped);
        }
        world.cancel(OBSTACLE);
        let cancelled_at = world.now;
        let mut round = 0;
        while world.placed(GANG).is_empty() && round < 60 {
            if round % SMALL_JOB_ROUNDS == 0 {
                small.submit(&mut world);
            }
            world.fault_free_round(ROUND_TIME);
            small.update(&mut world);
            round += 1;
        }
        let wait = world.now - cancelled_at;
        assert_eq!(
            world.placed(GANG).len(),
            usize::from(WORKERS),
            "{name}: the gang waits {wait:?} after its obstacle is gone"
        );
    }
}

/// Guards against a gang that is delayed for ever by small jobs of a lower priority that run beside its reservation and
/// take longer than their estimates say, or have none.
#[test]
fn backfilled_jobs_delay_a_gang_by_one_run_at_most() {
    struct Case {
        name: &'static str,
        estimate_ms: u64,
        run_time: Duration,
    }
    let cases = [
        Case {
            name: "right estimates",
            estimate_ms: 500,
            run_time: Duration::from_millis(500),
        },
        Case {
            name: "runs of four times their estimate",
            estimate_ms: 500,
            run_time: Duration::from_millis(2000),
        },
        Case {
            name: "runs of fifteen times their estimate",
            estimate_ms: 100,
            run_time: Duration::from_millis(1500),
        },
    ];
    for Case {
        name,
        estimate_ms,
        run_time,
    } in cases
    {
        let obstacle_time = Duration::from_secs(3);
        let mut world = world_with_obstacle(step(WORKERS, 2000, 3000));
        let began_at = world.now;
        let mut small = SmallJobs::new("night", step(6, 3000, estimate_ms), run_time);
        world.submit(GANG, job("desk", vec![gang()]));
        let submitted_at = world.now;
        for round in 0..400 {
            if round % SMALL_JOB_ROUNDS == 0 {
                small.submit(&mut world);
            }
            set_progress(&mut world, Progress::Over(obstacle_time), began_at);
            world.fault_free_round(ROUND_TIME);
            small.update(&mut world);
            if world.now - began_at >= obstacle_time {
                for (worker, run) in world.placed(OBSTACLE) {
                    world.end(worker, run, RunEnd::Done);
                }
            }
            if !world.placed(GANG).is_empty() {
                break;
            }
        }
        let wait = world.now - submitted_at;
        let bound = obstacle_time + run_time + Duration::from_millis(500);
        assert!(
            !world.placed(GANG).is_empty() && wait <= bound,
            "{name}: the gang waits {wait:?}, not {bound:?} at most"
        );
        assert!(!small.started.is_empty(), "{name}: nothing runs beside it");
    }
}

/// Guards against runs that are stopped again and again for a gang that does not start, since it waits for tasks that
/// last beside them.
#[test]
fn no_run_is_preempted_for_a_gang_behind_tasks_that_last() {
    let mut world = world_with_obstacle(StepSpec {
        long_running: true,
        ..step(WORKERS, 2000, 800)
    });
    let checkpointed = StepSpec {
        checkpoints: true,
        max_per_worker: 1,
        ..step(WORKERS, 4000, 60_000)
    };
    world.submit(id(3), job("night", vec![checkpointed]));
    rounds(&mut world, 4);
    let now = world.now;
    set_progress(&mut world, Progress::Fixed(100), now);
    world.submit(GANG, job("desk", vec![gang()]));
    rounds(&mut world, 100);
    let runs: Vec<u32> = world.placed(id(3)).iter().map(|(_, run)| run.run).collect();
    assert_eq!(runs, vec![1; usize::from(WORKERS)]);
}

/// Guards against a task without a known end that waits for as long as a gang of a higher priority does, beside room for
/// both, and against one that takes the room of a gang which is about to start.
#[test]
fn tasks_without_a_known_end_wait_only_for_a_gang_that_is_about_to_start() {
    struct Case {
        name: &'static str,
        obstacle_ms: u64,
        spec: StepSpec,
        may_start: bool,
    }
    let lasting = StepSpec {
        long_running: true,
        ..step(1, 3000, 800)
    };
    let cases = [
        Case {
            name: "a task that lasts, long before the start",
            obstacle_ms: 60_000,
            spec: lasting.clone(),
            may_start: true,
        },
        Case {
            name: "a task that lasts, shortly before the start",
            obstacle_ms: 1500,
            spec: lasting,
            may_start: false,
        },
        Case {
            name: "a task without an estimate, shortly before the start",
            obstacle_ms: 1500,
            spec: step(1, 3000, 0),
            may_start: false,
        },
    ];
    for Case {
        name,
        obstacle_ms,
        spec,
        may_start,
    } in cases
    {
        let obstacle_time = Duration::from_millis(obstacle_ms);
        let mut world = world_with_obstacle(step(WORKERS, 2000, obstacle_ms));
        let began_at = world.now;
        world.submit(GANG, job("desk", vec![gang()]));
        for round in 0..20 {
            if round == 14 {
                world.submit(id(3), job("night", vec![spec.clone()]));
            }
            set_progress(&mut world, Progress::Over(obstacle_time), began_at);
            world.fault_free_round(ROUND_TIME);
        }
        let expected = usize::from(may_start);
        assert_eq!(world.placed(id(3)).len(), expected, "{name}");
    }
}

/// Guards against jobs that wait for as long as a run goes on which was to end before a gang's start and doesn't.
#[test]
fn a_run_far_past_its_estimate_keeps_no_others_out() {
    let mut world = world_with_obstacle(step(WORKERS, 2000, 3000));
    let began_at = world.now;
    let obstacle_time = Duration::from_secs(3);
    world.submit(GANG, job("desk", vec![gang()]));
    rounds(&mut world, 4);
    let endless = id(3);
    world.submit(endless, job("night", vec![step(1, 3000, 200)]));
    let mut small = SmallJobs::new("night", step(2, 1500, 500), Duration::from_millis(500));
    for round in 0..400 {
        set_progress(&mut world, Progress::Over(obstacle_time), began_at);
        if world.now - began_at >= obstacle_time {
            for (worker, run) in world.placed(OBSTACLE) {
                world.end(worker, run, RunEnd::Done);
            }
        }
        // From 10 s on the gang waits for the endless run alone.
        if round >= 200 && round % SMALL_JOB_ROUNDS == 0 {
            small.submit(&mut world);
        }
        world.fault_free_round(ROUND_TIME);
        small.update(&mut world);
    }
    assert_eq!(world.placed(endless).len(), 1);
    let wait = small.longest_wait(world.now);
    assert!(wait <= MAX_SMALL_WAIT, "a small job waits {wait:?}");
}

/// Guards against reservations of which nobody can tell whose they are, and since when.
#[test]
fn the_state_of_a_reservation_tells_its_age_and_its_start() {
    let mut world = world_with_obstacle(step(WORKERS, 2000, 60_000));
    let began_at = world.now;
    world.submit(GANG, job("desk", vec![gang()]));
    for _ in 0..60 {
        set_progress(
            &mut world,
            Progress::Over(Duration::from_secs(60)),
            began_at,
        );
        world.fault_free_round(ROUND_TIME);
    }
    let states = world.cell.reservation_states(9, 9, world.now);
    let [state] = states.as_slice() else {
        panic!("{} reservations", states.len());
    };
    assert_eq!(state.step.job, GANG);
    assert_eq!(state.worker_count, usize::from(WORKERS));
    assert!(state.age >= Duration::from_secs(2), "{:?}", state.age);
    let start_in = Duration::from_secs(40)..Duration::from_secs(70);
    assert!(start_in.contains(&state.start_in), "{:?}", state.start_in);
}

/// Guards against a late gang that keeps the workers which it has reserved from a gang of its queue that is on time and
/// comes first.
#[test]
fn a_gang_on_time_starts_before_a_late_one_of_its_queue() {
    let obstacle_time = Duration::from_secs(30);
    let mut world = world_with_obstacle(step(WORKERS, 2000, 30_000));
    let began_at = world.now;
    world.submit(GANG, job("desk", vec![gang()]));
    let on_time = id(3);
    let mut is_submitted = false;
    while world.placed(GANG).is_empty() && world.placed(on_time).is_empty() {
        let elapsed = world.now - began_at;
        assert!(elapsed < obstacle_time * 2, "neither gang starts");
        if elapsed >= obstacle_time - Duration::from_secs(1) && !is_submitted {
            world.submit(on_time, job("desk", vec![gang()]));
            is_submitted = true;
        }
        set_progress(&mut world, Progress::Over(obstacle_time), began_at);
        if elapsed >= obstacle_time {
            for (worker, run) in world.placed(OBSTACLE) {
                world.end(worker, run, RunEnd::Done);
            }
        }
        world.fault_free_round(ROUND_TIME);
    }
    assert!(world.placed(GANG).is_empty(), "the late gang starts first");
}

/// Guards against small tasks that are kept from a worker on which a gang leaves room for them beside its members.
#[test]
fn room_beside_the_members_of_a_gang_is_not_reserved() {
    let mut world = world_with_obstacle(step(WORKERS, 2000, 2000));
    world.submit(GANG, job("desk", vec![gang()]));
    rounds(&mut world, 4);
    // Each worker has 1 of 8 cores beside the member of the gang.
    let beside = StepSpec {
        max_per_worker: 1,
        ..step(WORKERS, 1000, 60_000)
    };
    world.submit(id(3), job("night", vec![beside]));
    rounds(&mut world, 4);
    assert_eq!(world.placed(id(3)).len(), usize::from(WORKERS));
    for (worker, run) in world.placed(OBSTACLE) {
        world.end(worker, run, RunEnd::Done);
    }
    rounds(&mut world, 4);
    assert_eq!(world.placed(GANG).len(), usize::from(WORKERS));
}

/// Guards against a worker that is vacated for a suspect although tasks without an end fill it: the suspect doesn't
/// start there, and nothing else either.
#[test]
fn no_worker_is_vacated_that_tasks_that_last_keep_full() {
    let queues = vec![queue("desk", 0, 3), queue("night", 1, 9)];
    let mut world = World::with_reports(3, queues);
    let suspect = id(3);
    world.submit(suspect, job("night", vec![step(1, 6000, 500)]));
    // After three crashes it only runs alone.
    for _ in 0..3 {
        let started = |world: &World| world.placed(suspect).first().map(|(worker, _)| *worker);
        while started(&world).is_none() {
            world.fault_free_round(ROUND_TIME);
        }
        let worker = started(&world).expect("the suspect runs");
        world.crash(worker);
        rounds(&mut world, 4);
        world.restart(worker);
        rounds(&mut world, 4);
    }
    let lasting = StepSpec {
        long_running: true,
        max_per_worker: 1,
        ..step(3, 3000, 800)
    };
    world.submit(OBSTACLE, job("desk", vec![lasting]));
    for (worker, run) in world.placed(suspect) {
        world.end(worker, run, RunEnd::Failed);
    }
    for _ in 0..400 {
        let now = world.now;
        set_progress(&mut world, Progress::Fixed(100), now);
        world.fault_free_round(ROUND_TIME);
    }
    assert_eq!(world.placed(OBSTACLE).len(), 3);
    assert!(world.placed(suspect).is_empty());
    let beside = StepSpec {
        max_per_worker: 1,
        ..step(3, 5000, 60_000)
    };
    world.submit(id(4), job("night", vec![beside]));
    rounds(&mut world, 20);
    assert_eq!(world.placed(id(4)).len(), 3);
}

/// Guards against a gang that is delayed by a small task which takes a worker on probation from it: such a worker runs one
/// task at a time, so that it has no room beside a member of the gang.
#[test]
fn a_worker_on_probation_has_no_room_beside_a_gang() {
    let queues = vec![queue("desk", 0, 3), queue("night", 1, 3)];
    let mut world = World::with_reports(usize::from(WORKERS), queues);
    let failing = id(3);
    world.submit(failing, job("night", vec![step(3 * WORKERS, 2600, 60_000)]));
    rounds(&mut world, 3);
    let last = usize::from(WORKERS) - 1;
    world.fail_runs(last);
    world.cancel(failing);
    rounds(&mut world, 4);
    let obstacle = StepSpec {
        max_per_worker: 1,
        ..step(WORKERS - 1, 2000, 4000)
    };
    world.submit(OBSTACLE, job("night", vec![obstacle]));
    rounds(&mut world, 3);
    let began_at = world.now;
    let obstacle_time = Duration::from_secs(4);
    let obstacles = world.placed(OBSTACLE);
    assert!(obstacles.iter().all(|(worker, _)| *worker != last));
    world.submit(GANG, job("desk", vec![gang()]));
    // The quarantine of 2 s is over, and the probation of 3 s after it is not.
    while world.now - began_at < Duration::from_millis(2500) {
        set_progress(&mut world, Progress::Over(obstacle_time), began_at);
        world.fault_free_round(ROUND_TIME);
    }
    assert_eq!(world.cell.reserved_workers(), usize::from(WORKERS));
    let small = StepSpec {
        max_per_worker: 1,
        ..step(WORKERS, 1000, 60_000)
    };
    world.submit(id(4), job("night", vec![small]));
    while world.now - began_at < obstacle_time {
        set_progress(&mut world, Progress::Over(obstacle_time), began_at);
        world.fault_free_round(ROUND_TIME);
    }
    assert_eq!(world.placed(id(4)).len(), usize::from(WORKERS) - 1);
    for (worker, run) in world.placed(OBSTACLE) {
        world.end(worker, run, RunEnd::Done);
    }
    rounds(&mut world, 4);
    assert_eq!(world.placed(GANG).len(), usize::from(WORKERS));
}

/// Guards against a gang that takes a run for about to end because the run was placed beside the reservation of another
/// gang: then it keeps others out for a start that is not near.
#[test]
fn only_its_own_backfills_count_as_about_to_end_for_a_gang() {
    let mut world = world_with_obstacle(step(WORKERS, 2000, 2000));
    let began_at = world.now;
    let obstacle_time = Duration::from_secs(2);
    let other_gang = id(3);
    world.submit(other_gang, job("desk", vec![gang()]));
    rounds(&mut world, 4);
    let backfill = id(4);
    world.submit(backfill, job("night", vec![step(1, 3000, 500)]));
    rounds(&mut world, 3);
    assert_eq!(world.placed(backfill).len(), 1);
    world.cancel(other_gang);
    world.submit(GANG, job("desk", vec![gang()]));
    while world.now - began_at < obstacle_time {
        set_progress(&mut world, Progress::Over(obstacle_time), began_at);
        world.fault_free_round(ROUND_TIME);
    }
    for (worker, run) in world.placed(OBSTACLE) {
        world.end(worker, run, RunEnd::Done);
    }
    rounds(&mut world, 6);
    let states = world.cell.reservation_states(9, 9, world.now);
    let [state] = states.as_slice() else {
        panic!("{} reservations", states.len());
    };
    assert_eq!(state.step.job, GANG);
    // The run has exceeded its estimate for longer than this, and is expected to go on for as long.
    let min_start_in = Duration::from_millis(500);
    assert!(state.start_in >= min_start_in, "{:?}", state.start_in);
}
