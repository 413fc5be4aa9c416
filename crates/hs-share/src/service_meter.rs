//! Rate at which the surplus of a team is served.

use std::time::{Duration, Instant};

/// Time over which the rate is averaged. It spans several jobs of a team, and follows a surge within seconds.
const AVERAGING_TIME: Duration = Duration::from_secs(5);

/// Time with a backlog from which the rate is known.
const MIN_BUSY_TIME: Duration = Duration::from_millis(500);

/// Measures the work that is served a second while there is a backlog.
///
/// Answers the load pattern of a surge after calm: the time without a backlog says nothing about the rate, so it
/// does not count, and until the rate is known no job is refused.
#[derive(Clone, Copy, Debug)]
pub struct ServiceMeter {
    work: f64,
    busy_seconds: f64,
    updated_at: Instant,
    has_backlog: bool,
}

impl ServiceMeter {
    /// Creates a meter without measurements.
    pub fn new(now: Instant) -> Self {
        Self {
            work: 0.0,
            busy_seconds: 0.0,
            updated_at: now,
            has_backlog: false,
        }
    }

    /// Notes whether there is a backlog from now on.
    pub fn set_backlog(&mut self, has_backlog: bool, now: Instant) {
        self.age(now);
        self.has_backlog = has_backlog;
    }

    /// Adds work that was served.
    pub fn record(&mut self, work: f64, now: Instant) {
        self.age(now);
        if self.has_backlog {
            self.work += work;
        }
    }

    /// Returns the work that is served a second, or `None` if it is not known.
    pub fn rate(&self, now: Instant) -> Option<f64> {
        let mut current = *self;
        current.age(now);
        let is_known = current.busy_seconds >= MIN_BUSY_TIME.as_secs_f64();
        is_known.then(|| current.work / current.busy_seconds)
    }

    /// Lets earlier measurements count less. Without a backlog nothing ages, since the rate stays the best guess.
    fn age(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        if !self.has_backlog {
            return;
        }
        let kept = (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        self.work *= kept;
        self.busy_seconds = self.busy_seconds * kept + elapsed.as_secs_f64();
    }
}
