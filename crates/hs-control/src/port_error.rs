//! Errors of calls to external services.

use std::time::Instant;

use thiserror::Error;

/// Why a call to an external service failed.
#[derive(Clone, Debug, Error)]
pub enum PortError {
    /// The call certainly had no effect.
    #[error("{operation} at {peer} was refused: {cause}")]
    Refused {
        /// Name of the call.
        operation: &'static str,
        /// Address of the other side.
        peer: String,
        /// Answer of the other side, or the reason why the call was not sent.
        cause: String,
    },
    /// The call certainly had no effect, and would not have any if it were repeated.
    #[error("{operation} at {peer} was rejected for good: {cause}")]
    Rejected {
        /// Name of the call.
        operation: &'static str,
        /// Address of the other side.
        peer: String,
        /// Answer of the other side.
        cause: String,
    },
    /// The call was not sent, since this process or its system lacks descriptors, ports or memory for it.
    #[error("{operation} at {peer} was not sent for want of resources: {cause}")]
    NoResources {
        /// Name of the call.
        operation: &'static str,
        /// Address of the other side.
        peer: String,
        /// Error of the operating system.
        cause: String,
    },
    /// The call has no usable reply. It may have had an effect, or may still have one.
    #[error("{operation} at {peer} has no reply: {cause}")]
    NoReply {
        /// Name of the call.
        operation: &'static str,
        /// Address of the other side.
        peer: String,
        /// Time at which the connection was opened on which the call was sent, if it is known.
        opened_at: Option<Instant>,
        /// Error of the call, or why its reply was unusable.
        cause: String,
    },
}

impl PortError {
    /// Returns whether the call certainly had no effect.
    pub fn is_refused(&self) -> bool {
        matches!(
            self,
            Self::Refused { .. } | Self::Rejected { .. } | Self::NoResources { .. }
        )
    }

    /// Returns whether the call is in vain however often it is repeated.
    pub fn is_rejected(&self) -> bool {
        matches!(self, Self::Rejected { .. })
    }

    /// Returns whether a process may have received the call that has started after this time.
    pub fn may_have_reached_later_process(&self, time: Instant) -> bool {
        match self {
            Self::Refused { .. } | Self::Rejected { .. } | Self::NoResources { .. } => false,
            Self::NoReply { opened_at, .. } => opened_at.is_none_or(|opened_at| opened_at >= time),
        }
    }
}
