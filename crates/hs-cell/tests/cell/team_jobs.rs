//! Builders of jobs of teams.

use std::sync::Arc;

use hs_cell::{JobSpec, StepSpec};

use crate::fixture::job;

/// Builds a job of a team that was accepted at this time.
pub fn accepted_job(queue: &str, step: StepSpec, team: &str, accepted_ms: u64) -> Arc<JobSpec> {
    let spec = Arc::unwrap_or_clone(team_job(queue, vec![step], Some(team)));
    Arc::new(JobSpec {
        accepted_ms,
        ..spec
    })
}

/// Builds a job of a team.
pub fn team_job(queue: &str, steps: Vec<StepSpec>, team: Option<&str>) -> Arc<JobSpec> {
    let spec = Arc::unwrap_or_clone(job(queue, steps));
    Arc::new(JobSpec {
        team: team.map(Into::into),
        ..spec
    })
}
