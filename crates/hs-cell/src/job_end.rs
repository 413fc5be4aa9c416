//! Ends of jobs as kept in the store, and the runs that still have to be stopped then.

use std::sync::Arc;
use std::time::Instant;

use hs_wire::Resources;
use serde::{Deserialize, Serialize};

use crate::cell::Cell;
use crate::job_record::{JobOutcome, WorkerIncarnation};
use crate::slot::{Slot, SlotPhase};
use crate::{JobId, StepId, TaskRun, WorkerKey};

/// Upper bound of the bytes that a run takes in the stored end of a job.
pub(crate) const MAX_STOPPING_RUN_BYTES: usize = 512;

/// An end lists as many runs as take the size of a value of the store divided by this.
const STOPPING_BYTES_DIVISOR: usize = 4;

/// End of a job. Without a team it is stored as the outcome alone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "StoredEnd", into = "StoredEnd")]
pub struct JobEnd {
    /// Outcome that clients are told.
    pub outcome: JobOutcome,
    /// Team that the job was accounted to.
    pub team: Option<Arc<str>>,
    /// Runs of the team that had not ended when the outcome was recorded.
    pub stopping: Vec<StoppingRun>,
}

/// Run that is being stopped. It counts for its team until it is known to have ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoppingRun {
    /// Worker that has the run.
    #[serde(rename = "w")]
    pub worker: WorkerIncarnation,
    /// Number of the occurrence.
    #[serde(default, rename = "k", skip_serializing_if = "is_zero")]
    pub occurrence: u32,
    /// Number of the step.
    #[serde(rename = "n")]
    pub step: u16,
    /// Number of the task.
    #[serde(rename = "i")]
    pub index: u16,
    /// Number of the run.
    #[serde(rename = "r")]
    pub run: u32,
    /// Resources that the run occupies.
    #[serde(rename = "a")]
    pub need: Resources,
}

/// Stored form of an end.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(untagged)]
enum StoredEnd {
    Outcome(JobOutcome),
    OfTeam {
        #[serde(rename = "o")]
        outcome: JobOutcome,
        #[serde(rename = "t")]
        team: Arc<str>,
        #[serde(default, rename = "r", skip_serializing_if = "Vec::is_empty")]
        stopping: Vec<StoppingRun>,
    },
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

impl From<JobOutcome> for JobEnd {
    fn from(outcome: JobOutcome) -> Self {
        Self {
            outcome,
            team: None,
            stopping: Vec::new(),
        }
    }
}

impl From<StoredEnd> for JobEnd {
    fn from(stored: StoredEnd) -> Self {
        match stored {
            StoredEnd::Outcome(outcome) => outcome.into(),
            StoredEnd::OfTeam {
                outcome,
                team,
                stopping,
            } => Self {
                outcome,
                team: Some(team),
                stopping,
            },
        }
    }
}

impl From<JobEnd> for StoredEnd {
    fn from(end: JobEnd) -> Self {
        let outcome = end.outcome;
        match end.team {
            None => Self::Outcome(outcome),
            Some(team) => Self::OfTeam {
                outcome,
                team,
                stopping: end.stopping,
            },
        }
    }
}

impl Cell {
    /// Returns what is stored about the end of a job. Of very many runs it lists as many as a value of the store holds; the
    /// others count for the team again once their workers have reported to the next owner.
    pub(crate) fn job_end(&self, id: JobId, outcome: JobOutcome) -> JobEnd {
        let job = self.jobs.get(&id);
        let team = job.and_then(|job| self.team_usage.name(job.team?).cloned());
        let placed = match (job, &team) {
            (Some(job), Some(_)) => job.placed_runs(id),
            _ => Vec::new(),
        };
        let stopping = placed.into_iter().filter_map(|(key, run)| {
            let worker = self.workers.get(key)?;
            let slot = worker.slots.get(&run)?;
            Some(StoppingRun {
                worker: WorkerIncarnation {
                    id: worker.entry.id.as_ref().to_owned(),
                    started_ms: worker.entry.started_ms,
                },
                occurrence: run.task.step.occurrence,
                step: run.task.step.step,
                index: run.task.index,
                run: run.run,
                need: slot.need,
            })
        });
        let max_bytes = self.options.max_value_bytes / STOPPING_BYTES_DIVISOR;
        JobEnd {
            outcome,
            stopping: stopping.take(max_bytes / MAX_STOPPING_RUN_BYTES).collect(),
            team,
        }
    }

    /// Adds a job that has ended and whose outcome is stored, and stops the runs that had not ended then. The workers
    /// in the registry have to be added before.
    ///
    /// Runs on a worker that is not listed count as running until `lease_end`.
    pub fn restore_ended(&mut self, id: JobId, end: JobEnd, lease_end: Instant, now: Instant) {
        let stopping = end.stopping.clone();
        self.add_ended(id, end, now);
        let team = self.jobs.get(&id).and_then(|job| job.team);
        for stored in stopping {
            let key = self.restore_worker(&stored.worker, lease_end);
            let step = StepId {
                job: id,
                occurrence: stored.occurrence,
                step: stored.step,
            };
            let run = TaskRun {
                task: step.task(stored.index),
                run: stored.run,
            };
            let slot = Slot::new(stored.need, team, SlotPhase::Running, now);
            self.stop_restored_run(key, run, slot);
        }
    }

    fn stop_restored_run(&mut self, key: WorkerKey, run: TaskRun, slot: Slot) {
        self.allocate(key, run, slot);
        self.stop_run(key, run);
    }
}
