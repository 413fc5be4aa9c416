//! Jobs whose changes wait for a batch, in the order in which they are recorded.

use std::collections::BTreeSet;

use crate::JobId;
use crate::cell::Cell;
use crate::job::Job;

/// What waits for the record of a job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum RecordUrgency {
    /// Starts, which are sent after the record is written. Their tickets expire within seconds.
    Start,
    /// Ends that are to be acknowledged, or the outcome of the job.
    End,
    /// Nothing. The record only has to be written at some time.
    Update,
}

/// Place of a job in the order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct DirtyPlace {
    urgency: RecordUrgency,
    /// Position among the jobs of the same urgency.
    number: u64,
}

/// Jobs that have changed since their last batch.
#[derive(Debug, Default)]
pub(crate) struct DirtyJobs {
    jobs: BTreeSet<(DirtyPlace, JobId)>,
    last_number: u64,
    /// Jobs whose last rows have each filled a batch.
    filling: BTreeSet<JobId>,
    /// Whether the last batch had a row that filled it.
    has_filled_batch: bool,
}

impl DirtyJobs {
    /// Removes the first job of this urgency.
    pub(crate) fn take(&mut self, urgency: RecordUrgency) -> Option<JobId> {
        let first = DirtyPlace { urgency, number: 0 };
        let entry = *self.jobs.range((first, JobId(0))..).next()?;
        if entry.0.urgency != urgency {
            return None;
        }
        self.jobs.remove(&entry);
        Some(entry.1)
    }

    /// Removes the jobs whose last rows have each filled a batch, if the last batch had such a row. Returns their places.
    pub(crate) fn defer_filling(&mut self) -> Vec<(DirtyPlace, JobId)> {
        if !std::mem::take(&mut self.has_filled_batch) {
            return Vec::new();
        }
        let is_filling = |entry: &(DirtyPlace, JobId)| self.filling.contains(&entry.1);
        let deferred: Vec<(DirtyPlace, JobId)> =
            self.jobs.iter().copied().filter(is_filling).collect();
        for entry in &deferred {
            self.jobs.remove(entry);
        }
        deferred
    }

    /// Returns jobs that were removed to their places.
    pub(crate) fn restore(&mut self, deferred: Vec<(DirtyPlace, JobId)>) {
        self.jobs.extend(deferred);
    }

    /// Records that the row of a job is in a batch, and whether it fills it.
    pub(crate) fn record_row(&mut self, id: JobId, is_filling: bool) {
        self.has_filled_batch |= is_filling;
        match is_filling {
            true => self.filling.insert(id),
            false => self.filling.remove(&id),
        };
    }

    /// Adds a job, or moves it ahead. Returns its place.
    fn insert(
        &mut self,
        id: JobId,
        earlier: Option<DirtyPlace>,
        urgency: RecordUrgency,
    ) -> DirtyPlace {
        if let Some(place) = earlier {
            if place.urgency <= urgency {
                return place;
            }
            self.jobs.remove(&(place, id));
        }
        self.last_number += 1;
        let place = DirtyPlace {
            urgency,
            number: self.last_number,
        };
        self.jobs.insert((place, id));
        place
    }
}

impl Job {
    fn record_urgency(&self) -> RecordUrgency {
        if !self.pending_starts.is_empty() {
            RecordUrgency::Start
        } else if !self.pending_ends.is_empty() || self.outcome.is_some() {
            RecordUrgency::End
        } else {
            RecordUrgency::Update
        }
    }
}

impl Cell {
    /// Marks a job as changed, so that one of the next batches contains it.
    pub(crate) fn mark_dirty(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            let urgency = job.record_urgency();
            job.dirty_place = Some(self.dirty_jobs.insert(id, job.dirty_place, urgency));
        }
    }
}
