//! Runs that make no progress although their workers report them as running.

use std::time::Instant;

use crate::TaskRun;
use crate::cell::Cell;

impl Cell {
    /// Stops runs that make no progress by the last report of their worker, and quarantines the workers.
    pub(crate) fn stop_stalled_runs(&mut self, now: Instant) {
        let mut stalled = Vec::new();
        for (key, worker) in &self.workers {
            let Some(reported_at) = worker.reported_at.filter(|_| worker.reported) else {
                continue;
            };
            let slots = worker.slots.iter();
            let runs = slots.filter(|(_, slot)| slot.is_stalled(reported_at));
            stalled.extend(runs.map(|(run, _)| (key, *run)));
        }
        for (key, run) in stalled {
            if self.is_progress_expected(run) {
                self.workers[key].quarantine(now);
                self.stop_run(key, run);
                self.stop_incomplete_gang(run.task.step);
            }
        }
    }

    /// Returns whether progress is expected of a run. It is not expected of long-running tasks.
    fn is_progress_expected(&self, run: TaskRun) -> bool {
        let Some(job) = self.jobs.get(&run.task.job()) else {
            return false;
        };
        let Some(spec) = job.step_spec(run.task.step) else {
            return false;
        };
        !spec.long_running
    }
}
