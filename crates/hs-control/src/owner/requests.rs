//! Requests of other processes and of this one: jobs, cancellations and queries.

use std::sync::Arc;

use hs_cell::{AddedJob, JobId, JobSpec, JobState};
use hs_event::EventCode;

use super::OwnerTask;
use crate::port::Platform;
use crate::shared::OwnerRequest;

impl<P: Platform> OwnerTask<P> {
    pub(super) fn add_job(&mut self, id: JobId, spec: Arc<JobSpec>, source: &str) {
        let now = self.platform.now();
        let now_ms = self.platform.unix_ms();
        let queue = spec.queue.clone();
        let steps = spec.steps.len();
        match self.cell.add_job(id, spec, now, now_ms) {
            AddedJob::Known => {}
            AddedJob::Queued => EventCode::JobQueued.log(format_args!(
                "job={id} queue={queue} steps={steps} source={source}"
            )),
            AddedJob::Cancelled => self.job_cancelled(id),
        }
    }

    pub(super) fn cancel(&mut self, id: JobId) {
        match self.cell.cancel(id, self.platform.now()) {
            true => self.job_cancelled(id),
            false => EventCode::CancellationKept.log(format_args!("job={id}")),
        }
    }

    fn job_cancelled(&mut self, id: JobId) {
        EventCode::JobCancelled.log(format_args!("job={id}"));
        self.planner.note_cancelled(id);
    }

    pub(super) fn handle_request(&mut self, request: OwnerRequest) {
        // Sending a reply fails if the caller stopped waiting, which needs no handling.
        match request {
            OwnerRequest::Offer {
                jobs,
                cancelled,
                reply,
            } => {
                for (id, spec) in jobs {
                    self.add_job(id, spec, "offer");
                }
                for id in cancelled {
                    self.cancel(id);
                }
                let _ = reply.send(());
            }
            OwnerRequest::State(id, reply) => {
                let _ = reply.send(self.cell.state(id));
            }
            OwnerRequest::AwaitEnd(id, reply) => match self.cell.state(id) {
                Some(state @ JobState::Ended(_)) => {
                    let _ = reply.send(state);
                }
                _ => self.end_waiters.add(id, reply),
            },
            OwnerRequest::Pending(queue, reply) => {
                let count = self.cell.pending_jobs(&queue);
                let _ = reply.send(u64::try_from(count).unwrap_or(u64::MAX));
            }
            OwnerRequest::Admit(id, spec, reply) => {
                let (now, now_ms) = (self.platform.now(), self.platform.unix_ms());
                let _ = reply.send(self.cell.admit(id, &spec, now, now_ms));
            }
            OwnerRequest::Release(reply) => self.release = Some(reply),
        }
    }
}
