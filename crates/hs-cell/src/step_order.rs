//! Order in which waiting steps are placed.
//!
//! Steps whose jobs can still meet their objective come first, then those that are late but whose
//! results are still useful, then the rest. A load peak therefore costs only the jobs that it has
//! already delayed, instead of delaying every later job a little beyond its objective. Within a group
//! the order is by the priority of the queue, then by the latest start that meets the objective.
//! Surplus jobs come after all owed jobs that are still useful, so that a surge costs only the team that causes it.
//! Long-running tasks never count as late, since every second in which they run is of use to their client.

use std::time::{Duration, Instant};

use hs_share::JobClass;

use crate::StepId;
use crate::cell::Cell;
use crate::team_usage::TeamKey;

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

/// Place of a step by the class of its job and by its timeliness. Owed steps come first among those that are not
/// overdue, and again among those that are.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct StepRank {
    /// Whether the result is no longer useful. The first field decides the order.
    is_overdue: bool,
    pub class: JobClass,
    pub timeliness: Timeliness,
}

impl StepRank {
    pub(crate) fn new(class: JobClass, timeliness: Timeliness) -> Self {
        Self {
            is_overdue: timeliness == Timeliness::Overdue,
            class,
            timeliness,
        }
    }
}

/// Sort key of a waiting step; the smallest is placed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct OrderKey {
    pub rank: StepRank,
    pub priority: u8,
    /// Latest start with which the job can meet its objective.
    pub start_by: Instant,
    pub step: StepId,
}

/// Times at which a waiting step changes its timeliness. They are fixed once the step is runnable.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimelinessLimits {
    /// Last time at which the step is on time; `None` if it never counts as late.
    on_time_until: Option<Instant>,
    /// Last time at which it is not overdue.
    useful_until: Option<Instant>,
}

impl TimelinessLimits {
    /// Limits of a step that never counts as late.
    const NEVER_LATE: Self = Self {
        on_time_until: None,
        useful_until: None,
    };

    /// Returns the limits of a step whose job takes `remaining` from its start on.
    fn new(runnable_since: Instant, objective: Duration, remaining: Duration) -> Self {
        let latest_start = |end: Instant| end.checked_sub(remaining + START_LATENCY);
        let on_time_until = latest_start(runnable_since + objective);
        let useful_until = latest_start(runnable_since + objective * USEFUL_OBJECTIVE_FACTOR);
        Self {
            on_time_until: Some(on_time_until.unwrap_or(runnable_since)),
            useful_until: Some(useful_until.unwrap_or(runnable_since)),
        }
    }

    pub(crate) fn timeliness(self, now: Instant) -> Timeliness {
        let is_until = |limit: Option<Instant>| limit.is_none_or(|limit| now <= limit);
        if is_until(self.on_time_until) {
            Timeliness::OnTime
        } else if is_until(self.useful_until) {
            Timeliness::Late
        } else {
            Timeliness::Overdue
        }
    }

    /// Returns the last time at which a step has this timeliness, unless it keeps it.
    pub(crate) fn last_time_of(self, timeliness: Timeliness) -> Option<Instant> {
        match timeliness {
            Timeliness::OnTime => self.on_time_until,
            Timeliness::Late => self.useful_until,
            Timeliness::Overdue => None,
        }
    }
}

/// Waiting step with all that determines its place in the order.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadyStep {
    pub id: StepId,
    /// Team of the job.
    pub team: Option<TeamKey>,
    pub class: JobClass,
    pub priority: u8,
    pub start_by: Instant,
    pub limits: TimelinessLimits,
    /// Time at which the occurrence began.
    pub runnable_since: Instant,
    /// Whether the tasks need tickets of the advice service.
    pub is_advised: bool,
}

impl ReadyStep {
    pub(crate) fn key(&self, timeliness: Timeliness) -> OrderKey {
        OrderKey {
            rank: StepRank::new(self.class, timeliness),
            priority: self.priority,
            start_by: self.start_by,
            step: self.id,
        }
    }
}

impl Cell {
    /// Describes a waiting step, or returns `None` if its queue is not configured.
    pub(crate) fn ready_step(&self, id: StepId) -> Option<ReadyStep> {
        let job = self.jobs.get(&id.job)?;
        let spec = job.spec.as_ref()?;
        let queue = self.queues.get(&spec.queue)?;
        let mut occurrences = job.occurrences.iter();
        let occurrence = occurrences.find(|o| o.number == id.occurrence)?;
        let runnable_since = occurrence.runnable_since;
        let critical_path = spec.critical_path();
        let objective = critical_path.mul_f64(queue.stretch.max(1.0)) + queue.target;
        let remaining = spec.critical_path_from(id.step);
        let limits = match spec.steps.get(usize::from(id.step))?.long_running {
            true => TimelinessLimits::NEVER_LATE,
            false => TimelinessLimits::new(runnable_since, objective, remaining),
        };
        Some(ReadyStep {
            id,
            team: job.team,
            class: job.class,
            priority: queue.priority,
            start_by: runnable_since + objective - remaining,
            limits,
            runnable_since,
            is_advised: queue.advice.is_some(),
        })
    }
}
