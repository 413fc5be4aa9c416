//! Failed runs of tasks, and the end of a job whose task has no attempts left.
//!
//! The maximum number of attempts belongs to the configuration of the queue, which an owner may learn only
//! after workers have reported failures to it. Failures are therefore always counted, and compared with the
//! maximum when a failure is reported, when a job is restored and when a queue is configured.

use std::sync::Arc;

use crate::cell::Cell;
use crate::crash_history::CrashHistory;
use crate::job::Job;
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
        let is_gang = job.step_spec(id).is_some_and(|spec| spec.gang);
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
            if run.run > task.last_failed_run {
                task.last_failed_run = run.run;
                task.failures += 1;
            }
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
/// have no limit.
fn has_exhausted_task(job: &Job, queue: &QueueSpec) -> bool {
    let Some(spec) = job.spec.as_ref().filter(|_| job.outcome.is_none()) else {
        return false;
    };
    let max_attempts = queue.max_attempts.max(1);
    let occurrences = job.occurrences.iter();
    let mut steps = occurrences.flat_map(|occurrence| spec.steps.iter().zip(&occurrence.steps));
    steps.any(|(spec, step)| {
        let mut tasks = step.tasks.iter();
        !spec.long_running && tasks.any(|task| task.failures >= max_attempts)
    })
}
