//! Classes of advice requests by their duration, and the processes that send them.
//!
//! Some processes take no long requests, so that the short requests of urgent queues don't wait behind them.

use std::time::Duration;

/// Longest expected duration of a short request, which any process may send.
const MAX_SHORT_REQUEST: Duration = Duration::from_millis(25);

/// Longest expected duration of a medium request; requests that take longer are long. Without this
/// distinction, requests for waiting gangs would delay those of queues whose steps need a fraction of that
/// time.
const MAX_MEDIUM_REQUEST: Duration = Duration::from_millis(300);

/// One in this many processes takes no long requests.
const NO_LONG_REQUESTS_DIVISOR: usize = 3;

/// Number of processes reserved for short requests, if there are enough processes.
const SHORT_ONLY_CALLERS: usize = 1;

/// Minimum number of processes at which some are reserved for short requests.
const MIN_CALLERS_TO_RESERVE: usize = 3;

/// Class of an advice request by its expected duration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestClass {
    Short,
    Medium,
    Long,
}

impl RequestClass {
    pub(crate) const ALL: [Self; 3] = [Self::Short, Self::Medium, Self::Long];

    /// Returns the class of a request with this expected duration.
    pub(crate) fn of(cost: Duration) -> Self {
        if cost <= MAX_SHORT_REQUEST {
            Self::Short
        } else if cost <= MAX_MEDIUM_REQUEST {
            Self::Medium
        } else {
            Self::Long
        }
    }

    /// Returns the position of the first of `callers` processes that may send such a request. Those before it
    /// are reserved for shorter ones.
    pub(crate) fn first_caller(self, callers: usize) -> usize {
        if callers < MIN_CALLERS_TO_RESERVE {
            return 0;
        }
        match self {
            Self::Short => 0,
            Self::Medium => SHORT_ONLY_CALLERS,
            Self::Long => callers.div_ceil(NO_LONG_REQUESTS_DIVISOR),
        }
    }
}
