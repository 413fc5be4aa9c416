//! `cancel` command: cancels durable work.

use std::net::SocketAddr;

use argh::FromArgs;

use crate::exit::{CommandError, CommandExit};
use crate::work_call::{WorkClient, WorkPath, print_reply};

/// cancel durable work and print the reply as JSON
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub(crate) struct CancelCommand {
    /// caller address of an entry process or of the load balancer
    #[argh(option)]
    entry: SocketAddr,

    /// customer of the work
    #[argh(positional)]
    customer: String,

    /// key of the work
    #[argh(positional)]
    key: String,
}

impl CancelCommand {
    /// Requests the cancellation, and succeeds only if the work is cancelled or the request is
    /// accepted.
    pub(crate) async fn run(self) -> Result<CommandExit, CommandError> {
        let path = WorkPath::new(&self.customer, &self.key)?;
        let reply = WorkClient::new(self.entry).cancel(&path).await;
        let reply = reply.map_err(|error| CommandError::from_mutating_call(&error))?;
        Ok(print_cancel_reply(&reply))
    }
}

/// Prints the reply and derives the exit code from its outcome. Work that is done was not cancelled.
fn print_cancel_reply(reply: &hs_http::CallReply) -> CommandExit {
    let printed = print_reply(reply);
    let outcome = reply.json::<hs_wire::WorkReply>().map(|work| work.outcome);
    match outcome {
        Ok(hs_wire::Outcome::Cancelled) => CommandExit::Success,
        Ok(hs_wire::Outcome::Done) => CommandExit::Failed,
        _ => printed,
    }
}
