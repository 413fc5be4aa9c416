//! Runs that their worker no longer reports.

use std::time::Instant;

use crate::cell::Cell;
use crate::worker::{Slot, SlotPhase, WorkerReport};
use crate::{TaskRun, WorkerKey};

impl Cell {
    /// Releases runs that are missing from a report, if the worker knew them before it was requested.
    ///
    /// A partial report may lack runs that are in progress. It only releases those whose stop was confirmed; a run
    /// that is gone otherwise is stopped when it makes no progress.
    pub(crate) fn release_absent_runs(
        &mut self,
        key: WorkerKey,
        report: &WorkerReport,
        requested_at: Instant,
    ) {
        let worker = &self.workers[key];
        let is_gone = |run: &TaskRun, slot: &Slot| {
            slot.visible_since.is_some_and(|since| since < requested_at)
                && (!report.is_partial || slot.phase == SlotPhase::Stopping)
                && !report.running.iter().any(|running| running.run == *run)
        };
        let slots = worker.slots.iter();
        let gone = slots.filter(|(run, slot)| is_gone(run, slot));
        let gone: Vec<TaskRun> = gone.map(|(run, _)| *run).collect();
        for run in gone {
            self.release_run(key, run);
        }
    }
}
