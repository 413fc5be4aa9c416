//! `result` command: prints the recorded outcome of durable work.

use std::net::SocketAddr;

use argh::FromArgs;

use crate::exit::{CommandError, CommandExit};
use crate::work_call::{WorkClient, WorkPath, print_reply};

/// print the recorded outcome of durable work as JSON
#[derive(FromArgs)]
#[argh(subcommand, name = "result")]
pub(crate) struct ResultCommand {
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

impl ResultCommand {
    pub(crate) async fn run(self) -> Result<CommandExit, CommandError> {
        let path = WorkPath::new(&self.customer, &self.key)?;
        let reply = WorkClient::new(self.entry).result(&path).await;
        let reply = reply.map_err(|error| CommandError::failed(error.to_string()))?;
        Ok(print_reply(&reply))
    }
}
