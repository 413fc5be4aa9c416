//! Reservations that are held already: their grants.

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
