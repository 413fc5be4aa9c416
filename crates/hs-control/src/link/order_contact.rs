//! What the last orders have shown about a worker. Renewals have a connection of their own, which may work while those of the
//! orders don't.

use std::time::{Duration, Instant};

use hs_timer::timeout;
use tokio::sync::watch;

/// Longest time for which further starts wait until an order without an answer is sent again.
const MAX_DOUBT: Duration = Duration::from_millis(400);

/// Time after a start has been given up without an answer in which those that wait are not sent. Their tasks start elsewhere.
const SILENCE_TIME: Duration = Duration::from_millis(500);

/// Contact to a worker by orders.
#[derive(Debug)]
pub(super) struct OrderContact {
    state: watch::Sender<ContactState>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ContactState {
    /// The last order was answered, or there was none.
    Answering,
    /// An order has no answer, and is sent again.
    Doubtful,
    /// A start was given up without an answer at this time.
    Silent(Instant),
}

impl Default for OrderContact {
    fn default() -> Self {
        Self {
            state: watch::Sender::new(ContactState::Answering),
        }
    }
}

impl OrderContact {
    /// Records that an order was answered.
    pub(super) fn note_answer(&self) {
        self.change(|_| ContactState::Answering);
    }

    /// Records that an attempt has no answer.
    pub(super) fn note_failure(&self) {
        self.change(|state| match state {
            ContactState::Answering => ContactState::Doubtful,
            ContactState::Doubtful | ContactState::Silent(_) => state,
        });
    }

    /// Records that a start was given up without an answer.
    pub(super) fn note_silence(&self, now: Instant) {
        self.change(|_| ContactState::Silent(now));
    }

    /// Returns whether a start was given up without an answer a short time ago, and no order was answered since then.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        match *self.state.borrow() {
            ContactState::Silent(at) => now.saturating_duration_since(at) < SILENCE_TIME,
            ContactState::Answering | ContactState::Doubtful => false,
        }
    }

    /// Waits until it is known whether an order without an answer gets one, at most [`MAX_DOUBT`]. Each further order would
    /// probably remain without one as well, and its task would have to wait for the end of the lease.
    pub(super) async fn settled(&self) {
        let mut state = self.state.subscribe();
        let is_settled = state.wait_for(|state| *state != ContactState::Doubtful);
        let _ = timeout(MAX_DOUBT, is_settled).await;
    }

    fn change(&self, next: impl FnOnce(ContactState) -> ContactState) {
        self.state.send_if_modified(|state| {
            let earlier = *state;
            *state = next(earlier);
            *state != earlier
        });
    }
}
