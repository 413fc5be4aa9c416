//! Bound on the steps that may request advice and reserve workers in a scheduling pass.
//!
//! Later steps in the order may not, since those before them use up the capacity, and the advice service answers
//! one call at a time for each process. The bound therefore depends on the free capacity and on the duration of
//! a request: many steps whose requests take milliseconds may be active, but few whose requests take a second.

use std::time::Duration;

use crate::queue_spec::AdviceSpec;

/// Minimum number of active steps of a priority.
const MIN_ACTIVE_STEPS: u64 = 24;

/// Maximum number of active steps of a priority.
const MAX_ACTIVE_STEPS: u64 = 256;

/// Configured fixed time that the requests of the active steps of a priority may take in all.
const ACTIVE_REQUEST_TIME: Duration = Duration::from_secs(12);

/// Demand of the active steps of a priority, as a multiple of the free CPU, from which only the minimum number of
/// steps is active. Some of the free CPU is on workers that a step may not use.
const MAX_DEMAND_FACTOR: u64 = 2;

/// Counts the steps of each priority in the order of a pass.
#[derive(Debug)]
pub(crate) struct ActiveSteps {
    free_cpu_milli: u64,
    by_priority: Vec<PriorityDemand>,
}

/// Waiting steps of a priority that come first in the order.
#[derive(Clone, Copy, Debug, Default)]
struct PriorityDemand {
    steps: u64,
    cpu_milli: u64,
}

impl ActiveSteps {
    /// Begins a pass with this much free CPU in all.
    pub(crate) fn new(free_cpu_milli: u64) -> Self {
        Self {
            free_cpu_milli,
            by_priority: vec![PriorityDemand::default(); usize::from(u8::MAX) + 1],
        }
    }

    /// Adds the next step in the order, which needs `cpu_milli` in all. Returns whether it is active.
    pub(crate) fn add(&mut self, priority: u8, cpu_milli: u64, advice: Option<AdviceSpec>) -> bool {
        let demand = &mut self.by_priority[usize::from(priority)];
        let earlier = *demand;
        demand.steps += 1;
        demand.cpu_milli += cpu_milli;
        earlier.steps < max_active_steps(advice) && self.has_room_after(earlier)
    }

    /// Returns whether further steps of a priority may be active.
    pub(crate) fn is_open(&self, priority: u8) -> bool {
        let earlier = self.by_priority[usize::from(priority)];
        earlier.steps < MAX_ACTIVE_STEPS && self.has_room_after(earlier)
    }

    fn has_room_after(&self, earlier: PriorityDemand) -> bool {
        earlier.steps < MIN_ACTIVE_STEPS
            || earlier.cpu_milli <= self.free_cpu_milli * MAX_DEMAND_FACTOR
    }
}

fn max_active_steps(advice: Option<AdviceSpec>) -> u64 {
    let Some(advice) = advice else {
        return MIN_ACTIVE_STEPS;
    };
    let request_us = advice.base_cost.as_micros().max(1);
    let steps = ACTIVE_REQUEST_TIME.as_micros() / request_us;
    u64::try_from(steps)
        .unwrap_or(u64::MAX)
        .clamp(MIN_ACTIVE_STEPS, MAX_ACTIVE_STEPS)
}
