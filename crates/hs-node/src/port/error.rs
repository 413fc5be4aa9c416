//! Errors of calls to the platform.

use hs_http::{CallError, CallReply};
use hs_wire::ErrorBody;
use thiserror::Error;

/// Why a call to the platform failed.
#[derive(Debug, Error)]
pub enum PortError {
    /// No usable reply came.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The other side refused the call and did nothing.
    #[error("{operation} refused by {peer} with status {status}: {message}")]
    Refused {
        /// What the call was for.
        operation: &'static str,
        /// Address of the other side.
        peer: String,
        /// HTTP status of the refusal.
        status: u16,
        /// Message of the other side.
        message: String,
    },
    /// The reply could not be understood, so the call may have taken effect.
    #[error("{operation} to {peer} has an unreadable reply: {cause}")]
    Unreadable {
        /// What the call was for.
        operation: &'static str,
        /// Address of the other side.
        peer: String,
        /// What is wrong with the reply.
        cause: String,
    },
}

impl PortError {
    /// Returns whether the call certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        match self {
            Self::Call(error) => error.is_not_sent(),
            Self::Refused { .. } => true,
            Self::Unreadable { .. } => false,
        }
    }

    /// Returns the HTTP status of a refusal.
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Refused { status, .. } => Some(*status),
            Self::Call(_) | Self::Unreadable { .. } => None,
        }
    }

    /// Builds the error for a reply with an unexpected status. Client errors and 503 are refusals;
    /// any other status leaves the effect of the call open.
    pub(super) fn from_reply(operation: &'static str, peer: &str, reply: &CallReply) -> Self {
        let message = match reply.json::<ErrorBody>() {
            Ok(body) => body.message,
            Err(_) => String::from_utf8_lossy(&reply.body).into_owned(),
        };
        let peer = peer.to_owned();
        match reply.status {
            status @ (400..=499 | 503) => Self::Refused {
                operation,
                peer,
                status,
                message,
            },
            status => Self::Unreadable {
                operation,
                peer,
                cause: format!("status {status}: {message}"),
            },
        }
    }

    pub(super) fn unreadable(operation: &'static str, peer: &str, cause: impl ToString) -> Self {
        Self::Unreadable {
            operation,
            peer: peer.to_owned(),
            cause: cause.to_string(),
        }
    }
}
