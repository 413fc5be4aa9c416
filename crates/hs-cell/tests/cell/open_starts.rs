//! Starts that are given out and not answered, under load patterns of many tasks.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use hs_cell::{
    Cell, CellEffect, CellOptions, JobId, StartTaker, StepSpec, TaskRun, WorkerKey, WorkerReport,
};

use crate::fixture::{cpu, entry, id, job, queue, step};

/// Most open starts that a job may have before any is answered.
const MAX_INITIAL_STARTS: usize = 512;

/// Time of a step of the simulation.
const TICK: Duration = Duration::from_millis(1);

const WORKERS: usize = 8;
const LARGE: JobId = JobId(1);
const SMALL: JobId = JobId(2);

/// A cell whose workers each answer one start after the other, as a link with one connection does.
struct SlowLinks {
    cell: Cell,
    now: Instant,
    /// Time that a worker takes for a start.
    answer_time: Duration,
    /// Starts without an answer, and the time at which the first of a worker is answered.
    queues: BTreeMap<WorkerKey, (VecDeque<TaskRun>, Instant)>,
    /// Time from the submission of each job to its first answered start.
    started_at: BTreeMap<JobId, Instant>,
    answered: usize,
}

impl SlowLinks {
    fn new(answer_time: Duration) -> Self {
        let now = Instant::now();
        let mut cell = Cell::new(CellOptions::default());
        cell.configure([queue("urgent", 0, 3), queue("bulk", 2, 3)]);
        let lease_end = now + Duration::from_secs(3600);
        let keys: Vec<WorkerKey> = (0..WORKERS)
            .map(|number| cell.worker_listed(entry(number, 1), now, now))
            .collect();
        for key in &keys {
            cell.lease_renewed(*key, lease_end, now);
            cell.worker_reported(*key, WorkerReport::default(), now, now);
        }
        let queues = keys.iter().map(|key| (*key, (VecDeque::new(), now)));
        Self {
            cell,
            now,
            queues: queues.collect(),
            answer_time,
            started_at: BTreeMap::new(),
            answered: 0,
        }
    }

    fn submit(&mut self, id: JobId, queue: &str, steps: Vec<StepSpec>) {
        self.cell.add_job(id, job(queue, steps), self.now, 0);
    }

    /// Commits what has changed, sends the starts, and answers those that are due.
    fn tick(&mut self) {
        self.now += TICK;
        self.cell.advance(self.now, 0);
        loop {
            let batch = self.cell.take_batch(256, usize::MAX);
            if batch.is_empty() {
                break;
            }
            self.cell.committed(batch, self.now);
        }
        for effect in self.cell.take_effects() {
            if let CellEffect::Start(key, order) = effect {
                let (queue, due_at) = self.queues.get_mut(&key).expect("a worker");
                if queue.is_empty() {
                    *due_at = self.now + self.answer_time;
                }
                queue.push_back(order.run);
            }
        }
        for (key, (queue, due_at)) in &mut self.queues {
            while *due_at <= self.now
                && let Some(run) = queue.pop_front()
            {
                self.cell.start_confirmed(*key, run, self.now);
                self.started_at.entry(run.task.job()).or_insert(self.now);
                self.answered += 1;
                *due_at += self.answer_time;
            }
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }
}

/// Returns steps whose tasks all fit on the workers at once.
fn many_tasks(gang: bool) -> Vec<StepSpec> {
    let tiny = StepSpec {
        need: cpu(1),
        gang,
        ..step(4096, 1, 3000)
    };
    vec![tiny]
}

/// Pattern: a job of many small tasks for which there is room. Guards against an owner that gives all of them out at once, so
/// that every other start waits behind them.
#[test]
fn a_large_job_gives_out_few_starts_at_a_time() {
    let mut links = SlowLinks::new(Duration::from_secs(3600));
    links.submit(LARGE, "bulk", many_tasks(false));
    links.run_for(Duration::from_secs(1));
    let open = links.cell.open_starts();
    assert!((1..=MAX_INITIAL_STARTS).contains(&open), "{open} starts");
    assert_eq!(links.cell.allocated_runs(), open);
}

/// A job that comes after a large one.
struct LaterCase {
    name: &'static str,
    queue: &'static str,
    /// Time that a worker takes for a start.
    answer_time: Duration,
    /// Longest time until its first task starts.
    max_wait: Duration,
}

/// Pattern: a small job beside a large one. Guards against a job that waits for all tasks of the one before it, of any
/// priority.
#[test]
fn a_small_job_starts_soon_beside_a_large_one() {
    let cases = [
        LaterCase {
            name: "a higher priority",
            queue: "urgent",
            answer_time: Duration::from_millis(1),
            max_wait: Duration::from_millis(200),
        },
        LaterCase {
            name: "the same queue",
            queue: "bulk",
            answer_time: Duration::from_millis(1),
            max_wait: Duration::from_millis(200),
        },
        LaterCase {
            name: "slow workers",
            queue: "urgent",
            answer_time: Duration::from_millis(10),
            max_wait: Duration::from_secs(1),
        },
    ];
    for case in cases {
        let mut links = SlowLinks::new(case.answer_time);
        let steps = vec![many_tasks(false); 4].concat();
        links.submit(LARGE, "bulk", steps);
        links.run_for(Duration::from_millis(500));
        links.submit(SMALL, case.queue, vec![step(2, 100, 500)]);
        links.run_for(case.max_wait);
        assert!(links.started_at.contains_key(&SMALL), "{}", case.name);
        assert!(links.answered < 4 * 4096, "{}: all have started", case.name);
    }
}

/// Pattern: a small job and no answers. Guards against a large job that takes all starts that may be open.
#[test]
fn a_large_job_leaves_starts_to_others() {
    let mut links = SlowLinks::new(Duration::from_secs(3600));
    links.submit(LARGE, "urgent", many_tasks(false));
    links.run_for(Duration::from_millis(500));
    links.submit(SMALL, "bulk", vec![step(2, 100, 500)]);
    links.run_for(Duration::from_millis(500));
    let open = links.cell.open_starts();
    links.submit(id(3), "bulk", many_tasks(false));
    links.run_for(Duration::from_millis(500));
    let small: usize = links
        .queues
        .values()
        .flat_map(|(queue, _)| queue)
        .filter(|run| run.task.job() == SMALL)
        .count();
    assert_eq!(small, 2);
    assert!(
        links.cell.open_starts() > open,
        "the third job has no start"
    );
}

/// Pattern: a gang of more members than may be open. Guards against one that never starts, since it fits into no window.
#[test]
fn a_gang_starts_together_however_many_members_it_has() {
    let mut links = SlowLinks::new(Duration::from_millis(1));
    links.submit(LARGE, "bulk", many_tasks(true));
    links.run_for(Duration::from_millis(100));
    assert_eq!(links.cell.allocated_runs(), 4096);
    links.submit(SMALL, "bulk", vec![step(2, 100, 500)]);
    links.run_for(Duration::from_millis(100));
    let placed = links.cell.allocated_runs();
    assert_eq!(placed, 4098, "the small job waits for the gang");
}

/// Workers of one speed.
struct SpeedCase {
    name: &'static str,
    answer_time: Duration,
    /// Bounds of the starts that are answered in a second, as a share of what the workers can answer.
    min_share: f64,
    /// Longest queue on a worker after a second, as time until its last start is answered.
    max_queue: Duration,
}

/// Pattern: a large job on workers of different speeds. Guards against a bound that slow workers exceed for seconds, or that
/// leaves fast ones idle.
#[test]
fn open_starts_follow_the_speed_of_the_answers() {
    let cases = [
        SpeedCase {
            name: "fast",
            answer_time: Duration::from_millis(3),
            min_share: 0.9,
            max_queue: Duration::from_millis(200),
        },
        SpeedCase {
            name: "slow",
            answer_time: Duration::from_millis(20),
            min_share: 0.9,
            max_queue: Duration::from_millis(400),
        },
    ];
    for case in cases {
        let mut links = SlowLinks::new(case.answer_time);
        links.submit(LARGE, "bulk", vec![many_tasks(false); 4].concat());
        links.run_for(Duration::from_secs(3));
        let before = links.answered;
        links.run_for(Duration::from_secs(1));
        let possible = WORKERS as f64 / case.answer_time.as_secs_f64();
        let share = (links.answered - before) as f64 / possible;
        assert!(share >= case.min_share, "{}: {share}", case.name);
        let longest = links.queues.values().map(|(queue, _)| queue.len()).max();
        let queue = case.answer_time * u32::try_from(longest.unwrap_or(0)).expect("a short queue");
        assert!(queue <= case.max_queue, "{}: {queue:?}", case.name);
    }
}

/// Guards against starts that count as open for ever, whatever becomes of them.
#[test]
fn open_starts_are_closed_by_each_outcome() {
    let mut links = SlowLinks::new(Duration::from_secs(3600));
    links.submit(LARGE, "bulk", vec![step(6, 100, 500)]);
    links.run_for(Duration::from_millis(50));
    assert_eq!(links.cell.open_starts(), 6);
    let (key, runs) = links
        .queues
        .iter()
        .find(|(_, (queue, _))| !queue.is_empty())
        .map(|(key, (queue, _))| (*key, queue.clone()))
        .expect("starts");
    links.cell.start_confirmed(key, runs[0], links.now);
    links
        .cell
        .start_unanswered(key, runs[1], StartTaker::Reported, links.now);
    assert_eq!(links.cell.open_starts(), 4);
    assert!(links.cell.oldest_open_start(links.now).is_some());
    links.cell.cancel(LARGE, links.now);
    assert_eq!(links.cell.open_starts(), 0);
}
