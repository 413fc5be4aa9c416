//! Orders to workers: starts, which are sent after their placements are recorded, and stops.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::cell::Cell;
use crate::effect::{CellEffect, StartOrder};
use crate::job::TaskState;
use crate::open_starts::StartOutcome;
use crate::slot::{Slot, SlotPhase};
use crate::worker::WorkerReport;
use crate::{TaskRun, WorkerKey};

/// Time after the confirmation of a stop from which a run that is still reported is stopped again. Workers take a
/// fraction of a second to end a run.
const STOP_REPEAT_TIME: Duration = Duration::from_secs(1);

impl Cell {
    /// Sends the starts whose placements are recorded. Placements whose tickets have expired meanwhile are
    /// undone; those of a gang are undone together, since no member can work without the others.
    pub(crate) fn send_starts(&mut self, starts: Vec<(WorkerKey, TaskRun)>, now: Instant) {
        for (key, run) in &starts {
            if self.is_recording(*key, *run) && self.start_ticket(*key, *run, now).is_none() {
                self.undo_placement(*key, *run);
                self.stop_incomplete_gang(run.task.step);
            }
        }
        for (key, run) in starts {
            if self.is_recording(key, run) {
                self.send_start(key, run, now);
            }
        }
    }

    fn is_recording(&self, key: WorkerKey, run: TaskRun) -> bool {
        let worker = self.workers.get(key);
        let slot = worker.and_then(|worker| worker.slots.get(&run));
        slot.is_some_and(|slot| slot.phase == SlotPhase::Recording)
    }

    /// Returns the ticket that the start of a run carries, which is empty if the queue needs none. Returns
    /// `None` if it needs one and there is no valid one.
    fn start_ticket(&self, key: WorkerKey, run: TaskRun, now: Instant) -> Option<Option<Arc<str>>> {
        let job = self.jobs.get(&run.task.job())?;
        let queue = self.queues.get(&job.spec.as_ref()?.queue)?;
        if queue.advice.is_none() {
            return Some(None);
        }
        let step = job.step(run.task.step)?;
        step.advice
            .ticket(key, self.sent_ticket_end(now))
            .cloned()
            .map(Some)
    }

    fn send_start(&mut self, key: WorkerKey, run: TaskRun, now: Instant) {
        let Some(order) = self.start_order(key, run, now) else {
            return;
        };
        let unconfirmed_until = now + self.options.max_unconfirmed_lease();
        let worker = self.workers.get_mut(key);
        if let Some(slot) = worker.and_then(|worker| worker.slots.get_mut(&run)) {
            slot.phase = SlotPhase::Sent;
            slot.unconfirmed_until = Some(unconfirmed_until);
            slot.last_progress_at = now;
            self.open_starts.record_sent(key, run, now);
            self.effects.push(CellEffect::Start(key, order));
        }
    }

    fn start_order(&self, key: WorkerKey, run: TaskRun, now: Instant) -> Option<StartOrder> {
        let job = self.jobs.get(&run.task.job())?;
        let step = job.step(run.task.step)?;
        let task = step.tasks.get(usize::from(run.task.index))?;
        Some(StartOrder {
            run,
            input: job.spec.as_ref()?.input.clone(),
            checkpoint: task.checkpoint.clone(),
            ticket: self.start_ticket(key, run, now)?,
        })
    }

    /// Stops a run, or undoes its placement if the start was not sent yet.
    pub(crate) fn stop_run(&mut self, key: WorkerKey, run: TaskRun) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let Some(slot) = worker.slots.get_mut(&run) else {
            return;
        };
        match slot.phase {
            SlotPhase::Recording => self.undo_placement(key, run),
            SlotPhase::Stopping => {}
            SlotPhase::Sent | SlotPhase::Running => {
                let was_sent = slot.phase == SlotPhase::Sent;
                slot.phase = SlotPhase::Stopping;
                slot.visible_since = None;
                self.effects.push(CellEffect::Stop(key, run));
                if was_sent {
                    self.close_start(key, run, StartOutcome::Withdrawn);
                }
            }
        }
    }

    /// Stops again the runs that should have ended by the last report of their worker. An earlier stop may never have
    /// been sent: a worker that is only in the records has no link.
    ///
    /// The link drops a stop that repeats one in flight.
    pub(crate) fn repeat_stops(
        &mut self,
        key: WorkerKey,
        report: &WorkerReport,
        requested_at: Instant,
    ) {
        let is_running = |run: &TaskRun| report.running.iter().any(|other| other.run == *run);
        let has_ended = |run: &TaskRun| report.ended.iter().any(|other| other.run == *run);
        let is_overdue = |run: &TaskRun, slot: &Slot| match slot.visible_since {
            None => !has_ended(run),
            Some(stopped_at) => requested_at > stopped_at + STOP_REPEAT_TIME && is_running(run),
        };
        let slots = self.workers[key].slots.iter();
        let stopping = slots.filter(|(_, slot)| slot.phase == SlotPhase::Stopping);
        let overdue = stopping.filter(|(run, slot)| is_overdue(run, slot));
        let stops = overdue.map(|(run, _)| CellEffect::Stop(key, *run));
        self.effects.extend(stops);
    }

    /// Undoes a placement whose run is known not to exist, so that the task waits again.
    pub(crate) fn undo_placement(&mut self, key: WorkerKey, run: TaskRun) {
        self.release(key, run);
        let id = run.task.step;
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.pending_starts.retain(|(_, pending)| *pending != run);
            if let Some(step) = job.step_mut(id) {
                let task = &mut step.tasks[usize::from(run.task.index)];
                if task.run == run.run && task.state == TaskState::Placed(key) {
                    task.state = TaskState::Waiting;
                }
            }
        }
        self.mark_dirty(id.job);
        self.queue_step(id);
    }
}
