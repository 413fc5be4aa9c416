//! Reasons why a member is lost.

use std::fmt;

/// Why a member is no longer live.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LossReason {
    /// No heartbeat arrived within the liveness timeout.
    Timeout,
    /// The member announced that it is shutting down.
    Leaving,
    /// A heartbeat of a newer incarnation arrived, which means that the previous one has ended.
    Restarted,
    /// A newer VM list does not contain the member.
    Unlisted,
}

impl fmt::Display for LossReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Timeout => "no heartbeat",
            Self::Leaving => "shutting down",
            Self::Restarted => "restarted",
            Self::Unlisted => "not in the VM list",
        })
    }
}
