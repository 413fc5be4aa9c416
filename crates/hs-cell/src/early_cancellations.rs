//! Cancellations of jobs that the cell does not know yet.
//!
//! A cancellation and its job reach the owner by several ways, so the cancellation may come first. It is kept, and ends
//! the job once that is added.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::JobId;
use crate::cell::Cell;

/// Cancellations without a job, each with the time from which it may be dropped.
#[derive(Debug, Default)]
pub(crate) struct EarlyCancellations {
    drop_times: BTreeMap<JobId, Instant>,
    by_drop_time: BTreeSet<(Instant, JobId)>,
}

impl EarlyCancellations {
    /// Adds a cancellation, or keeps it for longer.
    fn insert(&mut self, id: JobId, drop_at: Instant) {
        self.remove(id);
        self.drop_times.insert(id, drop_at);
        self.by_drop_time.insert((drop_at, id));
    }

    /// Removes a cancellation. Returns whether there was one.
    fn remove(&mut self, id: JobId) -> bool {
        let Some(drop_at) = self.drop_times.remove(&id) else {
            return false;
        };
        self.by_drop_time.remove(&(drop_at, id))
    }

    /// Removes the first cancellation that may be dropped.
    fn pop_expired(&mut self, now: Instant) -> Option<JobId> {
        let &(drop_at, id) = self.by_drop_time.first()?;
        if now < drop_at {
            return None;
        }
        self.remove(id);
        Some(id)
    }
}

impl Cell {
    /// Keeps the cancellation of an unknown job for as long as the outcome of an ended one.
    pub(crate) fn keep_cancellation(&mut self, id: JobId, now: Instant) {
        let drop_at = now + self.options.status_retention;
        self.early_cancellations.insert(id, drop_at);
    }

    /// Takes the cancellation of a job that is being added. Returns whether there is one.
    pub(crate) fn take_cancellation(&mut self, id: JobId) -> bool {
        self.early_cancellations.remove(id)
    }

    /// Removes at most `limit` cancellations whose jobs have not come in time, and returns them for deletion in the
    /// store.
    pub fn take_expired_cancellations(&mut self, now: Instant, limit: usize) -> Vec<JobId> {
        let expired = std::iter::from_fn(|| self.early_cancellations.pop_expired(now));
        expired.take(limit).collect()
    }
}
