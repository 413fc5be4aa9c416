//! Cluster scheduler for services, batch work and gangs on one shared cluster.

mod cancel;
mod check;
mod control;
mod demo;
mod drain;
mod draining;
mod edge;
mod exit;
mod file;
mod load;
mod log_pipe;
mod publish;
mod publisher;
mod result;
mod rollout;
mod serve;
mod standin;
mod status;
mod submit;
mod token;
mod undrain;
mod work_call;

use std::env;
use std::io::{self, Write};
use std::process::ExitCode;

use argh::FromArgs;

use crate::exit::{CommandError, CommandExit};

/// Cluster scheduler for services, batch work and gangs on one shared cluster.
///
/// Exit codes: 0 success; 1 refused or failed without effect, or work that did not succeed; 2 wrong
/// usage; 3 another manifest was published first; 4 the outcome is unknown; 5 not in effect
/// everywhere in time.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(check::CheckCommand),
    Publish(publish::PublishCommand),
    Drain(drain::DrainCommand),
    Undrain(undrain::UndrainCommand),
    Submit(submit::SubmitCommand),
    Result(result::ResultCommand),
    Cancel(cancel::CancelCommand),
    Status(status::StatusCommand),
    Demo(demo::DemoCommand),
    Load(load::LoadCommand),
    Serve(serve::ServeCommand),
    Edge(edge::EdgeCommand),
    Standin(standin::StandinCommand),
}

impl Command {
    fn run(self) -> Result<CommandExit, CommandError> {
        match self {
            Self::Check(command) => command.run(),
            Self::Publish(command) => run_single_threaded(command.run()),
            Self::Drain(command) => run_single_threaded(command.run()),
            Self::Undrain(command) => run_single_threaded(command.run()),
            Self::Submit(command) => run_single_threaded(command.run()),
            Self::Result(command) => run_single_threaded(command.run()),
            Self::Cancel(command) => run_single_threaded(command.run()),
            Self::Status(command) => run_single_threaded(command.run()),
            Self::Edge(command) => run_single_threaded(command.run()),
            Self::Load(command) => serve::run_multi_threaded(command.run()),
            Self::Demo(command) => serve::run_multi_threaded(command.run()),
            Self::Serve(command) => serve::run_multi_threaded(command.run()),
            Self::Standin(command) => serve::run_multi_threaded(command.run()),
        }
    }
}

/// Runs a command on a single-threaded runtime.
fn run_single_threaded(
    run: impl Future<Output = Result<CommandExit, CommandError>>,
) -> Result<CommandExit, CommandError> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build();
    let runtime = runtime.map_err(|error| CommandError::failed(format!("runtime: {error}")))?;
    runtime.block_on(run)
}

fn main() -> ExitCode {
    let raw_arguments: Vec<String> = env::args_os()
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    let raw_arguments: Vec<&str> = raw_arguments.iter().skip(1).map(String::as_str).collect();
    let arguments = match Arguments::from_args(&["hornbeamshunt"], &raw_arguments) {
        Ok(arguments) => arguments,
        Err(early_exit) if early_exit.status.is_ok() => {
            // `println!` would panic if the reader, such as `head`, has closed the pipe.
            let _ = writeln!(io::stdout(), "{}", early_exit.output);
            return CommandExit::Success.into();
        }
        Err(early_exit) => {
            eprintln!("{}", early_exit.output);
            return CommandExit::Usage.into();
        }
    };
    match arguments.command.run() {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("hornbeamshunt: {error}");
            error.exit.into()
        }
    }
}
