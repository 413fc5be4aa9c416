//! Errors of calls to the store, the VM list and the workers.

use hs_http::{CallError, CallReply};
use hs_wire::ErrorBody;
use thiserror::Error;

/// Maximum length of a server's message in characters. The body of an error may be megabytes long.
const MAX_MESSAGE_CHARS: usize = 200;

/// Error of a call to the store, the VM list or a worker.
#[derive(Debug, Error)]
pub enum PortError {
    /// The call failed without a reply.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The server refused the call, which had no effect.
    #[error("{operation} refused by {peer} with status {status}: {message}")]
    Refused {
        /// Name of the operation.
        operation: &'static str,
        /// Address of the server.
        peer: String,
        /// HTTP status of the refusal.
        status: u16,
        /// Error message from the server.
        message: String,
    },
    /// The reply could not be parsed or has an unexpected status. The call may have taken effect.
    #[error("{operation} to {peer} has an unreadable reply: {cause}")]
    Unreadable {
        /// Name of the operation.
        operation: &'static str,
        /// Address of the server.
        peer: String,
        /// Parse error, or the unexpected status with its message.
        cause: String,
    },
}

impl PortError {
    /// Returns whether the call definitely had no effect.
    pub fn had_no_effect(&self) -> bool {
        match self {
            Self::Call(error) => error.is_not_sent(),
            Self::Refused { .. } => true,
            Self::Unreadable { .. } => false,
        }
    }

    /// Returns the HTTP status if the server refused the call.
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Refused { status, .. } => Some(*status),
            Self::Call(_) | Self::Unreadable { .. } => None,
        }
    }

    /// Creates the error for a reply with an unexpected status. Client errors and 503 are refusals;
    /// after any other status the call may have taken effect.
    pub(super) fn from_reply(operation: &'static str, peer: &str, reply: &CallReply) -> Self {
        let message = match reply.json::<ErrorBody>() {
            Ok(body) => body.message,
            Err(_) => String::from_utf8_lossy(&reply.body).into_owned(),
        };
        let message: String = message.chars().take(MAX_MESSAGE_CHARS).collect();
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
