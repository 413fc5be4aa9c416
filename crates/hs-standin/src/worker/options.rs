//! Options of a worker stand-in.

use hs_wire::Resources;

/// Options of a worker stand-in.
#[derive(Clone, Copy, Debug)]
pub struct WorkerOptions {
    /// Total capacity.
    pub capacity: Resources,
    /// Time without a grant or renewal of the lease after which leased tasks are stopped, in
    /// milliseconds.
    pub task_lease_ms: u64,
    /// Age of the reported usage, in milliseconds.
    pub usage_lag_ms: u64,
    /// Whether starts beyond the capacity are accepted and recorded instead of refused.
    pub allow_overcommit: bool,
    /// Seed of the random loss of replies.
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
