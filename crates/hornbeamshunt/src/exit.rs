//! Exit codes and errors of commands.

use std::process::ExitCode;

use hs_http::CallError;
use hs_node::PortError;
use thiserror::Error;

/// How a command ends. The numbers are documented in `docs/operators.md`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CommandExit {
    /// The command did what it was asked to.
    Success = 0,
    /// Refused, or failed without effect; for work: it did not succeed.
    Failed = 1,
    /// Wrong arguments.
    Usage = 2,
    /// Another manifest was published first.
    Conflict = 3,
    /// The command may or may not have had its effect.
    Unknown = 4,
    /// Published, but not in effect everywhere in time.
    Behind = 5,
}

impl From<CommandExit> for ExitCode {
    fn from(exit: CommandExit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command ended early.
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

    /// Builds the error of a call that changes something: without a reply its effect is unknown.
    pub(crate) fn from_change(error: &CallError) -> Self {
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
