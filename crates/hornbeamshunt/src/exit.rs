//! Exit codes and errors of commands.

use std::process::ExitCode;

use hs_http::CallError;
use hs_node::PortError;
use thiserror::Error;

/// Exit code of a command, as documented in `docs/operators.md`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CommandExit {
    /// The command succeeded.
    Success = 0,
    /// The command was refused or failed without effect, or the work did not succeed.
    Failed = 1,
    /// The arguments are invalid.
    Usage = 2,
    /// Another manifest was published first.
    Conflict = 3,
    /// It is unknown whether the command took effect.
    Unknown = 4,
    /// The manifest is published, but was not in effect everywhere before the timeout.
    Behind = 5,
}

impl From<CommandExit> for ExitCode {
    fn from(exit: CommandExit) -> Self {
        Self::from(exit as u8)
    }
}

/// Error that ends a command, with the exit code to return.
#[derive(Debug, Error)]
#[error("{message}")]
pub(crate) struct CommandError {
    pub(crate) exit: CommandExit,
    message: String,
}

impl CommandError {
    pub(crate) fn failed(message: impl Into<String>) -> Self {
        let exit = CommandExit::Failed;
        let message = message.into();
        Self { exit, message }
    }

    pub(crate) fn usage(message: impl Into<String>) -> Self {
        let exit = CommandExit::Usage;
        let message = message.into();
        Self { exit, message }
    }

    /// Builds the error of a call that changes state. Unless the request was certainly not sent,
    /// its effect is unknown.
    pub(crate) fn from_mutating_call(error: &CallError) -> Self {
        let exit = match error.is_not_sent() {
            true => CommandExit::Failed,
            false => CommandExit::Unknown,
        };
        let message = error.to_string();
        Self { exit, message }
    }
}

impl From<PortError> for CommandError {
    fn from(error: PortError) -> Self {
        Self::failed(error.to_string())
    }
}
