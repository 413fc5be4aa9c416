//! `serve` command: runs an entry process.

use std::future::Future;

use argh::FromArgs;
use hs_config::parse_settings;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::exit::{CommandError, CommandExit};
use crate::file;

/// Number of runtime threads of a server process. The placer is one task, and entry VMs are small.
const SERVER_THREADS: usize = 4;

/// Run an entry process until SIGTERM or SIGINT.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub(crate) struct ServeCommand {
    /// settings file, JSON with comments
    #[argh(option)]
    config: String,
}

impl ServeCommand {
    pub(crate) async fn run(self) -> Result<CommandExit, CommandError> {
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
        let text = file::read(&self.config)?;
        let settings = parse_settings(&text)
            .map_err(|error| CommandError::usage(format!("{}:\n{error}", self.config)))?;
        let stop = stop_signal()?;
        let result = hs_node::run(settings, stop).await;
        result.map_err(|error| CommandError::failed(error.to_string()))?;
        Ok(CommandExit::Success)
    }
}

/// Returns a flag that becomes true when the process receives SIGTERM or SIGINT.
pub(crate) fn stop_signal() -> Result<watch::Receiver<bool>, CommandError> {
    let failed = |error: std::io::Error| CommandError::failed(format!("signal handler: {error}"));
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    let (stop_sender, stop) = watch::channel(false);
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        let _ = stop_sender.send(true);
    });
    Ok(stop)
}

/// Runs a command on a multi-threaded runtime.
pub(crate) fn run_multi_threaded(
    run: impl Future<Output = Result<CommandExit, CommandError>>,
) -> Result<CommandExit, CommandError> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(SERVER_THREADS).enable_all().build();
    let runtime = runtime.map_err(|error| CommandError::failed(format!("runtime: {error}")))?;
    runtime.block_on(run)
}
