//! Run-time statistics of one workload.

use std::time::Duration;

/// Number of most recent run times that are kept.
const MAX_SAMPLES: usize = 64;

/// Minimum number of run times for which the percentile is computed.
const MIN_SAMPLES: usize = 20;

/// Number of new run times after which the percentile is recomputed.
const REFRESH_INTERVAL_SAMPLES: usize = 8;

/// A task is a straggler if it runs longer than this multiple of the 95th percentile.
const STRAGGLER_FACTOR: u32 = 3;

/// The most recent run times of finished tasks of one workload, with their 95th percentile.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    /// Ring buffer of run times.
    samples: Vec<Duration>,
    /// Number of run times recorded so far, including those that were overwritten.
    recorded: usize,
    p95: Option<Duration>,
}

impl RunTimes {
    /// Records the run time of a finished task, and recomputes the percentile if that is due.
    pub(crate) fn record(&mut self, run_time: Duration) {
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(run_time);
        } else {
            self.samples[self.recorded % MAX_SAMPLES] = run_time;
        }
        self.recorded += 1;
        if self.recorded == MIN_SAMPLES
            || self.recorded > MIN_SAMPLES && self.recorded.is_multiple_of(REFRESH_INTERVAL_SAMPLES)
        {
            let mut samples = self.samples.clone();
            let rank = (samples.len() * 95).div_ceil(100) - 1;
            self.p95 = Some(*samples.select_nth_unstable(rank).1);
        }
    }

    /// Returns the 95th percentile, or `None` until [`MIN_SAMPLES`] run times are recorded.
    pub(crate) fn p95(&self) -> Option<Duration> {
        self.p95
    }

    /// Returns whether a task that has been running for `elapsed` is a straggler.
    pub(crate) fn is_straggler(&self, elapsed: Duration) -> bool {
        let limit = self.p95.map(|p95| p95.saturating_mul(STRAGGLER_FACTOR));
        limit.is_some_and(|limit| elapsed > limit)
    }
}
