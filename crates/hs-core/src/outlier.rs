//! Ejection of workers whose tasks fail.

use std::time::Instant;

use crate::health_tracker::HealthChange;
use crate::{Decision, Placer, PolicyMode, TaskEnd, WorkKey, WorkerKey, WorkerState};

impl Placer {
    /// Records the end of a task in its worker's health and applies the resulting transition. The
    /// baseline mode and draining workers have no ejection.
    pub(crate) fn record_task_end(
        &mut self,
        worker: WorkerKey,
        work: WorkKey,
        end: TaskEnd,
        now: Instant,
    ) {
        let state = self.pool.get(worker).map(|record| record.state);
        if state != Some(WorkerState::Active) || self.policy.mode == PolicyMode::Baseline {
            return;
        }
        let active = self.pool.active_count();
        if let Some(change) = self.health.record_end(worker, work, end, active, now) {
            self.apply_health_change(worker, change);
        }
    }

    /// Applies the health transitions whose time has come.
    pub(crate) fn apply_due_health_changes(&mut self, now: Instant) {
        while let Some((worker, change)) = self.health.pop_due(now) {
            self.apply_health_change(worker, change);
        }
    }

    /// Readmits workers while more are unhealthy than the current number of workers allows.
    pub(crate) fn readmit_excess(&mut self) {
        while let Some(worker) = self.health.readmit_excess(self.pool.active_count()) {
            self.apply_health_change(worker, HealthChange::Readmit);
        }
    }

    fn apply_health_change(&mut self, worker: WorkerKey, change: HealthChange) {
        let withheld = matches!(change, HealthChange::Eject(_));
        self.pool
            .update(worker, |record| record.withheld = withheld);
        self.handle_freed_capacity(worker);
        match change {
            HealthChange::Eject(pause) => self
                .worker_decisions
                .push_back(Decision::Eject { worker, pause }),
            HealthChange::Probe => {}
            HealthChange::Readmit => self
                .worker_decisions
                .push_back(Decision::Readmit { worker }),
        }
    }
}
