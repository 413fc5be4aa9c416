//! In which order waiting steps are placed.
//!
//! Steps whose jobs can still meet their objective come first, then those that are late but still of
//! use, then the rest. So that a crest costs the jobs that it has already delayed, instead of delaying
//! each later job a little beyond its objective. Within a group the queue's priority decides, then the
//! latest start that meets the objective.

use std::time::{Duration, Instant};

use crate::StepId;
use crate::cell::Cell;

/// A job that takes longer than this multiple of its objective is of no use to its client.
const USEFUL_OBJECTIVES: u32 = 3;

/// What an operator has to allow for the start of a step: a store write and two calls.
const START_COST: Duration = Duration::from_millis(20);

/// How well a job can still be served.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Timeliness {
    /// It can meet its objective.
    OnTime,
    /// It can be finished while its client still has use for it.
    Late,
    /// It has to be finished all the same.
    Overdue,
}

/// Place of a step in the order; smaller comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct OrderKey {
    pub timeliness: Timeliness,
    pub priority: u8,
    /// Latest start that meets the objective.
    pub start_by: Instant,
    pub step: StepId,
}

/// Returns how well work can be served that takes `remaining` from now on.
pub(crate) fn timeliness(
    begun: Instant,
    objective: Duration,
    remaining: Duration,
    now: Instant,
) -> Timeliness {
    let end = now + remaining + START_COST;
    if end <= begun + objective {
        Timeliness::OnTime
    } else if end <= begun + objective * USEFUL_OBJECTIVES {
        Timeliness::Late
    } else {
        Timeliness::Overdue
    }
}

impl Cell {
    /// Returns the place of a step in the order, or `None` if it has nothing to place.
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
        step.waiting().next()?;
        let chain = spec.critical_path();
        let objective = chain.mul_f64(queue.stretch.max(1.0)) + queue.target;
        let remaining = spec.critical_path_from(id.step);
        Some(OrderKey {
            timeliness: timeliness(occurrence.begun, objective, remaining, now),
            priority: queue.priority,
            start_by: occurrence.begun + objective - remaining,
            step: id,
        })
    }
}
