//! Reconciles reservations with the tasks that workers report, and logs stragglers.

use std::time::Duration;

use hs_core::{TaskEnd, WorkerKey};
use hs_event::EventCode;
use hs_wire::{TaskPhase, TaskView, WorkId};

use super::message::TaskQuery;
use super::{PlacerTask, TaskReservation, task_end};
use crate::port::ClockPort;

/// Age at which the task of a reservation is first queried, and interval between queries about it.
const QUERY_INTERVAL: Duration = Duration::from_secs(5);

/// Age from which a reservation whose task is unknown to the worker is queried with a raised
/// fencing token. If the worker still does not know the task then, the reservation is released.
const UNKNOWN_TASK_RELEASE_AGE: Duration = Duration::from_secs(10);

/// Interval between scans for stragglers. The cost of a scan grows with the number of running
/// tasks.
const STRAGGLER_SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of tasks in one query, so that the lease renewal that carries it stays small.
const MAX_TASKS_PER_QUERY: usize = 64;

impl<Clock: ClockPort> PlacerTask<Clock> {
    /// Returns the query about the tasks on a worker that are due, and marks them as queried.
    /// Returns `None` if there is no such worker.
    pub(super) fn due_query(&mut self, name: &str) -> Option<TaskQuery> {
        let now = self.clock.now();
        let mut query = TaskQuery::default();
        let slot = self.slots.get_mut(self.worker_keys.get(name)?)?;
        for (task, reservation) in &mut slot.tasks {
            let since_query = now.saturating_duration_since(
                reservation.queried_at.unwrap_or(reservation.reserved_at),
            );
            if since_query < QUERY_INTERVAL || query.tasks.len() >= MAX_TASKS_PER_QUERY {
                continue;
            }
            reservation.queried_at = Some(now);
            let reservation_age = now.saturating_duration_since(reservation.reserved_at);
            query.raise_fence |=
                reservation.is_unknown && reservation_age >= UNKNOWN_TASK_RELEASE_AGE;
            query.tasks.push(task.clone());
        }
        Some(query)
    }

    /// Updates or releases the queried reservations according to the answer of the worker.
    pub(super) fn query_answered(
        &mut self,
        name: &str,
        queried: &[WorkId],
        fence_raised: bool,
        known: &[TaskView],
    ) {
        let Some(worker) = self.worker_keys.get(name).copied() else {
            return;
        };
        for task in queried {
            let view = known.iter().find(|view| view.id == *task);
            match view.map(|view| view.phase) {
                Some(TaskPhase::Running) => self.set_unknown(worker, task, false),
                Some(phase) => self.release_on(worker, task, task_end(phase)),
                None if fence_raised => self.release_on(worker, task, TaskEnd::Refused),
                None => self.set_unknown(worker, task, true),
            }
        }
    }

    pub(super) fn set_unknown(&mut self, worker: WorkerKey, task: &WorkId, is_unknown: bool) {
        let slot = self.slots.get_mut(&worker);
        if let Some(reservation) = slot.and_then(|slot| slot.tasks.get_mut(task)) {
            reservation.is_unknown = is_unknown;
        }
    }

    /// Logs tasks that run far longer than is usual for their workload.
    pub(super) fn log_stragglers(&mut self) {
        let now = self.clock.now();
        if now < self.next_straggler_scan {
            return;
        }
        self.next_straggler_scan = now + STRAGGLER_SCAN_INTERVAL;
        for straggler in self.placer.take_stragglers(now) {
            let is_straggler = |reservation: &TaskReservation| reservation.work == straggler.work;
            for slot in self.slots.values() {
                for (task, _) in slot
                    .tasks
                    .iter()
                    .filter(|(_, reservation)| is_straggler(reservation))
                {
                    EventCode::TaskStraggling.log(format_args!(
                        "task={task} worker={} elapsed_ms={} usual_ms={}",
                        slot.report.name,
                        straggler.elapsed.as_millis(),
                        straggler.p95.as_millis(),
                    ));
                }
            }
        }
    }
}
