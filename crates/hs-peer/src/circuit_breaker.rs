//! Circuit breaker for calls to a store or a peer.

use std::time::{Duration, Instant};

/// Settings of a [`CircuitBreaker`].
#[derive(Clone, Copy, Debug)]
pub struct BreakerOptions {
    /// Number of consecutive failures after which the breaker opens; at least one.
    pub failure_threshold: u32,
    /// Time for which the breaker stays open before the first probe.
    pub min_backoff: Duration,
    /// Maximum of this time, which doubles with each failed probe. It is also the time after which
    /// another probe is permitted if the result of a probe is not reported.
    pub max_backoff: Duration,
}

impl Default for BreakerOptions {
    fn default() -> Self {
        Self {
            // A single failure may be due to one lost connection of a pool.
            failure_threshold: 3,
            min_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// State of a [`CircuitBreaker`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakerState {
    /// All calls are permitted.
    Closed,
    /// No call is permitted before `until`.
    Open {
        /// When the first probe is permitted.
        until: Instant,
    },
    /// One call was permitted as a probe.
    HalfOpen {
        /// When another probe is permitted if the result of this one is not known by then.
        until: Instant,
    },
}

/// Permission for one call, which the caller passes back with the result of the call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BreakerPermit {
    generation: u64,
}

/// Stops calls to a store or a peer after consecutive failures, and permits single probes with
/// exponential backoff.
///
/// The result of a call counts only in the state in which the call was permitted. Late failures of
/// calls that began before the breaker opened therefore do not prolong the backoff.
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
    /// Number of state changes and probes so far. A permit is valid for one generation.
    generation: u64,
    consecutive_failures: u32,
    backoff: Duration,
}

impl CircuitBreaker {
    /// Creates a closed breaker without failures.
    pub fn new(options: BreakerOptions) -> Self {
        Self {
            options,
            state: BreakerState::Closed,
            generation: 0,
            consecutive_failures: 0,
            backoff: options.min_backoff,
        }
    }

    /// Returns a permit for a call, or `None` if the call must not be made now.
    ///
    /// The caller reports the result of the call by [`record_success`](Self::record_success) or
    /// [`record_failure`](Self::record_failure).
    pub fn admit(&mut self, now: Instant) -> Option<BreakerPermit> {
        match self.state {
            BreakerState::Closed => {}
            BreakerState::Open { until } | BreakerState::HalfOpen { until } if now < until => {
                return None;
            }
            BreakerState::Open { .. } | BreakerState::HalfOpen { .. } => {
                // A probe whose result is never reported must not block calls forever.
                let until = now + self.options.max_backoff;
                self.transition_to(BreakerState::HalfOpen { until });
            }
        }
        let generation = self.generation;
        Some(BreakerPermit { generation })
    }

    /// Records that a permitted call succeeded.
    pub fn record_success(&mut self, permit: BreakerPermit) {
        if permit.generation != self.generation {
            return;
        }
        self.consecutive_failures = 0;
        if self.state != BreakerState::Closed {
            self.backoff = self.options.min_backoff;
            self.transition_to(BreakerState::Closed);
        }
    }

    /// Records that a permitted call failed because of the connection or its remote end.
    pub fn record_failure(&mut self, permit: BreakerPermit, now: Instant) {
        if permit.generation != self.generation {
            return;
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let is_probe = self.state != BreakerState::Closed;
        if is_probe {
            self.backoff = (self.backoff * 2).min(self.options.max_backoff);
        }
        if is_probe || self.consecutive_failures >= self.options.failure_threshold {
            let until = now + self.backoff;
            self.transition_to(BreakerState::Open { until });
        }
    }

    /// Returns the state after the last method call; the passing of time alone does not change it.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    fn transition_to(&mut self, state: BreakerState) {
        self.state = state;
        self.generation += 1;
    }
}
