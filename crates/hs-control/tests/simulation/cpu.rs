//! Virtual processor of a simulated process.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Work of one poll of a task.
pub const POLL_WORK: u64 = 2;

/// Duration of a unit of work on a whole core in nanoseconds.
const NANOS_PER_WORK: u64 = 1000;

/// Denominator of the share of a core.
const SHARE_UNIT: f64 = 10_000.0;

/// Clock of a process, which work moves ahead of the time of the simulation. The process is not run until the
/// simulation has caught up, so its timers fire late and it reads replies late.
#[derive(Debug)]
pub struct VirtualCpu {
    local_ns: AtomicU64,
    /// Share of a core, as a fraction of [`SHARE_UNIT`].
    core_share: AtomicU64,
}

impl VirtualCpu {
    /// Builds the processor of a VM with this share of a core.
    pub fn new(core_share: f64) -> Self {
        let cpu = Self {
            local_ns: AtomicU64::new(0),
            core_share: AtomicU64::new(0),
        };
        cpu.set_core_share(core_share);
        cpu
    }

    /// Changes the share of a core.
    pub fn set_core_share(&self, core_share: f64) {
        let share = (SHARE_UNIT * core_share) as u64;
        self.core_share.store(share, Ordering::Relaxed);
    }

    /// Returns the time on the clock of the process.
    pub fn local_time(&self) -> Duration {
        Duration::from_nanos(self.local_ns.load(Ordering::Relaxed))
    }

    /// Moves the clock forward to a time. A clock that is ahead of it stays.
    pub fn catch_up(&self, now: Duration) {
        let now_ns = u64::try_from(now.as_nanos()).expect("a simulation is short");
        self.local_ns.fetch_max(now_ns, Ordering::Relaxed);
    }

    /// Does work.
    pub fn charge(&self, work: u64) {
        self.charge_nanos(work * NANOS_PER_WORK);
    }

    /// Does what takes this time on a whole core.
    pub fn charge_nanos(&self, core_ns: u64) {
        let share = self.core_share.load(Ordering::Relaxed);
        let used_ns = core_ns * SHARE_UNIT as u64 / share;
        self.local_ns.fetch_add(used_ns, Ordering::Relaxed);
    }
}
