//! Keys of jobs, steps and tasks.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Length of a job's key in text, in hexadecimal digits.
const JOB_DIGITS: usize = 16;

/// Key of a job, chosen by its client.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct JobId(pub u64);

/// Key of a step within one occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u16,
}

/// Key of a task of a step.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskId {
    /// The step.
    pub step: StepId,
    /// Number of the task within the step, from 0.
    pub index: u16,
}

/// A text that is no key.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("`{text}` is not a {kind} key")]
pub struct IdError {
    /// What was expected.
    pub kind: &'static str,
    /// The text.
    pub text: String,
}

impl IdError {
    pub(crate) fn new(kind: &'static str, text: &str) -> Self {
        let text = text.to_owned();
        Self { kind, text }
    }
}

impl StepId {
    /// Returns the key of one of its tasks.
    pub fn task(self, index: u16) -> TaskId {
        TaskId { step: self, index }
    }
}

impl TaskId {
    /// Returns the job of the task.
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

    /// Only lower-case digits are taken, since a key has to read back as it was written.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != JOB_DIGITS || !text.bytes().all(digit) {
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
