//! Tracks whether the store answers this process.
//!
//! While the store is down for a process, the process refuses submissions at once instead of sending
//! writes whose result it could not learn, and reports itself as not ready if it can't reach the owner
//! either.

use hs_event::EventCode;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time since the last answer after which a failed call means that the store is down. A healthy store
/// answers within milliseconds, a slow one within 300 ms.
const DOWN_AFTER: Duration = Duration::from_millis(450);

#[derive(Debug, Default)]
struct HealthState {
    last_answer_at: Option<Instant>,
    /// Whether any call has failed since the last answer.
    failed: bool,
}

/// Shared health state of the store. Clones share their state.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreHealth {
    state: Arc<Mutex<HealthState>>,
}

impl StoreHealth {
    /// Records whether a call was answered.
    pub(crate) fn record_call(&self, answered: bool, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if answered {
            if state.failed && is_down(&state, now) {
                EventCode::StoreUp.log(format_args!(""));
            }
            state.last_answer_at = Some(now);
            state.failed = false;
            return;
        }
        let was_down = is_down(&state, now);
        state.failed = true;
        if !was_down && is_down(&state, now) {
            EventCode::StoreDown.log(format_args!(""));
        }
    }

    /// Returns whether the store is considered down, so that writes should not be attempted.
    pub(crate) fn is_down(&self, now: Instant) -> bool {
        is_down(
            &self.state.lock().unwrap_or_else(PoisonError::into_inner),
            now,
        )
    }
}

fn is_down(state: &HealthState, now: Instant) -> bool {
    let is_overdue = |at: Instant| now.saturating_duration_since(at) >= DOWN_AFTER;
    state.failed && state.last_answer_at.is_none_or(is_overdue)
}
