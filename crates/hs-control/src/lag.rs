//! Measures how late the owner task's timer fires, which reveals a VM that is too slow to run the cell.

use std::time::{Duration, Instant};

/// Weight of a new sample in the exponentially weighted moving average.
const EWMA_WEIGHT: f64 = 0.2;

/// Mean lag at which the process counts as too slow. A healthy VM lags by a few milliseconds.
const SLOW_MEAN_LAG: Duration = Duration::from_millis(45);

/// Upper bound of one sample, so that a single pause does not make a VM count as slow.
const MAX_LAG_SAMPLE: Duration = Duration::from_millis(250);

/// Time after the start of the task that is not measured, because a takeover itself uses processor time.
const WARM_UP: Duration = Duration::from_millis(1500);

/// Tracks the mean lag of a periodic timer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LagMeter {
    started_at: Option<Instant>,
    last_tick_at: Option<Instant>,
    mean_s: f64,
}

impl LagMeter {
    /// Records that the timer, which has this `period`, fired at `now`.
    pub(crate) fn record_tick(&mut self, now: Instant, period: Duration) {
        let started_at = *self.started_at.get_or_insert(now);
        let warmed_up = now.saturating_duration_since(started_at) >= WARM_UP;
        if let Some(last_tick_at) = self.last_tick_at.filter(|_| warmed_up) {
            let gap = now.saturating_duration_since(last_tick_at);
            let lag = gap.saturating_sub(period).min(MAX_LAG_SAMPLE);
            self.mean_s += (lag.as_secs_f64() - self.mean_s) * EWMA_WEIGHT;
        }
        self.last_tick_at = Some(now);
    }

    pub(crate) fn mean_lag(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Returns whether the process is too slow to own the cell.
    pub(crate) fn is_slow(&self) -> bool {
        self.mean_lag() >= SLOW_MEAN_LAG
    }
}
