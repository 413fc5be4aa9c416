//! Synchronous state machine that schedules multi-step jobs on the workers of one cell.
//!
//! A [`Cell`] holds the jobs, the queues and the workers. Its owner feeds it timestamped events, and
//! takes [`CellEffect`]s to execute and [`CellBatch`]es to write to the store. A start is emitted only
//! after the batch that records the placement is committed, and the end of a run may be acknowledged to
//! its worker only after the batch that records the end. The state can therefore always be rebuilt from
//! the store and the workers' reports.
//!
//! This crate performs no I/O and reads no clock.

mod absent_runs;
mod active_steps;
mod admission;
mod advice;
mod advice_callers;
mod advice_queue;
mod advice_request;
mod advice_window;
mod attempts;
mod batches;
mod bounded_steps;
mod capacity;
mod cell;
mod census;
mod contact_order;
mod crash_history;
mod crashes;
mod dirty_jobs;
mod early_cancellations;
mod effect;
mod evidence_feed;
mod expected_use;
mod free_index;
mod ids;
mod incarnations;
mod isolation;
mod job;
mod job_classes;
mod job_end;
mod job_record;
mod job_spec;
mod open_starts;
mod options;
mod parked_steps;
mod pass_budget;
mod passes;
mod placement;
mod queue_spec;
mod ready_steps;
mod record;
mod record_log;
mod request_class;
mod reservation;
mod reserve;
mod run_orders;
mod segment;
mod slot;
mod stalls;
mod start_plan;
mod start_replies;
mod start_window;
mod step_group;
mod step_order;
mod surplus_backlogs;
mod team_shares;
mod team_spec;
mod team_steps;
mod team_usage;
mod ticket_holders;
mod ticket_margin;
mod ticket_renewal;
mod worker;
mod worker_events;

pub use advice::AdviceReply;
pub use advice_callers::AdviceCaller;
pub use advice_queue::{AdvicePart, AdviceQueue};
pub use batches::BatchLimits;
pub use bounded_steps::bounded_steps;
pub use cell::{AddedJob, Cell, JobState};
pub use census::{AdviceWait, StepWait, WorkerCensus};
pub use effect::{
    AdviceRequest, CellBatch, CellEffect, CrashEvent, LeaseSource, RecordRow, ReleasedRun,
    StartOrder, TaskRun,
};
pub use evidence_feed::InterferenceEvent;
pub use hs_evidence::{EvidenceCounts, LearningOptions};
pub use hs_share::{AdmissionVerdict, JobClass};
pub use ids::{IdError, JobId, StepId, TaskId};
pub use job_end::{JobEnd, StoppingRun};
pub use job_record::{
    CrashRecord, JobOutcome, JobRecord, LossRecord, StepRecord, TaskPlace, TaskRecord,
    WorkerIncarnation,
};
pub use job_spec::{JobSchedule, JobSpec, MAX_STEPS, MAX_TASKS, SpecError, StepSpec};
pub use options::{CLOCK_DRIFT_MARGIN, CellOptions};
pub use queue_spec::{AdviceSpec, QueueSpec};
pub use record_log::{
    ChunkedRecord, JobChunks, LogWrites, MAX_RECORD_CHUNKS, RecordLog, StoredRecords,
};
pub use reservation::ReservationState;
pub use segment::{RecordStamp, SegmentRow, SegmentState, StampedRecord};
pub use team_spec::{CapExceeded, TeamSpec};
pub use worker::{
    EndReport, ReportScope, RunEnd, RunReport, StartRefusal, StartTaker, WorkerEntry, WorkerKey,
    WorkerReport,
};
