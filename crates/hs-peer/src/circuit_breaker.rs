//! Protection of a link whose other end fails.

use std::time::{Duration, Instant};

/// Settings of a [`CircuitBreaker`].
#[derive(Clone, Copy, Debug)]
pub struct BreakerOptions {
    /// Number of consecutive failures that open the breaker; at least one.
    pub failure_threshold: u32,
    /// Time that the breaker stays open for the first time.
    pub min_backoff: Duration,
    /// Limit of that time, which doubles with each failed probe.
    pub max_backoff: Duration,
}

impl Default for BreakerOptions {
    fn default() -> Self {
        Self {
            // A single failure may be one lost connection of a pool.
            failure_threshold: 3,
            min_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// State of a [`CircuitBreaker`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakerState {
    /// Calls pass.
    Closed,
    /// No call passes before `until`.
    Open {
        /// When the first probe passes.
        until: Instant,
    },
    /// One call passes as a probe.
    HalfOpen {
        /// When another probe passes if this one has not ended.
        until: Instant,
    },
}

/// Permission for one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BreakerPermit {
    generation: u64,
}

/// Stops calls on a link after consecutive failures, and probes it with exponential back-off.
///
/// The result of a call counts only in the state in which the call was admitted: late failures of
/// calls that began before the breaker opened don't prolong the back-off.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use hs_peer::{BreakerOptions, CircuitBreaker};
///
/// let mut breaker = CircuitBreaker::new(BreakerOptions::default());
/// if let Some(permit) = breaker.admit(Instant::now()) {
///     let reply = Err::<(), _>("connection refused");
///     match reply {
///         Ok(()) => breaker.record_success(permit),
///         Err(_) => breaker.record_failure(permit, Instant::now()),
///     }
/// }
/// ```
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    options: BreakerOptions,
    state: BreakerState,
    /// Counts changes of state and probes.
    generation: u64,
    failures: u32,
    backoff: Duration,
}

impl CircuitBreaker {
    /// Creates a closed breaker.
    pub fn new(options: BreakerOptions) -> Self {
        Self {
            options,
            state: BreakerState::Closed,
            generation: 0,
            failures: 0,
            backoff: options.min_backoff,
        }
    }

    /// Asks for permission for a call; `None` if it must not be made now.
    pub fn admit(&mut self, now: Instant) -> Option<BreakerPermit> {
        match self.state {
            BreakerState::Closed => {}
            BreakerState::Open { until } | BreakerState::HalfOpen { until } if now < until => {
                return None;
            }
            BreakerState::Open { .. } | BreakerState::HalfOpen { .. } => {
                // A probe whose result never comes must not block the link for good.
                let until = now + self.options.max_backoff;
                self.enter(BreakerState::HalfOpen { until });
            }
        }
        let generation = self.generation;
        Some(BreakerPermit { generation })
    }

    /// Reports that a call succeeded.
    pub fn record_success(&mut self, permit: BreakerPermit) {
        if permit.generation != self.generation {
            return;
        }
        self.failures = 0;
        if self.state != BreakerState::Closed {
            self.backoff = self.options.min_backoff;
            self.enter(BreakerState::Closed);
        }
    }

    /// Reports that a call failed because of the link or its other end.
    pub fn record_failure(&mut self, permit: BreakerPermit, now: Instant) {
        if permit.generation != self.generation {
            return;
        }
        self.failures = self.failures.saturating_add(1);
        let is_probe = self.state != BreakerState::Closed;
        if is_probe {
            self.backoff = (self.backoff * 2).min(self.options.max_backoff);
        }
        if is_probe || self.failures >= self.options.failure_threshold {
            let until = now + self.backoff;
            self.enter(BreakerState::Open { until });
        }
    }

    /// Returns the state as of the last call.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    fn enter(&mut self, state: BreakerState) {
        self.state = state;
        self.generation += 1;
    }
}
