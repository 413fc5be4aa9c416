//! Keys in the store.

use hs_cell::{JobId, RecordStamp};

/// The claim of the cell's owner.
pub(crate) const CLAIM: &str = "hs/owner";

/// What processes other than the owner write.
pub(crate) const INTAKE: &str = "hs/in/";

/// Accepted jobs.
const JOB: &str = "hs/in/job/";

/// Cancellations.
pub(crate) const CANCEL: &str = "hs/in/cancel/";

/// Progress of unfinished jobs, each in an item of its own, written by the owner.
pub(crate) const RUN: &str = "hs/run/";

/// Progress of several jobs in an item, written by the owner.
pub(crate) const SEGMENT: &str = "hs/seg/";

/// Returns the key of an accepted job.
pub(crate) fn job(id: JobId) -> String {
    format!("{JOB}{id}")
}

/// Returns the key of a cancellation.
pub(crate) fn cancel(id: JobId) -> String {
    format!("{CANCEL}{id}")
}

/// Returns the key of a job's progress.
pub(crate) fn progress(id: JobId) -> String {
    format!("{RUN}{id}")
}

/// Returns the key of a segment.
pub(crate) fn segment(stamp: RecordStamp) -> String {
    format!("{SEGMENT}{stamp}")
}

/// Returns the prefixes that share the keys of accepted jobs among them.
pub(crate) fn job_prefixes() -> impl Iterator<Item = String> {
    "0123456789abcdef"
        .chars()
        .map(|digit| format!("{JOB}{digit}"))
}

/// A key under [`INTAKE`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum IntakeKey {
    Job(JobId),
    Cancel(JobId),
}

/// Reads a key under [`INTAKE`].
pub(crate) fn parse_intake_key(key: &str) -> Option<IntakeKey> {
    if let Some(id) = key.strip_prefix(JOB) {
        return id.parse().ok().map(IntakeKey::Job);
    }
    let id = key.strip_prefix(CANCEL)?;
    id.parse().ok().map(IntakeKey::Cancel)
}
