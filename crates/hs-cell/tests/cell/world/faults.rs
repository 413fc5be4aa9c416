//! Time, and what goes wrong in it: crashes, restarts, failed runs, and changes of the registry.

use std::time::Duration;

use hs_cell::{RunEnd, TaskRun};

use super::{DelayedStart, DueReturn, LONGEST_LEASE, World};

/// Time after which a worker that crashed under a deadly task is back.
pub(super) const WORKER_RETURN_TIME: Duration = Duration::from_secs(3);

impl World {
    /// Changes the capacity of a worker, which keeps what it runs, and updates its registry entry. Without an entry the
    /// owner could not know of the change, so nothing changes.
    pub fn set_capacity(&mut self, number: usize, capacity: u32) {
        if !self.workers[number].listed {
            return;
        }
        self.workers[number].capacity = capacity;
        if self.workers[number].up {
            self.register(number, self.now);
        }
    }

    /// Removes the registry entry of a worker, which goes on.
    pub fn unlist(&mut self, number: usize) {
        self.workers[number].listed = false;
        self.cell.worker_unlisted(&format!("w{number}"));
    }

    /// Restores the registry entry of a worker.
    pub fn list(&mut self, number: usize) {
        self.workers[number].listed = true;
        if self.workers[number].up {
            self.register(number, self.now);
        }
    }

    /// Loses the stops that no worker has received yet.
    pub fn lose_stops(&mut self) {
        self.stops.clear();
    }

    /// Crashes the process of a worker, with all its runs and its memory of ended ones.
    pub fn crash(&mut self, number: usize) {
        self.end_process(number);
        self.cell.worker_unlisted(&format!("w{number}"));
    }

    pub(super) fn end_process(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        for run in worker.running.keys() {
            *self.crash_counts.entry(run.task).or_default() += 1;
        }
        worker.up = false;
        worker.running.clear();
        worker.ended.clear();
        worker.last_ended_runs.clear();
        worker.earlier_fence = worker.earlier_fence.max(worker.fence);
        worker.fence = 0;
        worker.has_answered = false;
        worker.last_end = 0;
        worker.lease_end = None;
        worker.unlisted = None;
    }

    /// Restarts a worker under its ID, as a new incarnation.
    pub fn restart(&mut self, number: usize) {
        if self.workers[number].up {
            self.crash(number);
        }
        let now_ms = self.wall_clock_ms();
        self.fence_raises[number] += 1;
        let worker = &mut self.workers[number];
        worker.up = true;
        worker.listed = true;
        worker.started_ms = now_ms.max(worker.started_ms + 1);
        self.last_renewal_answered[number] = false;
        self.requested_lease_ends[number] = None;
        self.register(number, self.now);
    }

    /// Lets a new incarnation carry out a renewal that was meant for the one before, whose clock was ahead, unless it
    /// has answered the owner: it refuses such a call then.
    pub fn carry_out_stale_renewal(&mut self, number: usize) {
        let stale_lease_end = self.now + LONGEST_LEASE;
        let worker = &mut self.workers[number];
        if worker.up && worker.earlier_fence > 0 && !worker.has_answered {
            worker.lease_end = worker.lease_end.max(Some(stale_lease_end));
        }
    }

    /// Crashes a worker under a deadly task. The worker is back after [`World::return_time`].
    pub(super) fn crash_under_task(&mut self, number: usize) {
        self.crash(number);
        let at = self.now + self.return_time;
        self.due_returns.push(DueReturn { at, worker: number });
    }

    pub(super) fn apply_due_crashes(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.due_crashes.drain(..).partition(|c| c.at <= now);
        self.due_crashes = later;
        for crash in due {
            if self.workers[crash.worker].running.contains_key(&crash.run) {
                self.crash_under_task(crash.worker);
            }
        }
    }

    pub(super) fn apply_due_returns(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.due_returns.drain(..).partition(|r| r.at <= now);
        self.due_returns = later;
        for due in due {
            if !self.workers[due.worker].up {
                self.restart(due.worker);
            }
        }
    }

    /// Advances the clock: leases expire, deadly tasks crash their workers, crashed workers return, and delayed
    /// starts reach their workers.
    pub fn pass_time(&mut self, time: Duration) {
        self.now += time;
        let now = self.now;
        self.apply_due_crashes();
        self.apply_due_returns();
        for worker in &mut self.workers {
            if worker.lease_end.is_some_and(|end| now >= end) {
                let runs: Vec<TaskRun> = worker.running.keys().copied().collect();
                for run in runs {
                    worker.end(run, RunEnd::Lapsed);
                }
            }
        }
        let (ready, later): (Vec<_>, Vec<_>) =
            self.delayed_starts.drain(..).partition(|s| s.at <= now);
        self.delayed_starts = later;
        for start in ready {
            self.carry_out(&start);
        }
    }

    /// Lets a worker carry a delayed start out. Another incarnation than the one that it was meant for grants its
    /// longest lease, unless its own clock is ahead.
    ///
    /// A start that an earlier incarnation would have refused is dropped, since no owner can know of it.
    fn carry_out(&mut self, start: &DelayedStart) {
        let number = start.worker;
        let is_clock_ahead = self.random_below(2) == 0;
        let worker = &self.workers[number];
        let limit = start.capacity.max(worker.capacity);
        let is_meant = worker.started_ms == start.started_ms;
        let is_obsolete = !is_meant && start.fence < worker.earlier_fence;
        let (is_late, lease_end) = match is_meant {
            true => (self.now >= start.lease_end, start.lease_end),
            false => (is_clock_ahead, self.now + LONGEST_LEASE),
        };
        if worker.up && !is_obsolete && !is_late {
            // An answer would reach nobody.
            let _ = self.accept_start(number, start.fence, start.run, lease_end, limit);
        }
    }

    /// Ends a run on its worker. The other members of a gang end with it.
    pub fn end(&mut self, number: usize, run: TaskRun, end: RunEnd) {
        if !self.workers[number].running.contains_key(&run) {
            return;
        }
        self.workers[number].end(run, end);
        let (spec, _) = &self.store.jobs[&run.task.job()];
        let step = &spec.steps[usize::from(run.task.step.step)];
        if end == RunEnd::Failed {
            *self.failed_runs.entry(run.task).or_default() += 1;
        }
        if end == RunEnd::Done && !step.long_running {
            self.succeeded.insert(run.task);
        }
        let is_gang = step.gang;
        if end == RunEnd::Failed {
            self.forget_deadly_start(run);
        }
        if !is_gang {
            return;
        }
        let others = match end {
            RunEnd::Done => RunEnd::Done,
            _ => RunEnd::Broken,
        };
        let mut ended = Vec::new();
        for worker in &mut self.workers {
            let same = |other: &&TaskRun| other.task.step == run.task.step && other.run == run.run;
            let members: Vec<TaskRun> = worker.running.keys().filter(same).copied().collect();
            for member in members {
                if others == RunEnd::Done {
                    self.succeeded.insert(member.task);
                }
                worker.end(member, others);
                ended.push(member);
            }
        }
        if end == RunEnd::Failed {
            for member in ended {
                self.forget_deadly_start(member);
            }
        }
    }

    /// Ends all runs of a worker as failed.
    pub fn fail_runs(&mut self, number: usize) {
        let runs: Vec<TaskRun> = self.workers[number].running.keys().copied().collect();
        for run in runs {
            self.end(number, run, RunEnd::Failed);
        }
    }
}
