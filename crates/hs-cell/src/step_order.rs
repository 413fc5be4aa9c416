//! Order in which waiting steps are placed.
//!
//! Steps whose jobs can still meet their objective come first, then those that are late but whose
//! results are still useful, then the rest. A load peak therefore costs only the jobs that it has
//! already delayed, instead of delaying every later job a little beyond its objective. Within a group
//! the order is by the priority of the queue, then by the latest start that meets the objective.
//! Long-running tasks never count as late, since every second in which they run is of use to their client.

use std::time::{Duration, Instant};

use crate::StepId;
use crate::cell::Cell;

/// Multiple of its objective after which a job is no longer useful to its client.
const USEFUL_OBJECTIVE_FACTOR: u32 = 3;

/// Time that the start of a step takes: a store write and two calls.
const START_LATENCY: Duration = Duration::from_millis(20);

/// Whether a job can still be finished in time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Timeliness {
    /// The job can meet its objective.
    OnTime,
    /// The job misses its objective, but can be finished while it is still useful to its client.
    Late,
    /// The job is no longer useful to its client, but has to be finished nevertheless.
    Overdue,
}

/// Sort key of a waiting step; the smallest is placed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct OrderKey {
    pub timeliness: Timeliness,
    pub priority: u8,
    /// Latest start with which the job can meet its objective.
    pub start_by: Instant,
    pub step: StepId,
}

/// Returns the timeliness of a job that takes `remaining` from now on.
pub(crate) fn timeliness(
    runnable_since: Instant,
    objective: Duration,
    remaining: Duration,
    now: Instant,
) -> Timeliness {
    let end = now + remaining + START_LATENCY;
    if end <= runnable_since + objective {
        Timeliness::OnTime
    } else if end <= runnable_since + objective * USEFUL_OBJECTIVE_FACTOR {
        Timeliness::Late
    } else {
        Timeliness::Overdue
    }
}

impl Cell {
    /// Returns the sort key of a step, or `None` if it has no tasks to place or its queue is not configured.
    pub(crate) fn order_key(&self, id: StepId, now: Instant) -> Option<OrderKey> {
        let job = self.jobs.get(&id.job)?;
        let spec = job.spec.as_ref()?;
        if job.outcome.is_some() {
            return None;
        }
        let queue = self.queues.get(&spec.queue)?;
        let mut occurrences = job.occurrences.iter();
        let occurrence = occurrences.find(|o| o.number == id.occurrence)?;
        let step = occurrence.steps.get(usize::from(id.step))?;
        step.waiting_tasks().next()?;
        let critical_path = spec.critical_path();
        let objective = critical_path.mul_f64(queue.stretch.max(1.0)) + queue.target;
        let remaining = spec.critical_path_from(id.step);
        let timeliness = match spec.steps.get(usize::from(id.step))?.long_running {
            true => Timeliness::OnTime,
            false => timeliness(occurrence.runnable_since, objective, remaining, now),
        };
        Some(OrderKey {
            timeliness,
            priority: queue.priority,
            start_by: occurrence.runnable_since + objective - remaining,
            step: id,
        })
    }
}
