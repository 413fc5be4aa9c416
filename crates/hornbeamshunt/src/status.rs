//! `status` command: prints the status of one entry process.

use std::net::SocketAddr;

use argh::FromArgs;
use serde_json::Value;

use crate::control::ControlClient;
use crate::exit::{CommandError, CommandExit};
use crate::token;

/// print the status of an entry process
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusCommand {
    /// operator address of the entry process
    #[argh(option)]
    control: SocketAddr,

    /// print the JSON reply
    #[argh(switch)]
    json: bool,

    /// file with the operators' token; default: environment variable HORNBEAMSHUNT_TOKEN
    #[argh(option)]
    token_file: Option<String>,
}

impl StatusCommand {
    pub(crate) async fn run(self) -> Result<CommandExit, CommandError> {
        let client = ControlClient::new(token::read(self.token_file.as_deref())?);
        let status = client.status(self.control).await;
        let status = status.map_err(CommandError::failed)?;
        match self.json {
            true => println!("{status}"),
            false => print_lines("", &status),
        }
        Ok(CommandExit::Success)
    }
}

/// Prints one line for each scalar value, with its path in the JSON document.
fn print_lines(path: &str, value: &Value) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let separator = if path.is_empty() { "" } else { "." };
                print_lines(&format!("{path}{separator}{name}"), value);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                print_lines(&format!("{path}[{index}]"), item);
            }
        }
        Value::String(text) => println!("{path}: {text}"),
        other => println!("{path}: {other}"),
    }
}
