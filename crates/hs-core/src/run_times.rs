//! Finished run times of one workload.

use std::time::Duration;

/// Number of run times that are kept.
const KEPT: usize = 64;

/// Fewest run times that a percentile is taken over.
const MIN_SAMPLES: usize = 20;

/// Number of new run times after which the percentile is taken again.
const REFRESH: usize = 8;

/// Multiple of the percentile over which a task is a straggler.
const STRAGGLER_FACTOR: u32 = 3;

/// The last finished run times of one workload with their 95th percentile.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    samples: Vec<Duration>,
    next: usize,
    p95: Option<Duration>,
}

impl RunTimes {
    /// Adds a run time.
    pub(crate) fn record(&mut self, run: Duration) {
        if self.samples.len() < KEPT {
            self.samples.push(run);
        } else {
            self.samples[self.next % KEPT] = run;
        }
        self.next += 1;
        if self.next == MIN_SAMPLES || self.next > MIN_SAMPLES && self.next.is_multiple_of(REFRESH)
        {
            let mut samples = self.samples.clone();
            let rank = (samples.len() * 95).div_ceil(100) - 1;
            self.p95 = Some(*samples.select_nth_unstable(rank).1);
        }
    }

    /// Returns the 95th percentile once enough run times are known.
    pub(crate) fn p95(&self) -> Option<Duration> {
        self.p95
    }

    /// Returns whether a task that has run for a time is a straggler.
    pub(crate) fn is_straggler(&self, elapsed: Duration) -> bool {
        let limit = self.p95.map(|p95| p95.saturating_mul(STRAGGLER_FACTOR));
        limit.is_some_and(|limit| elapsed > limit)
    }
}
