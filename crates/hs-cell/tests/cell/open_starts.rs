//! Starts that are given out and not answered, under load patterns of many tasks.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use hs_cell::{
    Cell, CellBatch, CellEffect, CellOptions, JobId, StartTaker, StepSpec, TaskRun, WorkerKey,
    WorkerReport,
};

use crate::fixture::{WORKER_CPU, cpu, entry, id, job, queue, step};

/// Most open starts that a job may have before any is answered.
const MAX_INITIAL_STARTS: usize = 512;

/// Time of a step of the simulation.
const TICK: Duration = Duration::from_millis(1);

const WORKERS: usize = 8;

/// Number of workers that could take more starts than the owner gives out.
const MANY_WORKERS: usize = 64;

/// Most open starts that a job may have on many workers before any is answered.
const MAX_INITIAL_STARTS_IN_ALL: usize = 1024;

const LARGE: JobId = JobId(1);
const SMALL: JobId = JobId(2);

/// Times of the workers and of the store.
#[derive(Clone, Copy, Debug, Default)]
struct LinkTimes {
    /// Time that a worker takes for a start, one after the other.
    answer: Duration,
    /// Time that an answer is on its way.
    distance: Duration,
    /// Time that a write takes.
    commit: Duration,
}

impl LinkTimes {
    fn answering_in(answer: Duration) -> Self {
        Self {
            answer,
            ..Self::default()
        }
    }
}

/// Starts that a worker has not answered, with the times at which their answers arrive.
type WorkerQueue = VecDeque<(TaskRun, Instant)>;

/// A cell whose workers each answer one start after the other, as a link with one connection does.
struct SlowLinks {
    cell: Cell,
    now: Instant,
    times: LinkTimes,
    queues: BTreeMap<WorkerKey, WorkerQueue>,
    /// Write that is in progress, and the time at which it is done.
    write: Option<(CellBatch, Instant)>,
    /// Time of the first answered start of each job.
    started_at: BTreeMap<JobId, Instant>,
    answered: usize,
}

impl SlowLinks {
    fn new(times: LinkTimes) -> Self {
        Self::with_workers(times, WORKERS)
    }

    fn with_workers(times: LinkTimes, workers: usize) -> Self {
        let now = Instant::now();
        let mut cell = Cell::new(CellOptions::default());
        cell.configure([queue("urgent", 0, 3), queue("bulk", 2, 3)]);
        let lease_end = now + Duration::from_secs(3600);
        let keys: Vec<WorkerKey> = (0..workers)
            .map(|number| cell.worker_listed(entry(number, 1), now, now))
            .collect();
        for key in &keys {
            cell.lease_renewed(*key, lease_end, now);
            cell.worker_reported(*key, WorkerReport::default(), now, now);
        }
        let queues = keys.into_iter().map(|key| (key, VecDeque::new()));
        Self {
            cell,
            now,
            times,
            queues: queues.collect(),
            write: None,
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
        self.commit();
        for effect in self.cell.take_effects() {
            if let CellEffect::Start(key, order) = effect {
                self.send(key, order.run);
            }
        }
        for (key, queue) in &mut self.queues {
            while queue.front().is_some_and(|(_, at)| *at <= self.now) {
                let (run, _) = queue.pop_front().expect("a start");
                self.cell.start_confirmed(*key, run, self.now);
                self.started_at.entry(run.task.job()).or_insert(self.now);
                self.answered += 1;
            }
        }
    }

    fn commit(&mut self) {
        if let Some((batch, _)) = self.write.take_if(|(_, done_at)| *done_at <= self.now) {
            self.cell.committed(batch, self.now);
        }
        while self.write.is_none() {
            let batch = self.cell.take_batch(256, usize::MAX);
            if batch.is_empty() {
                return;
            }
            match self.times.commit {
                Duration::ZERO => self.cell.committed(batch, self.now),
                time => self.write = Some((batch, self.now + time)),
            }
        }
    }

    fn send(&mut self, key: WorkerKey, run: TaskRun) {
        let LinkTimes {
            answer, distance, ..
        } = self.times;
        let queue = self.queues.get_mut(&key).expect("a worker");
        let idle_at = queue.back().map(|(_, at)| *at - distance);
        let idle_at = idle_at.map_or(self.now, |at| at.max(self.now));
        queue.push_back((run, idle_at + answer + distance));
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
    let never = LinkTimes::answering_in(Duration::from_secs(3600));
    let cases = [
        (WORKERS, MAX_INITIAL_STARTS),
        (MANY_WORKERS, MAX_INITIAL_STARTS_IN_ALL),
    ];
    for (workers, limit) in cases {
        let mut links = SlowLinks::with_workers(never, workers);
        // Each worker has room for few tasks, so that all get some.
        let wide = vec![step(4096, WORKER_CPU / 100, 3000); 2];
        links.submit(LARGE, "bulk", wide);
        links.run_for(Duration::from_secs(1));
        let open = links.cell.open_starts();
        assert!((1..=limit).contains(&open), "{workers} workers: {open}");
        assert_eq!(links.cell.allocated_runs(), open);
    }
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
        let mut links = SlowLinks::new(LinkTimes::answering_in(case.answer_time));
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
    let mut links = SlowLinks::new(LinkTimes::answering_in(Duration::from_secs(3600)));
    links.submit(LARGE, "urgent", many_tasks(false));
    links.run_for(Duration::from_millis(500));
    links.submit(SMALL, "bulk", vec![step(2, 100, 500)]);
    links.run_for(Duration::from_millis(500));
    let open = links.cell.open_starts();
    links.submit(id(3), "bulk", many_tasks(false));
    links.run_for(Duration::from_millis(500));
    let waiting = links.queues.values().flatten();
    let small = waiting.filter(|(run, _)| run.task.job() == SMALL).count();
    assert_eq!(small, 2);
    assert!(
        links.cell.open_starts() > open,
        "the third job has no start"
    );
}

/// Pattern: a gang of more members than may be open. Guards against one that never starts, since it fits into no window.
#[test]
fn a_gang_starts_together_however_many_members_it_has() {
    let mut links = SlowLinks::new(LinkTimes::answering_in(Duration::from_millis(1)));
    links.submit(LARGE, "bulk", many_tasks(true));
    links.run_for(Duration::from_millis(10));
    assert_eq!(links.cell.allocated_runs(), 4096);
    links.submit(SMALL, "bulk", vec![step(2, 100, 500)]);
    // Before the window has grown by answers.
    links.run_for(Duration::from_millis(40));
    let placed = links.cell.allocated_runs();
    assert_eq!(placed, 4098, "the small job waits for the gang");
}

/// Pattern: one wide gang after another. Guards against gangs that exceed the bounds together, so that none has started
/// within its time.
#[test]
fn a_gang_waits_for_the_starts_of_others() {
    let mut links = SlowLinks::new(LinkTimes::answering_in(Duration::from_millis(1)));
    links.submit(LARGE, "bulk", many_tasks(true));
    links.run_for(Duration::from_millis(20));
    assert_eq!(links.cell.allocated_runs(), 4096);
    links.submit(SMALL, "bulk", many_tasks(true));
    links.run_for(Duration::from_millis(100));
    assert_eq!(links.cell.allocated_runs(), 4096, "both are given out");
    links.run_for(Duration::from_secs(5));
    assert_eq!(links.cell.allocated_runs(), 2 * 4096);
}

/// Workers and a store of one speed.
struct SpeedCase {
    name: &'static str,
    times: LinkTimes,
    /// Longest queue on a worker, as time until its last start is answered.
    max_queue: Duration,
}

/// Share of the starts that the workers could answer which they do answer.
const MIN_SHARE: f64 = 0.9;

impl SpeedCase {
    /// Plays a large job. Returns the share of starts that are answered after three seconds, and the longest queue then.
    fn play(&self) -> (f64, Duration) {
        let mut links = SlowLinks::new(self.times);
        links.submit(LARGE, "bulk", vec![many_tasks(false); 4].concat());
        links.run_for(Duration::from_secs(3));
        let before = links.answered;
        links.run_for(Duration::from_secs(1));
        let possible = WORKERS as f64 / self.times.answer.as_secs_f64();
        let last = links.queues.values().filter_map(|queue| queue.back());
        let queue = last.map(|(_, at)| *at - links.now).max();
        let share = (links.answered - before) as f64 / possible;
        (share, queue.unwrap_or_default())
    }

    fn check(&self) {
        let (share, queue) = self.play();
        assert!(share >= MIN_SHARE, "{}: {share}", self.name);
        assert!(queue <= self.max_queue, "{}: {queue:?}", self.name);
    }
}

/// Pattern: a large job on workers of different speeds. Guards against a bound that slow workers exceed for seconds, or that
/// leaves fast ones idle.
#[test]
fn open_starts_follow_the_speed_of_the_answers() {
    let millis = Duration::from_millis;
    let cases = [
        SpeedCase {
            name: "fast",
            times: LinkTimes::answering_in(millis(3)),
            max_queue: millis(200),
        },
        SpeedCase {
            name: "slow",
            times: LinkTimes::answering_in(millis(20)),
            max_queue: millis(400),
        },
    ];
    cases.iter().for_each(SpeedCase::check);
}

/// Pattern: a large job on workers that are far. Guards against a bound that takes distance for a queue, or does not grow.
#[test]
fn far_workers_are_kept_busy() {
    let times = LinkTimes {
        distance: Duration::from_millis(400),
        ..LinkTimes::answering_in(Duration::from_millis(4))
    };
    let case = SpeedCase {
        name: "far",
        times,
        max_queue: Duration::MAX,
    };
    case.check();
}

/// Pattern: a large job on far workers. Guards against a bound that grows several times before the effect shows, and lets
/// others wait for that long.
#[test]
fn the_queues_of_far_workers_stay_short() {
    let times = LinkTimes {
        distance: Duration::from_millis(100),
        ..LinkTimes::answering_in(Duration::from_millis(4))
    };
    let case = SpeedCase {
        name: "far",
        times,
        max_queue: Duration::from_millis(400),
    };
    case.check();
}

/// Pattern: a large job on a slow store. Guards against a bound that keeps the workers idle between two writes.
#[test]
fn workers_are_kept_busy_with_a_slow_store() {
    let times = LinkTimes {
        commit: Duration::from_millis(400),
        ..LinkTimes::answering_in(Duration::from_millis(3))
    };
    let case = SpeedCase {
        name: "slow store",
        times,
        max_queue: Duration::from_millis(800),
    };
    case.check();
}

/// Guards against starts that count as open for ever, whatever becomes of them.
#[test]
fn open_starts_are_closed_by_each_outcome() {
    let mut links = SlowLinks::new(LinkTimes::answering_in(Duration::from_secs(3600)));
    links.submit(LARGE, "bulk", vec![step(6, 100, 500)]);
    links.run_for(Duration::from_millis(50));
    assert_eq!(links.cell.open_starts(), 6);
    let mut queues = links.queues.iter();
    let (key, queue) = queues.find(|(_, queue)| !queue.is_empty()).expect("starts");
    let (key, runs): (_, Vec<TaskRun>) = (*key, queue.iter().map(|(run, _)| *run).collect());
    links.cell.start_confirmed(key, runs[0], links.now);
    links
        .cell
        .start_unanswered(key, runs[1], StartTaker::Reported, links.now);
    assert_eq!(links.cell.open_starts(), 4);
    assert!(links.cell.oldest_open_start(links.now).is_some());
    links.cell.cancel(LARGE, links.now);
    assert_eq!(links.cell.open_starts(), 0);
}
