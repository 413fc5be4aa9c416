//! Clocks of workers.

use std::time::{Duration, Instant};

use hs_cell::CLOCK_DRIFT_MARGIN;

/// Tolerance for readings in whole milliseconds.
const READING_TOLERANCE: Duration = Duration::from_millis(2);

/// A reading of a worker's clock, which maps times of the owner's clock to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerClock {
    /// Reading in milliseconds.
    pub clock_ms: u64,
    /// Time at which the reading was requested. It was taken between this and `read_at`.
    pub requested_at: Instant,
    /// Time at which the reading arrived.
    pub read_at: Instant,
}

impl WorkerClock {
    /// Converts a time to the worker's clock, or returns `None` if that is out of range.
    ///
    /// Apart from drift, the worker's clock shows the result at `time` or before, because it was read before `read_at`.
    pub(super) fn at(self, time: Instant) -> Option<u64> {
        let until = time.saturating_duration_since(self.read_at);
        self.clock_ms.checked_add(whole_ms(until))
    }

    /// Returns whether a later reading, which was taken between two times, can be one of the same clock. Each incarnation
    /// of a worker has a clock of its own, which begins anywhere.
    pub(super) fn agrees_with(self, clock_ms: u64, earliest: Instant, latest: Instant) -> bool {
        let shortest = earliest.saturating_duration_since(self.read_at);
        let longest = latest.saturating_duration_since(self.requested_at);
        let shortest = shortest
            .mul_f64(1.0 - CLOCK_DRIFT_MARGIN)
            .saturating_sub(READING_TOLERANCE);
        let longest = longest.mul_f64(1.0 + CLOCK_DRIFT_MARGIN) + READING_TOLERANCE;
        let lowest_ms = self.clock_ms.saturating_add(whole_ms(shortest));
        let highest_ms = self.clock_ms.saturating_add(whole_ms(longest));
        (lowest_ms..=highest_ms).contains(&clock_ms)
    }
}

/// Returns a duration in whole milliseconds, rounded down.
fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
