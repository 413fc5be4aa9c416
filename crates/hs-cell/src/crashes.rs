//! Crashes of workers under the runs that they had.
//!
//! A new incarnation of a worker shows that the earlier one has crashed. It may be listed while the earlier one
//! still has its lease, or after that, when the runs have been released; or while no owner lived, so that only
//! the records name the earlier one. A worker that returns as the same incarnation has not crashed. A worker
//! that does not return counts for nothing, since tasks cannot remove a machine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::cell::Cell;
use crate::crash_history::{Crash, CrashHistory, Isolation, Loss};
use crate::effect::{CellEffect, CrashEvent};
use crate::job::{Task, TaskState};
use crate::job_record::{CrashRecord, JobRecord, TaskPlace, TaskRecord, WorkerIncarnation};
use crate::slot::{Slot, SlotPhase};
use crate::worker::Worker;
use crate::{JobId, StepId, TaskId, TaskRun, WorkerKey};

/// Run that may have been started on a worker that is gone.
#[derive(Clone, Debug)]
pub(crate) struct GoneRun {
    pub task: TaskId,
    pub crash: Crash,
}

impl Worker {
    /// Returns the runs that count if the worker has crashed. They are none if the worker was draining, since it
    /// has left as planned then. If a suspect was placed alone, only its run counts: others there have lasted for
    /// long.
    pub(crate) fn runs_gone_in_crash(&self, now: Instant) -> Vec<GoneRun> {
        if self.entry.draining {
            return Vec::new();
        }
        let is_sent = |slot: &Slot| slot.phase != SlotPhase::Recording;
        let sent = self.slots.iter().filter(|(_, slot)| is_sent(slot));
        let is_any_isolated = sent.clone().any(|(_, slot)| slot.is_isolated);
        let sent = sent.filter(|(_, slot)| slot.is_isolated || !is_any_isolated);
        let count = sent.clone().count();
        let gone = sent.map(|(run, slot)| GoneRun {
            task: run.task,
            crash: Crash {
                run: run.run,
                alone: (count == 1 && !slot.has_outlasted_others) || slot.is_isolated,
                lasted: Some(slot.lasted(now)),
            },
        });
        gone.collect()
    }
}

impl Slot {
    /// Returns for how long the worker may have worked on the run. That is not at all if it has not confirmed it.
    fn lasted(&self, now: Instant) -> Duration {
        match self.visible_since {
            Some(_) => now.saturating_duration_since(self.started_at),
            None => Duration::ZERO,
        }
    }
}

impl Cell {
    /// Returns a task of a job that has not ended.
    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let job = self.jobs.get_mut(&id.job());
        let job = job.filter(|job| job.outcome.is_none())?;
        let step = job.step_mut(id.step)?;
        step.tasks.get_mut(usize::from(id.index))
    }

    /// Counts the crash of an earlier incarnation of a worker under the runs that are still placed there, and ends
    /// the jobs of tasks that are given up.
    pub(crate) fn count_crashes(&mut self, worker: &Arc<str>, gone: &[GoneRun]) {
        let mut jobs = Vec::new();
        for run in gone {
            let Some(task) = self.task_mut(run.task) else {
                continue;
            };
            let history = task.crash_history.get_or_insert_default();
            let before = history.isolation();
            if history.count(&run.crash) {
                self.report_crash(worker, run, before);
                jobs.push(run.task.job());
            }
        }
        self.fail_exhausted(jobs);
    }

    /// Records and reports a crash that was counted.
    fn report_crash(&mut self, worker: &Arc<str>, gone: &GoneRun, before: Isolation) {
        self.mark_dirty(gone.task.job());
        self.report_crash_event(CrashEvent::WorkerCrashed {
            worker: worker.clone(),
            run: TaskRun {
                task: gone.task,
                run: gone.crash.run,
            },
            alone: gone.crash.alone,
        });
        let Some(task) = self.task_mut(gone.task) else {
            return;
        };
        let is_suspect = task.isolation().is_of_suspect();
        let crashes = task.crash_history.as_ref().map_or(0, |h| h.crashes);
        if is_suspect && !before.is_of_suspect() {
            let task = gone.task;
            self.report_crash_event(CrashEvent::TaskSuspected { task, crashes });
        }
    }

    fn fail_exhausted(&mut self, mut jobs: Vec<JobId>) {
        jobs.sort_unstable();
        jobs.dedup();
        for id in jobs {
            self.fail_if_exhausted(id);
        }
    }

    /// Remembers that the lease of a worker has expired while it may have had these runs.
    pub(crate) fn record_losses(&mut self, key: WorkerKey, runs: &[TaskRun], now: Instant) {
        let worker = &self.workers[key];
        let gone = worker.runs_gone_in_crash(now);
        let (id, started_ms) = (worker.entry.id.clone(), worker.entry.started_ms);
        let is_over = |gone: &GoneRun| {
            let (task, run) = (gone.task, gone.crash.run);
            runs.contains(&TaskRun { task, run })
        };
        for GoneRun { task, crash } in gone.into_iter().filter(is_over) {
            let loss = Loss {
                worker: id.clone(),
                started_ms,
                crash,
                at: now,
            };
            self.record_loss(task, loss, key);
        }
    }

    fn record_loss(&mut self, id: TaskId, loss: Loss, key: WorkerKey) {
        let worker = loss.worker.clone();
        let Some(task) = self.task_mut(id) else {
            return;
        };
        if task.run != loss.crash.run || task.state != TaskState::Placed(key) {
            return;
        }
        let history = task.crash_history.get_or_insert_default();
        if loss.crash.run <= history.last_crashed_run {
            return;
        }
        history.add_loss(loss);
        self.mark_dirty(id.job());
        self.index_loss(worker, id);
    }

    /// Adds a task to those that wait to learn whether a worker has crashed.
    pub(crate) fn index_loss(&mut self, worker: Arc<str>, id: TaskId) {
        let tasks = self.lost_tasks.entry(worker).or_default();
        if !tasks.contains(&id) {
            tasks.push(id);
        }
    }

    /// Counts the crashes of the earlier incarnations of a worker that is back, and drops the losses of this one
    /// if it has reported, since it has not crashed.
    pub(crate) fn settle_losses(&mut self, worker: &Arc<str>, started_ms: u64, has_reported: bool) {
        let Some(tasks) = self.lost_tasks.remove(worker) else {
            return;
        };
        let mut jobs = Vec::new();
        for id in tasks {
            let Some(task) = self.task_mut(id) else {
                continue;
            };
            let Some(history) = task.crash_history.as_mut() else {
                continue;
            };
            let before = history.isolation();
            let counted = history.settle(worker, started_ms, has_reported);
            let is_open = history.losses.iter().any(|loss| loss.worker == *worker);
            if is_open {
                self.index_loss(worker.clone(), id);
            }
            for crash in counted {
                self.report_crash(worker, &GoneRun { task: id, crash }, before);
            }
            self.mark_dirty(id.job());
            jobs.push(id.job());
        }
        self.fail_exhausted(jobs);
        self.request_pass();
    }

    /// Restores the crashes of a job from its record, and counts those that happened while no owner lived. The
    /// registry lists a later incarnation of the recorded worker then.
    pub(crate) fn restore_crashes(&mut self, id: JobId, record: &JobRecord, now: Instant) {
        for step in &record.steps {
            let step_id = StepId {
                job: id,
                occurrence: step.occurrence,
                step: step.step,
            };
            for task in &step.tasks {
                let task_id = step_id.task(task.index);
                if let Some(crashes) = &task.crashes {
                    self.restore_crash_history(task_id, crashes, &record.workers, now);
                }
                self.count_unwatched_crash(task_id, task, &record.workers);
            }
        }
    }

    fn restore_crash_history(
        &mut self,
        id: TaskId,
        record: &CrashRecord,
        workers: &[WorkerIncarnation],
        now: Instant,
    ) {
        let Some(task) = self.task_mut(id) else {
            return;
        };
        let history = CrashHistory::from_record(record, workers, now);
        task.isolated = record.isolated;
        let lost: Vec<Arc<str>> = history.losses.iter().map(|l| l.worker.clone()).collect();
        task.crash_history = Some(Box::new(history));
        for worker in lost {
            self.index_loss(worker.clone(), id);
            if let Some(started_ms) = self.registered_start(&worker) {
                self.settle_losses(&worker, started_ms, false);
            }
        }
    }

    fn count_unwatched_crash(
        &mut self,
        id: TaskId,
        record: &TaskRecord,
        workers: &[WorkerIncarnation],
    ) {
        let TaskPlace::Worker(index) = record.place else {
            return;
        };
        let Some(incarnation) = workers.get(usize::from(index)) else {
            return;
        };
        let started_ms = self.registered_start(&incarnation.id);
        if started_ms.is_none_or(|started_ms| started_ms == incarnation.started_ms) {
            return;
        }
        let gone = GoneRun {
            task: id,
            crash: Crash {
                run: record.run,
                alone: record.crashes.as_ref().is_some_and(|c| c.isolated),
                lasted: None,
            },
        };
        self.count_crashes(&incarnation.id.as_str().into(), &[gone]);
    }

    /// Returns the start time of the incarnation of a worker that the registry lists, in Unix milliseconds.
    fn registered_start(&self, id: &str) -> Option<u64> {
        let key = self.workers_by_id.get(id)?;
        let worker = self.workers.get(*key).filter(|worker| worker.listed)?;
        Some(worker.entry.started_ms)
    }

    /// Lets others run beside a run that has made progress for some time, and clears its task when it has for long
    /// enough.
    pub(crate) fn clear_if_harmless(&mut self, key: WorkerKey, run: TaskRun, now: Instant) {
        let Some(slot) = self.workers[key].slots.get(&run) else {
            return;
        };
        let is_running = slot.phase == SlotPhase::Running && slot.percent > 0;
        let time = now.saturating_duration_since(slot.started_at);
        let Some(task) = self.task_mut(run.task).filter(|task| task.run == run.run) else {
            return;
        };
        let Some(history) = task.crash_history.as_mut() else {
            return;
        };
        if !is_running || history.is_empty() || !history.may_share_after(time) {
            return;
        }
        let was_suspect = history.isolation().is_of_suspect();
        let is_cleared = history.is_cleared_after(time);
        if is_cleared {
            history.clear();
        }
        let ends_isolation = std::mem::take(&mut task.isolated);
        if ends_isolation {
            self.change_worker(key, |worker| worker.end_isolation(run));
            self.request_pass();
        }
        if is_cleared || ends_isolation {
            self.mark_dirty(run.task.job());
        }
        if is_cleared && was_suspect {
            self.report_crash_event(CrashEvent::TaskCleared { task: run.task });
        }
        if is_cleared && let Some(slot) = self.workers[key].slots.get_mut(&run) {
            slot.is_suspect = false;
        }
    }

    /// Clears a task of which a run has ended as done, which shows that it crashes no workers.
    pub(crate) fn clear_task(&mut self, id: TaskId) {
        let Some(task) = self.task_mut(id) else {
            return;
        };
        let history = task.crash_history.take();
        if history.is_some_and(|history| history.isolation().is_of_suspect()) {
            self.report_crash_event(CrashEvent::TaskCleared { task: id });
        }
    }

    /// Reports the tasks of a job that are given up.
    pub(crate) fn report_given_up_tasks(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let mut events = Vec::new();
        for (step_id, step) in job.step_runs(id) {
            for (index, task) in (0u16..).zip(&step.tasks) {
                let history = task.crash_history.as_deref();
                let given_up = history.filter(|history| history.is_given_up());
                events.extend(given_up.map(|history| CrashEvent::TaskGivenUp {
                    task: step_id.task(index),
                    crashes: history.crashes,
                    alone: history.alone_crashes,
                }));
            }
        }
        for event in events {
            self.report_crash_event(event);
        }
    }

    fn report_crash_event(&mut self, event: CrashEvent) {
        self.effects.push(CellEffect::Report(event));
    }
}

impl Task {
    /// Returns the record of the crashes, or `None` if there were none.
    pub(crate) fn crash_record(&self, workers: &mut Vec<WorkerIncarnation>) -> Option<CrashRecord> {
        let history = self.crash_history.as_deref()?;
        Some(history.to_record(self.isolated, workers))
    }

    /// Returns how the task may share a worker.
    pub(crate) fn isolation(&self) -> Isolation {
        let history = self.crash_history.as_deref();
        history.map_or(Isolation::Unneeded, CrashHistory::isolation)
    }
}
