//! The clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Source of time. Monotonic time decides timeouts; wall time only dates durable records.
pub trait ClockPort: Clone + Send + Sync + 'static {
    /// Returns monotonic time.
    fn now(&self) -> Instant;

    /// Returns wall time in milliseconds since the Unix epoch.
    fn wall_ms(&self) -> u64;
}

/// The clock of the system, or that of a paused `tokio` runtime in tests.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl ClockPort for SystemClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.unwrap_or(Duration::ZERO).as_millis() as u64
    }
}
