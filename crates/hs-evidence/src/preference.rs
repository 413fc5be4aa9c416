//! Preference among the workers on which a task fits.
//!
//! The preference only orders candidates. It excludes none, and is the same for all of them where the evidence is not
//! confident.

use std::time::Duration;

use crate::evidence::Evidence;
use crate::ids::ObservedWorker;
use crate::kind_arena::{KindKey, KindName};
use crate::speed_table::SpeedClass;

/// Objective up to which a job counts as short. A fast worker then decides whether it is met.
const SHORT_OBJECTIVE: Duration = Duration::from_millis(2500);

/// Time that a step must be able to wait for, beyond its own length, to go to slow workers.
const MIN_PATIENT_SLACK: Duration = Duration::from_secs(2);

/// What determines whether a step needs fast workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct TaskOutlook {
    /// Whether the tasks form a gang, whose slowest member determines its end.
    pub is_gang: bool,
    /// Whether the tasks have no end.
    pub is_long_running: bool,
    /// Whether the job can no longer be of use to its client.
    pub is_overdue: bool,
    /// Time from the begin of the job to its objective.
    pub objective: Duration,
    /// Estimated duration of a task.
    pub estimate: Duration,
    /// Estimated duration of the longest chain of later steps.
    pub later: Duration,
    /// Time until the latest start that meets the objective.
    pub slack: Duration,
}

/// Which workers a step should get.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SpeedWish {
    Fast,
    Any,
    Slow,
}

impl TaskOutlook {
    fn wish(&self) -> SpeedWish {
        if self.is_overdue {
            SpeedWish::Slow
        } else if self.is_long_running {
            SpeedWish::Any
        } else if self.is_gang
            || self.objective <= SHORT_OBJECTIVE
            || (!self.later.is_zero() && self.later >= self.estimate)
        {
            SpeedWish::Fast
        } else if self.slack >= MIN_PATIENT_SLACK.max(self.estimate) {
            SpeedWish::Slow
        } else {
            SpeedWish::Any
        }
    }
}

/// Standing of a worker for a step; the smallest is preferred. All workers have the same one without evidence.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkerStanding {
    speed_rank: u8,
    /// Whether the task and one on the worker are known to slow down.
    interferes: bool,
}

/// Preference of a step.
#[derive(Clone, Copy, Debug)]
pub struct WorkerPreference<'a> {
    evidence: &'a Evidence,
    wish: SpeedWish,
    kind: Option<KindKey>,
}

impl Evidence {
    /// Returns the preference of a step of a kind, or `None` if it makes no difference between workers.
    pub fn preference(
        &self,
        kind: &KindName,
        outlook: &TaskOutlook,
    ) -> Option<WorkerPreference<'_>> {
        let wish = match self.options.learn_speeds && self.speeds.is_spread() {
            true => outlook.wish(),
            false => SpeedWish::Any,
        };
        let wish = match wish {
            SpeedWish::Slow if !self.speeds.are_fast_scarce() => SpeedWish::Any,
            wish => wish,
        };
        let separates = self.options.separate_interfering && self.pairs.confident_count() > 0;
        let kind = self.kinds.find(kind).filter(|_| separates);
        let makes_difference = wish != SpeedWish::Any || kind.is_some();
        makes_difference.then_some(WorkerPreference {
            evidence: self,
            wish,
            kind,
        })
    }
}

impl WorkerPreference<'_> {
    /// Returns the standing of a worker.
    pub fn standing(&self, worker: ObservedWorker) -> WorkerStanding {
        let class = self.evidence.speeds.class(worker);
        let speed_rank = match (self.wish, class) {
            (SpeedWish::Any, _) => 0,
            (SpeedWish::Fast, SpeedClass::Fast) | (SpeedWish::Slow, SpeedClass::Slow) => 0,
            (_, SpeedClass::Usual | SpeedClass::Unknown) => 1,
            (SpeedWish::Fast, SpeedClass::Slow) | (SpeedWish::Slow, SpeedClass::Fast) => 2,
        };
        WorkerStanding {
            speed_rank,
            interferes: self.kind.is_some_and(|kind| self.interferes(kind, worker)),
        }
    }

    /// Returns the fastest class within which a gang of `wanted` members fits, given how many fit on each worker.
    pub fn gang_class(
        &self,
        fits: impl Iterator<Item = (ObservedWorker, u32)>,
        wanted: u32,
    ) -> Option<SpeedClass> {
        if self.wish != SpeedWish::Fast {
            return None;
        }
        let classes = [SpeedClass::Fast, SpeedClass::Usual, SpeedClass::Slow];
        let mut totals = [0_u32; 3];
        for (worker, fits) in fits {
            let class = self.evidence.speeds.class(worker);
            if let Some(at) = classes.iter().position(|other| *other == class) {
                totals[at] = totals[at].saturating_add(fits);
            }
        }
        let mut large_enough = classes.into_iter().zip(totals);
        let class = large_enough.find(|(_, total)| *total >= wanted);
        class.map(|(class, _)| class)
    }

    /// Returns the speed class of a worker.
    pub fn class(&self, worker: ObservedWorker) -> SpeedClass {
        self.evidence.speeds.class(worker)
    }

    fn interferes(&self, kind: KindKey, worker: ObservedWorker) -> bool {
        let pairs = &self.evidence.pairs;
        let mut others = self.evidence.watch.kinds_on(worker);
        others.any(|other| pairs.is_confident((kind, other)) || pairs.is_confident((other, kind)))
    }
}
