//! `edge` command: runs a process on the users' platform.

use std::io::{self, Write};

use argh::FromArgs;
use hs_platform::LearningOptions;

use crate::exit::{CommandError, CommandExit};
use crate::log_pipe::LogPipe;

/// Run a process on the platform whose settings file the environment names, until SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "edge")]
pub(crate) struct EdgeCommand {
    /// learn the speed of workers from the progress of runs, and let it order the workers on which a task fits
    #[argh(switch)]
    learn_speeds: bool,

    /// learn which kinds of tasks slow each other down, and put them on different workers where others are as good
    #[argh(switch)]
    separate_interfering: bool,
}

impl EdgeCommand {
    pub(crate) async fn run(self) -> Result<CommandExit, CommandError> {
        let environment = env_logger::Env::default().default_filter_or("info");
        env_logger::Builder::from_env(environment)
            .target(env_logger::Target::Pipe(Box::new(LogPipe::spawn(
                io::stdout(),
            ))))
            .format(|line, record| {
                let time = line.timestamp_millis();
                writeln!(line, "{time} {} {}", record.level(), record.args())
            })
            .init();
        let result = hs_platform::run(LearningOptions {
            learn_speeds: self.learn_speeds,
            separate_interfering: self.separate_interfering,
        })
        .await;
        result.map_err(|error| CommandError::failed(error.to_string()))?;
        Ok(CommandExit::Success)
    }
}
