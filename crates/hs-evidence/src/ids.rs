//! IDs by which the caller names workers, steps and runs.

/// One incarnation of a worker.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ObservedWorker(pub u64);

/// Step whose tasks have similar lengths, within one occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ObservedStep {
    /// Number of the job.
    pub job: u64,
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u16,
}

/// One run of a task of a step.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ObservedRun {
    /// Step of the task.
    pub step: ObservedStep,
    /// Number of the task within the step.
    pub index: u16,
    /// Number of the run.
    pub run: u32,
}
