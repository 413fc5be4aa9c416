//! Jobs and their tasks in memory.

use std::sync::Arc;
use std::time::Instant;

use crate::advice::StepAdvice;
use crate::job_record::JobOutcome;
use crate::job_spec::{JobSpec, StepSpec};
use crate::{StepId, TaskRun, WorkerKey};

/// A job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// What the client asked for; dropped when the job has ended.
    pub spec: Option<Arc<JobSpec>>,
    pub outcome: Option<JobOutcome>,
    /// Whether the end is in the store, and so may be shown.
    pub shown: bool,
    pub started: bool,
    /// Number of the first unfinished occurrence.
    pub first_occurrence: u32,
    /// Number of the next occurrence to begin.
    pub next_occurrence: u32,
    pub occurrences: Vec<Occurrence>,
    /// Whether the job differs from what was last put into a batch.
    pub dirty: bool,
    pub pending_starts: Vec<(WorkerKey, TaskRun)>,
    pub pending_ends: Vec<(WorkerKey, u64)>,
    /// When the record may be deleted.
    pub erase_at: Option<Instant>,
}

/// One occurrence of a job.
#[derive(Clone, Debug)]
pub(crate) struct Occurrence {
    pub number: u32,
    /// When the first step became runnable.
    pub begun: Instant,
    pub steps: Vec<StepRun>,
}

/// A step of an occurrence.
#[derive(Clone, Debug)]
pub(crate) struct StepRun {
    pub tasks: Vec<Task>,
    pub done: u16,
    /// Whether the step is in the list of steps with waiting tasks.
    pub queued: bool,
    pub advice: StepAdvice,
}

/// A task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub state: TaskState,
    pub run: u32,
    pub failures: u32,
    /// Last failed run that was counted.
    pub failed_run: u32,
    pub checkpoint: Option<Arc<str>>,
    /// Worker on which the last run failed.
    pub avoid: Option<WorkerKey>,
}

/// Where a task stands.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum TaskState {
    #[default]
    Waiting,
    Placed(WorkerKey),
    Done,
}

impl Job {
    pub(crate) fn new(spec: Arc<JobSpec>) -> Self {
        Self {
            spec: Some(spec),
            outcome: None,
            shown: false,
            started: false,
            first_occurrence: 0,
            next_occurrence: 0,
            occurrences: Vec::new(),
            dirty: false,
            pending_starts: Vec::new(),
            pending_ends: Vec::new(),
            erase_at: None,
        }
    }

    pub(crate) fn ended(outcome: JobOutcome, erase_at: Instant) -> Self {
        Self {
            spec: None,
            outcome: Some(outcome),
            shown: true,
            started: true,
            first_occurrence: 0,
            next_occurrence: 0,
            occurrences: Vec::new(),
            dirty: false,
            pending_starts: Vec::new(),
            pending_ends: Vec::new(),
            erase_at: Some(erase_at),
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

    /// Returns the runs that are placed, with their workers.
    pub(crate) fn placed(&self, id: crate::JobId) -> Vec<(WorkerKey, TaskRun)> {
        let mut placed = Vec::new();
        for occurrence in &self.occurrences {
            for (step, run) in occurrence.steps.iter().enumerate() {
                let step = StepId {
                    job: id,
                    occurrence: occurrence.number,
                    step: u16::try_from(step).unwrap_or(u16::MAX),
                };
                run.collect_placed(step, &mut placed);
            }
        }
        placed
    }
}

impl Occurrence {
    pub(crate) fn new(spec: &JobSpec, number: u32, begun: Instant) -> Self {
        let steps = spec.steps.iter().map(StepRun::new).collect();
        Self {
            number,
            begun,
            steps,
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(StepRun::is_done)
    }

    /// Returns whether all steps that come before are done.
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

    pub(crate) fn waiting(&self) -> impl Iterator<Item = u16> + '_ {
        let tasks = (0u16..).zip(&self.tasks);
        tasks
            .filter(|(_, task)| task.state == TaskState::Waiting)
            .map(|(index, _)| index)
    }

    pub(crate) fn has_placed(&self) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.any(|task| matches!(task.state, TaskState::Placed(_)))
    }

    /// Returns the highest run of any task.
    pub(crate) fn last_run(&self) -> u32 {
        self.tasks.iter().map(|task| task.run).max().unwrap_or(0)
    }

    pub(crate) fn collect_placed(&self, step: StepId, placed: &mut Vec<(WorkerKey, TaskRun)>) {
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
