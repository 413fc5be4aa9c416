//! Simulated load of a large cell whose queues need advice: many workers, wide gangs, and an advice service that
//! handles one call at a time for each process and allows a part of the workers.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{
    AdvicePart, AdviceQueue, AdviceReply, Cell, CellEffect, CellOptions, EndReport, JobId, JobSpec,
    JobState, QueueSpec, RunEnd, RunReport, StepId, TaskRun, WorkerEntry, WorkerKey, WorkerReport,
};

use crate::fixture::cpu;

/// Simulated time between two calls of [`Cell::advance`].
const TICK: Duration = Duration::from_millis(5);

/// Interval at which a worker reports its progress.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Validity of the tickets of the advice service.
const TICKET_VALIDITY: Duration = Duration::from_millis(2500);

/// CPU of a worker in thousandths of a core.
const WORKER_CPU: u32 = 64_000;

/// Number of workers in a rack.
const RACK_SIZE: u32 = 20;

/// Size of a simulated cell.
#[derive(Clone, Copy, Debug)]
pub struct LoadSize {
    pub workers: u32,
    /// Number of processes that call the advice service, beside the owner.
    pub advice_callers: usize,
    /// Share of workers that the advice service allows for a step, in percent.
    pub allowed_percent: u64,
    pub owner: OwnerSpeed,
}

/// How fast the owner is.
#[derive(Clone, Copy, Debug)]
pub struct OwnerSpeed {
    /// Time that a scheduling pass takes.
    pub pass: Duration,
    /// Time that a call or a store write takes, beside the service of the other side.
    pub call: Duration,
}

impl OwnerSpeed {
    /// An owner with processor time to spare.
    pub const IDLE: Self = Self {
        pass: Duration::from_millis(1),
        call: Duration::from_millis(15),
    };

    /// An owner whose calls wait for the processor.
    pub const SATURATED: Self = Self {
        pass: Duration::from_millis(8),
        call: Duration::from_millis(100),
    };
}

/// Something that happens at a simulated time.
enum Event {
    Commit(Vec<CellEffect>),
    End(WorkerKey, TaskRun),
    Report(WorkerKey),
    Advice(AdvicePart),
}

#[derive(Default)]
struct SimWorker {
    /// Runs with the times of their starts.
    running: BTreeMap<TaskRun, Instant>,
    ended: Vec<EndReport>,
    last_end: u64,
    used_milli: u32,
}

/// A job of the load.
#[derive(Clone, Debug)]
struct LoadJob {
    spec: Arc<JobSpec>,
    /// Number of tasks that run or have run.
    started: usize,
}

/// A cell under load, and its simulated environment.
pub struct AdvisedLoad {
    cell: Cell,
    pub now: Instant,
    size: LoadSize,
    events: BTreeMap<(Instant, u64), Event>,
    event_count: u64,
    workers: HashMap<WorkerKey, SimWorker>,
    advice: AdviceQueue,
    jobs: BTreeMap<JobId, LoadJob>,
}

impl AdvisedLoad {
    /// Builds a cell whose workers have reported.
    pub fn new(size: LoadSize, queues: Vec<QueueSpec>) -> Self {
        let now = Instant::now();
        let mut advice = AdviceQueue::default();
        let peers: Vec<Arc<str>> = (0..size.advice_callers)
            .map(|number| format!("peer{number}").into())
            .collect();
        advice.set_peers(&peers);
        let mut load = Self {
            cell: Cell::new(CellOptions::default()),
            now,
            size,
            events: BTreeMap::new(),
            event_count: 0,
            workers: HashMap::new(),
            advice,
            jobs: BTreeMap::new(),
        };
        load.cell.configure(queues);
        load.cell.record_pass_cost(size.owner.pass);
        for number in 0..size.workers {
            let key = load.cell.worker_listed(worker_entry(number), now, now);
            load.workers.insert(key, SimWorker::default());
            load.schedule(
                Duration::from_millis(u64::from(number % 1000)),
                Event::Report(key),
            );
        }
        load.run_for(REPORT_INTERVAL);
        load
    }

    /// Adds an accepted job.
    pub fn submit(&mut self, id: JobId, spec: Arc<JobSpec>) {
        self.jobs.insert(
            id,
            LoadJob {
                spec: spec.clone(),
                started: 0,
            },
        );
        self.cell.add_job(id, spec, self.now, 0);
    }

    /// Lets simulated time pass.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now
            {
                let event = entry.remove();
                self.handle(event);
            }
            self.advance();
        }
    }

    /// Returns the jobs of which no task has started.
    pub fn unstarted_jobs(&self) -> Vec<JobId> {
        let unstarted = self.jobs.iter().filter(|(_, job)| job.started == 0);
        unstarted.map(|(id, _)| *id).collect()
    }

    /// Returns whether all jobs have completed.
    pub fn is_done(&self) -> bool {
        let ended = |id| matches!(self.cell.state(id), Some(JobState::Ended(_)));
        self.jobs.keys().copied().all(ended)
    }

    /// Returns the number of tasks of the first step of a job.
    pub fn width(&self, id: JobId) -> u32 {
        self.jobs[&id].spec.steps[0].count.into()
    }

    /// Returns the share of all CPU that is in use.
    pub fn utilization(&self) -> f64 {
        let used: u64 = self.workers.values().map(|w| u64::from(w.used_milli)).sum();
        used as f64 / (f64::from(WORKER_CPU) * f64::from(self.size.workers))
    }

    /// Returns whether this many tasks of the first step of a job fit on the workers that it may use.
    pub fn has_room_for(&self, id: JobId, tasks: u32) -> bool {
        let need = self.jobs[&id].spec.steps[0].need.cpu_milli;
        let step = first_step(id);
        let mut missing = tasks;
        let mut with_room = self.workers.iter().filter_map(|(key, worker)| {
            let fits = (WORKER_CPU - worker.used_milli) / need;
            (fits > 0 && self.is_allowed(step, *key)).then_some(fits)
        });
        with_room.any(|fits| {
            missing = missing.saturating_sub(fits);
            missing == 0
        })
    }

    fn is_allowed(&self, step: StepId, key: WorkerKey) -> bool {
        let id = self.cell.worker_id(key);
        id.is_some_and(|id| is_allowed(step, &id, self.size.allowed_percent))
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now + after, self.event_count), event);
    }

    fn advance(&mut self) {
        self.cell.advance(self.now, 0);
        self.execute_effects();
        let batch = self.cell.take_batch(256, 6000);
        if batch.is_empty() {
            return;
        }
        self.cell.committed(batch, self.now);
        let starts = self.cell.take_effects();
        // A store write, and then the calls to the workers.
        self.schedule(self.size.owner.call * 2, Event::Commit(starts));
    }

    fn execute_effects(&mut self) {
        for effect in self.cell.take_effects() {
            self.execute(effect);
        }
    }

    fn execute(&mut self, effect: CellEffect) {
        match effect {
            CellEffect::Start(key, order) => self.start(key, order.run),
            CellEffect::Advise(request) => {
                let keys = request.workers.iter();
                let names = keys.filter_map(|key| self.cell.worker_id(*key)).collect();
                self.advice.enqueue(request, names);
                self.send_advice();
            }
            CellEffect::Stop(key, run) => self.end(key, run, RunEnd::Stopped),
            CellEffect::Acknowledge(..) | CellEffect::Forget(..) | CellEffect::Report(_) => {}
        }
    }

    fn send_advice(&mut self) {
        for part in self.advice.take_parts() {
            let delay = part.cost + self.size.owner.call;
            self.schedule(delay, Event::Advice(part));
        }
    }

    fn start(&mut self, key: WorkerKey, run: TaskRun) {
        let Some(job) = self.jobs.get_mut(&run.task.job()) else {
            return;
        };
        job.started += 1;
        let step = &job.spec.steps[usize::from(run.task.step.step)];
        let duration = Duration::from_millis(step.estimate_ms);
        let worker = self.workers.entry(key).or_default();
        worker.running.insert(run, self.now);
        worker.used_milli += step.need.cpu_milli;
        assert!(
            worker.used_milli <= WORKER_CPU,
            "{key:?} is over its capacity"
        );
        self.cell.start_confirmed(key, run, self.now);
        self.schedule(duration, Event::End(key, run));
    }

    fn end(&mut self, key: WorkerKey, run: TaskRun, end: RunEnd) {
        let need = self.jobs[&run.task.job()].spec.steps[usize::from(run.task.step.step)].need;
        let worker = self.workers.entry(key).or_default();
        if worker.running.remove(&run).is_none() {
            return;
        }
        worker.used_milli -= need.cpu_milli;
        worker.last_end += 1;
        worker.ended.push(EndReport {
            number: worker.last_end,
            run,
            end,
            checkpoint: String::new(),
        });
        self.report(key);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Commit(starts) => starts.into_iter().for_each(|start| self.execute(start)),
            Event::End(key, run) => self.end(key, run, RunEnd::Done),
            Event::Report(key) => {
                self.report(key);
                self.schedule(REPORT_INTERVAL, Event::Report(key));
            }
            Event::Advice(part) => self.answer(&part),
        }
    }

    fn report(&mut self, key: WorkerKey) {
        let worker = self.workers.entry(key).or_default();
        let running = worker.running.iter().map(|(run, started_at)| RunReport {
            run: *run,
            checkpoint: String::new(),
            percent: ((self.now - *started_at).as_millis() / 50).min(99) as u8,
        });
        let report = WorkerReport {
            running: running.collect(),
            ended: std::mem::take(&mut worker.ended),
            ..WorkerReport::default()
        };
        let lease_end = self.now + Duration::from_secs(8);
        self.cell.lease_renewed(key, lease_end);
        self.cell.worker_reported(key, report, self.now, self.now);
    }

    fn answer(&mut self, part: &AdvicePart) {
        let percent = self.size.allowed_percent;
        let allowed = part.workers.iter();
        let allowed = allowed.filter(|id| is_allowed(part.step, id, percent));
        let reply = AdviceReply {
            allowed: allowed.map(|id| (id.clone(), "ticket".into())).collect(),
            ticket_validity: TICKET_VALIDITY,
        };
        let is_last = self.advice.part_ended(part.step, &part.caller);
        self.cell
            .advice_settled(part.step, &part.workers, Some(reply), is_last, self.now);
        self.send_advice();
    }
}

fn first_step(job: JobId) -> StepId {
    StepId {
        job,
        occurrence: 0,
        step: 0,
    }
}

/// Returns whether the advice service allows a worker for a step: a fixed part, different for each step.
fn is_allowed(step: StepId, worker: &str, percent: u64) -> bool {
    let number: u64 = worker[1..].parse().expect("ids are numbers");
    let mut mixed =
        number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ step.job.0.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 31)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 29)) % 100 < percent
}

fn worker_entry(number: u32) -> WorkerEntry {
    WorkerEntry {
        id: format!("w{number}").into(),
        started_ms: 1,
        service: "desk".into(),
        labels: vec![format!("r0-{}", number / RACK_SIZE).into()],
        capacity: cpu(WORKER_CPU),
        draining: false,
    }
}
