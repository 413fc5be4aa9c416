//! Comparison of reservations with what workers know.

use std::time::Duration;

use hs_core::{TaskEnd, WorkerKey};
use hs_event::EventCode;
use hs_wire::{TaskPhase, TaskView, WorkId};

use super::message::TaskQuery;
use super::{PlacerTask, TaskReservation};
use crate::port::ClockPort;

/// Age at which a reservation is asked about, and the time between two questions.
const SUSPECT_AGE: Duration = Duration::from_secs(5);

/// Age at which a reservation whose task the worker does not know is freed after a raised fence.
const MISSING_AGE: Duration = Duration::from_secs(10);

/// Time between two looks for stragglers, whose cost grows with the number of running tasks.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// Most tasks in one question, so that a renewal stays small.
const SUSPECTS_PER_QUERY: usize = 64;

impl<Clock: ClockPort> PlacerTask<Clock> {
    pub(super) fn due_query(&mut self, name: &str) -> TaskQuery {
        let now = self.clock.now();
        let mut list = TaskQuery::default();
        let worker = self.names.get(name);
        let Some(slot) = worker.and_then(|worker| self.slots.get_mut(worker)) else {
            return list;
        };
        for (task, reservation) in &mut slot.tasks {
            let age = now.saturating_duration_since(reservation.asked.unwrap_or(reservation.since));
            if age < SUSPECT_AGE || list.tasks.len() >= SUSPECTS_PER_QUERY {
                continue;
            }
            reservation.asked = Some(now);
            let held = now.saturating_duration_since(reservation.since);
            list.raise_fence |= reservation.is_missing && held >= MISSING_AGE;
            list.tasks.push(task.clone());
        }
        list
    }

    pub(super) fn query_answered(
        &mut self,
        name: &str,
        queried: &[WorkId],
        fence_raised: bool,
        known: &[TaskView],
    ) {
        let Some(worker) = self.names.get(name).copied() else {
            return;
        };
        for task in queried {
            let view = known.iter().find(|view| view.id == *task);
            match view.map(|view| view.phase) {
                Some(TaskPhase::Running) => self.set_missing(worker, task, false),
                Some(TaskPhase::Done) => self.release(task, TaskEnd::Done),
                Some(TaskPhase::Failed) => self.release(task, TaskEnd::Failed),
                Some(TaskPhase::Stopped) => self.release(task, TaskEnd::Stopped),
                None if fence_raised => self.release(task, TaskEnd::Refused),
                None => self.set_missing(worker, task, true),
            }
        }
    }

    pub(super) fn set_missing(&mut self, worker: WorkerKey, task: &WorkId, is_missing: bool) {
        let slot = self.slots.get_mut(&worker);
        if let Some(reservation) = slot.and_then(|slot| slot.tasks.get_mut(task)) {
            reservation.is_missing = is_missing;
        }
    }

    /// Logs tasks that run far longer than their workload usually does.
    pub(super) fn report_stragglers(&mut self) {
        let now = self.clock.now();
        if now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_EVERY;
        for straggler in self.placer.take_stragglers(now) {
            let holds = |reservation: &TaskReservation| reservation.work == straggler.work;
            for slot in self.slots.values() {
                for (task, _) in slot
                    .tasks
                    .iter()
                    .filter(|(_, reservation)| holds(reservation))
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
