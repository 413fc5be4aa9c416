//! Job specifications as submitted by clients, and their validation.

use std::sync::Arc;
use std::time::Duration;

use hs_wire::Resources;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use thiserror::Error;

use crate::bounded_steps::bounded_steps;
use crate::open_starts::StartKind;

/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 64;

/// Maximum number of tasks of a step.
pub const MAX_TASKS: u16 = 4096;

/// Specification of an accepted job. It is immutable.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobSpec {
    /// Name of the queue that the job is submitted to.
    pub queue: Arc<str>,
    /// Opaque input that is passed to the workers unchanged.
    pub input: Arc<str>,
    /// Steps, at the indexes that [`StepSpec::after`] refers to.
    #[serde(deserialize_with = "bounded_steps")]
    pub steps: Vec<StepSpec>,
    /// Recurrence; `None` for a job that runs once, immediately.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<JobSchedule>,
    /// Time of acceptance in Unix milliseconds.
    pub accepted_ms: u64,
    /// Team that the job is accounted to; `None` if its deployment has no teams.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<Arc<str>>,
}

/// Schedule of a recurring job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSchedule {
    /// Total number of occurrences.
    pub count: u32,
    /// Due time of the first occurrence in Unix milliseconds.
    pub first_ms: u64,
    /// Time between two consecutive occurrences in milliseconds.
    pub interval_ms: u64,
}

/// Specification of a step: a number of identical tasks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u16,
    /// Resources that each task needs.
    pub need: Resources,
    /// The client's rough estimate of a task's duration in milliseconds.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Indexes of the steps that must be done before this one can start.
    #[serde(skip_serializing_if = "SmallVec::is_empty")]
    pub after: SmallVec<[u16; 4]>,
    /// Whether the tasks save checkpoints from which a later run can resume.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the tasks form a gang, which is started, stopped and retried as a whole.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the tasks run slower when they are spread over several racks.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// Label that a worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requires: Option<Arc<str>>,
    /// Rack that is preferred because the tasks run faster there.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub affinity: Option<Arc<str>>,
    /// Maximum number of tasks of the step on one worker; 0 for no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub max_per_worker: u16,
    /// Whether speculative copies of a task may run in parallel.
    #[serde(skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(rename = "lasting", skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// Whether the tasks run in CPU time that other tasks leave unused, so that none is allocated to them.
    #[serde(skip_serializing_if = "is_default")]
    pub fills: bool,
    /// Maximum number of long-running tasks that the scheduler may make unavailable at a time.
    #[serde(skip_serializing_if = "is_default")]
    pub may_miss: u16,
    /// Name of what the tasks run. Tasks of the same image behave alike.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<Arc<str>>,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Reason why a job specification is invalid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SpecError {
    /// The job has no steps, or more than [`MAX_STEPS`].
    #[error("a job has 1 to {MAX_STEPS} steps, not {0}")]
    Steps(usize),
    /// A step has no tasks, or more than [`MAX_TASKS`].
    #[error("step {step} has {count} tasks; 1 to {MAX_TASKS} are allowed")]
    Tasks {
        /// Number of the step.
        step: usize,
        /// Number of tasks of the step.
        count: u16,
    },
    /// A step depends on itself or on a later step.
    #[error("step {step} comes after step {after}, which is not an earlier one")]
    Order {
        /// Number of the step.
        step: usize,
        /// Number of the step that it depends on.
        after: u16,
    },
}

impl JobSpec {
    /// Checks the numbers of steps and tasks, and that each step depends only on earlier steps.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub fn validate(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(SpecError::Steps(self.steps.len()));
        }
        for (step, spec) in self.steps.iter().enumerate() {
            let count = spec.count;
            if count == 0 || count > MAX_TASKS {
                return Err(SpecError::Tasks { step, count });
            }
            if let Some(&after) = spec.after.iter().find(|after| usize::from(**after) >= step) {
                return Err(SpecError::Order { step, after });
            }
        }
        Ok(())
    }

    /// Returns the estimated duration of the critical path: the longest chain of dependent steps.
    pub fn critical_path(&self) -> Duration {
        let mut ends: SmallVec<[u64; 8]> = SmallVec::new();
        for step in &self.steps {
            let dependency_ends = step
                .after
                .iter()
                .filter_map(|after| ends.get(usize::from(*after)));
            let start = dependency_ends.max().copied().unwrap_or(0);
            ends.push(start + step.estimate_ms);
        }
        Duration::from_millis(ends.into_iter().max().unwrap_or(0))
    }

    /// Returns the estimated duration of the longest chain of dependent steps that begins with step `from`.
    pub fn critical_path_from(&self, from: u16) -> Duration {
        let from = usize::from(from);
        let mut ends: SmallVec<[u64; 8]> = SmallVec::from_elem(0, self.steps.len());
        for (number, step) in self.steps.iter().enumerate().skip(from) {
            let dependency_ends = step.after.iter().map(|after| ends[usize::from(*after)]);
            let start = dependency_ends.max().unwrap_or(0);
            if number == from || start > 0 {
                ends[number] = start + step.estimate_ms.max(1);
            }
        }
        Duration::from_millis(ends.into_iter().max().unwrap_or(0))
    }

    /// Returns the number of occurrences, which is 1 for a job without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// Returns the due time of an occurrence in Unix milliseconds; the time of acceptance without a schedule.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        match self.schedule {
            Some(schedule) => schedule.first_ms + u64::from(occurrence) * schedule.interval_ms,
            None => self.accepted_ms,
        }
    }
}

impl StepSpec {
    /// Returns whether a task has to start together with the others.
    pub(crate) fn start_kind(&self) -> StartKind {
        match self.gang {
            true => StartKind::GangMember,
            false => StartKind::Single,
        }
    }

    /// Returns the resources that a task occupies on its worker: what it needs, without CPU if it `fills`.
    pub fn allocated_resources(&self) -> Resources {
        let cpu_milli = if self.fills { 0 } else { self.need.cpu_milli };
        Resources {
            cpu_milli,
            ..self.need
        }
    }
}
