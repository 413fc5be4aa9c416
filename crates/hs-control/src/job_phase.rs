//! Conversions between the states of jobs and the phases in messages between processes.

use hs_cell::{JobOutcome, JobState};

use crate::message::JobPhase;

/// Converts a phase from a message between processes to a job state, or `None` if the job is unknown.
pub(crate) fn state_from_phase(phase: JobPhase) -> Option<JobState> {
    match phase {
        JobPhase::Unknown => None,
        JobPhase::Queued => Some(JobState::Queued),
        JobPhase::Running => Some(JobState::Running),
        JobPhase::Completed => Some(JobState::Ended(JobOutcome::Completed)),
        JobPhase::Failed => Some(JobState::Ended(JobOutcome::Failed)),
        JobPhase::Cancelled => Some(JobState::Ended(JobOutcome::Cancelled)),
    }
}

/// Converts a job state, or `None` for an unknown job, to the phase for messages between processes.
pub(crate) fn phase_from_state(state: Option<JobState>) -> JobPhase {
    match state {
        None => JobPhase::Unknown,
        Some(JobState::Queued) => JobPhase::Queued,
        Some(JobState::Running) => JobPhase::Running,
        Some(JobState::Ended(JobOutcome::Completed)) => JobPhase::Completed,
        Some(JobState::Ended(JobOutcome::Failed)) => JobPhase::Failed,
        Some(JobState::Ended(JobOutcome::Cancelled)) => JobPhase::Cancelled,
    }
}
