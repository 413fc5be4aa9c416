//! Model of the owner's processor: what it computes takes time, and events wait meanwhile.

use std::time::{Duration, Instant};

/// Simulated time between two calls of [`hs_cell::Cell::advance`] by an idle owner.
pub const TICK: Duration = Duration::from_millis(5);

/// How fast the owner is.
#[derive(Clone, Copy, Debug)]
pub struct OwnerSpeed {
    /// Time that a scheduling pass takes.
    pub pass: Duration,
    /// Time that a call or a store write takes, beside the service of the other side.
    pub call: Duration,
}

impl OwnerSpeed {
    /// An owner with processor time to spare.
    pub const IDLE: Self = Self {
        pass: Duration::from_millis(1),
        call: Duration::from_millis(15),
    };

    /// An owner whose calls wait for the processor.
    pub const SATURATED: Self = Self {
        pass: Duration::from_millis(8),
        call: Duration::from_millis(100),
    };
}

/// What the owner has done.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadCounts {
    pub passes: u64,
    pub most_pass_work: u64,
    pub advice_requests: u64,
    pub advice_ends: u64,
    pub starts: u64,
    pub refused_starts: u64,
}

/// Processor time that the owner takes for what it does.
#[derive(Clone, Copy, Debug)]
pub struct ProcessorCosts {
    /// One unit of [`hs_cell::Cell::last_pass_work`].
    pub work_unit: Duration,
    /// Report of a worker.
    pub report: Duration,
    /// Start order to a worker, with its answer.
    pub start: Duration,
    /// Call of the advice service through another process.
    pub advice_call: Duration,
    /// Store write.
    pub commit: Duration,
    /// Each row of a store write.
    pub row: Duration,
    /// Number of events that are handled before the cell is advanced.
    pub events_per_turn: usize,
}

impl ProcessorCosts {
    /// An owner with half a core.
    pub const HALF_CORE: Self = Self {
        work_unit: Duration::from_nanos(300),
        report: Duration::from_micros(100),
        start: Duration::from_micros(250),
        advice_call: Duration::from_micros(500),
        commit: Duration::from_millis(2),
        row: Duration::from_micros(30),
        events_per_turn: 64,
    };

    /// An owner that does everything in no time.
    pub const NONE: Self = Self {
        work_unit: Duration::ZERO,
        report: Duration::ZERO,
        start: Duration::ZERO,
        advice_call: Duration::ZERO,
        commit: Duration::ZERO,
        row: Duration::ZERO,
        events_per_turn: usize::MAX,
    };
}

/// Processor of the owner, which does one thing at a time.
#[derive(Debug)]
pub struct OwnerProcessor {
    pub costs: ProcessorCosts,
    busy_until: Instant,
    /// Longest time that a scheduling pass has taken.
    pub longest_pass: Duration,
}

impl OwnerProcessor {
    pub fn new(costs: ProcessorCosts, now: Instant) -> Self {
        Self {
            costs,
            busy_until: now,
            longest_pass: Duration::ZERO,
        }
    }

    pub fn is_idle(&self, now: Instant) -> bool {
        self.busy_until <= now
    }

    /// Lets the processor compute for some time.
    pub fn spend(&mut self, time: Duration, now: Instant) {
        self.busy_until = self.busy_until.max(now - TICK) + time;
    }

    /// Lets the processor compute a scheduling pass. Returns how long it takes.
    pub fn spend_pass(&mut self, work: u64, now: Instant) -> Duration {
        let time = self.costs.work_unit * u32::try_from(work).expect("a pass does little work");
        self.longest_pass = self.longest_pass.max(time);
        self.spend(time, now);
        time
    }
}
