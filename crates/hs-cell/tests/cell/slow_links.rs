//! A cell whose workers and store take time for each start.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use hs_cell::{
    Cell, CellBatch, CellEffect, CellOptions, JobId, StepSpec, TaskRun, WorkerKey, WorkerReport,
};

use crate::fixture::{cpu, entry, job, queue, step};

/// Time of a step of the simulation.
const TICK: Duration = Duration::from_millis(1);

pub(crate) const WORKERS: usize = 8;

/// Number of workers that could take more starts than the owner gives out.
pub(crate) const MANY_WORKERS: usize = 64;

/// Jobs of the tests, the first with many tasks.
pub(crate) const LARGE: JobId = JobId(1);
pub(crate) const SMALL: JobId = JobId(2);

/// Times of the workers and of the store.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkTimes {
    /// Time that a worker takes for a start, one after the other.
    pub(crate) answer: Duration,
    /// Time that an answer is on its way.
    pub(crate) distance: Duration,
    /// Time that a write takes.
    pub(crate) commit: Duration,
}

impl LinkTimes {
    pub(crate) fn answering_in(answer: Duration) -> Self {
        Self {
            answer,
            ..Self::default()
        }
    }
}

/// Starts that a worker has not answered, with the times at which their answers arrive.
pub(crate) type WorkerQueue = VecDeque<(TaskRun, Instant)>;

/// A cell whose workers each answer one start after the other, as a link with one connection does.
pub(crate) struct SlowLinks {
    pub(crate) cell: Cell,
    pub(crate) now: Instant,
    pub(crate) times: LinkTimes,
    pub(crate) queues: BTreeMap<WorkerKey, WorkerQueue>,
    /// Write that is in progress, and the time at which it is done.
    write: Option<(CellBatch, Instant)>,
    /// Time of the first answered start of each job.
    pub(crate) started_at: BTreeMap<JobId, Instant>,
    pub(crate) answered: usize,
}

impl SlowLinks {
    pub(crate) fn new(times: LinkTimes) -> Self {
        Self::with_workers(times, WORKERS)
    }

    pub(crate) fn with_workers(times: LinkTimes, workers: usize) -> Self {
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

    pub(crate) fn submit(&mut self, id: JobId, queue: &str, steps: Vec<StepSpec>) {
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

    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }
}

/// Returns steps whose tasks all fit on the workers at once.
pub(crate) fn many_tasks(gang: bool) -> Vec<StepSpec> {
    let tiny = StepSpec {
        need: cpu(1),
        gang,
        ..step(4096, 1, 3000)
    };
    vec![tiny]
}
