//! Segments: store items that hold the records of several jobs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::IdError;
use crate::job_end::JobEnd;
use crate::job_record::JobRecord;
use crate::{JobId, RecordRow};

/// Logical timestamp of a write, ordered over the writes of all owners; later writes compare greater.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RecordStamp {
    /// Fencing token of the owner that made the write.
    #[serde(rename = "f")]
    pub fence: u64,
    /// Sequence number of the write.
    #[serde(rename = "n")]
    pub sequence: u64,
}

/// Record of one job, kept in its own store item.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StampedRecord {
    /// Logical timestamp of the write.
    #[serde(rename = "m")]
    pub stamp: RecordStamp,
    /// Recorded progress of the job.
    #[serde(rename = "r")]
    pub record: JobRecord,
}

/// State of a job in a segment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SegmentState {
    /// The job is unfinished.
    #[serde(rename = "p")]
    Progress(JobRecord),
    /// The job has ended.
    #[serde(rename = "e")]
    Ended(JobEnd),
}

/// Row of a segment: the state of one job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SegmentRow {
    /// ID of the job.
    #[serde(rename = "j")]
    pub job: JobId,
    /// State of the job at the time of the write.
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
            RecordRow::Finished(job, end) => Self {
                job: *job,
                state: SegmentState::Ended(end.clone()),
            },
        }
    }
}

impl fmt::Display for RecordStamp {
    /// Formats the stamp with fixed width, so that texts sort in the same order as stamps.
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
