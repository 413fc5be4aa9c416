//! Time that a ticket must still be valid for when it is used.
//!
//! A placement waits for the store write in flight, then for its own, and then for the call to the worker. On a busy
//! owner that takes many times as long as on an idle one.

use std::time::{Duration, Instant};

use crate::cell::Cell;

/// Margin until a store write has been measured.
const INITIAL_MARGIN: Duration = Duration::from_millis(150);

const MIN_MARGIN: Duration = Duration::from_millis(100);

/// Maximum margin; tickets are valid for about four times as long.
const MAX_MARGIN: Duration = Duration::from_millis(600);

/// Part of the margin for the call to the worker.
const CALL_TIME: Duration = Duration::from_millis(80);

/// Number of store writes for which a placement waits at most: the one in flight, and its own.
const WRITES_PER_START: u32 = 2;

/// Weight of the last store write in the mean duration.
const LAST_WRITE_WEIGHT: f64 = 0.25;

/// Margin that follows the duration of store writes.
#[derive(Debug, Default)]
pub(crate) struct TicketMargin {
    mean_write: Option<Duration>,
}

impl TicketMargin {
    fn record_write(&mut self, duration: Duration) {
        let mean = self.mean_write.unwrap_or(duration);
        let earlier = mean.mul_f64(1.0 - LAST_WRITE_WEIGHT);
        self.mean_write = Some(earlier + duration.mul_f64(LAST_WRITE_WEIGHT));
    }

    /// Returns the time before its expiry at which a ticket stops being used for placements.
    pub(crate) fn of_placement(&self) -> Duration {
        let Some(write) = self.mean_write else {
            return INITIAL_MARGIN;
        };
        (write * WRITES_PER_START + CALL_TIME).clamp(MIN_MARGIN, MAX_MARGIN)
    }

    /// Returns the time before its expiry, without the duration of the request, at which a ticket is renewed.
    pub(crate) fn of_renewal(&self) -> Duration {
        self.of_placement() + INITIAL_MARGIN
    }

    /// Returns the time before its expiry at which a ticket stops being sent.
    fn of_call(&self) -> Duration {
        self.of_placement().min(INITIAL_MARGIN)
    }
}

impl Cell {
    /// Records how long a store write took. Tickets must be valid for longer if writes take longer.
    pub fn record_commit_time(&mut self, duration: Duration) {
        self.ticket_margin.record_write(duration);
    }

    /// Returns the time until which a ticket must be valid for a placement now.
    pub(crate) fn placement_ticket_end(&self, now: Instant) -> Instant {
        now + self.ticket_margin.of_placement()
    }

    /// Returns the time until which a ticket must be valid to be sent now.
    pub(crate) fn sent_ticket_end(&self, now: Instant) -> Instant {
        now + self.ticket_margin.of_call()
    }
}
