//! Changes of the live set.

use std::fmt;
use std::time::Duration;

use crate::{LossReason, MemberKey};

/// A change that the process has to act on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberEvent {
    /// A peer is live.
    Joined {
        /// Key of the peer.
        key: MemberKey,
        /// Name of the peer.
        id: String,
    },
    /// A peer is no longer live.
    Lost {
        /// Key of the peer.
        key: MemberKey,
        /// Name of the peer.
        id: String,
        /// Why the peer is no longer live.
        reason: LossReason,
    },
    /// The own process was paused for longer than the timeout. Peers may have taken over its
    /// workers and partitions, so it must drop what it presumed to own.
    Resumed {
        /// Time between the last two ticks.
        pause: Duration,
    },
}

/// Formats the event for a log line.
impl fmt::Display for MemberEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Joined { id, .. } => write!(formatter, "member {id} joined"),
            Self::Lost { id, reason, .. } => write!(formatter, "member {id} lost: {reason}"),
            Self::Resumed { pause } => write!(formatter, "own process paused for {pause:?}"),
        }
    }
}
