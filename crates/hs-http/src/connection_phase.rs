//! Decides which connections of a listener are closed.

use std::time::{Duration, Instant};

/// What an open connection does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPhase {
    /// No byte of a request has arrived yet.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// The head has arrived, and its body has not ended.
    Body,
    /// A request has arrived and its reply is not sent yet.
    Handling,
    /// It is being closed.
    Closing,
}

/// A phase and the time at which it began.
#[derive(Clone, Copy, Debug)]
pub struct PhaseSince {
    /// The phase.
    pub phase: ConnectionPhase,
    /// Time at which it began.
    pub since: Instant,
}

/// What a listener does about callers beyond its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ConnectionOverflow {
    /// They stay in the accept queue of the system until a connection ends.
    #[default]
    Wait,
    /// The connection that has been idle or slow for longest is closed for them.
    CloseLongestWaiting,
}

/// Longest times of the phases.
#[derive(Clone, Copy, Debug)]
pub struct PhaseLimits {
    /// Longest time without a request.
    pub idle: Duration,
    /// Longest time for a head to arrive.
    pub head: Duration,
}

impl PhaseSince {
    /// Returns whether the connection has to be closed. Time before `resumed_at`, up to which the process was paused,
    /// does not count.
    pub fn is_expired(&self, limits: PhaseLimits, resumed_at: Instant, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.since.max(resumed_at));
        match self.phase {
            ConnectionPhase::Idle => age > limits.idle,
            ConnectionPhase::Head => age > limits.head,
            // A body has a time-out of its own.
            ConnectionPhase::Body | ConnectionPhase::Handling | ConnectionPhase::Closing => false,
        }
    }

    /// Returns whether the connection may be closed for a new one.
    fn may_yield(&self) -> bool {
        match self.phase {
            ConnectionPhase::Idle | ConnectionPhase::Head | ConnectionPhase::Body => true,
            ConnectionPhase::Handling | ConnectionPhase::Closing => false,
        }
    }
}

/// Returns the key of the connection to close for a new one: the one that has been idle or slow for longest. Connections
/// whose request is handled are not closed.
pub fn longest_waiting<Key>(connections: impl Iterator<Item = (Key, PhaseSince)>) -> Option<Key> {
    let candidates = connections.filter(|(_, phase)| phase.may_yield());
    let longest = candidates.min_by_key(|(_, phase)| phase.since);
    longest.map(|(key, _)| key)
}
