//! Runs that their worker no longer reports.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::cell::Cell;
use crate::slot::{Slot, SlotPhase};
use crate::worker::{ReportScope, WorkerReport};
use crate::{TaskRun, WorkerKey};

impl Cell {
    /// Releases runs that are missing from a report, if the worker knew them before it was requested.
    ///
    /// A report with unreadable rows only releases those whose stop was confirmed; a run that is gone otherwise is
    /// stopped when it makes no progress. A report that lacks ends releases none: each of them may have succeeded.
    pub(crate) fn release_absent_runs(
        &mut self,
        key: WorkerKey,
        report: &WorkerReport,
        requested_at: Instant,
    ) {
        let is_gone = |slot: &Slot| match report.scope {
            ReportScope::Complete => true,
            ReportScope::UnreadableRows => slot.phase == SlotPhase::Stopping,
            ReportScope::MoreEnds => false,
        };
        let was_known = |slot: &Slot| slot.visible_since.is_some_and(|since| since < requested_at);
        let running: BTreeSet<TaskRun> = report.running.iter().map(|running| running.run).collect();
        let slots = self.workers[key].slots.iter();
        let absent = slots.filter(|(run, slot)| was_known(slot) && !running.contains(run));
        let gone = absent.filter(|(_, slot)| is_gone(slot));
        let gone: Vec<TaskRun> = gone.map(|(run, _)| *run).collect();
        for run in gone {
            self.release_run(key, run);
        }
    }

    /// Keeps the runs that a report with too few ends lacks from counting as stalled: they have probably ended.
    pub(crate) fn excuse_absent_runs(
        &mut self,
        key: WorkerKey,
        report: &WorkerReport,
        now: Instant,
    ) {
        if report.scope != ReportScope::MoreEnds {
            return;
        }
        let running: BTreeSet<TaskRun> = report.running.iter().map(|running| running.run).collect();
        for (run, slot) in &mut self.workers[key].slots {
            if !running.contains(run) {
                slot.last_progress_at = now;
            }
        }
    }
}
