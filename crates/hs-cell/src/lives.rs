//! Lives of workers: registry entries, restarts under the same id, and leases.

use std::sync::Arc;
use std::time::Instant;

use crate::cell::Cell;
use crate::effect::CellEffect;
use crate::job::TaskState;
use crate::worker::{SlotPhase, Worker, WorkerEntry};
use crate::{TaskRun, WorkerKey};

impl Cell {
    /// Takes a registry entry. Returns the key of the worker's life.
    ///
    /// A new life under a known id inherits the runs of the earlier one until its first list, since a
    /// start that was meant for the earlier life may have reached the new one. `lease_end` is when runs that an
    /// earlier owner may have left there are over.
    pub fn worker_listed(
        &mut self,
        entry: WorkerEntry,
        lease_end: Instant,
        now: Instant,
    ) -> WorkerKey {
        let mut earlier = None;
        if let Some(&key) = self.by_id.get(&entry.id) {
            let worker = &mut self.workers[key];
            if worker.entry.started_ms == entry.started_ms {
                if worker.entry != entry || !worker.listed {
                    worker.entry = entry;
                    worker.listed = true;
                    self.touch();
                }
                return key;
            }
            earlier = Some(key);
        }
        let id = entry.id.clone();
        let key = self.workers.insert(Worker::new(entry, lease_end));
        self.by_id.insert(id, key);
        if let Some(earlier) = earlier {
            self.inherit_runs(earlier, key, now);
            self.forget(earlier);
        }
        self.touch();
        key
    }

    fn inherit_runs(&mut self, earlier: WorkerKey, key: WorkerKey, now: Instant) {
        let slots = std::mem::take(&mut self.workers[earlier].slots);
        let lease_end = self.workers[earlier].lease_end;
        let worker = &mut self.workers[key];
        worker.lease_end = worker.lease_end.max(lease_end);
        for (run, mut slot) in slots {
            let phase = slot.phase;
            if phase == SlotPhase::Recording {
                self.undo_placement(earlier, run);
                continue;
            }
            slot.phase = SlotPhase::Running;
            slot.known_since = Some(now);
            self.workers[key].hold(run, slot);
            let step = self.jobs.get_mut(&run.task.job());
            let step = step.and_then(|job| job.step_mut(run.task.step));
            let task = step.and_then(|step| step.tasks.get_mut(usize::from(run.task.index)));
            if let Some(task) = task
                && task.state == TaskState::Placed(earlier)
            {
                task.state = TaskState::Placed(key);
            }
            if phase != SlotPhase::Running {
                // Makes a start that is still on its way harmless.
                self.stop_run(key, run);
            }
        }
    }

    /// Notes that the registry no longer lists a worker. What runs there is over with its lease.
    pub fn worker_unlisted(&mut self, id: &str) {
        if let Some(&key) = self.by_id.get(id) {
            self.workers[key].listed = false;
        }
    }

    /// Returns the ids and keys of the workers that the registry lists.
    pub fn listed_workers(&self) -> Vec<(Arc<str>, WorkerKey)> {
        let workers = self.workers.iter().filter(|(_, worker)| worker.listed);
        workers.map(|(key, w)| (w.entry.id.clone(), key)).collect()
    }

    /// Returns the id of a worker.
    pub fn worker_id(&self, key: WorkerKey) -> Option<Arc<str>> {
        self.workers.get(key).map(|worker| worker.entry.id.clone())
    }

    /// Notes until when a worker may keep its runs, from a renewal that was sent.
    pub fn lease_renewed(&mut self, key: WorkerKey, lease_end: Instant) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.lease_end = worker.lease_end.max(lease_end);
        }
    }

    /// Frees the runs of workers whose leases have run out.
    pub(crate) fn expire_leases(&mut self, now: Instant) {
        let over = |worker: &Worker| now >= worker.lease_end;
        let workers = self.workers.iter().filter(|(_, worker)| over(worker));
        let expired: Vec<WorkerKey> = workers.map(|(key, _)| key).collect();
        for key in expired {
            let runs: Vec<TaskRun> = self.workers[key].slots.keys().copied().collect();
            for run in runs {
                self.free_run(key, run);
            }
            if !self.workers[key].listed {
                self.forget(key);
            }
        }
    }

    fn forget(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.remove(key) else {
            return;
        };
        if self.by_id.get(&worker.entry.id) == Some(&key) {
            self.by_id.remove(&worker.entry.id);
        }
        self.effects.push(CellEffect::Forget(key));
    }
}
