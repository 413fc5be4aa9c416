//! Decides how many cancellations of unknown jobs a process stores.
//!
//! Each is stored with a write and kept for as long as the outcome of a job, at the cost of all callers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Cancellations a second for all callers. 150 processes thus take at most a quarter of the writes of the store.
const SHARED_RATE: f64 = 2.0;

/// Cancellations at once for all callers.
const SHARED_DEPTH: f64 = 100.0;

/// Cancellations a second that each team has for itself.
const TEAM_RATE: f64 = 0.1;

/// Cancellations at once that each team has for itself.
const TEAM_DEPTH: f64 = 10.0;

/// A bucket that is refilled at a constant rate, up to its depth.
#[derive(Clone, Copy, Debug)]
struct RateBucket {
    rate: f64,
    depth: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateBucket {
    fn new(rate: f64, depth: f64, now: Instant) -> Self {
        Self {
            rate,
            depth,
            tokens: depth,
            refilled_at: now,
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    fn refill(&mut self, now: Instant) {
        let elapsed: Duration = now.saturating_duration_since(self.refilled_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.depth);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn is_full(&self) -> bool {
        self.tokens >= self.depth
    }
}

/// Cancellations of unknown jobs that a process may store. Each team has some for itself, so that it does not depend on
/// what others have left of those that all share.
#[derive(Clone, Debug)]
pub struct UnknownCancellations {
    shared: RateBucket,
    teams: HashMap<Arc<str>, RateBucket>,
}

impl UnknownCancellations {
    /// Creates the state of a process that has stored none.
    pub fn new(now: Instant) -> Self {
        Self {
            shared: RateBucket::new(SHARED_RATE, SHARED_DEPTH, now),
            teams: HashMap::new(),
        }
    }

    /// Returns whether a cancellation of this team may be stored. Callers without a team have the shared ones alone.
    pub fn take(&mut self, team: Option<&Arc<str>>, now: Instant) -> bool {
        if self.shared.take(now) {
            return true;
        }
        let Some(team) = team else {
            return false;
        };
        let new_bucket = || RateBucket::new(TEAM_RATE, TEAM_DEPTH, now);
        let bucket = self.teams.entry(team.clone());
        bucket.or_insert_with(new_bucket).take(now)
    }

    /// Forgets the teams that have all of theirs, as teams without an entry do.
    pub fn remove_full(&mut self, now: Instant) {
        self.teams.retain(|_, bucket| {
            bucket.refill(now);
            !bucket.is_full()
        });
    }
}
