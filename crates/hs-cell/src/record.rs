//! Conversion of unfinished jobs to records for the store, and their restoration at a takeover.

use std::sync::Arc;
use std::time::Instant;

use crate::cell::Cell;
use crate::job::{Job, Occurrence, StepRun, Task, TaskState};
use crate::job_record::{JobRecord, StepRecord, TaskPlace, TaskRecord, WorkerIncarnation};
use crate::job_spec::JobSpec;
use crate::slot::{Slot, SlotPhase};
use crate::worker::{Worker, WorkerEntry};
use crate::{JobId, StepId, TaskRun, WorkerKey};

impl Cell {
    /// Returns the record of an unfinished job.
    pub(crate) fn job_record(&self, id: JobId) -> JobRecord {
        let mut record = JobRecord::default();
        let Some(job) = self.jobs.get(&id) else {
            return record;
        };
        record.first_occurrence = job.first_occurrence;
        for occurrence in &job.occurrences {
            for (number, step) in (0u16..).zip(&occurrence.steps) {
                let done = step.is_done();
                let tasks = match done {
                    true => Vec::new(),
                    false => self.task_records(step, &mut record.workers),
                };
                if done || !tasks.is_empty() {
                    record.steps.push(StepRecord {
                        occurrence: occurrence.number,
                        step: number,
                        done,
                        tasks,
                    });
                }
            }
        }
        record
    }

    fn task_records(
        &self,
        step: &StepRun,
        workers: &mut Vec<WorkerIncarnation>,
    ) -> Vec<TaskRecord> {
        let mut records = Vec::new();
        for (index, task) in (0u16..).zip(&step.tasks) {
            let place = match task.state {
                TaskState::Waiting if task.run == 0 => continue,
                TaskState::Waiting => TaskPlace::Waiting,
                TaskState::Done => TaskPlace::Done,
                TaskState::Placed(key) => match self.workers.get(key) {
                    Some(worker) => {
                        let entry = &worker.entry;
                        TaskPlace::Worker(worker_index(workers, &entry.id, entry.started_ms))
                    }
                    None => TaskPlace::Waiting,
                },
            };
            records.push(TaskRecord {
                index,
                place,
                run: task.run,
                failures: task.failures,
                last_failed_run: task.last_failed_run,
                earlier_failed_runs: task.earlier_failed_runs.to_vec(),
                checkpoint: task.checkpoint.as_deref().unwrap_or_default().to_owned(),
                crashes: task.crash_record(workers),
            });
        }
        records
    }

    /// Adds an unfinished job from its record. The workers in the registry have to be added before.
    ///
    /// Runs on a worker that is not listed count as running until `lease_end`.
    pub fn restore(
        &mut self,
        id: JobId,
        spec: Arc<JobSpec>,
        record: &JobRecord,
        lease_end: Instant,
        now: Instant,
        now_ms: u64,
    ) {
        let workers: Vec<WorkerKey> = record
            .workers
            .iter()
            .map(|incarnation| self.restore_worker(incarnation, lease_end))
            .collect();
        let team = spec.team.as_ref().map(|team| self.team_usage.intern(team));
        let mut job = Job::new(spec.clone(), team);
        job.first_occurrence = record.first_occurrence;
        job.next_occurrence = record.first_occurrence;
        let last = record.steps.iter().map(|step| step.occurrence).max();
        for number in record.first_occurrence..=last.unwrap_or(0) {
            if last.is_some() && number < spec.occurrences() {
                job.occurrences.push(Occurrence::new(&spec, number, now));
                job.next_occurrence = number + 1;
            }
        }
        for step in &record.steps {
            let step_id = StepId {
                job: id,
                occurrence: step.occurrence,
                step: step.step,
            };
            self.restore_step(&mut job, step_id, step, &workers, now);
        }
        let begun: Vec<u32> = job.occurrences.iter().map(|o| o.number).collect();
        self.insert_unfinished(id, job);
        if team.is_some() {
            self.job_classes.postpone(id, spec.accepted_ms);
        }
        self.restore_crashes(id, record, now);
        self.fail_if_exhausted(id);
        if self.jobs.get(&id).is_none_or(|job| job.outcome.is_some()) {
            return;
        }
        for number in begun {
            self.queue_runnable_steps(id, number);
        }
        // The stops of an incomplete gang may have been lost with the earlier owner.
        for step in &record.steps {
            self.stop_incomplete_gang(StepId {
                job: id,
                occurrence: step.occurrence,
                step: step.step,
            });
        }
        self.begin_due_occurrences(id, now, now_ms);
    }

    fn restore_step(
        &mut self,
        job: &mut Job,
        id: StepId,
        record: &StepRecord,
        workers: &[WorkerKey],
        now: Instant,
    ) {
        let need = job.step_spec(id).map(|spec| spec.allocated_resources());
        let Some(need) = need else {
            return;
        };
        // The start of a recorded placement may never have been sent; the report of the worker shows that.
        let has_ended = |task: &TaskRecord| task.place == TaskPlace::Done || task.failures > 0;
        job.started |= record.done || record.tasks.iter().any(has_ended);
        let team = job.team;
        let Some(step) = job.step_mut(id) else {
            return;
        };
        if record.done {
            for task in &mut step.tasks {
                task.state = TaskState::Done;
            }
            step.done = u16::try_from(step.tasks.len()).unwrap_or(u16::MAX);
            return;
        }
        for record in &record.tasks {
            let Some(task) = step.tasks.get_mut(usize::from(record.index)) else {
                continue;
            };
            let place = match record.place {
                TaskPlace::Worker(position) => workers.get(usize::from(position)).copied(),
                TaskPlace::Waiting | TaskPlace::Done => None,
            };
            restore_task(task, record, place);
            if record.place == TaskPlace::Done {
                step.done += 1;
            }
            if let Some(key) = place {
                let run = TaskRun {
                    task: id.task(record.index),
                    run: record.run,
                };
                let slot = Slot {
                    is_isolated: record.crashes.as_ref().is_some_and(|c| c.isolated),
                    is_suspect: record.crashes.is_some(),
                    ..Slot::new(need, team, SlotPhase::Running, now)
                };
                self.allocate(key, run, slot);
            }
        }
    }

    /// Returns the worker of a recorded incarnation, or its successor, whose first report shows what runs
    /// there. A worker that is not in the registry is added as unlisted.
    pub(crate) fn restore_worker(
        &mut self,
        incarnation: &WorkerIncarnation,
        lease_end: Instant,
    ) -> WorkerKey {
        if let Some(&key) = self.workers_by_id.get(incarnation.id.as_str()) {
            return key;
        }
        let id: Arc<str> = incarnation.id.as_str().into();
        let entry = WorkerEntry {
            id: id.clone(),
            started_ms: incarnation.started_ms,
            service: "".into(),
            labels: Vec::new(),
            capacity: hs_wire::Resources::ZERO,
            draining: false,
        };
        let mut worker = Worker::new(entry, lease_end);
        worker.listed = false;
        let key = self.insert_worker(worker);
        self.workers_by_id.insert(id, key);
        key
    }
}

fn restore_task(task: &mut Task, record: &TaskRecord, place: Option<WorkerKey>) {
    task.run = record.run;
    task.failures = record.failures;
    task.last_failed_run = record.last_failed_run;
    task.earlier_failed_runs = record.earlier_failed_runs.as_slice().into();
    task.checkpoint = match record.checkpoint.as_str() {
        "" => None,
        checkpoint => Some(checkpoint.into()),
    };
    task.state = match (record.place, place) {
        (TaskPlace::Done, _) => TaskState::Done,
        (_, Some(key)) => TaskState::Placed(key),
        (_, None) => TaskState::Waiting,
    };
}

/// Returns the index of a worker incarnation in a record, to which it is added if it is missing.
pub(crate) fn worker_index(workers: &mut Vec<WorkerIncarnation>, id: &str, started_ms: u64) -> u16 {
    let same = |incarnation: &WorkerIncarnation| {
        incarnation.id == id && incarnation.started_ms == started_ms
    };
    let found = workers.iter().position(same);
    let index = found.unwrap_or_else(|| {
        workers.push(WorkerIncarnation {
            id: id.to_owned(),
            started_ms,
        });
        workers.len() - 1
    });
    u16::try_from(index).unwrap_or(u16::MAX)
}
