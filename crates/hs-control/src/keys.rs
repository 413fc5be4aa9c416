//! Keys of the items in the store.

use hs_cell::{JobId, RecordStamp};

/// Key of the claim of the cell's owner.
pub(crate) const CLAIM: &str = "hs/owner";

/// Prefix of jobs and cancellations, which any process may write.
pub(crate) const INTAKE: &str = "hs/in/";

/// Prefix of accepted jobs.
const JOB: &str = "hs/in/job/";

/// Prefix of cancellations.
pub(crate) const CANCEL: &str = "hs/in/cancel/";

/// Prefix of the progress records of unfinished jobs, one item for each job, written by the owner.
pub(crate) const RUN: &str = "hs/run/";

/// Prefix of segments, each of which holds the progress of several jobs, written by the owner.
pub(crate) const SEGMENT: &str = "hs/seg/";

/// Returns the key of an accepted job.
pub(crate) fn job(id: JobId) -> String {
    format!("{JOB}{id}")
}

/// Returns the key of a cancellation.
pub(crate) fn cancel(id: JobId) -> String {
    format!("{CANCEL}{id}")
}

/// Returns the key of a job's progress record.
pub(crate) fn progress(id: JobId) -> String {
    format!("{RUN}{id}")
}

/// Returns the key of a chunk of a job's progress record.
pub(crate) fn chunk(id: JobId, number: u32) -> String {
    format!("{RUN}{id}/{number}")
}

/// A parsed key under [`RUN`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProgressKey {
    Record(JobId),
    Chunk(JobId, u32),
}

/// Parses a key under [`RUN`]. Returns `None` for any other key.
pub(crate) fn parse_progress_key(key: &str) -> Option<ProgressKey> {
    let rest = key.strip_prefix(RUN)?;
    match rest.split_once('/') {
        None => rest.parse().ok().map(ProgressKey::Record),
        Some((id, number)) => Some(ProgressKey::Chunk(id.parse().ok()?, number.parse().ok()?)),
    }
}

/// Returns the key of a segment.
pub(crate) fn segment(stamp: RecordStamp) -> String {
    format!("{SEGMENT}{stamp}")
}

/// Returns prefixes that together cover the keys of all accepted jobs, so that they can be read in
/// parallel.
pub(crate) fn job_prefixes() -> impl Iterator<Item = String> {
    "0123456789abcdef"
        .chars()
        .map(|digit| format!("{JOB}{digit}"))
}

/// A parsed key under [`INTAKE`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum IntakeKey {
    Job(JobId),
    Cancel(JobId),
}

/// Parses a key under [`INTAKE`]. Returns `None` for any other key.
pub(crate) fn parse_intake_key(key: &str) -> Option<IntakeKey> {
    if let Some(id) = key.strip_prefix(JOB) {
        return id.parse().ok().map(IntakeKey::Job);
    }
    let id = key.strip_prefix(CANCEL)?;
    id.parse().ok().map(IntakeKey::Cancel)
}
