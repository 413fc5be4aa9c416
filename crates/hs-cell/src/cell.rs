//! State of a cell, and the part of its interface that concerns jobs and queues.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_evidence::Evidence;
use slotmap::{SecondaryMap, SlotMap};

use crate::advice::AllowedShare;
use crate::advice_window::AdviceWindow;
use crate::dirty_jobs::DirtyJobs;
use crate::early_cancellations::EarlyCancellations;
use crate::effect::CellEffect;
use crate::free_index::FreeIndex;
use crate::job::{Job, Occurrence};
use crate::job_classes::JobClasses;
use crate::job_end::JobEnd;
use crate::job_record::JobOutcome;
use crate::job_spec::JobSpec;
use crate::open_starts::OpenStarts;
use crate::options::CellOptions;
use crate::pass_budget::{PassBudget, PassWork};
use crate::passes::StepTurns;
use crate::queue_spec::QueueSpec;
use crate::ready_steps::ReadySteps;
use crate::reservation::Reservation;
use crate::surplus_backlogs::SurplusBacklogs;
use crate::team_shares::TeamShares;
use crate::team_steps::RoomyTeams;
use crate::team_usage::TeamUsage;
use crate::ticket_holders::TicketHolders;
use crate::ticket_margin::TicketMargin;
use crate::worker::Worker;
use crate::{JobId, TaskId, WorkerKey};

/// Interval at which leases are checked for their expiry. The runs of an expired one may restart that much later.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which runs are checked for progress.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// State of a job as reported to clients.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobState {
    /// No task has started yet.
    Queued,
    /// At least one task has started.
    Running,
    /// The job has ended, and its outcome is stored.
    Ended(JobOutcome),
}

/// What became of a job that was to be added.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AddedJob {
    /// The cell already knew the job.
    Known,
    /// The job is in its queue.
    Queued,
    /// The job ends at once, since its cancellation came first.
    Cancelled,
}

/// State machine of a cell: its jobs, queues and workers.
#[derive(Debug)]
pub struct Cell {
    pub(crate) options: CellOptions,
    pub(crate) queues: HashMap<Arc<str>, QueueSpec>,
    pub(crate) team_usage: TeamUsage,
    pub(crate) roomy_teams: RoomyTeams,
    pub(crate) job_classes: JobClasses,
    pub(crate) surplus_backlogs: SurplusBacklogs,
    pub(crate) team_shares: TeamShares,
    pub(crate) jobs: HashMap<JobId, Job>,
    /// Number of jobs that have not ended.
    unfinished_jobs: usize,
    /// Jobs whose outcomes are stored, by the time from which they may be deleted.
    expiring_jobs: BTreeSet<(Instant, JobId)>,
    pub(crate) early_cancellations: EarlyCancellations,
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    pub(crate) free_index: FreeIndex,
    /// Latest incarnation of each worker, by worker ID.
    pub(crate) workers_by_id: HashMap<Arc<str>, WorkerKey>,
    /// Share of workers that the advice service allows, by queue.
    pub(crate) allowed_shares: HashMap<Arc<str>, AllowedShare>,
    /// Runnable steps with waiting tasks.
    pub(crate) ready_steps: ReadySteps,
    pub(crate) ticket_holders: TicketHolders,
    pub(crate) advice_window: AdviceWindow,
    pub(crate) ticket_margin: TicketMargin,
    /// Jobs whose next occurrence is not due yet, by due time in Unix milliseconds.
    pub(crate) due_occurrences: BTreeMap<(u64, JobId), ()>,
    pub(crate) dirty_jobs: DirtyJobs,
    pub(crate) effects: Vec<CellEffect>,
    /// Whether something has changed since the last scheduling pass.
    pub(crate) pass_requested: bool,
    pub(crate) last_pass_at: Option<Instant>,
    /// Minimum time from the last scheduling pass to the next one.
    pub(crate) pass_interval: Duration,
    pub(crate) pass_budget: PassBudget,
    /// Work of the current pass, or else of the last one.
    pub(crate) pass_work: PassWork,
    pub(crate) turns: StepTurns,
    /// Starts without an answer, and how many there may be.
    pub(crate) open_starts: OpenStarts,
    pub(crate) reservations: Vec<Reservation>,
    /// Reservations that were dropped a short time ago.
    pub(crate) dropped_reservations: Vec<Reservation>,
    /// CPU that the earlier single-task steps of the current pass are expected to use, by worker.
    pub(crate) expected_use: SecondaryMap<WorkerKey, u32>,
    /// Workers that are vacated for suspects, and some that were.
    pub(crate) vacated_workers: Vec<WorkerKey>,
    /// Tasks that wait to learn whether a worker has crashed under them, by worker ID.
    pub(crate) lost_tasks: HashMap<Arc<str>, Vec<TaskId>>,
    /// Speeds of workers and interference between kinds, if they are observed.
    pub(crate) evidence: Option<Box<Evidence>>,
    pub(crate) last_stall_check: Option<Instant>,
    pub(crate) last_lease_check: Option<Instant>,
}

impl Cell {
    /// Creates an empty cell.
    pub fn new(options: CellOptions) -> Self {
        Self {
            options,
            queues: HashMap::new(),
            team_usage: TeamUsage::default(),
            roomy_teams: RoomyTeams::new(),
            job_classes: JobClasses::default(),
            surplus_backlogs: SurplusBacklogs::default(),
            team_shares: TeamShares::default(),
            jobs: HashMap::new(),
            unfinished_jobs: 0,
            expiring_jobs: BTreeSet::new(),
            early_cancellations: EarlyCancellations::default(),
            workers: SlotMap::with_key(),
            free_index: FreeIndex::default(),
            workers_by_id: HashMap::new(),
            allowed_shares: HashMap::new(),
            ready_steps: ReadySteps::default(),
            ticket_holders: TicketHolders::default(),
            advice_window: AdviceWindow::default(),
            ticket_margin: TicketMargin::default(),
            due_occurrences: BTreeMap::new(),
            dirty_jobs: DirtyJobs::default(),
            effects: Vec::new(),
            pass_requested: false,
            last_pass_at: None,
            pass_interval: Duration::ZERO,
            pass_budget: PassBudget::default(),
            pass_work: PassWork::default(),
            turns: StepTurns::default(),
            open_starts: OpenStarts::default(),
            reservations: Vec::new(),
            dropped_reservations: Vec::new(),
            expected_use: SecondaryMap::new(),
            vacated_workers: Vec::new(),
            lost_tasks: HashMap::new(),
            evidence: Evidence::new(options.learning),
            last_stall_check: None,
            last_lease_check: None,
        }
    }

    /// Applies the queues of a configuration. Queues that it no longer contains keep their last settings,
    /// for the jobs that still wait in them.
    pub fn configure(&mut self, queues: impl IntoIterator<Item = QueueSpec>) {
        let mut has_changed = false;
        for queue in queues {
            let name = queue.name.clone();
            let max_attempts = queue.max_attempts;
            let earlier = self.queues.insert(name.clone(), queue.clone());
            has_changed |= earlier.as_ref() != Some(&queue);
            if earlier.is_none_or(|earlier| earlier.max_attempts != max_attempts) {
                self.fail_exhausted_jobs(&name);
            }
        }
        if has_changed {
            self.reorder_ready_steps();
        }
        self.request_pass();
    }

    /// Adds an accepted job, unless the cell already knows it.
    pub fn add_job(
        &mut self,
        id: JobId,
        spec: Arc<JobSpec>,
        now: Instant,
        now_ms: u64,
    ) -> AddedJob {
        if self.jobs.contains_key(&id) {
            return AddedJob::Known;
        }
        let team = spec.team.as_ref().map(|team| self.team_usage.intern(team));
        let accepted_ms = spec.accepted_ms;
        self.insert_unfinished(id, Job::new(spec, team));
        self.classify_new_job(id, accepted_ms);
        if self.take_cancellation(id) {
            self.end_job(id, JobOutcome::Cancelled);
            return AddedJob::Cancelled;
        }
        self.begin_due_occurrences(id, now, now_ms);
        AddedJob::Queued
    }

    /// Adds a job that has ended and whose outcome is stored.
    pub fn add_ended(&mut self, id: JobId, end: impl Into<JobEnd>, now: Instant) {
        let end = end.into();
        let delete_at = now + self.options.status_retention;
        let team = end.team.as_ref().map(|team| self.team_usage.intern(team));
        let ended = Job::ended(end.outcome, team, delete_at);
        if let Entry::Vacant(entry) = self.jobs.entry(id) {
            entry.insert(ended);
            self.expiring_jobs.insert((delete_at, id));
        }
    }

    /// Adds a job that has not ended.
    pub(crate) fn insert_unfinished(&mut self, id: JobId, job: Job) {
        let earlier = self.jobs.insert(id, job);
        let was_unfinished = earlier.is_some_and(|job| job.outcome.is_none());
        self.unfinished_jobs += usize::from(!was_unfinished);
    }

    /// Returns whether the cell knows a job.
    pub fn has_job(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Cancels a job whose cancellation is already in the store. Returns whether the cell knows the job; if not, the
    /// cancellation is kept until the job is added.
    pub fn cancel(&mut self, id: JobId, now: Instant) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            self.keep_cancellation(id, now);
            return false;
        };
        if job.outcome.is_none() {
            self.end_job(id, JobOutcome::Cancelled);
        }
        true
    }

    /// Returns the state of a job as reported to clients.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let job = self.jobs.get(&id)?;
        Some(match job.outcome {
            Some(outcome) if job.outcome_stored => JobState::Ended(outcome),
            _ if job.started => JobState::Running,
            _ => JobState::Queued,
        })
    }

    /// Returns the number of unfinished jobs of a queue of which no task has started.
    pub fn pending_jobs(&self, queue: &str) -> usize {
        let is_pending = |job: &&Job| {
            let spec = job.spec.as_ref();
            job.outcome.is_none() && !job.started && spec.is_some_and(|spec| *spec.queue == *queue)
        };
        self.jobs.values().filter(is_pending).count()
    }

    /// Returns how long a job has waited in its queue, if none of its tasks has started yet.
    pub fn queue_wait(&self, id: JobId, now: Instant) -> Option<Duration> {
        let job = self.jobs.get(&id).filter(|job| !job.started)?;
        let runnable_since = job.occurrences.first()?.runnable_since;
        Some(now.saturating_duration_since(runnable_since))
    }

    /// Returns the number of jobs that have not ended.
    pub fn unfinished_jobs(&self) -> usize {
        self.unfinished_jobs
    }

    /// Returns the number of runs to which resources are allocated.
    pub fn allocated_runs(&self) -> usize {
        self.workers.values().map(|worker| worker.slots.len()).sum()
    }

    /// Returns the number of steps with waiting tasks.
    pub fn waiting_steps(&self) -> usize {
        self.ready_steps.len() + self.ready_steps.parked.len()
    }

    /// Returns the number of steps that wait since their teams have no room under their caps.
    pub fn parked_steps(&self) -> usize {
        self.ready_steps.parked.len()
    }

    /// Begins due occurrences, expires leases, stops stalled runs and places waiting tasks.
    pub fn advance(&mut self, now: Instant, now_ms: u64) {
        self.classify_restored_jobs();
        self.surplus_backlogs.update_meters(now);
        self.begin_all_due_occurrences(now, now_ms);
        let is_due = |last: Option<Instant>, interval| last.is_none_or(|at| now >= at + interval);
        if is_due(self.last_lease_check, LEASE_CHECK_INTERVAL) {
            self.last_lease_check = Some(now);
            self.expire_leases(now);
        }
        if is_due(self.last_stall_check, STALL_CHECK_INTERVAL) {
            self.last_stall_check = Some(now);
            self.stop_stalled_runs(now);
        }
        self.schedule(now);
    }

    /// Removes at most `limit` jobs whose retention time is over, and returns them for deletion in the store.
    pub fn take_expired_jobs(&mut self, now: Instant, limit: usize) -> Vec<JobId> {
        let mut ids = Vec::new();
        while ids.len() < limit
            && let Some(&(delete_at, id)) = self.expiring_jobs.first()
            && now >= delete_at
        {
            self.expiring_jobs.pop_first();
            let job = self.jobs.get(&id);
            // The retention time begins again if the outcome is stored again.
            if job.is_some_and(|job| job.delete_at == Some(delete_at)) {
                self.jobs.remove(&id);
                ids.push(id);
            }
        }
        ids
    }

    /// Takes the effects that the owner has to execute.
    pub fn take_effects(&mut self) -> Vec<CellEffect> {
        std::mem::take(&mut self.effects)
    }

    pub(crate) fn mark_outcome_stored(&mut self, id: JobId, now: Instant) {
        let delete_at = now + self.options.status_retention;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.outcome_stored = true;
            job.delete_at = Some(delete_at);
            job.spec = None;
            // The end may be written again, and names the runs that count for the team then.
            if job.team.is_none() || job.placed_runs(id).is_empty() {
                job.occurrences = Vec::new();
            }
            self.expiring_jobs.insert((delete_at, id));
        }
    }

    /// Ends a job and stops its runs.
    pub(crate) fn end_job(&mut self, id: JobId, outcome: JobOutcome) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let was_unfinished = job.outcome.replace(outcome).is_none();
        self.unfinished_jobs -= usize::from(was_unfinished);
        let placed = job.placed_runs(id);
        self.surplus_backlogs.remove(id);
        self.dequeue_job(id);
        self.mark_dirty(id);
        for (worker, run) in placed {
            self.stop_run(worker, run);
        }
        self.request_pass();
    }

    fn begin_all_due_occurrences(&mut self, now: Instant, now_ms: u64) {
        while let Some((&(due_ms, id), ())) = self.due_occurrences.first_key_value() {
            if due_ms > now_ms {
                break;
            }
            self.due_occurrences.pop_first();
            self.begin_due_occurrences(id, now, now_ms);
        }
    }

    /// Begins the due occurrences of a job, and schedules the next one.
    pub(crate) fn begin_due_occurrences(&mut self, id: JobId, now: Instant, now_ms: u64) {
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
                self.due_occurrences.insert((due_ms, id), ());
                break;
            }
            job.next_occurrence += 1;
            job.occurrences.push(Occurrence::new(&spec, number, now));
            begun.push(number);
        }
        for number in begun {
            self.queue_runnable_steps(id, number);
        }
    }
}
