//! Callers that wait for jobs to end.

use std::collections::BTreeMap;

use hs_cell::{JobId, JobState};
use tokio::sync::oneshot;

/// Maximum number of callers that wait at a time; further ones are answered without waiting.
const MAX_WAITERS: usize = 4096;

/// The waiting callers, by job.
#[derive(Debug, Default)]
pub(crate) struct EndWaiters {
    waiting: BTreeMap<JobId, Vec<oneshot::Sender<JobState>>>,
    /// Number of callers of all jobs.
    count: usize,
}

impl EndWaiters {
    /// Adds a caller. If too many wait, `reply` is dropped, which ends the caller's wait.
    pub(crate) fn add(&mut self, id: JobId, reply: oneshot::Sender<JobState>) {
        if self.count < MAX_WAITERS {
            self.count += 1;
            self.waiting.entry(id).or_default().push(reply);
        }
    }

    /// Notifies the callers that wait for this job of its final state.
    pub(crate) fn notify_ended(&mut self, id: JobId, state: JobState) {
        for reply in self.waiting.remove(&id).into_iter().flatten() {
            self.count -= 1;
            // The receiver is gone if the caller stopped waiting.
            let _ = reply.send(state);
        }
    }

    /// Removes the callers that stopped waiting.
    pub(crate) fn remove_closed(&mut self) {
        self.waiting.retain(|_, replies| {
            replies.retain(|reply| !reply.is_closed());
            !replies.is_empty()
        });
        self.count = self.waiting.values().map(Vec::len).sum();
    }
}
