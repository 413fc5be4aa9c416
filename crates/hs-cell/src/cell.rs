//! The state of a cell and what its owner tells it about jobs and queues.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use crate::advice::AllowedShare;
use crate::effect::{CellBatch, CellEffect, RecordRow, StartOrder};
use crate::job::{Job, Occurrence, TaskState};
use crate::job_record::JobOutcome;
use crate::job_spec::JobSpec;
use crate::queue_spec::QueueSpec;
use crate::reserve::Reservation;
use crate::worker::{SlotPhase, Worker};
use crate::{JobId, StepId, TaskRun, WorkerKey};

/// Settings of a cell.
#[derive(Clone, Copy, Debug)]
pub struct CellOptions {
    /// How long the end of a job stays readable.
    pub status_retention: Duration,
    /// Lease that an owner asks workers for. Longer than most partitions, in which runs go on, and short
    /// enough that the runs of a lost worker are started elsewhere.
    pub lease: Duration,
}

impl Default for CellOptions {
    fn default() -> Self {
        Self {
            status_retention: Duration::from_secs(120),
            lease: Duration::from_millis(7500),
        }
    }
}

/// Share by which a worker's clock may be slow.
const CLOCK_SHARE: f64 = 0.025;

/// Time in which a worker ends runs after its lease.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

impl CellOptions {
    /// Returns the longest time by the owner's clock that a worker keeps its runs after a renewal.
    pub fn max_lease(&self) -> Duration {
        self.lease + self.lease.mul_f64(CLOCK_SHARE) + LEASE_MARGIN
    }
}

/// How often runs are checked for progress.
const STALL_CHECK_EVERY: Duration = Duration::from_millis(200);

/// Longest duration of a scheduling pass that delays the next one.
const MAX_PASS_COST: Duration = Duration::from_millis(8);

/// What a client is told about a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// The job has ended.
    Ended(JobOutcome),
}

/// Jobs, queues and workers of a cell.
#[derive(Debug)]
pub struct Cell {
    pub(crate) options: CellOptions,
    pub(crate) queues: HashMap<Arc<str>, QueueSpec>,
    pub(crate) jobs: HashMap<JobId, Job>,
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    pub(crate) by_id: HashMap<Arc<str>, WorkerKey>,
    pub(crate) shares: HashMap<Arc<str>, AllowedShare>,
    /// Steps with waiting tasks.
    pub(crate) ready: Vec<StepId>,
    /// Occurrences that are not due yet, by due time in Unix milliseconds.
    pub(crate) due: BTreeMap<(u64, JobId), ()>,
    pub(crate) dirty: VecDeque<JobId>,
    pub(crate) effects: Vec<CellEffect>,
    pub(crate) changed: bool,
    pub(crate) scheduled_at: Option<Instant>,
    pub(crate) pass_cost: Duration,
    pub(crate) reservations: Vec<Reservation>,
    pub(crate) last_stall_check: Option<Instant>,
}

impl Cell {
    /// Creates an empty cell.
    pub fn new(options: CellOptions) -> Self {
        Self {
            options,
            queues: HashMap::new(),
            jobs: HashMap::new(),
            workers: SlotMap::with_key(),
            by_id: HashMap::new(),
            shares: HashMap::new(),
            ready: Vec::new(),
            due: BTreeMap::new(),
            dirty: VecDeque::new(),
            effects: Vec::new(),
            changed: false,
            scheduled_at: None,
            pass_cost: Duration::ZERO,
            reservations: Vec::new(),
            last_stall_check: None,
        }
    }

    /// Takes the queues of a configuration. Queues that it no longer names keep their last settings
    /// for the jobs that wait there.
    pub fn configure(&mut self, queues: impl IntoIterator<Item = QueueSpec>) {
        for queue in queues {
            self.queues.insert(queue.name.clone(), queue);
        }
        self.touch();
    }

    /// Adds an accepted job. Returns whether it is new.
    pub fn add_job(&mut self, id: JobId, spec: Arc<JobSpec>, now: Instant, now_ms: u64) -> bool {
        if self.jobs.contains_key(&id) {
            return false;
        }
        self.jobs.insert(id, Job::new(spec));
        self.begin_due(id, now, now_ms);
        true
    }

    /// Adds a job that has ended.
    pub fn add_ended(&mut self, id: JobId, outcome: JobOutcome, now: Instant) {
        let erase_at = now + self.options.status_retention;
        let ended = Job::ended(outcome, erase_at);
        self.jobs.entry(id).or_insert(ended);
    }

    /// Returns whether the cell knows a job.
    pub fn has_job(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Cancels a job, whose cancellation is already in the store. Returns whether it is known.
    pub fn cancel(&mut self, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        if job.outcome.is_none() {
            self.end_job(id, JobOutcome::Cancelled);
        }
        true
    }

    /// Returns what a client may be told about a job.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let job = self.jobs.get(&id)?;
        Some(match job.outcome {
            Some(outcome) if job.shown => JobState::Ended(outcome),
            _ if job.started => JobState::Running,
            _ => JobState::Queued,
        })
    }

    /// Returns the number of accepted jobs of a queue of which no task has started.
    pub fn pending_jobs(&self, queue: &str) -> usize {
        let waits = |job: &&Job| {
            let spec = job.spec.as_ref();
            job.outcome.is_none() && !job.started && spec.is_some_and(|spec| *spec.queue == *queue)
        };
        self.jobs.values().filter(waits).count()
    }

    /// Returns how long a job has waited, if none of its tasks has started yet.
    pub fn queue_wait(&self, id: JobId, now: Instant) -> Option<Duration> {
        let job = self.jobs.get(&id).filter(|job| !job.started)?;
        let begun = job.occurrences.first()?.begun;
        Some(now.saturating_duration_since(begun))
    }

    /// Returns the number of unfinished jobs.
    pub fn unfinished_jobs(&self) -> usize {
        self.jobs
            .values()
            .filter(|job| job.outcome.is_none())
            .count()
    }

    /// Returns the number of runs that hold room.
    pub fn allocated_runs(&self) -> usize {
        self.workers.values().map(|worker| worker.slots.len()).sum()
    }

    /// Returns the number of steps with waiting tasks.
    pub fn waiting_steps(&self) -> usize {
        self.ready.len()
    }

    /// Begins what is due, gives up leases that ran out, and places what waits.
    pub fn advance(&mut self, now: Instant, now_ms: u64) {
        self.begin_all_due(now, now_ms);
        self.expire_leases(now);
        if self
            .last_stall_check
            .is_none_or(|at| now >= at + STALL_CHECK_EVERY)
        {
            self.last_stall_check = Some(now);
            self.move_stalled(now);
        }
        self.schedule(now);
    }

    /// Notes how long the last call of [`Cell::advance`] took, if it made a scheduling pass.
    pub fn record_pass_cost(&mut self, cost: Duration) {
        self.pass_cost = cost.min(MAX_PASS_COST);
    }

    /// Returns when the last scheduling pass was made.
    pub fn last_pass_at(&self) -> Option<Instant> {
        self.scheduled_at
    }

    /// Returns whether a scheduling pass is due as soon as its cost allows.
    pub fn wants_pass(&self) -> bool {
        self.changed
    }

    /// Returns the jobs whose records may be deleted, and forgets them.
    pub fn take_expired_jobs(&mut self, now: Instant, limit: usize) -> Vec<JobId> {
        let old = |job: &Job| job.erase_at.is_some_and(|at| now >= at);
        let jobs = self.jobs.iter().filter(|(_, job)| old(job));
        let ids: Vec<JobId> = jobs.map(|(id, _)| *id).take(limit).collect();
        for id in &ids {
            self.jobs.remove(id);
        }
        ids
    }

    /// Takes what is to be done.
    pub fn take_effects(&mut self) -> Vec<CellEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Records jobs anew, although nothing about them has changed.
    pub fn rerecord_jobs(&mut self, ids: &[JobId]) {
        for id in ids {
            self.mark_dirty(*id);
        }
    }

    /// Takes the next changes to be written: those of at most so many jobs, or of jobs with so many tasks.
    pub fn take_batch(&mut self, jobs: usize, tasks: usize) -> CellBatch {
        let mut batch = CellBatch::default();
        let mut tasks_left = tasks;
        while batch.rows.len() < jobs && tasks_left > 0 {
            let Some(id) = self.dirty.pop_front() else {
                break;
            };
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.dirty = false;
            batch.starts.append(&mut job.pending_starts);
            batch.ends.append(&mut job.pending_ends);
            let row = match job.outcome {
                Some(outcome) => RecordRow::Finished(id, outcome),
                None => RecordRow::Progress(id, self.record(id)),
            };
            tasks_left = tasks_left.saturating_sub(row.task_count());
            batch.rows.push(row);
        }
        batch
    }

    /// Releases what waited for a batch to be in the store.
    pub fn committed(&mut self, batch: CellBatch, now: Instant) {
        for row in &batch.rows {
            if let RecordRow::Finished(id, _) = row {
                self.show_end(*id, now);
            }
        }
        for (worker, run) in batch.starts {
            self.send_start(worker, run, now);
        }
        for (key, number) in batch.ends {
            let Some(worker) = self.workers.get_mut(key) else {
                continue;
            };
            worker.unrecorded.remove(&number);
            let acknowledged = worker.acknowledged();
            self.effects
                .push(CellEffect::Acknowledge(key, acknowledged));
        }
    }

    fn show_end(&mut self, id: JobId, now: Instant) {
        let erase_at = now + self.options.status_retention;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.shown = true;
            job.erase_at = Some(erase_at);
            job.spec = None;
            job.occurrences = Vec::new();
        }
    }

    fn send_start(&mut self, key: WorkerKey, run: TaskRun, now: Instant) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let Some(slot) = worker.slots.get_mut(&run) else {
            return;
        };
        if slot.phase != SlotPhase::Recording {
            return;
        }
        let id = run.task.step;
        let job = self.jobs.get(&id.job);
        let order = job.and_then(|job| {
            let spec = job.spec.as_ref()?;
            let step = job.step(id)?;
            let task = step.tasks.get(usize::from(run.task.index))?;
            let ticket = step.advice.ticket(key, now).cloned();
            let needs_ticket = self.queues.get(&spec.queue)?.advice.is_some();
            if needs_ticket && ticket.is_none() {
                return None;
            }
            Some(StartOrder {
                run,
                input: spec.input.clone(),
                checkpoint: task.checkpoint.clone(),
                ticket,
            })
        });
        match order {
            Some(order) => {
                slot.phase = SlotPhase::Sent;
                slot.moved_at = now;
                self.effects.push(CellEffect::Start(key, order));
            }
            // The ticket ended while the placement was being recorded.
            None => self.undo_placement(key, run),
        }
    }

    /// Ends a job and stops what runs of it.
    pub(crate) fn end_job(&mut self, id: JobId, outcome: JobOutcome) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.outcome = Some(outcome);
        let placed = job.placed(id);
        self.mark_dirty(id);
        for (worker, run) in placed {
            self.stop_run(worker, run);
        }
        self.touch();
    }

    /// Stops a run, or takes it back if its start was not sent yet.
    pub(crate) fn stop_run(&mut self, key: WorkerKey, run: TaskRun) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let Some(slot) = worker.slots.get_mut(&run) else {
            return;
        };
        match slot.phase {
            SlotPhase::Recording => self.undo_placement(key, run),
            SlotPhase::Stopping => {}
            SlotPhase::Sent | SlotPhase::Running => {
                slot.phase = SlotPhase::Stopping;
                slot.known_since = None;
                self.effects.push(CellEffect::Stop(key, run));
            }
        }
    }

    /// Takes back a placement whose run certainly does not exist.
    pub(crate) fn undo_placement(&mut self, key: WorkerKey, run: TaskRun) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.release(run);
        }
        let id = run.task.step;
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.pending_starts.retain(|(_, pending)| *pending != run);
            if let Some(step) = job.step_mut(id) {
                let task = &mut step.tasks[usize::from(run.task.index)];
                if task.run == run.run && task.state == TaskState::Placed(key) {
                    task.state = TaskState::Waiting;
                }
            }
        }
        self.mark_dirty(id.job);
        self.queue_step(id);
    }

    fn begin_all_due(&mut self, now: Instant, now_ms: u64) {
        while let Some((&(due_ms, id), ())) = self.due.first_key_value() {
            if due_ms > now_ms {
                break;
            }
            self.due.pop_first();
            self.begin_due(id, now, now_ms);
        }
    }

    /// Begins the occurrences of a job that are due, and notes when the next one is.
    pub(crate) fn begin_due(&mut self, id: JobId, now: Instant, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(spec) = job.spec.clone() else {
            return;
        };
        let scheduled = spec.schedule.is_some();
        let mut begun = Vec::new();
        while job.next_occurrence < spec.occurrences() {
            let number = job.next_occurrence;
            let due_ms = spec.due_ms(number);
            if scheduled && due_ms > now_ms {
                self.due.insert((due_ms, id), ());
                break;
            }
            job.next_occurrence += 1;
            job.occurrences.push(Occurrence::new(&spec, number, now));
            begun.push(number);
        }
        for number in begun {
            self.queue_runnable(id, number);
        }
    }

    /// Puts the steps of an occurrence that may run now into the list of ready steps.
    pub(crate) fn queue_runnable(&mut self, id: JobId, occurrence: u32) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(spec) = job.spec.clone() else {
            return;
        };
        let mut occurrences = job.occurrences.iter();
        let Some(found) = occurrences.find(|o| o.number == occurrence) else {
            return;
        };
        let steps = (0u16..).zip(&spec.steps);
        let runnable: Vec<u16> = steps
            .filter(|(_, step)| found.is_runnable(step))
            .map(|(step, _)| step)
            .collect();
        for step in runnable {
            self.queue_step(StepId {
                job: id,
                occurrence,
                step,
            });
        }
    }

    /// Puts a step with waiting tasks into the list of ready steps.
    pub(crate) fn queue_step(&mut self, id: StepId) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if job.outcome.is_some() {
            return;
        }
        let Some(step) = job.step_mut(id) else {
            return;
        };
        if step.queued || step.waiting().next().is_none() {
            return;
        }
        step.queued = true;
        self.ready.push(id);
        self.touch();
    }

    pub(crate) fn mark_dirty(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id)
            && !job.dirty
        {
            job.dirty = true;
            self.dirty.push_back(id);
        }
    }

    /// Notes that a scheduling pass may find something new.
    pub(crate) fn touch(&mut self) {
        self.changed = true;
    }
}
