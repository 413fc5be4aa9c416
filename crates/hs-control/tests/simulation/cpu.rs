//! Virtual processor of a simulated process.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Work of one poll of a task.
pub const POLL_WORK: u64 = 2;

/// Duration of a unit of work on a whole core in nanoseconds.
pub const NANOS_PER_WORK: u64 = 1000;

/// Clock of a process, which work moves ahead of the time of the simulation. The process is not run until the
/// simulation has caught up, so its timers fire late and it reads replies late.
#[derive(Debug)]
pub struct VirtualCpu {
    local_ns: AtomicU64,
    ns_per_work: AtomicU64,
}

impl VirtualCpu {
    /// Builds the processor of a VM with this share of a core.
    pub fn new(core_share: f64) -> Self {
        let cpu = Self {
            local_ns: AtomicU64::new(0),
            ns_per_work: AtomicU64::new(0),
        };
        cpu.set_core_share(core_share);
        cpu
    }

    /// Changes the share of a core.
    pub fn set_core_share(&self, core_share: f64) {
        let ns_per_work = (NANOS_PER_WORK as f64 / core_share) as u64;
        self.ns_per_work.store(ns_per_work, Ordering::Relaxed);
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

    /// Uses processor time.
    pub fn charge(&self, work: u64) {
        let used_ns = work * self.ns_per_work.load(Ordering::Relaxed);
        self.local_ns.fetch_add(used_ns, Ordering::Relaxed);
    }
}
