//! Settings of a cell, and how long runs may go on by them.
//!
//! A stale call is one that was meant for an earlier incarnation of a worker and reaches the next one.

use std::time::{Duration, Instant};

use hs_evidence::LearningOptions;

/// Settings of a cell.
#[derive(Clone, Copy, Debug)]
pub struct CellOptions {
    /// Time for which the outcome of an ended job can be read.
    pub status_retention: Duration,
    /// Duration of the leases that the owner requests from workers. It is longer than most network
    /// partitions, so that runs survive them, and short enough to restart the runs of a lost worker soon.
    pub lease: Duration,
    /// Longest lease that a worker grants, on its clock, whatever it is asked for.
    pub longest_lease: Duration,
    /// Maximum size of a value of the store in bytes.
    pub max_value_bytes: usize,
    /// Which estimates from the progress of runs may change the order of workers.
    pub learning: LearningOptions,
}

impl Default for CellOptions {
    fn default() -> Self {
        Self {
            status_retention: Duration::from_secs(120),
            lease: Duration::from_millis(7500),
            longest_lease: Duration::from_secs(10),
            max_value_bytes: 1 << 20,
            learning: LearningOptions::default(),
        }
    }
}

/// Fraction of a lease that is added to it on the owner's clock, since the clock of a worker may run 2 % slow.
pub const CLOCK_DRIFT_MARGIN: f64 = 0.025;

/// Maximum time that a worker takes to end its runs after the lease has expired.
const LEASE_STOP_TIME: Duration = Duration::from_millis(500);

/// Maximum difference between the wall clocks of a worker and an owner, one of which may have jumped.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(5);

/// Maximum time until the owner knows what has become of a start, or that it has no reply.
const MAX_START_TIME: Duration = Duration::from_secs(2);

/// Maximum time after which a worker carries out a call that it has not answered.
const MAX_CALL_DELAY: Duration = Duration::from_secs(12);

impl CellOptions {
    /// Returns the maximum time, on the owner's clock, for which a worker keeps its runs after a renewal.
    pub fn max_lease(&self) -> Duration {
        until_runs_end(self.lease)
    }

    /// Returns the maximum time, on the owner's clock, for which a worker keeps its runs after any call, including a
    /// stale one. That may ask for a time far ahead on the new clock, and the worker shortens the lease to its longest.
    pub fn max_stale_lease(&self) -> Duration {
        until_runs_end(self.longest_lease)
    }

    /// Returns the maximum time for which any incarnation of a worker keeps a run whose start is sent now, unless it is
    /// carried out late.
    pub(crate) fn max_unconfirmed_lease(&self) -> Duration {
        MAX_START_TIME + self.max_stale_lease()
    }

    /// Returns the maximum time for which a worker keeps its runs after a call that has asked for a lease of this duration
    /// on its clock.
    pub(crate) fn granted_lease(&self, asked: Duration) -> Duration {
        until_runs_end(asked.min(self.longest_lease))
    }

    /// Returns the maximum time for which a worker keeps the runs of a call that is not carried out yet.
    pub(crate) fn max_late_lease(&self) -> Duration {
        MAX_CALL_DELAY + self.max_stale_lease()
    }

    /// Returns the age of an incarnation, by the wall clock of the owner, from which no stale call can keep
    /// its runs going.
    pub fn settled_age(&self) -> Duration {
        self.max_late_lease() + MAX_CLOCK_ERROR
    }

    /// Returns the time at which the runs have ended that earlier owners may have started on a worker. No lease that
    /// they have asked for ends after `asked_end`, and they have sent no start after `last_start`.
    ///
    /// Any incarnation may have taken the last starts, and keeps them for its longest lease. The age of the one that
    /// the registry lists does not matter: the next one may have started without being listed yet.
    pub fn earlier_lease_end(&self, asked_end: Instant, last_start: Instant) -> Instant {
        asked_end.max(last_start + self.max_stale_lease())
    }
}

/// Returns the maximum time, on the owner's clock, after which the runs under a lease have ended.
fn until_runs_end(lease: Duration) -> Duration {
    lease + lease.mul_f64(CLOCK_DRIFT_MARGIN) + LEASE_STOP_TIME
}
