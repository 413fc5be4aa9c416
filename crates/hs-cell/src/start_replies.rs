//! Open starts, replies of workers to them, and starts without one.

use std::time::{Duration, Instant};

use crate::cell::Cell;
use crate::open_starts::StartOutcome;
use crate::slot::SlotPhase;
use crate::worker::{StartRefusal, StartTaker};
use crate::{TaskRun, WorkerKey};

impl Cell {
    /// Returns the number of starts that are given out and not answered.
    pub fn open_starts(&self) -> usize {
        self.open_starts.count()
    }

    /// Returns the number of starts that may be given out and not answered.
    pub fn max_open_starts(&self) -> usize {
        self.open_starts.limit()
    }

    /// Returns for how long the oldest of the sent starts has had no answer.
    pub fn oldest_open_start(&self, now: Instant) -> Option<Duration> {
        let sent_at = self.open_starts.oldest_sent_at()?;
        Some(now.saturating_duration_since(sent_at))
    }

    /// Processes the confirmation that a worker has started a run.
    pub fn start_confirmed(&mut self, key: WorkerKey, run: TaskRun, now: Instant) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if let Some(slot) = worker.slots.get_mut(&run) {
            if slot.phase == SlotPhase::Sent {
                slot.phase = SlotPhase::Running;
            }
            slot.visible_since.get_or_insert(now);
            slot.unconfirmed_until = None;
            slot.last_progress_at = now;
            slot.started_at = now;
        }
        if let Some(job) = self.jobs.get_mut(&run.task.job()) {
            job.started = true;
        }
        self.close_start(key, run, StartOutcome::Confirmed(now));
        self.observe_start(key, run, now);
    }

    /// Closes a start, if it is open, and requests a pass if tasks have waited for that.
    pub(crate) fn close_start(&mut self, key: WorkerKey, run: TaskRun, outcome: StartOutcome) {
        self.pass_requested |= self.open_starts.close(key, run, outcome);
    }

    /// Processes the refusal of a start. The placement is undone, so that the task waits again.
    pub fn start_refused(&mut self, key: WorkerKey, run: TaskRun, why: StartRefusal, now: Instant) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let Some(slot) = worker.slots.get(&run) else {
            return;
        };
        if slot.phase == SlotPhase::Stopping {
            // The pending stop decides, since an earlier copy of the start may have arrived.
            return;
        }
        if matches!(why, StartRefusal::Unhealthy | StartRefusal::Invalid) {
            worker.quarantine(now);
        }
        let id = run.task.step;
        if let Some(step) = self.jobs.get_mut(&id.job).and_then(|job| job.step_mut(id))
            && why == StartRefusal::Ticket
        {
            step.advice.tickets.retain(|ticket| ticket.worker != key);
        }
        self.undo_placement(key, run);
        self.stop_incomplete_gang(id);
    }

    /// Handles a start that remained unanswered. The run is stopped, since it may still begin.
    ///
    /// An incarnation that the owner has not heard from keeps the run under its longest lease. Only such runs count as going
    /// on for that long: the others of the worker are known to the incarnation that has reported them.
    pub fn start_unanswered(
        &mut self,
        key: WorkerKey,
        run: TaskRun,
        taker: StartTaker,
        now: Instant,
    ) {
        let unconfirmed_until = match taker {
            StartTaker::Reported => None,
            StartTaker::Any => Some(now + self.options.max_stale_lease()),
        };
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let Some(slot) = worker.slots.get_mut(&run) else {
            return;
        };
        if slot.phase == SlotPhase::Running {
            // A report has shown the run meanwhile.
            return;
        }
        let is_sent = slot.phase == SlotPhase::Sent;
        slot.unconfirmed_until = unconfirmed_until;
        if let Some(until) = unconfirmed_until {
            worker.extend_unconfirmed(until, now);
        }
        if is_sent {
            worker.quarantine(now);
            self.close_start(key, run, StartOutcome::Withdrawn);
            self.stop_run(key, run);
            self.stop_incomplete_gang(run.task.step);
        }
    }
}
