//! Team settings from the operator configuration.

use std::sync::Arc;

use hs_wire::Resources;
use thiserror::Error;

use crate::job_spec::JobSpec;

/// Settings of one team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSpec {
    /// Name by which jobs refer to the team.
    pub name: Arc<str>,
    /// Share of the capacity relative to other teams, and number of jobs a second that the team is owed.
    pub weight: f64,
    /// Maximum resources of the team's runs over all workers. Zero in a dimension is no limit.
    pub cap: Resources,
}

/// Step that can never run under the cap of its team.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("step {step} needs more at a time than its team may use")]
pub struct CapExceeded {
    /// Number of the step.
    pub step: usize,
}

impl TeamSpec {
    /// Checks that each step of a job can run while nothing else of the team does: a gang as a whole, any other step
    /// task by task.
    ///
    /// # Errors
    ///
    /// Returns the first step that cannot.
    pub fn check_job(&self, job: &JobSpec) -> Result<(), CapExceeded> {
        let caps = self.cap.dimensions();
        for (step, spec) in job.steps.iter().enumerate() {
            let need = spec.allocated_resources().dimensions();
            let count = if spec.gang { u64::from(spec.count) } else { 1 };
            let mut pairs = need.into_iter().zip(caps);
            if pairs.any(|(need, cap)| cap > 0 && u64::from(need) * count > u64::from(cap)) {
                return Err(CapExceeded { step });
            }
        }
        Ok(())
    }
}
