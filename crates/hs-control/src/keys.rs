//! Keys in the store.

use hs_cell::JobId;

/// The claim of the cell's owner.
pub(crate) const OWNER: &str = "hs/owner";

/// What processes other than the owner write.
pub(crate) const INTAKE: &str = "hs/in/";

/// Accepted jobs.
const JOB: &str = "hs/in/job/";

/// Cancellations.
const CANCEL: &str = "hs/in/cancel/";

/// Progress of unfinished jobs, written by the owner.
pub(crate) const RUN: &str = "hs/run/";

/// Returns the key of an accepted job.
pub(crate) fn job(id: JobId) -> String {
    format!("{JOB}{id}")
}

/// Returns the key of a cancellation.
pub(crate) fn cancel(id: JobId) -> String {
    format!("{CANCEL}{id}")
}

/// Returns the key of a job's progress.
pub(crate) fn run(id: JobId) -> String {
    format!("{RUN}{id}")
}

/// A key under [`INTAKE`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum IntakeKey {
    Job(JobId),
    Cancel(JobId),
}

/// Reads a key under [`INTAKE`].
pub(crate) fn parse_intake(key: &str) -> Option<IntakeKey> {
    if let Some(id) = key.strip_prefix(JOB) {
        return id.parse().ok().map(IntakeKey::Job);
    }
    let id = key.strip_prefix(CANCEL)?;
    id.parse().ok().map(IntakeKey::Cancel)
}
