//! Callers that wait for the ends of jobs.

use std::collections::HashMap;

use hs_cell::{JobId, JobState};
use tokio::sync::oneshot;

/// Jobs whose ends may be waited for at a time; further callers are answered without waiting.
const MAX_AWAITED_JOBS: usize = 4096;

/// Callers by the job whose end they wait for.
#[derive(Debug, Default)]
pub(crate) struct EndWaiters {
    waiting: HashMap<JobId, Vec<oneshot::Sender<JobState>>>,
}

impl EndWaiters {
    /// Adds a caller. It is answered at once, without an end, if too many wait.
    pub(crate) fn add(&mut self, id: JobId, reply: oneshot::Sender<JobState>) {
        if self.waiting.len() < MAX_AWAITED_JOBS || self.waiting.contains_key(&id) {
            self.waiting.entry(id).or_default().push(reply);
        }
    }

    /// Answers the callers that wait for the end of a job.
    pub(crate) fn notify_ended(&mut self, id: JobId, state: JobState) {
        for reply in self.waiting.remove(&id).into_iter().flatten() {
            // A caller that has left needs no answer.
            let _ = reply.send(state);
        }
    }

    /// Forgets the callers that have left.
    pub(crate) fn remove_closed(&mut self) {
        self.waiting.retain(|_, replies| {
            replies.retain(|reply| !reply.is_closed());
            !replies.is_empty()
        });
    }
}
