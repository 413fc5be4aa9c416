//! What a client asks for.

use std::sync::Arc;
use std::time::Duration;

use hs_wire::Resources;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use thiserror::Error;

/// Most steps of a job.
pub const MAX_STEPS: usize = 64;

/// Most tasks of a step.
pub const MAX_TASKS: u16 = 4096;

/// A job as it was accepted. It never changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobSpec {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// Input that workers receive unchanged.
    pub input: Arc<str>,
    /// The steps, in the order in which `after` numbers them.
    pub steps: Vec<StepSpec>,
    /// Repetition in time; `None` for a job that runs once, now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<JobSchedule>,
    /// Time of acceptance in Unix milliseconds.
    pub accepted_ms: u64,
}

/// When the occurrences of a job are due.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSchedule {
    /// Number of occurrences.
    pub count: u32,
    /// Due time of the first one in Unix milliseconds.
    pub first_ms: u64,
    /// Time between two of them in milliseconds.
    pub interval_ms: u64,
}

/// One step: tasks of the same kind.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u16,
    /// What each task takes.
    pub need: Resources,
    /// The client's rough estimate of a task's duration in milliseconds.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Steps that have to be done first.
    #[serde(skip_serializing_if = "SmallVec::is_empty")]
    pub after: SmallVec<[u16; 4]>,
    /// Whether tasks save checkpoints.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the tasks only work together.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether tasks on several racks run slower.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// Label that a worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requires: Option<Arc<str>>,
    /// Rack on which the tasks run faster.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub affinity: Option<Arc<str>>,
    /// Most tasks of the step on one worker; 0 for no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub max_per_worker: u16,
    /// Whether copies of a task may run in parallel.
    #[serde(skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(rename = "lasting", skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// Whether the tasks use processor time that other tasks leave over.
    #[serde(skip_serializing_if = "is_default")]
    pub fills: bool,
    /// How many lasting tasks may be away at a time because of the scheduler.
    #[serde(skip_serializing_if = "is_default")]
    pub may_miss: u16,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Why a job can't be accepted.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SpecError {
    /// There are no steps, or too many.
    #[error("a job has 1 to {MAX_STEPS} steps, not {0}")]
    Steps(usize),
    /// A step has no tasks, or too many.
    #[error("step {step} has {count} tasks; 1 to {MAX_TASKS} are allowed")]
    Tasks {
        /// Number of the step.
        step: usize,
        /// Its number of tasks.
        count: u16,
    },
    /// A step comes after itself or a later one.
    #[error("step {step} comes after step {after}, which is not an earlier one")]
    Order {
        /// Number of the step.
        step: usize,
        /// The step that it names.
        after: u16,
    },
}

impl JobSpec {
    /// Checks that the steps can be run.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
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

    /// Returns the estimated duration of the longest chain of steps.
    pub fn critical_path(&self) -> Duration {
        let mut ends: SmallVec<[u64; 8]> = SmallVec::new();
        for step in &self.steps {
            let before = step
                .after
                .iter()
                .filter_map(|after| ends.get(usize::from(*after)));
            let start = before.max().copied().unwrap_or(0);
            ends.push(start + step.estimate_ms);
        }
        Duration::from_millis(ends.into_iter().max().unwrap_or(0))
    }

    /// Returns the estimated duration of the longest chain of steps that begins with this one.
    pub fn critical_path_from(&self, from: u16) -> Duration {
        let from = usize::from(from);
        let mut ends: SmallVec<[u64; 8]> = SmallVec::from_elem(0, self.steps.len());
        for (number, step) in self.steps.iter().enumerate().skip(from) {
            let before = step.after.iter().map(|after| ends[usize::from(*after)]);
            let start = before.max().unwrap_or(0);
            if number == from || start > 0 {
                ends[number] = start + step.estimate_ms.max(1);
            }
        }
        Duration::from_millis(ends.into_iter().max().unwrap_or(0))
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// Returns the due time of an occurrence in Unix milliseconds.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        match self.schedule {
            Some(schedule) => schedule.first_ms + u64::from(occurrence) * schedule.interval_ms,
            None => self.accepted_ms,
        }
    }
}

impl StepSpec {
    /// Returns what a task holds on its worker.
    pub fn allocated_resources(&self) -> Resources {
        let cpu_milli = if self.fills { 0 } else { self.need.cpu_milli };
        Resources {
            cpu_milli,
            ..self.need
        }
    }
}
