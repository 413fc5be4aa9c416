//! Capacity that steps of single tasks are expected to use once their advice requests are answered.
//!
//! Single tasks fill up the fullest workers first, so steps that wait at the same time would all name the same
//! workers, and most of them would find these full when their replies arrive. Each step of a scheduling pass
//! therefore leaves out what the steps before it in the order are expected to use.

use std::time::Instant;

use hs_wire::Resources;

use crate::advice_request::AdviceNeed;
use crate::cell::Cell;
use crate::census::AdviceWait;
use crate::worker::Worker;
use crate::{StepId, WorkerKey};

/// CPU of a worker that a step is expected to use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExpectedUse {
    pub worker: WorkerKey,
    /// In thousandths of a core.
    pub cpu_milli: u32,
}

/// Returns the capacity that a step is expected to use if it names these workers.
pub(crate) fn expected_uses(workers: &[WorkerKey], need: AdviceNeed) -> Vec<ExpectedUse> {
    let named = u32::try_from(workers.len()).unwrap_or(u32::MAX).max(1);
    let tasks = need.wanted.div_ceil(named);
    let cpu_milli = need.demand.need.cpu_milli.saturating_mul(tasks);
    let uses = workers.iter().map(|worker| ExpectedUse {
        worker: *worker,
        cpu_milli,
    });
    uses.collect()
}

impl Cell {
    /// Counts what a step whose request is in flight is expected to use.
    pub(crate) fn add_expected_uses(&mut self, id: StepId, now: Instant) {
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        let Some(step) = step.filter(|step| step.advice.wait(now) == AdviceWait::InFlight) else {
            return;
        };
        for expected in &step.advice.expected_uses {
            let Some(entry) = self.expected_use.entry(expected.worker) else {
                continue;
            };
            let cpu_milli = entry.or_default();
            *cpu_milli = cpu_milli.saturating_add(expected.cpu_milli);
        }
    }

    /// Returns how many tasks of a step fit on a worker beside what earlier steps are expected to use.
    pub(crate) fn tasks_beside_expected_use(
        &self,
        key: WorkerKey,
        worker: &Worker,
        need: AdviceNeed,
    ) -> u32 {
        let Some(cpu_milli) = self.expected_use.get(key) else {
            return u32::MAX;
        };
        let free = worker.free();
        let left = Resources {
            cpu_milli: free.cpu_milli.saturating_sub(*cpu_milli),
            ..free
        };
        need.demand.need.max_copies_in(left)
    }
}
