//! Work of the owner task in an interval, which shows in the log whether its VM is too slow for the cell.

use std::fmt;
use std::time::{Duration, Instant};

/// Counts and times since the last line in the log.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadMeter {
    /// Number of worker reports.
    pub reports: u32,
    /// Number of starts sent.
    pub starts: u32,
    /// Number of starts that were not answered in time.
    pub unanswered_starts: u32,
    /// Number of calls after which a worker counted as unreachable.
    pub unreachable_workers: u32,
    /// Number of stops sent.
    pub stops: u32,
    /// Number of transactions.
    pub commits: u32,
    /// Longest transaction.
    pub longest_commit: Duration,
    /// Number of advice requests that were queued.
    pub advice_requests: u32,
    /// Number of parts of advice requests that were answered or failed.
    pub advice_ends: u32,
    passes: u32,
    pass_time: Duration,
    longest_pass: Duration,
    longest_gap: Duration,
    last_tick_at: Option<Instant>,
}

impl LoadMeter {
    /// Records a scheduling pass.
    pub(crate) fn record_pass(&mut self, cost: Duration) {
        self.passes += 1;
        self.pass_time += cost;
        self.longest_pass = self.longest_pass.max(cost);
    }

    /// Records a transaction that took this long.
    pub(crate) fn record_commit(&mut self, duration: Duration) {
        self.commits += 1;
        self.longest_commit = self.longest_commit.max(duration);
    }

    /// Records a tick of the owner's timer.
    pub(crate) fn record_tick(&mut self, now: Instant) {
        if let Some(last_tick_at) = self.last_tick_at.replace(now) {
            let gap = now.saturating_duration_since(last_tick_at);
            self.longest_gap = self.longest_gap.max(gap);
        }
    }

    /// Returns the load since the last call, and begins a new interval.
    pub(crate) fn take(&mut self) -> Self {
        let next = Self {
            last_tick_at: self.last_tick_at,
            ..Self::default()
        };
        std::mem::replace(self, next)
    }
}

impl fmt::Display for LoadMeter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "passes={} pass_ms={} longest_pass_us={} longest_tick_gap_ms={} reports={} unreachable={} \
             starts={} unanswered={} stops={} commits={} longest_commit_ms={} advice_wanted={} \
             advice_answered={}",
            self.passes,
            self.pass_time.as_millis(),
            self.longest_pass.as_micros(),
            self.longest_gap.as_millis(),
            self.reports,
            self.unreachable_workers,
            self.starts,
            self.unanswered_starts,
            self.stops,
            self.commits,
            self.longest_commit.as_millis(),
            self.advice_requests,
            self.advice_ends,
        )
    }
}
