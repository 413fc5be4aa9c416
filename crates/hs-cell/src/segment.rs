//! Several records in one item of the store.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::IdError;
use crate::job_record::{JobOutcome, JobRecord};
use crate::{JobId, RecordRow};

/// Place of a write among all writes of all owners; later ones are greater.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RecordStamp {
    /// Fence of the owner.
    #[serde(rename = "f")]
    pub fence: u64,
    /// Number of the owner's write.
    #[serde(rename = "n")]
    pub sequence: u64,
}

/// A record in an item of its own.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StampedRecord {
    /// When it was written.
    #[serde(rename = "m")]
    pub stamp: RecordStamp,
    /// The record.
    #[serde(rename = "r")]
    pub record: JobRecord,
}

/// What a segment says of a job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SegmentState {
    /// The job is not finished.
    #[serde(rename = "p")]
    Progress(JobRecord),
    /// The job has ended.
    #[serde(rename = "e")]
    Ended(JobOutcome),
}

/// Row of a segment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SegmentRow {
    /// The job.
    #[serde(rename = "j")]
    pub job: JobId,
    /// Its state at the time of the write.
    #[serde(rename = "s")]
    pub state: SegmentState,
}

impl From<&RecordRow> for SegmentRow {
    fn from(row: &RecordRow) -> Self {
        match row {
            RecordRow::Progress(job, record) => Self {
                job: *job,
                state: SegmentState::Progress(record.clone()),
            },
            RecordRow::Finished(job, outcome) => Self {
                job: *job,
                state: SegmentState::Ended(*outcome),
            },
        }
    }
}

impl fmt::Display for RecordStamp {
    /// Texts of stamps are ordered like the stamps.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:016x}", self.fence, self.sequence)
    }
}

impl FromStr for RecordStamp {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let numbers = text.split_once('-').and_then(|(fence, sequence)| {
            let number = |digits: &str| u64::from_str_radix(digits, 16).ok();
            Some((number(fence)?, number(sequence)?))
        });
        let (fence, sequence) = numbers.ok_or_else(|| IdError::new("segment", text))?;
        Ok(Self { fence, sequence })
    }
}
