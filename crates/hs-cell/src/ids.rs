//! IDs of jobs, steps and tasks, and their text forms.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Number of hexadecimal digits in the text form of a job ID.
const JOB_ID_HEX_DIGITS: usize = 16;

/// ID of a job, chosen by its client. Its text form is 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct JobId(pub u64);

/// ID of a step within one occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepId {
    /// Job that the step belongs to.
    pub job: JobId,
    /// Zero-based number of the occurrence.
    pub occurrence: u32,
    /// Zero-based number of the step.
    pub step: u16,
}

/// ID of a task of a step.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskId {
    /// Step that the task belongs to.
    pub step: StepId,
    /// Zero-based number of the task within the step.
    pub index: u16,
}

/// Error returned when a text is not a valid ID.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("`{text}` is not a {kind} key")]
pub struct IdError {
    /// Kind of ID that was expected, such as `job`.
    pub kind: &'static str,
    /// Text that was rejected.
    pub text: String,
}

impl IdError {
    pub(crate) fn new(kind: &'static str, text: &str) -> Self {
        let text = text.to_owned();
        Self { kind, text }
    }
}

impl StepId {
    /// Returns the ID of the task with this number.
    pub fn task(self, index: u16) -> TaskId {
        TaskId { step: self, index }
    }
}

impl TaskId {
    /// Returns the ID of the job that the task belongs to.
    pub fn job(self) -> JobId {
        self.step.job
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for JobId {
    type Err = IdError;

    /// Accepts only lower-case digits, so that every accepted text equals the displayed ID.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != JOB_ID_HEX_DIGITS || !text.bytes().all(digit) {
            return Err(IdError::new("job", text));
        }
        let number = u64::from_str_radix(text, 16);
        number.map(Self).map_err(|_| IdError::new("job", text))
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let failed = || IdError::new("task", text);
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or_else(failed);
        let job = part()?.parse()?;
        let occurrence = part()?.parse().map_err(|_| failed())?;
        let step = part()?.parse().map_err(|_| failed())?;
        let index = part()?.parse().map_err(|_| failed())?;
        if parts.next().is_some() {
            return Err(failed());
        }
        let step = StepId {
            job,
            occurrence,
            step,
        };
        Ok(step.task(index))
    }
}
