//! Power losses of workers, which are back under their IDs before the registry lists their next incarnations.

use std::time::Duration;

use hs_cell::{StartRefusal, StartTaker, TaskRun, WorkerKey};

use super::{LONGEST_LEASE, UnlistedIncarnation, World};

impl World {
    /// Replaces a worker that is up by its next incarnation, of which the owner knows nothing. The renewal that was in
    /// progress has no reply.
    pub fn lose_power(&mut self, number: usize, next: UnlistedIncarnation) {
        if !self.workers[number].up {
            return;
        }
        self.end_process(number);
        let now_ms = self.wall_clock_ms();
        let worker = &mut self.workers[number];
        worker.up = true;
        worker.started_ms = now_ms.max(worker.started_ms + 1);
        worker.unlisted = Some(next);
        self.last_renewal_answered[number] = false;
    }

    /// Places and starts what waits, without a renewal.
    pub fn start_round(&mut self) {
        self.advance_cell();
        self.answer_advice();
        self.advance_cell();
        self.begin_write();
        self.finish_write();
    }

    /// Begins a link of its own to an incarnation that the registry lists from now on.
    pub(super) fn begin_link_to_unlisted(&mut self, number: usize) {
        if self.workers[number].unlisted.take().is_none() {
            return;
        }
        self.fence_raises[number] += 1;
        self.last_renewal_answered[number] = false;
        self.requested_lease_ends[number] = None;
    }

    /// Lets the owner learn that another incarnation answers its renewals. It sends no further starts.
    pub(super) fn answer_for_other_incarnation(&mut self, number: usize, key: WorkerKey) {
        let fence = self.worker_fence(number);
        let worker = &mut self.workers[number];
        worker.fence = worker.fence.max(fence);
        self.requested_lease_ends[number] = None;
        self.cell.worker_unreachable(key);
    }

    /// Lets an incarnation that the owner has not heard from take a start, with the end of the lease on the clock of the
    /// one before.
    pub(super) fn start_on_unlisted(
        &mut self,
        number: usize,
        key: WorkerKey,
        run: TaskRun,
        unlisted: UnlistedIncarnation,
    ) {
        let now = self.now;
        let (fence, limit) = (self.worker_fence(number), self.workers[number].capacity);
        let taken = match unlisted.asked {
            Duration::ZERO => Err(StartRefusal::Late),
            asked => {
                let lease_end = now + asked.min(LONGEST_LEASE);
                self.accept_start(number, fence, run, lease_end, limit)
            }
        };
        self.fence_raises[number] += 1;
        if !unlisted.answers {
            let taker = StartTaker::Any;
            return self.cell.start_unanswered(key, run, taker, now);
        }
        // The clock shows that the lease was mapped to another one, so no further starts are sent.
        self.requested_lease_ends[number] = None;
        self.cell
            .order_taken_on_other_clock(key, unlisted.asked, now);
        match taken {
            Ok(()) => self.cell.start_confirmed(key, run, now),
            Err(why) => self.cell.start_refused(key, run, why, now),
        }
    }
}
