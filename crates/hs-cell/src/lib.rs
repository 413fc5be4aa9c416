//! Jobs of steps on the workers of one cell, as a synchronous state machine.
//!
//! A [`Cell`] holds the jobs, the queues and the workers. Its owner passes in what happened together
//! with the time, and takes out [`CellEffect`]s and [`CellBatch`]es. A start is emitted only after the
//! batch that records its placement is committed, and the end of a task may be acknowledged to its
//! worker only after the batch that records the end. So that everything can be rebuilt from the store
//! and the workers' lists.
//!
//! Nothing here does I/O or reads a clock.

mod advice;
mod ask;
mod cell;
mod effect;
mod ends;
mod ids;
mod job;
mod job_record;
mod job_spec;
mod lives;
mod order;
mod place;
mod queue_spec;
mod record;
mod record_log;
mod reserve;
mod segment;
mod worker;

pub use advice::AdviceReply;
pub use cell::{Cell, CellOptions, JobState};
pub use effect::{AdviceRequest, CellBatch, CellEffect, RecordRow, StartOrder, TaskRun};
pub use ids::{IdError, JobId, StepId, TaskId};
pub use job_record::{JobOutcome, JobRecord, StepRecord, TaskPlace, TaskRecord, WorkerIncarnation};
pub use job_spec::{JobSchedule, JobSpec, MAX_STEPS, MAX_TASKS, SpecError, StepSpec};
pub use queue_spec::{AdviceSpec, QueueSpec};
pub use record_log::{LogWrites, RecordLog, StoredRecords};
pub use segment::{RecordStamp, SegmentRow, SegmentState, StampedRecord};
pub use worker::{
    EndReport, RunEnd, RunReport, StartRefusal, WorkerEntry, WorkerKey, WorkerReport,
};
