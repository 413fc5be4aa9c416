//! `submit` command: submits one piece of work.

use std::net::SocketAddr;

use argh::FromArgs;
use hs_wire::Submission;

use crate::exit::{CommandError, CommandExit};
use crate::file;
use crate::work_call::{WorkClient, WorkPath, print_reply};

/// submit work and print the reply as JSON
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct SubmitCommand {
    /// caller address of an entry process or of the load balancer
    #[argh(option)]
    entry: SocketAddr,

    /// customer that the work is accounted to
    #[argh(option)]
    customer: String,

    /// workload of the manifest
    #[argh(option)]
    workload: String,

    /// idempotency key; repeating a submission with the same key is safe
    #[argh(option)]
    key: String,

    /// time in milliseconds after which a start is of no use
    #[argh(option)]
    deadline_ms: u64,

    /// longest wait for an outcome in milliseconds (default: the deadline)
    #[argh(option)]
    wait_ms: Option<u64>,

    /// time of the first attempt in milliseconds since the Unix epoch
    #[argh(option)]
    issued_at_ms: Option<u64>,

    /// input of the work
    #[argh(option)]
    payload: Option<String>,

    /// file with the input of the work
    #[argh(option)]
    payload_file: Option<String>,
}

impl SubmitCommand {
    pub(crate) async fn run(self) -> Result<CommandExit, CommandError> {
        WorkPath::new(&self.customer, &self.key)?;
        let payload = match (self.payload, self.payload_file) {
            (Some(_), Some(_)) => {
                let message = "--payload and --payload-file exclude each other";
                return Err(CommandError::usage(message));
            }
            (Some(payload), None) => payload,
            (None, Some(path)) => file::read(&path)?,
            (None, None) => String::new(),
        };
        let work = Submission {
            key: self.key,
            customer: self.customer,
            workload: self.workload,
            deadline_ms: self.deadline_ms,
            wait_ms: self.wait_ms,
            issued_at_ms: self.issued_at_ms,
            payload,
        };
        let reply = WorkClient::new(self.entry).submit(&work).await;
        let reply = reply.map_err(|error| CommandError::from_mutating_call(&error))?;
        Ok(print_reply(&reply))
    }
}
