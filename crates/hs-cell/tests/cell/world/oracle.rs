//! The oracle: what must hold at each start, and which jobs may fail.

use std::collections::HashMap;

use hs_cell::{JobId, JobOutcome, JobSpec, JobState, TaskId, TaskRun};

use super::{FakeWorker, World};

/// Number of workers that have crashed under a task from which its further starts are counted.
const COUNTED_CRASHES: u32 = 3;

/// Number of starts of a task after [`COUNTED_CRASHES`] that the oracle does not allow, without those of runs that
/// have failed.
const TOO_MANY_STARTS: usize = 3;

impl World {
    /// Panics if a task under which several workers have crashed is started too often.
    pub(super) fn check_deadly_start(&mut self, run: TaskRun) {
        if self.crash_count(run.task) < COUNTED_CRASHES {
            return;
        }
        let late_starts = self.late_starts.entry(run.task).or_default();
        late_starts.push(run.run);
        let starts = late_starts.len();
        assert!(
            starts < TOO_MANY_STARTS,
            "{run:?} is start {starts} after {COUNTED_CRASHES} workers have crashed"
        );
    }

    /// Takes back the start of a run that has failed, by itself or with its gang: no worker has crashed under it. The
    /// attempts of the task bound such starts.
    pub(super) fn forget_deadly_start(&mut self, run: TaskRun) {
        let Some(late_starts) = self.late_starts.get_mut(&run.task) else {
            return;
        };
        if let Some(position) = late_starts.iter().position(|late| *late == run.run) {
            late_starts.remove(position);
        }
    }

    /// Returns the number of workers that have crashed under a task.
    pub fn crash_count(&self, task: TaskId) -> u32 {
        self.crash_counts.get(&task).copied().unwrap_or(0)
    }

    /// Panics if a run that has just started violates an invariant.
    pub(super) fn check_start(&self, run: TaskRun) {
        let copies = |worker: &FakeWorker| {
            worker.up && worker.running.keys().any(|other| other.task == run.task)
        };
        let count = self.workers.iter().filter(|worker| copies(worker)).count();
        assert!(count <= 1, "{:?} runs on {count} workers", run.task);
        let is_cancelled = self.cancelled_early.contains(&run.task.job());
        assert!(!is_cancelled, "{run:?} starts, and its job was cancelled");
        let (spec, _) = &self.store.jobs[&run.task.job()];
        let step = &spec.steps[usize::from(run.task.step.step)];
        for after in &step.after {
            for index in 0..spec.steps[usize::from(*after)].count {
                let mut before = run.task.step;
                before.step = *after;
                let before = before.task(index);
                assert!(
                    self.succeeded.contains(&before),
                    "{:?} starts before {before:?}",
                    run.task
                );
            }
        }
        if step.long_running {
            // It starts again however its runs end.
            return;
        }
        assert!(
            !self.acknowledged_successes.contains(&run.task),
            "{:?} starts after its end",
            run.task
        );
        let queue = self
            .queues
            .iter()
            .find(|queue| queue.name == spec.queue)
            .expect("tests use known queues");
        let failed = self
            .acknowledged_failures
            .get(&run.task)
            .copied()
            .unwrap_or(0);
        assert!(
            failed < queue.max_attempts,
            "{:?} starts after {failed} failures",
            run.task
        );
    }

    /// Returns whether a run of a task has succeeded, whether the owner knows or not.
    pub fn has_succeeded(&self, task: TaskId) -> bool {
        self.succeeded.contains(&task)
    }

    /// Returns whether a run of a task is in progress on any worker.
    pub fn is_running(&self, task: TaskId) -> bool {
        let mut workers = self.workers.iter();
        workers.any(|worker| worker.running.keys().any(|run| run.task == task))
    }

    /// Returns the jobs shown as failed of which no task has failed too often or crashes its workers.
    pub fn jobs_failed_without_cause(&self) -> Vec<JobId> {
        let jobs = self.store.jobs.iter();
        let failed = jobs
            .filter(|(id, _)| self.cell.state(**id) == Some(JobState::Ended(JobOutcome::Failed)));
        let without_cause = failed.filter(|(id, (spec, _))| !self.may_fail(**id, spec));
        without_cause.map(|(id, _)| *id).collect()
    }

    /// Returns whether a run, or another one of its gang, crashes its worker.
    pub(super) fn has_deadly_member(&self, run: TaskRun) -> bool {
        let (spec, _) = &self.store.jobs[&run.task.job()];
        let is_gang = spec.steps[usize::from(run.task.step.step)].gang;
        let mut deadly = self.deadly.iter();
        deadly.any(|task| *task == run.task || is_gang && task.step == run.task.step)
    }

    pub(super) fn may_fail(&self, id: JobId, spec: &JobSpec) -> bool {
        let queue = self.queues.iter().find(|queue| queue.name == spec.queue);
        let max_attempts = queue.map_or(1, |queue| queue.max_attempts);
        let is_deadly = self.deadly.iter().any(|task| task.job() == id);
        // The members of a gang fail together.
        let mut failures: HashMap<(u16, u16), u32> = HashMap::new();
        for (task, count) in self.failed_runs.iter().filter(|(task, _)| task.job() == id) {
            let is_gang = spec.steps[usize::from(task.step.step)].gang;
            let index = if is_gang { 0 } else { task.index };
            *failures.entry((task.step.step, index)).or_default() += count;
        }
        is_deadly || failures.values().any(|count| *count >= max_attempts)
    }
}
