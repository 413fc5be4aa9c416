//! In-memory state of jobs, occurrences, steps and tasks.

use std::sync::Arc;
use std::time::Instant;

use hs_share::JobClass;
use smallvec::SmallVec;

use crate::advice::StepAdvice;
use crate::crash_history::CrashHistory;
use crate::dirty_jobs::DirtyPlace;
use crate::job_record::JobOutcome;
use crate::job_spec::{JobSpec, StepSpec};
use crate::team_usage::TeamKey;
use crate::{JobId, StepId, TaskRun, WorkerKey};

/// State of a job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Specification; dropped when the outcome is stored.
    pub spec: Option<Arc<JobSpec>>,
    /// Team that the runs are counted for. It stays when the specification is dropped.
    pub team: Option<TeamKey>,
    /// Whether the job is owed to its team. Restored jobs count as owed until they are classified.
    pub class: JobClass,
    pub outcome: Option<JobOutcome>,
    /// Whether the outcome is in the store, so that clients may be told about it.
    pub outcome_stored: bool,
    /// Whether a run of the job is known to have started.
    pub started: bool,
    /// Number of the first occurrence that is not done.
    pub first_occurrence: u32,
    /// Number of the next occurrence to create.
    pub next_occurrence: u32,
    pub occurrences: Vec<Occurrence>,
    /// Place among the jobs that have changed since they were last put into a batch.
    pub dirty_place: Option<DirtyPlace>,
    /// Placements whose starts wait for the next batch to be committed.
    pub pending_starts: Vec<(WorkerKey, TaskRun)>,
    /// Ends that wait for the next batch before they are acknowledged, by worker and end number.
    pub pending_ends: Vec<(WorkerKey, u64)>,
    /// Time from which the stored job may be deleted.
    pub delete_at: Option<Instant>,
}

/// State of one occurrence of a job.
#[derive(Clone, Debug)]
pub(crate) struct Occurrence {
    pub number: u32,
    /// Time at which the occurrence was created and its first steps became runnable.
    pub runnable_since: Instant,
    pub steps: Vec<StepRun>,
}

/// State of a step of an occurrence.
#[derive(Clone, Debug)]
pub(crate) struct StepRun {
    pub tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub done: u16,
    /// Whether the step is in `Cell::ready_steps`.
    pub queued: bool,
    pub advice: StepAdvice,
}

/// State of a task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub state: TaskState,
    /// Number of the last run; 0 if the task has never been placed.
    pub run: u32,
    /// Number of failed runs.
    pub failures: u32,
    /// Number of the last failed run that `failures` includes.
    pub last_failed_run: u32,
    /// Numbers of the other failed runs that `failures` includes, unless the task has no limit of failures.
    pub earlier_failed_runs: SmallVec<[u32; 2]>,
    /// Checkpoint from which the next run resumes.
    pub checkpoint: Option<Arc<str>>,
    /// Worker on which a run last failed. Other candidates come first, except that one rack may be preferred.
    pub last_failed_on: Option<WorkerKey>,
    /// Crashes of workers under the task, if there were any.
    pub crash_history: Option<Box<CrashHistory>>,
    /// Whether the current run was placed alone on its worker.
    pub isolated: bool,
}

/// Placement state of a task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum TaskState {
    #[default]
    Waiting,
    Placed(WorkerKey),
    Done,
}

impl Job {
    pub(crate) fn new(spec: Arc<JobSpec>, team: Option<TeamKey>) -> Self {
        Self {
            spec: Some(spec),
            team,
            class: JobClass::Owed,
            outcome: None,
            outcome_stored: false,
            started: false,
            first_occurrence: 0,
            next_occurrence: 0,
            occurrences: Vec::new(),
            dirty_place: None,
            pending_starts: Vec::new(),
            pending_ends: Vec::new(),
            delete_at: None,
        }
    }

    pub(crate) fn ended(outcome: JobOutcome, team: Option<TeamKey>, delete_at: Instant) -> Self {
        Self {
            spec: None,
            team,
            class: JobClass::Owed,
            outcome: Some(outcome),
            outcome_stored: true,
            started: true,
            first_occurrence: 0,
            next_occurrence: 0,
            occurrences: Vec::new(),
            dirty_place: None,
            pending_starts: Vec::new(),
            pending_ends: Vec::new(),
            delete_at: Some(delete_at),
        }
    }

    pub(crate) fn step(&self, id: StepId) -> Option<&StepRun> {
        let occurrence = self
            .occurrences
            .iter()
            .find(|o| o.number == id.occurrence)?;
        occurrence.steps.get(usize::from(id.step))
    }

    pub(crate) fn step_mut(&mut self, id: StepId) -> Option<&mut StepRun> {
        let mut occurrences = self.occurrences.iter_mut();
        let occurrence = occurrences.find(|o| o.number == id.occurrence)?;
        occurrence.steps.get_mut(usize::from(id.step))
    }

    pub(crate) fn step_spec(&self, id: StepId) -> Option<&StepSpec> {
        self.spec.as_ref()?.steps.get(usize::from(id.step))
    }

    /// Returns the placed runs with their workers.
    pub(crate) fn placed_runs(&self, id: JobId) -> Vec<(WorkerKey, TaskRun)> {
        let mut placed = Vec::new();
        for (step, run) in self.step_runs(id) {
            run.collect_placed_runs(step, &mut placed);
        }
        placed
    }

    /// Returns the steps of all occurrences with their IDs.
    pub(crate) fn step_runs(&self, id: JobId) -> impl Iterator<Item = (StepId, &StepRun)> {
        self.occurrences.iter().flat_map(move |occurrence| {
            let steps = (0u16..).zip(&occurrence.steps);
            steps.map(move |(step, run)| {
                let step_id = StepId {
                    job: id,
                    occurrence: occurrence.number,
                    step,
                };
                (step_id, run)
            })
        })
    }
}

impl Occurrence {
    pub(crate) fn new(spec: &JobSpec, number: u32, runnable_since: Instant) -> Self {
        let steps = spec.steps.iter().map(StepRun::new).collect();
        Self {
            number,
            runnable_since,
            steps,
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(StepRun::is_done)
    }

    /// Returns whether all steps that this step depends on are done.
    pub(crate) fn is_runnable(&self, spec: &StepSpec) -> bool {
        let mut before = spec.after.iter();
        before.all(|step| {
            self.steps
                .get(usize::from(*step))
                .is_none_or(StepRun::is_done)
        })
    }
}

impl StepRun {
    fn new(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![Task::default(); usize::from(spec.count)],
            done: 0,
            queued: false,
            advice: StepAdvice::default(),
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        usize::from(self.done) == self.tasks.len()
    }

    pub(crate) fn waiting_tasks(&self) -> impl Iterator<Item = u16> + '_ {
        let tasks = (0u16..).zip(&self.tasks);
        tasks
            .filter(|(_, task)| task.state == TaskState::Waiting)
            .map(|(index, _)| index)
    }

    pub(crate) fn has_placed_tasks(&self) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.any(|task| matches!(task.state, TaskState::Placed(_)))
    }

    /// Returns the highest run number of any task.
    pub(crate) fn max_run_number(&self) -> u32 {
        self.tasks.iter().map(|task| task.run).max().unwrap_or(0)
    }

    pub(crate) fn collect_placed_runs(&self, step: StepId, placed: &mut Vec<(WorkerKey, TaskRun)>) {
        for (index, task) in (0u16..).zip(&self.tasks) {
            if let TaskState::Placed(worker) = task.state {
                let task_run = TaskRun {
                    task: step.task(index),
                    run: task.run,
                };
                placed.push((worker, task_run));
            }
        }
    }
}
