//! Simulated load of a large cell whose queues need advice: many workers, wide gangs, and an advice service that
//! handles one call at a time for each process and allows a part of the workers.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{
    AdvicePart, AdviceQueue, AdviceReply, Cell, CellBatch, CellEffect, CellOptions, EndReport,
    JobId, JobSpec, JobState, QueueSpec, RunEnd, RunReport, StartRefusal, StepId, TaskRun,
    WorkerKey, WorkerReport,
};

use crate::advised_workers::{SimWorker, WORKER_CPU, is_allowed, worker_entry};
use crate::owner_processor::{LoadCounts, OwnerProcessor, ProcessorCosts, TICK};

pub use crate::owner_processor::OwnerSpeed;

/// Interval at which a worker reports its progress.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Validity of the tickets of the advice service.
const TICKET_VALIDITY: Duration = Duration::from_millis(2500);

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

/// Something that happens at a simulated time.
enum Event {
    Commit(CellBatch),
    Start(Vec<CellEffect>),
    End(WorkerKey, TaskRun),
    Report(WorkerKey),
    Advice(AdvicePart),
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
    worker_keys: HashMap<Arc<str>, WorkerKey>,
    advice: AdviceQueue,
    /// Times at which the last tickets for a step and a worker expire.
    ticket_ends: HashMap<(StepId, WorkerKey), Instant>,
    jobs: BTreeMap<JobId, LoadJob>,
    pub processor: OwnerProcessor,
    /// Start of the store write in flight.
    committing_since: Option<Instant>,
    pub counts: LoadCounts,
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
            worker_keys: HashMap::new(),
            advice,
            ticket_ends: HashMap::new(),
            jobs: BTreeMap::new(),
            processor: OwnerProcessor::new(ProcessorCosts::NONE, now),
            committing_since: None,
            counts: LoadCounts::default(),
        };
        load.cell.set_advice_callers(size.advice_callers + 1);
        load.cell.configure(queues);
        load.cell.record_pass_cost(size.owner.pass);
        for number in 0..size.workers {
            let key = load.cell.worker_listed(worker_entry(number), now, now);
            load.workers.insert(key, SimWorker::default());
            load.worker_keys.insert(worker_entry(number).id, key);
            load.schedule(
                Duration::from_millis(u64::from(number % 1000)),
                Event::Report(key),
            );
        }
        load.run_for(REPORT_INTERVAL);
        load
    }

    /// Lets what the owner does take processor time from now on.
    pub fn set_processor_costs(&mut self, costs: ProcessorCosts) {
        self.processor = OwnerProcessor::new(costs, self.now);
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
            self.handle_due_events();
            while self.processor.is_idle(self.now) && self.has_due_event() {
                self.advance();
                self.handle_due_events();
            }
            if self.processor.is_idle(self.now) {
                self.advance();
            }
        }
    }

    fn has_due_event(&self) -> bool {
        let first = self.events.first_key_value();
        first.is_some_and(|((due, _), _)| *due <= self.now)
    }

    /// Handles the events that are due, as far as the owner has time for it and takes them in one turn.
    fn handle_due_events(&mut self) {
        for _ in 0..self.processor.costs.events_per_turn {
            if !self.processor.is_idle(self.now) || !self.has_due_event() {
                break;
            }
            if let Some(((due, _), event)) = self.events.pop_first() {
                self.handle(event, due);
            }
        }
    }

    /// Returns the jobs of which no task has started.
    pub fn unstarted_jobs(&self) -> Vec<JobId> {
        let unstarted = self.jobs.iter().filter(|(_, job)| job.started == 0);
        unstarted.map(|(id, _)| *id).collect()
    }

    /// Returns the number of jobs that have not completed.
    pub fn unfinished_jobs(&self) -> usize {
        self.cell.unfinished_jobs()
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
        let last_pass_at = self.cell.last_pass_at();
        self.cell.advance(self.now, 0);
        if self.cell.last_pass_at() != last_pass_at {
            self.record_pass();
        }
        self.execute_effects();
        if self.committing_since.is_some() {
            return;
        }
        let batch = self.cell.take_batch(256, 6000);
        if batch.is_empty() {
            return;
        }
        let rows = u32::try_from(batch.rows.len()).expect("a batch is small");
        let costs = self.processor.costs;
        self.processor
            .spend(costs.commit + costs.row * rows, self.now);
        // A store write, and then the calls to the workers.
        if costs.commit.is_zero() {
            self.cell.committed(batch, self.now);
            let starts = self.cell.take_effects();
            self.schedule(self.size.owner.call * 2, Event::Start(starts));
        } else {
            self.committing_since = Some(self.now);
            self.schedule(self.size.owner.call, Event::Commit(batch));
        }
    }

    fn record_pass(&mut self) {
        let work = self.cell.last_pass_work();
        self.counts.passes += 1;
        self.counts.most_pass_work = self.counts.most_pass_work.max(work);
        let cost = self.processor.spend_pass(work, self.now);
        if !cost.is_zero() {
            self.cell.record_pass_cost(cost);
        }
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
                self.counts.advice_requests += 1;
                let costs = self.processor.costs;
                self.processor.spend(costs.advice_call, self.now);
                let keys = request.workers.iter();
                let names = keys.filter_map(|key| self.cell.worker_id(*key)).collect();
                self.advice.enqueue(request, names);
                self.send_advice();
            }
            CellEffect::Stop(key, run) => self.end(key, run, RunEnd::Stopped),
            CellEffect::Acknowledge(..)
            | CellEffect::Forget(..)
            | CellEffect::Report(_)
            | CellEffect::Release(_) => {}
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
        let costs = self.processor.costs;
        self.processor.spend(costs.start, self.now);
        let ticket_end = self.ticket_ends.get(&(run.task.step, key));
        if !costs.start.is_zero() && ticket_end.is_some_and(|end| *end < self.now) {
            self.counts.refused_starts += 1;
            let why = StartRefusal::Ticket;
            self.cell.start_refused(key, run, why, self.now);
            return;
        }
        self.counts.starts += 1;
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

    fn handle(&mut self, event: Event, due: Instant) {
        match event {
            Event::Commit(batch) => {
                if let Some(since) = self.committing_since.take() {
                    self.cell.record_commit_time(self.now - since);
                }
                self.cell.committed(batch, self.now);
                let starts = self.cell.take_effects();
                self.schedule(self.size.owner.call, Event::Start(starts));
            }
            Event::Start(starts) => starts.into_iter().for_each(|start| self.execute(start)),
            Event::End(key, run) => self.end(key, run, RunEnd::Done),
            Event::Report(key) => {
                self.report(key);
                self.schedule(REPORT_INTERVAL, Event::Report(key));
            }
            Event::Advice(part) => self.answer(&part, due),
        }
    }

    fn report(&mut self, key: WorkerKey) {
        let costs = self.processor.costs;
        self.processor.spend(costs.report, self.now);
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
        self.cell.lease_renewed(key, lease_end, self.now);
        self.cell.worker_reported(key, report, self.now, self.now);
    }

    fn answer(&mut self, part: &AdvicePart, due: Instant) {
        self.counts.advice_ends += 1;
        let validity = TICKET_VALIDITY.saturating_sub(self.now - due);
        let percent = self.size.allowed_percent;
        let allowed = part.workers.iter();
        let allowed = allowed.filter(|id| is_allowed(part.step, id, percent));
        let reply = AdviceReply {
            allowed: allowed.map(|id| (id.clone(), "ticket".into())).collect(),
            ticket_validity: validity,
        };
        for (id, _) in &reply.allowed {
            if let Some(key) = self.worker_keys.get(id) {
                let end = self.now + validity;
                self.ticket_ends.insert((part.step, *key), end);
            }
        }
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
