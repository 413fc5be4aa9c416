//! Callers that wait for jobs to end.

use std::collections::BTreeMap;

use hs_cell::{JobId, JobState};
use tokio::sync::oneshot;

/// Maximum number of jobs whose ends can be awaited at a time; callers for further jobs are answered
/// without waiting.
const MAX_AWAITED_JOBS: usize = 4096;

/// The waiting callers, by job.
#[derive(Debug, Default)]
pub(crate) struct EndWaiters {
    waiting: BTreeMap<JobId, Vec<oneshot::Sender<JobState>>>,
}

impl EndWaiters {
    /// Adds a caller. If too many jobs are awaited, `reply` is dropped, which ends the caller's wait.
    pub(crate) fn add(&mut self, id: JobId, reply: oneshot::Sender<JobState>) {
        if self.waiting.len() < MAX_AWAITED_JOBS || self.waiting.contains_key(&id) {
            self.waiting.entry(id).or_default().push(reply);
        }
    }

    /// Notifies the callers that wait for this job of its final state.
    pub(crate) fn notify_ended(&mut self, id: JobId, state: JobState) {
        for reply in self.waiting.remove(&id).into_iter().flatten() {
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
    }
}
