//! Reservations that are held already: their grants, and their release.

use hs_core::{TaskEnd, WorkerKey};
use hs_wire::WorkId;

use super::{PlaceRefusal, PlacerTask, TaskGrant, WorkerReport};
use crate::port::ClockPort;

impl<Clock: ClockPort> PlacerTask<Clock> {
    /// Returns the grant of a task that holds capacity already, or `None` if it holds none.
    ///
    /// A holder that got no reply to its request repeats it under the same task id. A second
    /// reservation would replace the first, whose capacity nothing would release.
    pub(super) fn held_grant(&self, task: &WorkId) -> Option<TaskGrant> {
        let slot = self.slots.get(self.task_workers.get(task)?)?;
        Some(grant_of(&slot.report))
    }

    /// Returns the result of a request of which some tasks hold capacity already: their grants, or
    /// a refusal if the others hold none, since the tasks are placed together.
    pub(super) fn held_result(
        &self,
        tasks: &[WorkId],
    ) -> Option<Result<Vec<TaskGrant>, PlaceRefusal>> {
        let held: Vec<TaskGrant> = tasks
            .iter()
            .filter_map(|task| self.held_grant(task))
            .collect();
        match held.len() {
            0 => None,
            count if count == tasks.len() => Some(Ok(held)),
            _ => Some(Err(PlaceRefusal::Busy)),
        }
    }

    /// Releases tasks whose grants did not reach the caller. Nothing was sent to their workers.
    pub(super) fn release_undelivered(&mut self, tasks: &[WorkId]) {
        for task in tasks {
            self.release(task, TaskEnd::Stopped);
        }
    }

    /// Releases the reservation that a task holds.
    pub(super) fn release(&mut self, task: &WorkId, end: TaskEnd) {
        if let Some(worker) = self.task_workers.get(task).copied() {
            self.release_on(worker, task, end);
        }
    }

    /// Releases the reservation that a task holds on one worker. A reservation of the same task on
    /// another worker stays.
    pub(super) fn release_on(&mut self, worker: WorkerKey, task: &WorkId, end: TaskEnd) {
        if self.task_workers.get(task) == Some(&worker) {
            self.task_workers.remove(task);
        }
        let slot = self.slots.get_mut(&worker);
        let Some(reservation) = slot.and_then(|slot| slot.tasks.remove(task)) else {
            return;
        };
        self.placer
            .finish(reservation.work, reservation.index, end, self.clock.now());
    }
}

/// Returns the grant for a start on a worker.
pub(super) fn grant_of(report: &WorkerReport) -> TaskGrant {
    TaskGrant {
        worker: report.name.clone(),
        address: report.address.clone(),
        fence: report.grant.fence,
        incarnation: report.grant.incarnation,
    }
}
