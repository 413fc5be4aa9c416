//! Options of a worker.

use hs_wire::Resources;

/// Options of a worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerOptions {
    /// Total capacity.
    pub capacity: Resources,
    /// Time without a renewal from any owner after which leased tasks are stopped, in
    /// milliseconds.
    pub task_lease_ms: u64,
    /// Age of the usage that is reported, in milliseconds.
    pub usage_lag_ms: u64,
    /// Accepts starts over capacity and records the excess instead of refusing them.
    pub allow_overcommit: bool,
    /// Seed of the faults that depend on chance.
    pub seed: u64,
}

impl Default for WorkerOptions {
    fn default() -> Self {
        Self {
            capacity: Resources {
                cpu_milli: 64_000,
                memory_mib: 262_144,
                accelerators: 0,
                slots: 8,
                connections: 64,
            },
            task_lease_ms: 30_000,
            usage_lag_ms: 2_000,
            allow_overcommit: false,
            seed: 0,
        }
    }
}
