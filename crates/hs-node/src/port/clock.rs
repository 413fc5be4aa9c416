//! The source of time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Source of time. Timeouts use monotonic time; wall time is used for timestamps, such as those of
/// durable records.
pub trait ClockPort: Clone + Send + Sync + 'static {
    /// Returns the current monotonic time.
    fn now(&self) -> Instant;

    /// Returns the current wall time in milliseconds since the Unix epoch.
    fn wall_ms(&self) -> u64;
}

/// The system clock. In tests with a paused `tokio` runtime, monotonic time is that of the runtime.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl ClockPort for SystemClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall_ms(&self) -> u64 {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        elapsed.unwrap_or(Duration::ZERO).as_millis() as u64
    }
}
