//! Jobs that clients submit to the simulated processes.

use std::sync::Arc;
use std::time::Duration;

use hs_cell::{JobId, JobSpec, StepSpec};
use hs_wire::Resources;

use crate::observer::JobPlan;
use crate::registry::{ADVISED_QUEUE, OPEN_QUEUE};
use crate::world::unix_ms_at;

/// Odd multiplier that spreads consecutive numbers over all job IDs.
const ID_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Jobs of one kind at a steady rate.
#[derive(Clone, Copy, Debug)]
pub struct JobLoad {
    pub jobs_per_s: u32,
    pub plan: JobPlan,
}

impl JobLoad {
    /// Returns the number of jobs that are due by a time after the beginning of the load.
    pub fn due_by(&self, time: Duration) -> u64 {
        (time.as_secs_f64() * f64::from(self.jobs_per_s)) as u64
    }
}

/// Returns the ID of the job with this number.
pub fn job_id(number: u64) -> JobId {
    JobId((number + 1).wrapping_mul(ID_SPREAD))
}

/// Returns the specification of a job with one step.
pub fn job_spec(plan: JobPlan, input: &Arc<str>, now: Duration) -> JobSpec {
    let queue = match plan.is_advised {
        true => ADVISED_QUEUE,
        false => OPEN_QUEUE,
    };
    let estimate_ms = u64::try_from(plan.duration.as_millis()).expect("jobs are short");
    let step = StepSpec {
        count: plan.tasks,
        need: Resources {
            cpu_milli: plan.cpu_milli,
            ..Resources::default()
        },
        estimate_ms,
        ..StepSpec::default()
    };
    JobSpec {
        queue: queue.into(),
        input: input.clone(),
        steps: vec![step],
        schedule: None,
        accepted_ms: unix_ms_at(now),
        team: None,
    }
}
