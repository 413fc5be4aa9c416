//! Changes to the set of live members.

use std::fmt;
use std::time::Duration;

use crate::{LossReason, MemberKey};

/// A change in the membership that this process has to act on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberEvent {
    /// A peer has become live.
    Joined {
        /// Key of the peer.
        key: MemberKey,
        /// Unique name of the peer's VM.
        id: String,
    },
    /// A peer is no longer live.
    Lost {
        /// Key of the peer.
        key: MemberKey,
        /// Unique name of the peer's VM.
        id: String,
        /// Why the peer is no longer live.
        reason: LossReason,
    },
    /// This process resumed after a pause longer than the liveness timeout. Peers may have taken
    /// over its workers and partitions, so it must no longer assume that it owns them.
    Resumed {
        /// Time between the last two calls of [`Membership::tick`](crate::Membership::tick).
        pause: Duration,
    },
}

/// Formats the event as a message for a log.
impl fmt::Display for MemberEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Joined { id, .. } => write!(formatter, "member {id} joined"),
            Self::Lost { id, reason, .. } => write!(formatter, "member {id} lost: {reason}"),
            Self::Resumed { pause } => {
                write!(formatter, "this process resumed after a pause of {pause:?}")
            }
        }
    }
}
