//! Failed runs of tasks, and the end of a job whose task has no attempts left.
//!
//! The maximum number of attempts belongs to the configuration of the queue, which an owner may learn only
//! after workers have reported failures to it. Failures are therefore always counted, and compared with the
//! maximum when a failure is reported, when a job is restored and when a queue is configured.

use std::sync::Arc;

use crate::cell::Cell;
use crate::crash_history::CrashHistory;
use crate::job::{Job, Task, TaskState};
use crate::job_record::JobOutcome;
use crate::queue_spec::QueueSpec;
use crate::{JobId, TaskRun, WorkerKey};

impl Cell {
    /// Counts a failed run. Returns whether the task may run again.
    pub(crate) fn count_failure(&mut self, key: WorkerKey, run: TaskRun) -> bool {
        let id = run.task.step;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return false;
        };
        let spec = job.step_spec(id);
        let is_gang = spec.is_some_and(|spec| spec.gang);
        let is_limited = spec.is_some_and(|spec| !spec.long_running);
        let Some(step) = job.step_mut(id) else {
            return false;
        };
        let index = usize::from(run.task.index);
        if index >= step.tasks.len() {
            return false;
        }
        step.tasks[index].last_failed_on = Some(key);
        let members = match is_gang {
            true => 0..step.tasks.len(),
            false => index..index + 1,
        };
        // The members of a gang fail together, and an end may be reported again after a takeover.
        for task in &mut step.tasks[members] {
            task.count_failed_run(run.run, is_limited);
        }
        !self.fail_if_exhausted(id.job)
    }

    /// Ends a job as failed if one of its tasks has no attempts left or is given up after crashes of workers.
    /// Returns whether it has ended.
    ///
    /// A job whose queue is not configured yet is checked again by [`Cell::fail_exhausted_jobs`].
    pub(crate) fn fail_if_exhausted(&mut self, id: JobId) -> bool {
        let job = self.jobs.get(&id).filter(|job| job.outcome.is_none());
        let Some(job) = job else {
            return false;
        };
        let queue = job.spec.as_ref().map(|spec| &spec.queue);
        let queue = queue.and_then(|name| self.queues.get(name));
        let is_exhausted = queue.is_some_and(|queue| has_exhausted_task(job, queue));
        let is_given_up = has_given_up_task(job);
        if is_given_up {
            self.report_given_up_tasks(id);
        }
        if is_exhausted || is_given_up {
            self.end_job(id, JobOutcome::Failed);
        }
        is_exhausted || is_given_up
    }

    /// Ends the jobs of a queue of which a task has no attempts left.
    pub(crate) fn fail_exhausted_jobs(&mut self, queue: &Arc<str>) {
        let is_in_queue = |job: &Job| job.spec.as_ref().is_some_and(|spec| spec.queue == *queue);
        let jobs = self.jobs.iter().filter(|(_, job)| is_in_queue(job));
        let mut ids: Vec<JobId> = jobs.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        for id in ids {
            self.fail_if_exhausted(id);
        }
    }
}

impl Task {
    /// Counts a failed run, unless it was counted before.
    ///
    /// Failures may be reported in any order: the end of a run on a worker that was unreachable is reported after
    /// those of later runs. Without a limit of failures, the earlier ones are not counted.
    fn count_failed_run(&mut self, run: u32, is_limited: bool) {
        if run > self.last_failed_run {
            if is_limited && self.last_failed_run > 0 {
                self.earlier_failed_runs.push(self.last_failed_run);
            }
            self.last_failed_run = run;
            self.failures += 1;
        } else if is_limited && self.is_uncounted(run) {
            self.earlier_failed_runs.push(run);
            self.failures += 1;
        }
    }

    /// Returns whether an earlier run than the last failed one is known not to have been counted. Records of earlier
    /// versions don't tell.
    fn is_uncounted(&self, run: u32) -> bool {
        let known = self.earlier_failed_runs.len() + 1;
        run < self.last_failed_run
            && usize::try_from(self.failures).is_ok_and(|failures| known >= failures)
            && !self.earlier_failed_runs.contains(&run)
    }
}

/// Returns whether too many workers have crashed under a task of a job. Long-running tasks have this limit too:
/// unlike their failures, such crashes end the runs of others.
fn has_given_up_task(job: &Job) -> bool {
    let steps = job.occurrences.iter().flat_map(|o| &o.steps);
    let mut tasks = steps.flat_map(|step| &step.tasks);
    tasks.any(|task| {
        let history = task.crash_history.as_deref();
        history.is_some_and(CrashHistory::is_given_up)
    })
}

/// Returns whether a task of an unfinished job has failed as often as its queue allows. Long-running tasks
/// have no limit, and a task that is done needs no further attempt.
fn has_exhausted_task(job: &Job, queue: &QueueSpec) -> bool {
    let Some(spec) = job.spec.as_ref().filter(|_| job.outcome.is_none()) else {
        return false;
    };
    let max_attempts = queue.max_attempts.max(1);
    let occurrences = job.occurrences.iter();
    let mut steps = occurrences.flat_map(|occurrence| spec.steps.iter().zip(&occurrence.steps));
    steps.any(|(spec, step)| {
        let mut tasks = step.tasks.iter();
        let is_exhausted =
            |task: &Task| task.state != TaskState::Done && task.failures >= max_attempts;
        !spec.long_running && tasks.any(is_exhausted)
    })
}
