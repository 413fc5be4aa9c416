//! Incarnations of workers: registry entries, restarts under the same ID, and leases.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::cell::Cell;
use crate::effect::{CellEffect, ReleasedRun};
use crate::job::TaskState;
use crate::slot::{Slot, SlotPhase};
use crate::worker::{Worker, WorkerEntry};
use crate::{StepId, TaskRun, WorkerKey};

impl Cell {
    /// Adds or updates a worker from its registry entry. Returns the key of the incarnation.
    ///
    /// A new incarnation under a known ID inherits the runs of the earlier one until its first report,
    /// since a start that was sent to the earlier incarnation may have reached the new one. `lease_end` is
    /// the time at which all runs that an earlier owner may have started there have ended.
    pub fn worker_listed(
        &mut self,
        entry: WorkerEntry,
        lease_end: Instant,
        now: Instant,
    ) -> WorkerKey {
        let mut earlier = None;
        if let Some(&key) = self.workers_by_id.get(&entry.id) {
            let worker = &self.workers[key];
            if worker.entry.started_ms == entry.started_ms {
                if worker.entry != entry || !worker.listed {
                    self.change_worker(key, |worker| {
                        worker.entry = entry;
                        worker.listed = true;
                    });
                    self.undo_excess_placements(key);
                    self.request_pass();
                }
                return key;
            }
            earlier = Some(key);
        }
        let id = entry.id.clone();
        let started_ms = entry.started_ms;
        let key = self.insert_worker(Worker::new(entry, lease_end));
        self.workers_by_id.insert(id.clone(), key);
        if let Some(earlier) = earlier {
            let gone = self.workers[earlier].runs_gone_in_crash(now);
            self.workers[key].is_successor = true;
            self.inherit_runs(earlier, key, now);
            self.remove_worker(earlier);
            self.count_crashes(&id, &gone);
        }
        self.settle_losses(&id, started_ms, false);
        self.request_pass();
        key
    }

    /// Undoes placements that are not sent yet, the last ones first, until a worker that has shrunk is not over its
    /// capacity. What it runs goes on.
    fn undo_excess_placements(&mut self, key: WorkerKey) {
        let mut undone: SmallVec<[StepId; 4]> = SmallVec::new();
        loop {
            let worker = &self.workers[key];
            if worker.used.fits(worker.entry.capacity) {
                break;
            }
            let is_recording = |slot: &Slot| slot.phase == SlotPhase::Recording;
            let recording = worker.slots.iter().filter(|(_, slot)| is_recording(slot));
            let Some(run) = recording.map(|(run, _)| *run).max() else {
                break;
            };
            self.undo_placement(key, run);
            undone.push(run.task.step);
        }
        for step in undone {
            self.stop_incomplete_gang(step);
        }
    }

    /// Returns the maximum time for which a new incarnation that has not answered may run what was sent to the
    /// earlier one. A start without a reply may still be on its way.
    fn stale_lease_of(&self, slots: &BTreeMap<TaskRun, Slot>) -> Duration {
        let is_unanswered =
            |slot: &Slot| slot.phase != SlotPhase::Recording && slot.visible_since.is_none();
        match slots.values().any(is_unanswered) {
            true => self.options.max_late_lease(),
            false => self.options.max_stale_lease(),
        }
    }

    fn inherit_runs(&mut self, earlier: WorkerKey, key: WorkerKey, now: Instant) {
        let slots = self.take_slots(earlier);
        let lease_end = self.workers[earlier].lease_end;
        let stale_lease_end = now + self.stale_lease_of(&slots);
        let worker = &mut self.workers[key];
        worker.lease_end = worker.lease_end.max(lease_end).max(stale_lease_end);
        let mut undone: SmallVec<[StepId; 4]> = SmallVec::new();
        for (run, mut slot) in slots {
            let phase = slot.phase;
            if phase == SlotPhase::Recording {
                self.undo_placement(earlier, run);
                undone.push(run.task.step);
                continue;
            }
            slot.phase = SlotPhase::Running;
            slot.visible_since = Some(now);
            // A run that ended with the earlier incarnation does not show that the new one is unhealthy.
            slot.last_progress_at = now;
            self.allocate(key, run, slot);
            let step = self.jobs.get_mut(&run.task.job());
            let step = step.and_then(|job| job.step_mut(run.task.step));
            let task = step.and_then(|step| step.tasks.get_mut(usize::from(run.task.index)));
            if let Some(task) = task
                && task.state == TaskState::Placed(earlier)
            {
                task.state = TaskState::Placed(key);
            }
            if phase != SlotPhase::Running {
                // The stop makes the worker refuse a start that is still in flight.
                self.stop_run(key, run);
            }
        }
        for step in undone {
            self.stop_incomplete_gang(step);
        }
    }

    /// Processes the first answer of an incarnation. From then on it refuses all calls that were sent to earlier ones.
    ///
    /// Unless it has been running for long, such a call may have reached it before, and its lease may last as long as a
    /// worker grants any.
    pub fn worker_answered(&mut self, key: WorkerKey, now: Instant, now_ms: u64) {
        let stale_lease_end = now + self.options.max_stale_lease();
        let settled_age = self.options.settled_age();
        self.change_worker(key, |worker| {
            if worker.is_successor || worker.entry.age(now_ms) < settled_age {
                worker.stale_lease_end = Some(stale_lease_end);
                worker.lease_end = stale_lease_end;
            }
        });
    }

    /// Processes an answer to an order by another clock than that of the worker's last report. An incarnation that the owner
    /// has not heard from may have taken the order.
    ///
    /// `asked` is the time from the answer to the end of the lease that the order has asked for, on the clock that answered.
    pub fn order_taken_on_other_clock(&mut self, key: WorkerKey, asked: Duration, now: Instant) {
        let lease_end = now + self.options.granted_lease(asked);
        self.change_worker(key, |worker| worker.extend_stale_lease(lease_end));
    }

    /// Processes a renewal that an incarnation may have taken which the owner has not heard from.
    pub fn stale_renewal_taken(&mut self, key: WorkerKey, now: Instant) {
        let lease_end = now + self.options.max_stale_lease();
        self.change_worker(key, |worker| worker.extend_unconfirmed(lease_end, now));
    }

    /// Marks a worker as no longer listed by the registry. Its runs count as ended when its lease expires. Returns
    /// whether it was listed.
    pub fn worker_unlisted(&mut self, id: &str) -> bool {
        let key = self.workers_by_id.get(id).copied();
        let was_listed = key
            .and_then(|key| self.change_worker(key, |w| std::mem::replace(&mut w.listed, false)));
        was_listed.unwrap_or(false)
    }

    /// Returns the IDs and keys of the workers that the registry lists.
    pub fn listed_workers(&self) -> Vec<(Arc<str>, WorkerKey)> {
        let workers = self.workers.iter().filter(|(_, worker)| worker.listed);
        workers.map(|(key, w)| (w.entry.id.clone(), key)).collect()
    }

    /// Returns the ID of a worker.
    pub fn worker_id(&self, key: WorkerKey) -> Option<Arc<str>> {
        self.workers.get(key).map(|worker| worker.entry.id.clone())
    }

    /// Extends the lease of a worker when a renewal is sent, whether or not it arrives.
    pub fn lease_renewed(&mut self, key: WorkerKey, lease_end: Instant, now: Instant) {
        self.change_worker(key, |worker| {
            worker.lease_end = worker.lease_end.max(lease_end);
            worker.renewed_at = Some(now);
        });
    }

    /// Releases the runs of workers whose leases have expired, and removes those that are not listed. A run whose start
    /// nobody has confirmed waits until any incarnation would have ended it.
    pub(crate) fn expire_leases(&mut self, now: Instant) {
        let is_expired = |worker: &Worker| now >= worker.lease_end;
        let workers = self.workers.iter().filter(|(_, worker)| is_expired(worker));
        let expired: Vec<WorkerKey> = workers.map(|(key, _)| key).collect();
        for key in expired {
            let runs = self.workers[key].lapsed_runs(now);
            self.record_losses(key, &runs, now);
            let released_any = !runs.is_empty();
            for run in runs {
                self.report_release(key, run);
                self.release_run(key, run);
            }
            let worker = &mut self.workers[key];
            for slot in worker.slots.values_mut() {
                slot.has_outlasted_others |= released_any;
            }
            if !worker.listed && worker.slots.is_empty() {
                self.remove_worker(key);
            }
        }
    }

    /// Reports that a run is released, unless its start was not sent. The release of another member of its gang may have
    /// undone its placement.
    fn report_release(&mut self, key: WorkerKey, run: TaskRun) {
        let worker = &self.workers[key];
        let slot = worker.slots.get(&run);
        if slot.is_none_or(|slot| slot.phase == SlotPhase::Recording) {
            return;
        }
        let released = ReleasedRun {
            worker: worker.entry.id.clone(),
            started_ms: worker.entry.started_ms,
            run,
            renewed_at: worker.renewed_at,
            counted_by: worker.lease_source(run),
        };
        self.effects.push(CellEffect::Release(released));
    }

    fn remove_worker(&mut self, key: WorkerKey) {
        let Some(worker) = self.take_worker(key) else {
            return;
        };
        if self.workers_by_id.get(&worker.entry.id) == Some(&key) {
            self.workers_by_id.remove(&worker.entry.id);
        }
        self.effects.push(CellEffect::Forget(key));
    }
}
