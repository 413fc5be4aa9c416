//! Workers, store and owner around a cell, with the faults of a platform: orders and answers that are
//! lost or late, workers that crash, return and fall silent, and owners that are replaced.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{
    AdviceReply, Cell, CellBatch, CellEffect, CellOptions, EndReport, JobId, JobOutcome, JobRecord,
    JobSpec, JobState, LogWrites, QueueSpec, RecordLog, RecordStamp, RunEnd, RunReport,
    SegmentState, StartOrder, StartRefusal, StoredRecords, TaskId, TaskRun, WorkerKey,
    WorkerReport,
};
use hs_wire::Resources;

use crate::fixture::{WORKER_CPU, cpu, entry};

/// Lease that the owner renews.
pub const LEASE: Duration = Duration::from_millis(7500);

/// How long a new owner waits for a worker that it can't reach.
const AUTHORITY: Duration = Duration::from_secs(9);

/// A worker as it really is.
#[derive(Debug, Default)]
pub struct FakeWorker {
    pub started_ms: u64,
    pub fence: u64,
    pub lease_end: Option<Instant>,
    pub running: BTreeMap<TaskRun, Resources>,
    pub ended: Vec<EndReport>,
    pub next_end: u64,
    /// Runs that were stopped or have ended, by task.
    pub barred: HashMap<TaskId, u32>,
    pub up: bool,
    /// Whether calls reach it.
    pub reachable: bool,
}

/// A start that a worker carries out later.
#[derive(Clone, Debug)]
struct LateStart {
    at: Instant,
    worker: usize,
    fence: u64,
    started_ms: u64,
    lease_end: Instant,
    run: TaskRun,
}

/// Entries that a transaction takes for records; few, so that segments are used.
const ENTRIES: usize = 5;

/// Jobs whose records go into one transaction.
const BATCH_JOBS: usize = 15;

/// What the store holds.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    pub jobs: BTreeMap<JobId, (Arc<JobSpec>, Option<JobOutcome>)>,
    pub records: StoredRecords,
    pub cancelled: BTreeSet<JobId>,
}

/// Everything around the cell, and what the oracle has seen.
pub struct World {
    pub cell: Cell,
    pub now: Instant,
    began: Instant,
    pub fence: u64,
    pub store: FakeStore,
    pub workers: Vec<FakeWorker>,
    keys: Vec<Option<WorkerKey>>,
    /// Whether the last hold was answered: only then the next one renews the lease.
    answered: Vec<bool>,
    /// End of the lease that the last renewal asked for, which starts ask for too.
    granted: Vec<Option<Instant>>,
    queues: Vec<QueueSpec>,
    log: RecordLog,
    sequence: u64,
    pending: Option<(CellBatch, LogWrites)>,
    late: Vec<LateStart>,
    acks: HashMap<WorkerKey, u64>,
    stops: Vec<(WorkerKey, TaskRun)>,
    advice: Vec<hs_cell::AdviceRequest>,
    /// Tasks of which a run has ended well, whether the owner knows or not.
    finished: BTreeSet<TaskId>,
    /// Tasks whose end `done` was acknowledged.
    pub done: BTreeSet<TaskId>,
    /// Failed runs that were acknowledged.
    pub failed: HashMap<TaskId, u32>,
    pub starts: usize,
    /// Share of starts that are carried out late, in percent.
    pub late_percent: u64,
    seed: u64,
}

impl World {
    /// Builds a world with some workers, all up.
    pub fn new(workers: usize, queues: Vec<QueueSpec>, seed: u64) -> Self {
        let now = Instant::now();
        let mut world = Self {
            cell: Cell::new(CellOptions::default()),
            now,
            began: now,
            fence: 0,
            store: FakeStore::default(),
            workers: Vec::new(),
            keys: vec![None; workers],
            answered: vec![false; workers],
            granted: vec![None; workers],
            queues,
            log: RecordLog::default(),
            sequence: 0,
            pending: None,
            late: Vec::new(),
            acks: HashMap::new(),
            stops: Vec::new(),
            advice: Vec::new(),
            finished: BTreeSet::new(),
            done: BTreeSet::new(),
            failed: HashMap::new(),
            starts: 0,
            late_percent: 0,
            seed: seed | 1,
        };
        for number in 0..workers {
            world.workers.push(FakeWorker {
                started_ms: 1 + number as u64,
                up: true,
                reachable: true,
                ..FakeWorker::default()
            });
        }
        world.take_over();
        world
    }

    /// Builds a world whose workers have shown their lists.
    pub fn warm(workers: usize, queues: Vec<QueueSpec>) -> Self {
        let mut world = Self::new(workers, queues, 1);
        for _ in 0..3 {
            world.quiet_round(Duration::from_millis(50));
        }
        world
    }

    /// Returns a pseudo-random number below a bound (splitmix64).
    pub fn draw(&mut self, bound: u64) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.seed;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % bound
    }

    fn unix_ms(&self) -> u64 {
        u64::try_from((self.now - self.began).as_millis()).expect("a test is short")
    }

    /// Puts queues into force.
    pub fn configure(&mut self, queues: Vec<QueueSpec>) {
        self.cell.configure(queues.clone());
        self.queues = queues;
    }

    /// Stores a job and tells the cell.
    pub fn submit(&mut self, id: JobId, spec: Arc<JobSpec>) {
        self.store.jobs.entry(id).or_insert((spec.clone(), None));
        let now_ms = self.unix_ms();
        self.cell.add_job(id, spec, self.now, now_ms);
    }

    /// Stores a cancellation and tells the cell.
    pub fn cancel(&mut self, id: JobId) {
        self.store.cancelled.insert(id);
        self.cell.cancel(id);
    }

    /// Replaces the owner by one that knows only the store and the workers.
    pub fn take_over(&mut self) {
        self.fence += 1;
        // Writes of the earlier owner fail from now on.
        self.pending = None;
        self.stops.clear();
        self.acks.clear();
        self.advice.clear();
        self.cell = Cell::new(CellOptions::default());
        self.cell.configure(self.queues.clone());
        let lease_end = self.now + AUTHORITY;
        for number in 0..self.workers.len() {
            self.keys[number] = None;
            self.answered[number] = false;
            self.granted[number] = None;
            if self.workers[number].up {
                self.list(number, lease_end);
            }
        }
        let store = self.store.clone();
        let now_ms = self.unix_ms();
        let (log, mut states) = RecordLog::restore(store.records);
        self.log = log;
        for (id, (spec, outcome)) in store.jobs {
            match (outcome, states.remove(&id)) {
                (Some(outcome), _) => {
                    self.log.forget_job(id);
                    self.cell.add_ended(id, outcome, self.now);
                }
                (None, Some(SegmentState::Ended(outcome))) => {
                    self.cell.add_ended(id, outcome, self.now);
                }
                (None, state) => {
                    let record = match state {
                        Some(SegmentState::Progress(record)) => record,
                        _ => JobRecord::default(),
                    };
                    let cell = &mut self.cell;
                    cell.restore(id, spec, &record, lease_end, self.now, now_ms);
                }
            }
        }
        for id in store.cancelled {
            self.cell.cancel(id);
        }
    }

    fn list(&mut self, number: usize, lease_end: Instant) {
        let entry = entry(number, self.workers[number].started_ms);
        self.keys[number] = Some(self.cell.worker_listed(entry, lease_end, self.now));
    }

    /// Ends a worker's process and all that runs there.
    pub fn crash(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        worker.up = false;
        worker.running.clear();
        worker.ended.clear();
        worker.barred.clear();
        worker.fence = 0;
        worker.next_end = 0;
        worker.lease_end = None;
        self.cell.worker_unlisted(&format!("w{number}"));
    }

    /// Starts a worker again under its id.
    pub fn restart(&mut self, number: usize) {
        if self.workers[number].up {
            self.crash(number);
        }
        let worker = &mut self.workers[number];
        worker.up = true;
        worker.started_ms += 1000;
        self.answered[number] = false;
        self.granted[number] = None;
        self.list(number, self.now);
    }

    /// Passes time: workers end leases and carry out late starts.
    pub fn pass(&mut self, time: Duration) {
        self.now += time;
        let now = self.now;
        for worker in &mut self.workers {
            if worker.lease_end.is_some_and(|end| now >= end) {
                let runs: Vec<TaskRun> = worker.running.keys().copied().collect();
                for run in runs {
                    worker.end(run, RunEnd::Lapsed);
                }
            }
        }
        let (ready, later): (Vec<_>, Vec<_>) = self.late.drain(..).partition(|s| s.at <= now);
        self.late = later;
        for start in ready {
            let number = start.worker;
            let same_life = self.workers[number].started_ms == start.started_ms;
            if same_life && self.workers[number].up && now < start.lease_end {
                let _ = self.carry_out(number, start.fence, start.run, start.lease_end);
            }
        }
    }

    /// Lets a worker take a start, and checks what must hold for it.
    fn carry_out(
        &mut self,
        number: usize,
        fence: u64,
        run: TaskRun,
        lease_end: Instant,
    ) -> Result<(), StartRefusal> {
        let worker = &mut self.workers[number];
        if fence < worker.fence {
            return Err(StartRefusal::Old);
        }
        worker.fence = fence;
        worker.lease_end = worker.lease_end.max(Some(lease_end));
        if worker.running.contains_key(&run) {
            return Ok(());
        }
        if worker
            .barred
            .get(&run.task)
            .is_some_and(|barred| run.run <= *barred)
        {
            return Err(StartRefusal::Old);
        }
        let need = self.need(run.task);
        let worker = &mut self.workers[number];
        let used = worker
            .running
            .values()
            .fold(need, |sum, n| sum.saturating_add(*n));
        assert!(
            used.fits(cpu(WORKER_CPU)),
            "worker w{number} is over its capacity by {run:?}"
        );
        worker.running.insert(run, need);
        self.starts += 1;
        self.check_start(run);
        Ok(())
    }

    fn need(&self, task: TaskId) -> Resources {
        let (spec, _) = &self.store.jobs[&task.job()];
        spec.steps[usize::from(task.step.step)].allocated_resources()
    }

    fn check_start(&self, run: TaskRun) {
        let copies = |worker: &FakeWorker| {
            worker.up && worker.running.keys().any(|other| other.task == run.task)
        };
        let count = self.workers.iter().filter(|worker| copies(worker)).count();
        assert!(count <= 1, "{:?} runs on {count} workers", run.task);
        assert!(
            !self.done.contains(&run.task),
            "{:?} starts after its end",
            run.task
        );
        let (spec, _) = &self.store.jobs[&run.task.job()];
        let step = &spec.steps[usize::from(run.task.step.step)];
        for after in &step.after {
            for index in 0..spec.steps[usize::from(*after)].count {
                let mut before = run.task.step;
                before.step = *after;
                let before = before.task(index);
                assert!(
                    self.finished.contains(&before),
                    "{:?} starts before {before:?}",
                    run.task
                );
            }
        }
        let queue = self
            .queues
            .iter()
            .find(|queue| queue.name == spec.queue)
            .expect("tests use known queues");
        let failed = self.failed.get(&run.task).copied().unwrap_or(0);
        assert!(
            failed < queue.max_attempts,
            "{:?} starts after {failed} failures",
            run.task
        );
    }

    /// Lets a run end on its worker. The members of a gang end together.
    pub fn end(&mut self, number: usize, run: TaskRun, end: RunEnd) {
        if !self.workers[number].running.contains_key(&run) {
            return;
        }
        self.workers[number].end(run, end);
        if end == RunEnd::Done {
            self.finished.insert(run.task);
        }
        let (spec, _) = &self.store.jobs[&run.task.job()];
        if !spec.steps[usize::from(run.task.step.step)].gang {
            return;
        }
        let others = match end {
            RunEnd::Done => RunEnd::Done,
            _ => RunEnd::Broken,
        };
        for worker in &mut self.workers {
            let same = |other: &&TaskRun| other.task.step == run.task.step && other.run == run.run;
            let members: Vec<TaskRun> = worker.running.keys().filter(same).copied().collect();
            for member in members {
                if others == RunEnd::Done {
                    self.finished.insert(member.task);
                }
                worker.end(member, others);
            }
        }
    }

    /// Replaces the owner in the middle of a write, which may have been carried out.
    pub fn lose_owner(&mut self, written: bool) {
        if written && let Some((_, writes)) = self.pending.take() {
            self.write_items(&writes);
        }
        self.take_over();
    }

    fn write_items(&mut self, writes: &LogWrites) {
        // The items have to read back as they were written.
        let stored = &mut self.store.records;
        for (id, record) in &writes.records {
            let record = read_back(record);
            stored.records.insert(*id, record);
        }
        for id in &writes.dropped_records {
            stored.records.remove(id);
        }
        if let Some((stamp, rows)) = &writes.segment {
            let rows = read_back(rows);
            stored.segments.insert(*stamp, rows);
        }
        for stamp in &writes.dropped_segments {
            stored.segments.remove(stamp);
        }
        for (id, outcome) in &writes.outcomes {
            let job = self.store.jobs.get_mut(id).expect("only stored jobs end");
            job.1 = Some(*outcome);
        }
    }

    /// Sends a renewal to a worker, and gives its list to the cell.
    pub fn hold(&mut self, number: usize) {
        let Some(key) = self.keys[number] else {
            return;
        };
        let now = self.now;
        let renews = self.answered[number];
        if renews {
            let margin = LEASE.mul_f64(0.025);
            self.cell.lease_renewed(key, now + LEASE + margin);
            self.granted[number] = Some(now + LEASE);
        }
        let worker = &mut self.workers[number];
        if !worker.up || !worker.reachable {
            self.answered[number] = false;
            self.cell.worker_unreachable(key);
            return;
        }
        worker.fence = worker.fence.max(self.fence);
        if renews {
            worker.lease_end = worker.lease_end.max(Some(now + LEASE));
        }
        self.answered[number] = true;
        let acknowledged = self.acks.get(&key).copied().unwrap_or(0);
        let (taken, kept): (Vec<_>, Vec<_>) = worker
            .ended
            .drain(..)
            .partition(|end| end.number <= acknowledged);
        worker.ended = kept;
        // Runs that work make progress from list to list.
        let percent = ((now - self.began).as_millis() / 40 % 100) as u8;
        let report = WorkerReport {
            running: worker
                .running
                .keys()
                .map(|run| RunReport {
                    run: *run,
                    checkpoint: String::new(),
                    percent,
                })
                .collect(),
            ended: worker.ended.clone(),
        };
        for end in taken {
            match end.end {
                RunEnd::Done => {
                    self.done.insert(end.run.task);
                }
                RunEnd::Failed => *self.failed.entry(end.run.task).or_default() += 1,
                _ => {}
            }
        }
        self.cell.worker_reported(key, report, now, now);
        // What is asked for later is newer.
        self.pass(Duration::from_millis(1));
    }

    /// Begins a write of the cell's changes.
    pub fn begin_commit(&mut self) {
        if self.pending.is_some() {
            return;
        }
        let outdated = self.log.jobs_to_rewrite(BATCH_JOBS);
        self.cell.rerecord_jobs(&outdated);
        let batch = self.cell.take_batch(BATCH_JOBS, usize::MAX);
        if batch.is_empty() && !self.log.needs_cleanup() {
            return;
        }
        self.sequence += 1;
        let stamp = RecordStamp {
            fence: self.fence,
            sequence: self.sequence,
        };
        let writes = self.log.plan(stamp, &batch.rows, ENTRIES);
        assert!(
            writes.entry_count() <= ENTRIES,
            "too many entries: {writes:?}"
        );
        self.pending = Some((batch, writes));
    }

    /// Carries the write out and confirms it.
    pub fn finish_commit(&mut self) {
        let Some((batch, writes)) = self.pending.take() else {
            return;
        };
        self.write_items(&writes);
        self.log.committed(writes);
        self.cell.committed(batch, self.now);
        self.carry_out_effects();
    }

    /// Lets the cell decide, and carries out what it asks for.
    pub fn pump(&mut self) {
        let now_ms = self.unix_ms();
        self.cell.advance(self.now, now_ms);
        self.carry_out_effects();
        self.retry_stops();
    }

    fn carry_out_effects(&mut self) {
        for effect in self.cell.take_effects() {
            match effect {
                CellEffect::Start(key, order) => self.start(key, &order),
                CellEffect::Stop(key, run) => self.stops.push((key, run)),
                CellEffect::Advise(request) => self.advice.push(request),
                CellEffect::Acknowledge(key, number) => {
                    let cursor = self.acks.entry(key).or_default();
                    *cursor = number.max(*cursor);
                }
                CellEffect::Forget(_) => {}
            }
        }
    }

    fn start(&mut self, key: WorkerKey, order: &StartOrder) {
        let Some(number) = self.keys.iter().position(|known| *known == Some(key)) else {
            return;
        };
        let run = order.run;
        let Some(lease_end) = self.granted[number].filter(|end| *end > self.now) else {
            self.cell
                .start_refused(key, run, StartRefusal::Unhealthy, self.now);
            return;
        };
        if !self.workers[number].up || !self.workers[number].reachable {
            self.cell.start_unanswered(key, run, self.now);
            return;
        }
        if self.draw(100) < self.late_percent {
            let delay = Duration::from_millis(2000 + self.draw(10_000));
            self.late.push(LateStart {
                at: self.now + delay,
                worker: number,
                fence: self.fence,
                started_ms: self.workers[number].started_ms,
                lease_end,
                run,
            });
            self.cell.start_unanswered(key, run, self.now);
            return;
        }
        match self.carry_out(number, self.fence, run, lease_end) {
            Ok(()) => self.cell.start_confirmed(key, run, self.now),
            Err(why) => self.cell.start_refused(key, run, why, self.now),
        }
    }

    fn retry_stops(&mut self) {
        for (key, run) in std::mem::take(&mut self.stops) {
            let Some(number) = self.keys.iter().position(|known| *known == Some(key)) else {
                continue;
            };
            let worker = &mut self.workers[number];
            if !worker.up || !worker.reachable {
                self.stops.push((key, run));
                continue;
            }
            worker.end(run, RunEnd::Stopped);
            let barred = worker.barred.entry(run.task).or_default();
            *barred = run.run.max(*barred);
            self.cell.stop_confirmed(key, run, self.now);
        }
    }

    /// Answers the calls for advice: each worker whose number is even may run anything.
    pub fn answer_advice(&mut self) {
        for request in std::mem::take(&mut self.advice) {
            let keys = request.workers.iter();
            let named: Vec<Arc<str>> = keys.filter_map(|key| self.cell.worker_id(*key)).collect();
            let allowed = named.iter().filter_map(|id| {
                let number: usize = id.strip_prefix('w')?.parse().ok()?;
                number
                    .is_multiple_of(2)
                    .then(|| (id.clone(), "ticket".into()))
            });
            let reply = AdviceReply {
                allowed: allowed.collect(),
                ticket_validity: Duration::from_secs(2),
            };
            self.cell
                .advice_settled(request.step, &named, Some(reply), true, self.now);
        }
    }

    /// Returns the calls for advice that wait for an answer.
    pub fn advice_calls(&self) -> &[hs_cell::AdviceRequest] {
        &self.advice
    }

    /// Lets everything settle without faults, with each run ending well.
    pub fn settle(&mut self, rounds: usize) {
        self.late_percent = 0;
        for _ in 0..rounds {
            for number in 0..self.workers.len() {
                let runs: Vec<TaskRun> = self.workers[number].running.keys().copied().collect();
                for run in runs {
                    self.end(number, run, RunEnd::Done);
                }
            }
            self.quiet_round(Duration::from_millis(250));
        }
    }

    /// Lets the owner work without faults, while runs go on.
    pub fn quiet_round(&mut self, time: Duration) {
        for number in 0..self.workers.len() {
            self.hold(number);
        }
        self.pump();
        self.answer_advice();
        self.pump();
        self.begin_commit();
        self.finish_commit();
        self.pass(time);
    }

    /// Returns the state of a job.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        self.cell.state(id)
    }

    /// Returns where the runs of a job are.
    pub fn placed(&self, id: JobId) -> Vec<(usize, TaskRun)> {
        let mut placed = Vec::new();
        for (number, worker) in self.workers.iter().enumerate() {
            let runs = worker.running.keys().filter(|run| run.task.job() == id);
            placed.extend(runs.map(|run| (number, *run)));
        }
        placed
    }
}

impl FakeWorker {
    fn end(&mut self, run: TaskRun, end: RunEnd) {
        if self.running.remove(&run).is_none() {
            return;
        }
        let barred = self.barred.entry(run.task).or_default();
        *barred = run.run.max(*barred);
        self.next_end += 1;
        self.ended.push(EndReport {
            number: self.next_end,
            run,
            end,
            checkpoint: String::new(),
        });
    }
}

/// Returns a value as it reads back from its text.
fn read_back<T: serde::Serialize + serde::de::DeserializeOwned>(value: &T) -> T {
    let text = serde_json::to_string(value).expect("records serialise");
    serde_json::from_str(&text).expect("records read back")
}
