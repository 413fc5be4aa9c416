//! Options of a load run.

use std::net::SocketAddr;

use crate::{LoadError, Scenario};

/// Options of a load run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Caller addresses of the entry processes, used round-robin.
    pub targets: Vec<SocketAddr>,
    /// Arrival pattern.
    pub scenario: Scenario,
    /// Seed of arrival times and run times. The same seed gives the same schedule.
    pub seed: u64,
    /// Factor that multiplies the length of the scenario and the run times of batch work and gangs.
    pub scale: f64,
    /// Submissions per second of all customers together, not counting a burst and `long_rate`.
    pub rate: f64,
    /// Batch tasks per second in the scenario `long`.
    pub long_rate: f64,
    /// Run time of a check in milliseconds.
    pub check_run_ms: u64,
    /// Deadline of checks and orders in milliseconds.
    pub short_deadline_ms: u64,
    /// Deadline of batch work and gangs in milliseconds.
    pub long_deadline_ms: u64,
    /// Time after the last arrival during which durable work is retried and polled, in
    /// milliseconds.
    pub settle_ms: u64,
    /// Maximum number of calls in flight, each of which takes a connection. Further calls are
    /// queued, and the measured times include the time in this queue.
    pub max_in_flight: usize,
}

/// Maximum number of arrivals of one run. The schedule takes about 40 bytes of memory per arrival.
const MAX_ARRIVALS: f64 = 5e6;

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            scenario: Scenario::Smoke,
            seed: 1,
            scale: 1.0,
            rate: 200.0,
            long_rate: 20.0,
            check_run_ms: 5,
            short_deadline_ms: 10_000,
            long_deadline_ms: 120_000,
            settle_ms: 30_000,
            max_in_flight: 4_000,
        }
    }
}

impl LoadOptions {
    pub(crate) fn validate(&self) -> Result<(), LoadError> {
        if self.targets.is_empty() {
            return Err(LoadError::NoTargets);
        }
        for (name, value) in [
            ("scale", self.scale),
            ("rate", self.rate),
            ("long_rate", self.long_rate),
        ] {
            if !(value.is_finite() && value > 0.0) {
                return Err(LoadError::OutOfRange { name, value });
            }
        }
        if self.max_in_flight == 0 {
            let name = "max_in_flight";
            return Err(LoadError::OutOfRange { name, value: 0.0 });
        }
        let expected = self.scenario.expected_arrivals(self);
        if expected > MAX_ARRIVALS {
            return Err(LoadError::TooManyArrivals {
                expected,
                limit: MAX_ARRIVALS,
            });
        }
        Ok(())
    }
}
