//! Events from workers: replies to stops, and reports on running and ended runs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::cell::Cell;
use crate::effect::CellEffect;
use crate::job::TaskState;
use crate::job_record::JobOutcome;
use crate::open_starts::StartOutcome;
use crate::slot::{Slot, SlotPhase};
use crate::worker::{EndReport, RunEnd, RunReport, WorkerReport};
use crate::{StepId, TaskRun, WorkerKey};

/// Longest time from the request of a report to the state that it shows. A worker may delay its reply by this.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(1);

impl Cell {
    /// Processes the confirmation of a stop, after which the run can no longer begin.
    pub fn stop_confirmed(&mut self, key: WorkerKey, run: TaskRun, now: Instant) {
        let worker = self.workers.get_mut(key);
        if let Some(slot) = worker.and_then(|worker| worker.slots.get_mut(&run)) {
            slot.visible_since = Some(now);
        }
    }

    /// Marks a worker as unreachable. It gets no new runs until it has reported again.
    pub fn worker_unreachable(&mut self, key: WorkerKey) {
        self.change_worker(key, |worker| worker.reported = false);
    }

    /// Processes the report of a worker that was requested at `requested_at`.
    pub fn worker_reported(
        &mut self,
        key: WorkerKey,
        mut report: WorkerReport,
        requested_at: Instant,
        now: Instant,
    ) {
        // An owner that was paused may process a report long after the worker has sent it.
        let reported_at = now.min(requested_at + MAX_REPORT_DELAY);
        let marked = self.change_worker(key, |worker| worker.mark_reported(reported_at));
        let Some(is_first_report) = marked else {
            return;
        };
        if is_first_report {
            let worker = &mut self.workers[key];
            // From this report on no earlier owner can renew the lease.
            worker.limit_lease(now + self.options.max_lease());
            let (id, started_ms) = (worker.entry.id.clone(), worker.entry.started_ms);
            self.settle_losses(&id, started_ms, true);
        }
        self.repeat_stops(key, &report, requested_at);
        self.observe_report(key, &report, requested_at, reported_at);
        for end in std::mem::take(&mut report.ended) {
            self.apply_end(key, end, now);
        }
        for run in &report.running {
            self.apply_running(key, run, now);
            self.clear_if_harmless(key, run.run, now);
        }
        self.release_absent_runs(key, &report, requested_at);
        self.excuse_absent_runs(key, &report, now);
        let acknowledged = self.workers[key].acknowledgeable_end();
        if is_first_report || acknowledged > 0 {
            self.effects
                .push(CellEffect::Acknowledge(key, acknowledged));
        }
        if is_first_report {
            self.request_pass();
        }
    }

    fn apply_running(&mut self, key: WorkerKey, report: &RunReport, now: Instant) {
        let worker = &mut self.workers[key];
        let run = report.run;
        if let Some(slot) = worker.slots.get_mut(&run) {
            let was_sent = slot.phase == SlotPhase::Sent;
            if was_sent {
                slot.phase = SlotPhase::Running;
            }
            slot.unconfirmed_until = None;
            if slot.percent != report.percent {
                slot.percent = report.percent;
                slot.last_progress_at = now;
            }
            if slot.phase != SlotPhase::Stopping {
                slot.visible_since.get_or_insert(now);
            }
            if let Some(job) = self.jobs.get_mut(&run.task.job()) {
                job.started = true;
            }
            if was_sent {
                self.close_start(key, run, StartOutcome::Withdrawn);
            }
            self.record_checkpoint(run, &report.checkpoint);
            return;
        }
        // No record contains the run: its job has ended, or an owner that has lost the cell started it. It
        // is stopped, and occupies its resources until the worker reports its end.
        let job = self.jobs.get(&run.task.job());
        let need = job.and_then(|job| Some(job.step_spec(run.task.step)?.allocated_resources()));
        let team = job.and_then(|job| job.team);
        let slot = Slot {
            percent: report.percent,
            // What a run of an unknown job occupies is not known, so nothing is placed beside it.
            is_isolated: need.is_none(),
            ..Slot::new(
                need.unwrap_or(worker.entry.capacity),
                team,
                SlotPhase::Running,
                now,
            )
        };
        self.allocate(key, run, slot);
        self.stop_run(key, run);
    }

    fn record_checkpoint(&mut self, run: TaskRun, checkpoint: &str) {
        if checkpoint.is_empty() {
            return;
        }
        let id = run.task.step;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let gang = job.step_spec(id).is_some_and(|spec| spec.gang);
        let Some(step) = job.step_mut(id) else {
            return;
        };
        let index = usize::from(run.task.index);
        if step.tasks.get(index).is_none_or(|task| task.run != run.run) {
            return;
        }
        if step.tasks[index].checkpoint.as_deref() == Some(checkpoint) {
            return;
        }
        let checkpoint: Arc<str> = checkpoint.into();
        if gang {
            // The checkpoint of any member is valid for all, and all have to resume from the same one.
            for task in &mut step.tasks {
                task.checkpoint = Some(checkpoint.clone());
            }
        } else {
            step.tasks[index].checkpoint = Some(checkpoint);
        }
    }

    /// Releases the resources of a run that has ended without a result, and requeues its task.
    pub(crate) fn release_run(&mut self, key: WorkerKey, run: TaskRun) {
        self.release(key, run);
        self.requeue_task(key, run);
        self.stop_incomplete_gang(run.task.step);
        self.request_pass();
    }

    /// Makes a task wait again, if this was its current run.
    fn requeue_task(&mut self, key: WorkerKey, run: TaskRun) {
        let id = run.task.step;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if job.outcome.is_some() {
            return;
        }
        let Some(step) = job.step_mut(id) else {
            return;
        };
        let Some(task) = step.tasks.get_mut(usize::from(run.task.index)) else {
            return;
        };
        if task.run != run.run || task.state != TaskState::Placed(key) {
            return;
        }
        task.state = TaskState::Waiting;
        self.mark_dirty(id.job);
        self.queue_step(id);
    }

    fn apply_end(&mut self, key: WorkerKey, report: EndReport, now: Instant) {
        let worker = &mut self.workers[key];
        if report.number <= worker.last_seen_end {
            return;
        }
        worker.last_seen_end = report.number;
        let run = report.run;
        let was_allocated = self.release(key, run).is_some();
        let worker = &mut self.workers[key];
        match report.end {
            RunEnd::Done => worker.record_success(),
            RunEnd::Failed if was_allocated => worker.record_failure(run.task, now),
            _ => {}
        }
        self.request_pass();
        let id = run.task.step;
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        if job.outcome.is_some() {
            // Until the outcome is stored it may be lost with this owner, and the next one must see all ends.
            if !job.outcome_stored {
                self.record_end(key, run, report.number);
            }
            return;
        }
        self.record_checkpoint(run, &report.checkpoint);
        match report.end {
            RunEnd::Done => self.task_done(key, run, report.number),
            RunEnd::Failed => self.task_failed(key, run, report.number),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {
                self.requeue_task(key, run);
                self.stop_incomplete_gang(id);
            }
        }
    }

    /// Defers the acknowledgement of an end until the record of the job that includes it is committed.
    fn record_end(&mut self, key: WorkerKey, run: TaskRun, number: u64) {
        self.workers[key].unrecorded_ends.insert(number);
        if let Some(job) = self.jobs.get_mut(&run.task.job()) {
            job.pending_ends.push((key, number));
        }
        self.mark_dirty(run.task.job());
    }

    fn task_done(&mut self, key: WorkerKey, run: TaskRun, number: u64) {
        let id = run.task.step;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(spec) = job.step_spec(id) else {
            return;
        };
        let (gang, long_running) = (spec.gang, spec.long_running);
        let Some(step) = job.step_mut(id) else {
            return;
        };
        if usize::from(run.task.index) >= step.tasks.len() {
            return;
        }
        if long_running {
            self.clear_task(run.task);
            self.requeue_task(key, run);
            return;
        }
        let indexes = if gang {
            0..step.tasks.len()
        } else {
            usize::from(run.task.index)..usize::from(run.task.index) + 1
        };
        let mut replaced = Vec::new();
        for index in indexes {
            let task = &mut step.tasks[index];
            if task.state == TaskState::Done {
                continue;
            }
            if let TaskState::Placed(worker) = task.state
                && task.run != run.run
            {
                // An earlier run has succeeded after all, so the current one is redundant.
                let number = u16::try_from(index).unwrap_or(u16::MAX);
                replaced.push((
                    worker,
                    TaskRun {
                        task: id.task(number),
                        run: task.run,
                    },
                ));
            }
            task.state = TaskState::Done;
            task.checkpoint = None;
            step.done += 1;
        }
        let done = step.is_done();
        self.record_end(key, run, number);
        for (worker, run) in replaced {
            self.stop_run(worker, run);
        }
        if done {
            self.step_done(id);
        }
    }

    fn step_done(&mut self, id: StepId) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        while job.occurrences.first().is_some_and(|o| o.is_done()) {
            job.first_occurrence = job.occurrences[0].number + 1;
            job.occurrences.remove(0);
        }
        let total = job.spec.as_ref().map_or(0, |spec| spec.occurrences());
        if job.first_occurrence >= total {
            self.end_job(id.job, JobOutcome::Completed);
        } else {
            self.queue_runnable_steps(id.job, id.occurrence);
        }
    }

    fn task_failed(&mut self, key: WorkerKey, run: TaskRun, number: u64) {
        let may_run_again = self.count_failure(key, run);
        self.record_end(key, run, number);
        if may_run_again {
            self.requeue_task(key, run);
            self.stop_incomplete_gang(run.task.step);
        }
    }

    /// Stops the remaining members of a gang if one of them is no longer placed.
    pub(crate) fn stop_incomplete_gang(&mut self, id: StepId) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        if job.outcome.is_some() || !job.step_spec(id).is_some_and(|spec| spec.gang) {
            return;
        }
        let Some(step) = job.step(id) else {
            return;
        };
        if step.waiting_tasks().next().is_none() {
            return;
        }
        let mut placed = Vec::new();
        step.collect_placed_runs(id, &mut placed);
        for (worker, run) in placed {
            self.stop_run(worker, run);
        }
    }
}
