//! Ejection of workers whose tasks fail.

use std::time::Instant;

use crate::health_board::HealthChange;
use crate::{Decision, Placer, PolicyMode, TaskEnd, WorkKey, WorkerKey, WorkerState};

impl Placer {
    /// Notes the end of a task and ejects or readmits its worker.
    pub(crate) fn note_end(
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
        let active = self.pool.active();
        if let Some(change) = self.health.ended(worker, work, end, active, now) {
            self.apply_health(worker, change);
        }
    }

    /// Ends ejections whose time is over.
    pub(crate) fn tend_workers(&mut self, now: Instant) {
        while let Some((worker, change)) = self.health.due(now) {
            self.apply_health(worker, change);
        }
    }

    /// Readmits workers if more are out than the number of workers now allows.
    pub(crate) fn readmit_excess(&mut self) {
        while let Some(worker) = self.health.readmit_excess(self.pool.active()) {
            self.apply_health(worker, HealthChange::Readmit);
        }
    }

    fn apply_health(&mut self, worker: WorkerKey, change: HealthChange) {
        let withheld = matches!(change, HealthChange::Eject(_));
        self.pool
            .update(worker, |record| record.withheld = withheld);
        self.room_returned(worker);
        match change {
            HealthChange::Eject(pause) => self.events.push_back(Decision::Eject { worker, pause }),
            HealthChange::Probe => {}
            HealthChange::Readmit => self.events.push_back(Decision::Readmit { worker }),
        }
    }
}
